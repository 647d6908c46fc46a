#include "endivecart/membership/share_book.h"

#include <algorithm>

namespace endivecart::membership {

namespace {

constexpr Millis kReportLag{1500};

}  // namespace

ShareBook::ShareBook(Millis lease, Millis hold) : lease_(lease), hold_(hold) {}

void ShareBook::SetCapacity(const std::string& resource,
                            int slots,
                            int reserved,
                            bool standby) {
  Resource& entry = resources_[resource];
  entry.capacity = slots;
  entry.standby = standby;
  entry.reserved = std::min(reserved, slots);
}

void ShareBook::BlockUntil(const std::string& resource, TimePoint time) {
  Resource& entry = resources_[resource];
  entry.blocked_until = std::max(entry.blocked_until, time);
}

void ShareBook::Remove(const std::string& resource) {
  resources_.erase(resource);
}

void ShareBook::SetRunning(const std::string& resource,
                           int running,
                           TimePoint now) {
  Resource& entry = resources_[resource];
  entry.running = running;
  entry.running_at = now;
}

int ShareBook::Counted(const Resource& resource,
                       const Borrower& borrower,
                       TimePoint now) const {
  const int slots = std::max(borrower.slots, borrower.wish.in_use);
  if (now < borrower.expires)
    return slots;
  // After the lease nothing new starts, but slots that were filled before its
  // end may still be at work, until a report taken later shows otherwise.
  if (resource.running_at >= borrower.expires + kReportLag)
    return std::min(slots, resource.running);
  return now < borrower.expires + hold_ ? slots : 0;
}

int ShareBook::CountedWithout(const Resource& resource,
                              const HostId& without,
                              TimePoint now) const {
  int total = 0;
  for (const auto& [host, borrower] : resource.borrowers) {
    if (host != without)
      total += Counted(resource, borrower, now);
  }
  return total;
}

int ShareBook::DemandWithout(const Resource& resource,
                             const HostId& without,
                             TimePoint now) const {
  int demand = 0;
  for (const auto& [host, borrower] : resource.borrowers) {
    if (host != without && now < borrower.expires)
      demand += borrower.wish.wanted;
  }
  return demand;
}

int ShareBook::FairSlots(const Resource& resource,
                         const HostId& asker,
                         int wanted,
                         TimePoint now) const {
  const int demand = wanted + DemandWithout(resource, asker, now);
  const int lendable = resource.capacity - resource.reserved;
  if (demand <= lendable)
    return wanted;
  // Rounded up: a single slot must reach somebody.
  return (lendable * wanted + demand - 1) / std::max(demand, 1);
}

int ShareBook::WithStandby(const Resource& resource,
                           const HostId& asker,
                           int wanted,
                           TimePoint now) const {
  // While few slots are wanted, an idle host keeps one, so that its next
  // request need not wait for a grant.
  const int hosts = static_cast<int>(resource.borrowers.size()) + 1;
  const int lendable = resource.capacity - resource.reserved;
  const bool ample =
      2 * (DemandWithout(resource, asker, now) + hosts) <= lendable;
  return wanted == 0 && ample && resource.standby ? 1 : wanted;
}

bool ShareBook::IsScarce(const std::string& resource, TimePoint now) const {
  const auto it = resources_.find(resource);
  if (it == resources_.end())
    return false;
  const Resource& entry = it->second;
  const int lendable = entry.capacity - entry.reserved;
  return DemandWithout(entry, HostId(), now) > lendable ||
         lendable <= static_cast<int>(entry.borrowers.size());
}

int ShareBook::Ask(const std::string& resource,
                   const HostId& borrower,
                   const ShareWish& wish,
                   TimePoint now) {
  const auto it = resources_.find(resource);
  if (it == resources_.end() || now < it->second.blocked_until)
    return 0;
  Resource& entry = it->second;
  const int others = CountedWithout(entry, borrower, now);
  const int free = std::max(0, entry.capacity - entry.reserved - others);
  const int wanted = WithStandby(entry, borrower, wish.wanted, now);
  const int slots =
      std::min({free, wanted, FairSlots(entry, borrower, wanted, now)});
  Borrower& record = entry.borrowers[borrower];
  record.slots = slots;
  record.wish = wish;
  record.expires = now + lease_;
  CheckInvariant(
      slots == 0 || others + std::max(slots, wish.in_use) <=
                        std::max(entry.capacity, others + wish.in_use),
      Invariant::kUpstreamCapacity, resource);
  return slots;
}

int ShareBook::Outstanding(const std::string& resource, TimePoint now) const {
  const auto it = resources_.find(resource);
  return it == resources_.end() ? 0 : CountedWithout(it->second, HostId(), now);
}

}  // namespace endivecart::membership
