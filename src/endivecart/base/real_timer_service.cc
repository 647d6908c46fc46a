#include "endivecart/base/real_timer_service.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace endivecart {

namespace {

TimePoint SteadyNow() {
  return std::chrono::time_point_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now());
}

}  // namespace

double MillisBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

struct RealTimerService::State {
  struct Entry {
    TimePoint due;
    Millis interval;
    bool once = false;
    Callback callback;
  };

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::uint64_t, Entry> entries;
  std::uint64_t next_id = 1;
  std::uint64_t running_id = 0;
  bool stopping = false;
  std::thread thread;

  void Run();
  TimePoint EarliestDue() const;
  std::uint64_t Add(Entry entry);
  void RunDue(std::unique_lock<std::mutex>& lock, TimePoint now);
};

TimePoint RealTimerService::State::EarliestDue() const {
  TimePoint due = SteadyNow() + std::chrono::seconds(1);
  for (const auto& [id, entry] : entries)
    due = std::min(due, entry.due);
  return due;
}

std::uint64_t RealTimerService::State::Add(Entry entry) {
  std::scoped_lock lock(mutex);
  const std::uint64_t id = next_id++;
  entries.emplace(id, std::move(entry));
  changed.notify_all();
  return id;
}

void RealTimerService::State::RunDue(std::unique_lock<std::mutex>& lock,
                                     TimePoint now) {
  std::uint64_t after = 0;
  while (!stopping) {
    auto it = entries.upper_bound(after);
    while (it != entries.end() && it->second.due > now)
      ++it;
    if (it == entries.end())
      return;
    after = running_id = it->first;
    it->second.due = now + it->second.interval;
    const Callback callback = it->second.callback;
    if (it->second.once)
      entries.erase(it);
    lock.unlock();
    callback(SteadyNow());
    lock.lock();
    running_id = 0;
    changed.notify_all();
  }
}

void RealTimerService::State::Run() {
  std::unique_lock lock(mutex);
  while (!stopping) {
    RunDue(lock, SteadyNow());
    if (!stopping)
      changed.wait_until(lock, EarliestDue());
  }
}

class RealTimerService::Handle final : public TimerSubscription {
 public:
  Handle(std::shared_ptr<State> state, std::uint64_t id)
      : state_(std::move(state)), id_(id) {}
  ~Handle() override {
    std::unique_lock lock(state_->mutex);
    state_->entries.erase(id_);
    if (std::this_thread::get_id() != state_->thread.get_id())
      state_->changed.wait(lock, [this] { return state_->running_id != id_; });
  }

 private:
  std::shared_ptr<State> state_;
  std::uint64_t id_;
};

RealTimerService::RealTimerService() : state_(std::make_shared<State>()) {
  state_->thread = std::thread([state = state_.get()] { state->Run(); });
}

RealTimerService::~RealTimerService() {
  {
    std::scoped_lock lock(state_->mutex);
    state_->stopping = true;
  }
  state_->changed.notify_all();
  state_->thread.join();
}

TimePoint RealTimerService::Now() const {
  return SteadyNow();
}

std::unique_ptr<TimerSubscription> RealTimerService::Every(Millis interval,
                                                           Callback callback) {
  return std::make_unique<Handle>(
      state_, state_->Add({SteadyNow() + interval, interval, false,
                           std::move(callback)}));
}

std::unique_ptr<TimerSubscription> RealTimerService::After(Millis delay,
                                                           Callback callback) {
  return std::make_unique<Handle>(
      state_,
      state_->Add({SteadyNow() + delay, delay, true, std::move(callback)}));
}

}  // namespace endivecart
