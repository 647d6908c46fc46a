#include "endivecart/fleet/entry_limit.h"

namespace endivecart::fleet {

namespace {

template <class... Lists>
std::size_t TotalSize(const Lists&... lists) {
  return (static_cast<std::size_t>(lists.size()) + ...);
}

}  // namespace

std::size_t CountEntries(const wire::FleetPoll& poll) {
  return TotalSize(poll.loads(), poll.move_reports(), poll.limits(),
                   poll.failures(), poll.saves(), poll.waiting(),
                   poll.usage().records(), poll.quarantine().runs(),
                   poll.quarantine().sound(), poll.quarantine().quarantines(),
                   poll.reach().services(), poll.leaving());
}

std::size_t CountEntries(const wire::FleetUpdate& update) {
  const wire::FleetLoads& loads = update.fleet_loads();
  return TotalSize(update.announcements(), update.control_hosts(),
                   update.resting_upstreams(), update.limits(), update.relays(),
                   update.weights_ages(), update.heard().names(),
                   update.heard().gaps(), loads.names(), loads.upstreams(),
                   loads.gaps(), loads.silent(), loads.silent_gaps(),
                   update.cache().stores(), update.cache().added(),
                   update.cache().removed());
}

bool EntryLimit::Accepts(const HostId& from,
                         std::size_t entries,
                         TimePoint now) {
  if (entries <= max_entries_)
    return true;
  ++dropped_;
  if (logged_at_ == TimePoint{} || now - logged_at_ >= kLogInterval) {
    logged_at_ = now;
    LogLine("fleet.message_too_long")
        .Add("kind", kind_)
        .Add("host", from.str())
        .Add("entries", std::uint64_t{entries})
        .Add("dropped", dropped_)
        .Warn();
  }
  return false;
}

}  // namespace endivecart::fleet
