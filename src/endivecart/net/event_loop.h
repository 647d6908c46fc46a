#ifndef ENDIVECART_NET_EVENT_LOOP_H_
#define ENDIVECART_NET_EVENT_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "endivecart/base/base.h"

namespace endivecart::net {

// The one thread of a process that handles connections, messages and timers.
// All but Post() and Stop() belong to that thread.
class EventLoop final : public TimerService {
 public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs until Stop().
  void Run();
  void Stop();
  // Runs `task` soon on the loop's thread. Safe from any thread.
  void Post(std::function<void()> task);

  // Counts time during which the machine was suspended, unlike a steady clock:
  // a lease must not outlive a suspension.
  TimePoint Now() const override;
  std::unique_ptr<TimerSubscription> Every(Millis interval,
                                           Callback callback) override;
  std::unique_ptr<TimerSubscription> After(Millis delay,
                                           Callback callback) override;

  // Calls `handler` with each signal of this number that comes.
  void OnSignal(int signal, std::function<void()> handler);
  // Calls `handler` when the descriptor turns readable, until the subscription
  // is destroyed. The descriptor stays the caller's.
  std::unique_ptr<TimerSubscription> WatchReadable(
      int descriptor,
      std::function<void()> handler);

  boost::asio::io_context& context() { return context_; }

 private:
  class Timer;
  class Watch;
  class Signals;
  boost::asio::io_context context_;
  std::vector<std::unique_ptr<Signals>> signals_;
};

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_EVENT_LOOP_H_
