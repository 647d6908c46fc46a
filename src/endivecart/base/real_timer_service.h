#ifndef ENDIVECART_BASE_REAL_TIMER_SERVICE_H_
#define ENDIVECART_BASE_REAL_TIMER_SERVICE_H_

#include <memory>

#include "endivecart/base/timer_service.h"

namespace endivecart {

// Timer service on the monotonic clock, with one thread for all callbacks.
// Thread-safe.
class RealTimerService final : public TimerService {
 public:
  RealTimerService();
  ~RealTimerService() override;

  TimePoint Now() const override;
  std::unique_ptr<TimerSubscription> Every(Millis interval,
                                           Callback callback) override;
  std::unique_ptr<TimerSubscription> After(Millis delay,
                                           Callback callback) override;

 private:
  struct State;
  class Handle;
  std::shared_ptr<State> state_;
};

}  // namespace endivecart

#endif  // ENDIVECART_BASE_REAL_TIMER_SERVICE_H_
