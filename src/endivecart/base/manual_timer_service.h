#ifndef ENDIVECART_BASE_MANUAL_TIMER_SERVICE_H_
#define ENDIVECART_BASE_MANUAL_TIMER_SERVICE_H_

#include <map>
#include <memory>

#include "endivecart/base/timer_service.h"

namespace endivecart {

// A timer service whose time moves only by Advance(). Single-threaded.
class ManualTimerService final : public TimerService {
 public:
  ManualTimerService();
  ~ManualTimerService() override;

  TimePoint Now() const override;
  std::unique_ptr<TimerSubscription> Every(Millis interval,
                                           Callback callback) override;
  std::unique_ptr<TimerSubscription> After(Millis delay,
                                           Callback callback) override;

  // Moves time on and runs what falls due, in order of due time.
  void Advance(Millis step);

 private:
  struct Entry;
  struct State;
  class Handle;
  std::shared_ptr<State> state_;
};

}  // namespace endivecart

#endif  // ENDIVECART_BASE_MANUAL_TIMER_SERVICE_H_
