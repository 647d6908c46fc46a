#ifndef ENDIVECART_NET_EVENT_LOOP_H_
#define ENDIVECART_NET_EVENT_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "endivecart/base/base.h"

namespace endivecart::net {

// Single-threaded event loop for connections, messages and timers. All
// functions but Post() and Stop() must be called on the loop's thread.
class EventLoop final : public TimerService {
 public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Blocks until Stop() is called.
  void Run();
  void Stop();
  // Queues `task` to run on the loop's thread. Thread-safe.
  void Post(std::function<void()> task);

  // Monotonic time that, unlike std::chrono::steady_clock, includes time in
  // which the machine was suspended: a lease must not outlive a suspension.
  TimePoint Now() const override;
  std::unique_ptr<TimerSubscription> Every(Millis interval,
                                           Callback callback) override;
  std::unique_ptr<TimerSubscription> After(Millis delay,
                                           Callback callback) override;

  // Calls `handler` each time the process receives `signal`.
  void OnSignal(int signal, std::function<void()> handler);
  // Calls `handler` whenever the descriptor becomes readable, until the
  // subscription is destroyed. Does not take ownership of the descriptor.
  std::unique_ptr<TimerSubscription> WatchReadable(
      int descriptor,
      std::function<void()> handler);

  boost::asio::io_context& context() { return context_; }

 private:
  class Timer;
  class DescriptorWatch;
  class SignalHandler;
  boost::asio::io_context context_;
  std::vector<std::unique_ptr<SignalHandler>> signal_handlers_;
};

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_EVENT_LOOP_H_
