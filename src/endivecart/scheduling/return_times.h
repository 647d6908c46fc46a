#ifndef ENDIVECART_SCHEDULING_RETURN_TIMES_H_
#define ENDIVECART_SCHEDULING_RETURN_TIMES_H_

#include <cstdint>
#include <random>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::scheduling {

// Chooses when refused callers come back. Callers honour a `Retry-After` of up
// to a third of the time that they have left, and come back once; they must not
// come back together, nor before what waits now has been served.
class ReturnTimes {
 public:
  explicit ReturnTimes(std::uint64_t seed) : random_(seed) {}

  // `backlog`: time in which what waits is served; `own`: time in which this
  // request is served when it comes back; `time_left`: of the caller.
  Millis Next(Millis backlog, Millis own, Millis time_left, TimePoint now);
  // Time in which the callers are served that were told to come back when there
  // is room, and have not done so yet.
  Millis Expected(TimePoint now);

 private:
  struct Return {
    TimePoint at;
    Millis own{0};
  };

  std::mt19937_64 random_;
  TimePoint next_free_{};  // when the callers told so far have been served
  std::vector<Return> expected_;
};

}  // namespace endivecart::scheduling

#endif  // ENDIVECART_SCHEDULING_RETURN_TIMES_H_
