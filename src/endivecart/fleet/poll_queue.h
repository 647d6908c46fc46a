#ifndef ENDIVECART_FLEET_POLL_QUEUE_H_
#define ENDIVECART_FLEET_POLL_QUEUE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>

#include "endivecart/base/base.h"
#include "endivecart/transport/transport.h"

namespace endivecart::fleet {

// Limits the share of a control host's time that answers to polls take, so that
// elections, reads and commits don't wait for soft state. Polls are answered at
// once while there is time; otherwise they wait, the latest of each follower
// only, and are dropped once the follower has given them up.
class PollQueue {
 public:
  struct Hooks {
    std::function<void(const HostId&, const wire::FleetPoll&)> serve;
    std::function<TimePoint()> now;
  };

  // The interval of OnTick().
  static constexpr Millis kWindow{20};
  // The time for polls in each window, with ticks in time and with late ones.
  static constexpr std::chrono::microseconds kMaxBudget{8000};
  static constexpr std::chrono::microseconds kMinBudget{1000};
  // Added for each tick in time.
  static constexpr std::chrono::microseconds kBudgetStep{250};
  // A tick that is later halves the time for polls.
  static constexpr Millis kLateTick = kWindow;
  // A follower sends another poll after this time; see
  // FleetFollower::kPollTimeout.
  static constexpr Millis kMaxAge{1000};
  // How often dropped polls are logged.
  static constexpr Millis kLogInterval{60000};

  explicit PollQueue(Hooks hooks) : hooks_(std::move(hooks)) {}

  void Add(const HostId& from, const wire::FleetPoll& poll);
  // To be called every kWindow; `delay` is how late the call is.
  void OnTick(std::chrono::microseconds delay);

  // Returns whether ticks were late recently.
  bool IsBusy() const { return budget_ < kMaxBudget / 2; }
  std::size_t waiting() const { return polls_.size(); }
  // Polls that waited for too long, or were replaced by the follower's next.
  std::uint64_t dropped() const { return dropped_; }

 private:
  struct Waiting {
    wire::FleetPoll poll;
    TimePoint added_at;
  };

  void Serve();
  void ServeNext();
  void LogDropped(TimePoint now);

  const Hooks hooks_;
  std::map<HostId, Waiting> polls_;
  std::deque<HostId> order_;  // of polls_, by arrival of the first
  std::chrono::microseconds budget_ = kMaxBudget;
  std::chrono::microseconds spent_{0};
  std::uint64_t dropped_ = 0;
  std::uint64_t logged_dropped_ = 0;
  TimePoint logged_at_{};
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_POLL_QUEUE_H_
