#include "fakes.h"

#include <utility>

namespace soak {

namespace control = endivecart::control;
namespace wire = endivecart::wire;
using endivecart::Fail;
using endivecart::Result;

bool FakeNetwork::IsConnected(const HostId& a, const HostId& b) const {
  if (isolated_hosts_.contains(a) || isolated_hosts_.contains(b))
    return false;
  return partition_.contains(a) == partition_.contains(b);
}

void FakeNetwork::SetLossy(double loss, double duplicate, int max_delay_ms) {
  loss_ = loss;
  duplicate_ = duplicate;
  max_delay_ms_ = max_delay_ms;
}

void FakeNetwork::Heal() {
  isolated_hosts_.clear();
  partition_.clear();
}

void FakeNetwork::Send(const HostId& from,
                       const HostId& to,
                       wire::Envelope envelope,
                       std::int64_t now_ms) {
  envelope.set_from(from.str());
  const int copies = random_source_.Chance(duplicate_) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    if (!IsConnected(from, to) || random_source_.Chance(loss_))
      continue;
    queue_.emplace(now_ms + 1 + random_source_.Below(max_delay_ms_),
                   std::pair(to, envelope));
  }
}

std::vector<std::pair<HostId, wire::Envelope>> FakeNetwork::Deliver(
    std::int64_t now_ms) {
  std::vector<std::pair<HostId, wire::Envelope>> due;
  while (!queue_.empty() && queue_.begin()->first <= now_ms) {
    auto message = std::move(queue_.begin()->second);
    queue_.erase(queue_.begin());
    // A partition also drops messages in flight.
    if (IsConnected(HostId(message.second.from()), message.first))
      due.push_back(std::move(message));
  }
  return due;
}

template <class Write>
Result<bool, control::StorageError> FakeDisk::WriteWithFaults(Write write) {
  if (full_) {
    return Fail(control::StorageError{control::StorageErrorCode::kFull,
                                      "simulated full disk"});
  }
  const bool crash = random_source_.Chance(crash_chance_);
  const bool is_written = !crash || random_source_.Chance(0.5);
  if (is_written)
    write();
  if (crash)
    throw SimulatedCrash{};
  return true;
}

Result<bool, control::StorageError> FakeDisk::Append(
    const std::vector<wire::DurableRecord>& records) {
  return WriteWithFaults([&] {
    for (const wire::DurableRecord& record : records)
      control::ApplyRecord(record, state_);
  });
}

Result<bool, control::StorageError> FakeDisk::SaveSnapshot(
    const wire::DurableSnapshot& snapshot,
    const wire::DurableVote& vote,
    const std::vector<wire::LogEntry>& entries) {
  return WriteWithFaults([&] {
    state_.snapshot = snapshot;
    state_.term = vote.term();
    state_.voted_for = control::MemberId(vote.voted_for());
    state_.entries = entries;
  });
}

}  // namespace soak
