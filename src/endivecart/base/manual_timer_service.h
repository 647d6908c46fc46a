#ifndef ENDIVECART_BASE_MANUAL_TIMER_SERVICE_H_
#define ENDIVECART_BASE_MANUAL_TIMER_SERVICE_H_

#include <map>
#include <memory>

#include "endivecart/base/timer_service.h"

namespace endivecart {

// A timer service for tests whose clock is advanced by Advance() only. Not
// thread-safe.
class ManualTimerService final : public TimerService {
 public:
  ManualTimerService();
  ~ManualTimerService() override;

  TimePoint Now() const override;
  std::unique_ptr<TimerSubscription> Every(Millis interval,
                                           Callback callback) override;
  std::unique_ptr<TimerSubscription> After(Millis delay,
                                           Callback callback) override;

  // Advances the clock by `step` and runs the due callbacks in order of due
  // time.
  void Advance(Millis step);

 private:
  struct Entry;
  struct State;
  class Handle;
  std::shared_ptr<State> state_;
};

}  // namespace endivecart

#endif  // ENDIVECART_BASE_MANUAL_TIMER_SERVICE_H_
