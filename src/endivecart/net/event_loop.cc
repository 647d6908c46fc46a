#include "endivecart/net/event_loop.h"

#include <time.h>

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>
#include <vector>

namespace endivecart::net {

namespace asio = boost::asio;

namespace {

constexpr int kConcurrencyHint = 1;
// Distinguishable from a time that isn't set.
constexpr TimePoint kManualStart{std::chrono::hours(1)};

}  // namespace

// The state is shared by the subscription and the pending wait, so that either
// may be destroyed first.
class EventLoop::Timer final : public TimerSubscription {
 public:
  struct State {
    State(EventLoop& owner, Millis every, bool once_only, Callback function)
        : loop(owner),
          timer(owner.context_),
          interval(every),
          once(once_only),
          callback(std::move(function)) {}

    EventLoop& loop;
    asio::steady_timer timer;
    Millis interval;
    bool once;
    bool cancelled = false;
    Callback callback;
  };

  explicit Timer(std::shared_ptr<State> state) : state_(std::move(state)) {
    Arm(state_);
  }
  ~Timer() override {
    state_->cancelled = true;
    state_->timer.cancel();
  }

 private:
  static void Arm(const std::shared_ptr<State>& state) {
    EventLoop& loop = state->loop;
    if (loop.clock_ == Clock::kManual) {
      loop.manual_timers_.emplace(loop.manual_now_ + state->interval,
                                  [state] { Run(state); });
      return;
    }
    state->timer.expires_after(state->interval);
    state->timer.async_wait(
        [state](const boost::system::error_code&) { Run(state); });
  }
  static void Run(const std::shared_ptr<State>& state) {
    if (state->cancelled)
      return;
    state->callback(state->loop.Now());
    if (!state->once && !state->cancelled)
      Arm(state);
  }

  std::shared_ptr<State> state_;
};

class EventLoop::DescriptorWatch final : public TimerSubscription {
 public:
  struct State {
    State(EventLoop& loop, int fd, std::function<void()> function)
        : descriptor(loop.context_, fd), handler(std::move(function)) {}

    asio::posix::stream_descriptor descriptor;
    std::function<void()> handler;
    bool cancelled = false;
  };

  explicit DescriptorWatch(std::shared_ptr<State> state)
      : state_(std::move(state)) {
    Arm(state_);
  }
  ~DescriptorWatch() override {
    state_->cancelled = true;
    state_->descriptor.release();
  }

 private:
  static void Arm(const std::shared_ptr<State>& state) {
    state->descriptor.async_wait(
        asio::posix::stream_descriptor::wait_read,
        [state](const boost::system::error_code& error) {
          if (state->cancelled || error)
            return;
          state->handler();
          if (!state->cancelled)
            Arm(state);
        });
  }

  std::shared_ptr<State> state_;
};

class EventLoop::SignalHandler {
 public:
  SignalHandler(EventLoop& loop, int signal, std::function<void()> handler)
      : set_(loop.context_, signal), handler_(std::move(handler)) {
    Arm();
  }

 private:
  void Arm() {
    set_.async_wait([this](const boost::system::error_code& error, int) {
      if (error)
        return;
      handler_();
      Arm();
    });
  }

  asio::signal_set set_;
  std::function<void()> handler_;
};

EventLoop::EventLoop(Clock clock)
    : clock_(clock), manual_now_(kManualStart), context_(kConcurrencyHint) {}

EventLoop::~EventLoop() = default;

void EventLoop::Run() {
  const auto guard = asio::make_work_guard(context_);
  context_.run();
}

void EventLoop::Stop() {
  context_.stop();
}

void EventLoop::Post(std::function<void()> task) {
  asio::post(context_, std::move(task));
}

bool EventLoop::Advance(TimePoint end) {
  if (manual_timers_.empty() || manual_timers_.begin()->first > end) {
    manual_now_ = std::max(manual_now_, end);
    return false;
  }
  const auto next = manual_timers_.extract(manual_timers_.begin());
  manual_now_ = std::max(manual_now_, next.key());
  next.mapped()();
  return true;
}

TimePoint EventLoop::Now() const {
  if (clock_ == Clock::kManual)
    return manual_now_;
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

std::unique_ptr<TimerSubscription> EventLoop::Every(Millis interval,
                                                    Callback callback) {
  return std::make_unique<Timer>(std::make_shared<Timer::State>(
      *this, interval, false, std::move(callback)));
}

std::unique_ptr<TimerSubscription> EventLoop::After(Millis delay,
                                                    Callback callback) {
  return std::make_unique<Timer>(
      std::make_shared<Timer::State>(*this, delay, true, std::move(callback)));
}

void EventLoop::OnSignal(int signal, std::function<void()> handler) {
  signal_handlers_.push_back(
      std::make_unique<SignalHandler>(*this, signal, std::move(handler)));
}

std::unique_ptr<TimerSubscription> EventLoop::WatchReadable(
    int descriptor,
    std::function<void()> handler) {
  return std::make_unique<DescriptorWatch>(
      std::make_shared<DescriptorWatch::State>(*this, descriptor,
                                               std::move(handler)));
}

}  // namespace endivecart::net
