#ifndef SOAK_FAKES_H_
#define SOAK_FAKES_H_

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "endivecart/control/control.h"

namespace soak {

using endivecart::HostId;

// Thrown where a run lets a process die in the middle of a write.
struct SimulatedCrash {};

// Seeded choices of one run.
class Dice {
 public:
  explicit Dice(std::uint64_t seed) : random_(seed) {}

  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  int Below(int bound) {
    return std::uniform_int_distribution<int>(0, bound - 1)(random_);
  }
  template <class Container>
  const auto& Pick(const Container& container) {
    return container[static_cast<std::size_t>(
        Below(static_cast<int>(container.size())))];
  }

 private:
  std::mt19937_64 random_;
};

// A network that drops, delays, doubles and crosses messages, and is cut at
// will. Times are milliseconds of the run.
class FakeNetwork {
 public:
  explicit FakeNetwork(Dice& dice) : dice_(dice) {}

  void Send(const HostId& from,
            const HostId& to,
            endivecart::wire::Envelope envelope,
            std::int64_t now_ms);
  // Messages due by `now_ms`, with their receivers.
  std::vector<std::pair<HostId, endivecart::wire::Envelope>> Deliver(
      std::int64_t now_ms);

  // A host whose messages vanish both ways.
  void Isolate(const HostId& host) { isolated_.insert(host); }
  // Messages between groups vanish.
  void Cut(const std::set<HostId>& group) { group_ = group; }
  void Heal();
  void SetLossy(double loss, double duplicate, int max_delay_ms);

 private:
  bool Connected(const HostId& a, const HostId& b) const;

  Dice& dice_;
  double loss_ = 0;
  double duplicate_ = 0;
  int max_delay_ms_ = 2;
  std::set<HostId> isolated_;
  std::set<HostId> group_;
  std::multimap<std::int64_t, std::pair<HostId, endivecart::wire::Envelope>>
      queue_;
};

// A disk whose writes last only if their sync was reached before a crash.
class FakeDisk final : public endivecart::control::Storage {
 public:
  FakeDisk(Dice& dice, std::string identity)
      : dice_(dice), identity_(std::move(identity)) {}

  const std::string& identity() const { return identity_; }
  void SetCrashChance(double chance) { crash_chance_ = chance; }
  void SetFull(bool full) { full_ = full; }

  const endivecart::control::RaftDurableState& loaded() const override {
    return state_;
  }
  endivecart::Result<bool, endivecart::control::StorageError> Append(
      const std::vector<endivecart::wire::DurableRecord>& records) override;
  endivecart::Result<bool, endivecart::control::StorageError> SaveSnapshot(
      const endivecart::wire::DurableSnapshot& snapshot,
      const endivecart::wire::DurableVote& vote,
      const std::vector<endivecart::wire::LogEntry>& entries) override;

 private:
  // Whether the write goes through; may crash before or after it.
  template <class Write>
  endivecart::Result<bool, endivecart::control::StorageError> Guarded(
      Write write);

  Dice& dice_;
  std::string identity_;
  double crash_chance_ = 0;
  bool full_ = false;
  endivecart::control::RaftDurableState state_;
};

}  // namespace soak

#endif  // SOAK_FAKES_H_
