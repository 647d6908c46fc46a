#ifndef ENDIVECART_SCHEDULING_RETURN_TIMES_H_
#define ENDIVECART_SCHEDULING_RETURN_TIMES_H_

#include <cstdint>
#include <random>

#include "endivecart/base/base.h"

namespace endivecart::scheduling {

// Chooses when refused callers come back. Callers come back once; they must not
// come back together, nor before what waits now has been served.
class ReturnTimes {
 public:
  explicit ReturnTimes(std::uint64_t seed) : random_(seed) {}

  // `backlog`: time in which what waits is served; `own`: time in which this
  // request is served when it comes back.
  Millis Next(Millis backlog, Millis own, TimePoint now);
  // Without a backlog: a little later than `wait`, at random.
  Millis Spread(Millis wait);

 private:
  std::mt19937_64 random_;
  TimePoint next_free_{};  // when the callers told so far have been served
};

}  // namespace endivecart::scheduling

#endif  // ENDIVECART_SCHEDULING_RETURN_TIMES_H_
