#ifndef TESTS_SUPPORT_SIMULATED_STORE_H_
#define TESTS_SUPPORT_SIMULATED_STORE_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "endivecart/fleet/fleet.h"

namespace endivecart::gateway {

// The simulated time between two steps.
constexpr Millis kStep{10};
// The tokens of each part.
constexpr std::int64_t kTokens = 100;

// A store as the platform's: it frees and forgets nothing by itself, and tells
// complete parts from those that are being written.
class SimulatedStore {
 public:
  struct Part {
    TimePoint complete_at{};
    std::uint64_t writing = 0;  // a number for each save
  };

  const Part* Find(const fleet::CachePartName& name) const {
    const auto it = parts_.find(name);
    return it == parts_.end() ? nullptr : &it->second;
  }
  static bool IsComplete(const Part& part, TimePoint now) {
    return part.complete_at <= now;
  }
  void Save(const fleet::CachePartName& name, TimePoint complete_at) {
    parts_.try_emplace(name, Part{complete_at, ++writings_});
  }
  // Records events of parts that are now complete.
  void Step(TimePoint now) {
    for (const auto& [name, part] : parts_) {
      if (part.complete_at > now - kStep && part.complete_at <= now)
        events_.push_back({true, name, kTokens});
    }
  }
  void Free(const std::vector<fleet::CachePartName>& names) {
    for (const fleet::CachePartName& name : names) {
      if (parts_.erase(name) > 0)
        events_.push_back({false, name, kTokens});
    }
  }
  void Restart() {
    ++epoch_;
    parts_.clear();
    events_.clear();
  }
  fleet::CacheList List(TimePoint now) const {
    fleet::CacheList list;
    list.epoch = epoch_;
    list.next = events_.size();
    for (const auto& [name, part] : parts_)
      (IsComplete(part, now) ? list.complete : list.partial)
          .emplace_back(name, kTokens);
    return list;
  }
  fleet::CacheEvents EventsSince(std::uint64_t since, TimePoint now) const {
    fleet::CacheEvents events;
    events.epoch = epoch_;
    events.next = events_.size();
    events.clock_ms = ClockOf(now);
    for (std::size_t i = since; i < events_.size(); ++i)
      events.events.push_back(events_[i]);
    return events;
  }
  static std::uint64_t ClockOf(TimePoint now) {
    return static_cast<std::uint64_t>(
               std::chrono::duration_cast<Millis>(now.time_since_epoch())
                   .count()) +
           5000;
  }
  std::uint64_t epoch() const { return epoch_; }

 private:
  std::uint64_t epoch_ = 1;
  std::uint64_t writings_ = 0;
  std::map<fleet::CachePartName, Part> parts_;
  std::vector<fleet::CacheEvent> events_;
};

// The saves that the replicated log records. A change of leader may keep the
// commands that were under way or lose them.
class SimulatedLog {
 public:
  using Done = std::function<void(bool)>;

  std::size_t Propose(const wire::GrantSavesCommand& command, Done done) {
    pending_.emplace_back(command, std::move(done));
    return ++proposed_;
  }
  // Decides the commands up to this one, unless a new leader came first.
  void Decide(std::size_t last) {
    while (!pending_.empty() && proposed_ - pending_.size() < last) {
      const auto [command, done] = std::move(pending_.front());
      pending_.pop_front();
      grants_.Apply(command);
      done(true);
    }
  }
  void BeginTerm(std::uint64_t term, std::size_t kept) {
    for (std::size_t i = 0; i < std::min(kept, pending_.size()); ++i)
      grants_.Apply(pending_[i].first);
    pending_.clear();
    grants_.OnEntry(term);
  }
  const fleet::SaveGrantLog& grants() const { return grants_; }

 private:
  fleet::SaveGrantLog grants_;
  std::size_t proposed_ = 0;
  std::deque<std::pair<wire::GrantSavesCommand, Done>> pending_;
};

}  // namespace endivecart::gateway

#endif  // TESTS_SUPPORT_SIMULATED_STORE_H_
