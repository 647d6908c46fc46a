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

// Thrown by FakeDisk to simulate a crash of the process during a write.
struct SimulatedCrash {};

// The seeded random choices of one run.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : random_(seed) {}

  // Returns true with the given probability.
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  // Returns a value in [0, bound).
  int Below(int bound) {
    return std::uniform_int_distribution<int>(0, bound - 1)(random_);
  }
  // Returns a random element of a container that isn't empty.
  template <class Container>
  const auto& Pick(const Container& container) {
    return container[static_cast<std::size_t>(
        Below(static_cast<int>(container.size())))];
  }

 private:
  std::mt19937_64 random_;
};

// A network that drops, delays, duplicates and reorders messages and can be
// partitioned. Times are milliseconds of simulated time.
class FakeNetwork {
 public:
  explicit FakeNetwork(RandomSource& random_source)
      : random_source_(random_source) {}

  void Send(const HostId& from,
            const HostId& to,
            endivecart::wire::Envelope envelope,
            std::int64_t now_ms);
  // Removes and returns the messages due by `now_ms`, with their receivers.
  std::vector<std::pair<HostId, endivecart::wire::Envelope>> Deliver(
      std::int64_t now_ms);

  // Drops all messages from and to `host`.
  void Isolate(const HostId& host) { isolated_hosts_.insert(host); }
  // Drops messages between `group` and all other hosts. Replaces an earlier
  // partition.
  void Partition(const std::set<HostId>& group) { partition_ = group; }
  // Ends all isolations and partitions.
  void Heal();
  // Sets the probabilities of loss and duplication, and the upper bound of the
  // random delay.
  void SetLossy(double loss, double duplicate, int max_delay_ms);

 private:
  bool IsConnected(const HostId& a, const HostId& b) const;

  RandomSource& random_source_;
  double loss_ = 0;
  double duplicate_ = 0;
  int max_delay_ms_ = 2;
  std::set<HostId> isolated_hosts_;
  std::set<HostId> partition_;
  std::multimap<std::int64_t, std::pair<HostId, endivecart::wire::Envelope>>
      queue_;
};

// A disk that can be full and can crash the process during a write. After a
// crash the write is either complete or absent.
class FakeDisk final : public endivecart::control::Storage {
 public:
  FakeDisk(RandomSource& random_source, std::string identity)
      : random_source_(random_source), identity_(std::move(identity)) {}

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
  // Runs `write`, unless the disk is full. Throws SimulatedCrash before or
  // after the write with the crash probability.
  template <class Write>
  endivecart::Result<bool, endivecart::control::StorageError> WriteWithFaults(
      Write write);

  RandomSource& random_source_;
  std::string identity_;
  double crash_chance_ = 0;
  bool full_ = false;
  endivecart::control::RaftDurableState state_;
};

}  // namespace soak

#endif  // SOAK_FAKES_H_
