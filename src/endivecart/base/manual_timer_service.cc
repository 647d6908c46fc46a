#include "endivecart/base/manual_timer_service.h"

#include <utility>

namespace endivecart {

struct ManualTimerService::Entry {
  TimePoint due;
  Millis interval;
  bool once = false;
  Callback callback;
};

struct ManualTimerService::State {
  TimePoint now{};
  std::uint64_t next_id = 0;
  std::map<std::uint64_t, Entry> entries;
};

class ManualTimerService::Handle final : public TimerSubscription {
 public:
  Handle(std::weak_ptr<State> state, std::uint64_t id)
      : state_(std::move(state)), id_(id) {}
  ~Handle() override {
    if (const auto state = state_.lock())
      state->entries.erase(id_);
  }

 private:
  std::weak_ptr<State> state_;
  std::uint64_t id_;
};

ManualTimerService::ManualTimerService() : state_(std::make_shared<State>()) {}
ManualTimerService::~ManualTimerService() = default;

TimePoint ManualTimerService::Now() const {
  return state_->now;
}

std::unique_ptr<TimerSubscription> ManualTimerService::Every(
    Millis interval,
    Callback callback) {
  const std::uint64_t id = state_->next_id++;
  state_->entries.emplace(
      id, Entry{state_->now + interval, interval, false, std::move(callback)});
  return std::make_unique<Handle>(state_, id);
}

std::unique_ptr<TimerSubscription> ManualTimerService::After(
    Millis delay,
    Callback callback) {
  const std::uint64_t id = state_->next_id++;
  state_->entries.emplace(
      id, Entry{state_->now + delay, delay, true, std::move(callback)});
  return std::make_unique<Handle>(state_, id);
}

void ManualTimerService::Advance(Millis step) {
  const TimePoint end = state_->now + step;
  while (true) {
    auto next = state_->entries.end();
    for (auto it = state_->entries.begin(); it != state_->entries.end(); ++it) {
      if (it->second.due <= end && (next == state_->entries.end() ||
                                    it->second.due < next->second.due)) {
        next = it;
      }
    }
    if (next == state_->entries.end())
      break;
    state_->now = next->second.due;
    next->second.due += next->second.interval;
    const Callback callback = next->second.callback;
    if (next->second.once)
      state_->entries.erase(next);
    callback(state_->now);
  }
  state_->now = end;
}

}  // namespace endivecart
