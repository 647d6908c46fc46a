#include "endivecart/membership/slot_lender.h"

#include <algorithm>

namespace endivecart::membership {

namespace {

// Delay of an upstream's report of its running requests.
constexpr Millis kReportLag{1500};

}  // namespace

SlotLender::SlotLender(Millis lease, Millis hold)
    : lease_(lease), hold_(hold) {}

void SlotLender::SetCapacity(const std::string& resource,
                             int slots,
                             int reserved,
                             bool standby) {
  Resource& entry = resources_[resource];
  entry.capacity = slots;
  entry.standby = standby;
  entry.reserved = std::min(reserved, slots);
}

void SlotLender::BlockUntil(const std::string& resource, TimePoint time) {
  Resource& entry = resources_[resource];
  entry.blocked_until = std::max(entry.blocked_until, time);
}

void SlotLender::Remove(const std::string& resource) {
  resources_.erase(resource);
}

void SlotLender::SetRunning(const std::string& resource,
                            int running,
                            TimePoint now) {
  Resource& entry = resources_[resource];
  entry.running = running;
  entry.running_at = now;
}

int SlotLender::CountedSlots(const Resource& resource,
                             const Borrower& borrower,
                             TimePoint now) const {
  const int slots = std::max(borrower.slots, borrower.demand.in_use);
  if (now < borrower.expires)
    return slots;
  // After the lease has expired the borrower starts no new work, but requests
  // that it started before may still be running, until a report from after the
  // expiry shows otherwise.
  if (resource.running_at >= borrower.expires + kReportLag)
    return std::min(slots, resource.running);
  return now < borrower.expires + hold_ ? slots : 0;
}

int SlotLender::CountedSlotsExcept(const Resource& resource,
                                   const HostId& excluded,
                                   TimePoint now) const {
  int total = 0;
  for (const auto& [host, borrower] : resource.borrowers) {
    if (host != excluded)
      total += CountedSlots(resource, borrower, now);
  }
  return total;
}

int SlotLender::DemandExcept(const Resource& resource,
                             const HostId& excluded,
                             TimePoint now) const {
  int demand = 0;
  for (const auto& [host, borrower] : resource.borrowers) {
    if (host != excluded && now < borrower.expires)
      demand += borrower.demand.wanted;
  }
  return demand;
}

int SlotLender::FairSlots(const Resource& resource,
                          const HostId& borrower,
                          int wanted,
                          TimePoint now) const {
  const int demand = wanted + DemandExcept(resource, borrower, now);
  const int lendable = resource.capacity - resource.reserved;
  if (demand <= lendable)
    return wanted;
  // Rounded up, so that a single slot is granted to some borrower.
  return (lendable * wanted + demand - 1) / std::max(demand, 1);
}

int SlotLender::WantedWithStandby(const Resource& resource,
                                  const HostId& borrower,
                                  int wanted,
                                  TimePoint now) const {
  // While demand is low, an idle host keeps one slot, so that its next request
  // does not wait for a grant.
  const int hosts = static_cast<int>(resource.borrowers.size()) + 1;
  const int lendable = resource.capacity - resource.reserved;
  const bool ample =
      2 * (DemandExcept(resource, borrower, now) + hosts) <= lendable;
  return wanted == 0 && ample && resource.standby ? 1 : wanted;
}

bool SlotLender::IsScarce(const std::string& resource, TimePoint now) const {
  const auto it = resources_.find(resource);
  if (it == resources_.end())
    return false;
  const Resource& entry = it->second;
  const int lendable = entry.capacity - entry.reserved;
  return DemandExcept(entry, HostId(), now) > lendable ||
         lendable <= static_cast<int>(entry.borrowers.size());
}

int SlotLender::Renew(const std::string& resource,
                      const HostId& borrower,
                      const SlotDemand& demand,
                      TimePoint now) {
  const auto it = resources_.find(resource);
  if (it == resources_.end() || now < it->second.blocked_until)
    return 0;
  Resource& entry = it->second;
  const int others = CountedSlotsExcept(entry, borrower, now);
  const int free = std::max(0, entry.capacity - entry.reserved - others);
  const int wanted = WantedWithStandby(entry, borrower, demand.wanted, now);
  const int slots =
      std::min({free, wanted, FairSlots(entry, borrower, wanted, now)});
  Borrower& record = entry.borrowers[borrower];
  record.slots = slots;
  record.demand = demand;
  record.expires = now + lease_;
  CheckInvariant(
      slots == 0 || others + std::max(slots, demand.in_use) <=
                        std::max(entry.capacity, others + demand.in_use),
      Invariant::kUpstreamCapacity, resource);
  return slots;
}

int SlotLender::Outstanding(const std::string& resource, TimePoint now) const {
  const auto it = resources_.find(resource);
  return it == resources_.end() ? 0
                                : CountedSlotsExcept(it->second, HostId(), now);
}

}  // namespace endivecart::membership
