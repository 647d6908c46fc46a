#ifndef ENDIVECART_NET_EVENT_LOOP_H_
#define ENDIVECART_NET_EVENT_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::net {

// Single-threaded event loop for connections, messages and timers. All
// functions but Post() and Stop() must be called on the loop's thread.
class EventLoop final : public TimerService {
 public:
  // With a manual clock, time passes only in Advance(), for tests.
  enum class Clock { kSystem, kManual };

  explicit EventLoop(Clock clock = Clock::kSystem);
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

  // Advances a manual clock to the next timer and runs it, or to `end` if none
  // is due until then. Returns whether a timer was run.
  bool Advance(TimePoint end);

 private:
  class Timer;
  class DescriptorWatch;
  class SignalHandler;
  const Clock clock_;
  TimePoint manual_now_;
  boost::asio::io_context context_;
  std::multimap<TimePoint, std::function<void()>> manual_timers_;
  std::vector<std::unique_ptr<SignalHandler>> signal_handlers_;
};

}  // namespace endivecart::net

#endif  // ENDIVECART_NET_EVENT_LOOP_H_
