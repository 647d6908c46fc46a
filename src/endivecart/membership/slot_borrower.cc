#include "endivecart/membership/slot_borrower.h"

#include <algorithm>

namespace endivecart::membership {

namespace {

constexpr Millis kPeakWindow{2000};

}  // namespace

void SlotBorrower::SetGrant(const std::string& resource,
                            int slots,
                            TimePoint valid_until,
                            bool scarce) {
  Holding& holding = holdings_[resource];
  // A delayed reply must not restore an older grant.
  if (valid_until < holding.valid_until)
    return;
  holding.granted = slots;
  holding.scarce = scarce;
  holding.valid_until = valid_until;
}

void SlotBorrower::SetOwned(const std::string& resource, int slots) {
  holdings_[resource].owned = slots;
}

void SlotBorrower::Remove(const std::string& resource) {
  const auto it = holdings_.find(resource);
  if (it == holdings_.end())
    return;
  it->second.granted = 0;
  it->second.owned = 0;
  if (it->second.in_use == 0)
    holdings_.erase(it);
}

int SlotBorrower::Slots(const std::string& resource, TimePoint now) const {
  const auto it = holdings_.find(resource);
  if (it == holdings_.end())
    return 0;
  const Holding& holding = it->second;
  return holding.owned + (now < holding.valid_until ? holding.granted : 0);
}

int SlotBorrower::Free(const std::string& resource, TimePoint now) const {
  return std::max(0, Slots(resource, now) - InUse(resource));
}

int SlotBorrower::InUse(const std::string& resource) const {
  const auto it = holdings_.find(resource);
  return it == holdings_.end() ? 0 : it->second.in_use;
}

int SlotBorrower::Granted(const std::string& resource) const {
  const auto it = holdings_.find(resource);
  return it == holdings_.end() ? 0 : it->second.granted;
}

bool SlotBorrower::TryAcquire(const std::string& resource, TimePoint now) {
  if (Free(resource, now) == 0)
    return false;
  Holding& holding = holdings_.find(resource)->second;
  ++holding.in_use;
  UpdatePeak(holding, now);
  return CheckInvariant(holding.in_use <= Slots(resource, now),
                        Invariant::kUpstreamCapacity, resource);
}

void SlotBorrower::Release(const std::string& resource, TimePoint now) {
  const auto it = holdings_.find(resource);
  if (it == holdings_.end() || it->second.in_use == 0)
    return;
  UpdatePeak(it->second, now);
  --it->second.in_use;
}

bool SlotBorrower::ShouldReturn(const std::string& resource,
                                TimePoint now) const {
  const auto it = holdings_.find(resource);
  return it != holdings_.end() && it->second.scarce &&
         it->second.waiting == 0 && Free(resource, now) > 0;
}

void SlotBorrower::SetWaiting(const std::string& resource,
                              int waiting,
                              TimePoint now) {
  Holding& holding = holdings_[resource];
  holding.waiting = waiting;
  UpdatePeak(holding, now);
}

void SlotBorrower::UpdatePeak(Holding& holding, TimePoint now) {
  if (now - holding.peak_since > kPeakWindow) {
    holding.peak = 0;
    holding.peak_since = now;
  }
  holding.peak = std::max(holding.peak, holding.in_use + holding.waiting);
}

SlotDemand SlotBorrower::Demand(const std::string& resource, TimePoint now) {
  Holding& holding = holdings_[resource];
  UpdatePeak(holding, now);
  const int wanted =
      holding.scarce ? holding.in_use + holding.waiting : holding.peak;
  return {std::max(wanted - holding.owned, 0),
          std::max(holding.in_use - holding.owned, 0)};
}

}  // namespace endivecart::membership
