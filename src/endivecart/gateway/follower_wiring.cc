#include "endivecart/gateway/follower_wiring.h"

#include "endivecart/gateway/gateway.h"

namespace endivecart::gateway {

void SetGatewayHooks(Gateway& gateway, fleet::FleetFollower::Hooks& hooks) {
  hooks.now = [&gateway] { return gateway.Now(); };
  hooks.on_announcement = [&gateway](
                              const upstreams::Announcement& announcement,
                              TimePoint received_at) {
    gateway.upstreams().Apply(announcement, received_at);
  };
  hooks.on_heard = [&gateway](const UpstreamId& id, TimePoint heard_at) {
    return gateway.upstreams().Refresh(id, heard_at);
  };
  hooks.on_weights_ages = [&gateway](const wire::FleetUpdate& update) {
    gateway.weights_ages().Merge(update, gateway.Now());
  };
  hooks.local_loads = [&gateway] { return gateway.upstreams().LocalLoads(); };
  hooks.on_loads = [&gateway] { gateway.AdmitSoon(); };
  hooks.move_reports = [&gateway] { return gateway.moves().Reports(); };
  hooks.quarantine_findings = [&gateway] {
    return gateway.part_monitor().Findings(gateway.Now());
  };
  hooks.on_quarantine = [&gateway](const quarantine::Ruling& ruling) {
    gateway.part_monitor().Apply(ruling, gateway.Now());
  };
  hooks.limit_findings = [&gateway] {
    return gateway.limits().Findings(gateway.Now());
  };
  hooks.on_limits = [&gateway](const std::vector<limits::NamedLimit>& limits) {
    gateway.limits().Apply(limits);
  };
  hooks.leaving_upstreams = [&gateway] {
    return gateway.upstreams().LeavingUpstreams();
  };
  hooks.failures = [&gateway] {
    return gateway.upstreams().failures().Report(gateway.Now());
  };
  hooks.on_failures = [&gateway](const quarantine::FailureRuling& ruling) {
    gateway.upstreams().failures().Apply(ruling, gateway.Now());
  };
  hooks.reach_report = [&gateway] { return gateway.ReachReport(); };
  hooks.on_relays =
      [&gateway](const std::vector<quarantine::RelayHost>& relays) {
        gateway.relays().Apply(relays, gateway.Now());
      };
  hooks.on_cache = [&gateway](const wire::CacheUpdate& update,
                              TimePoint asked_at) {
    gateway.cache().Apply(update, asked_at, gateway.Now());
  };
  hooks.outstanding_saves = [&gateway] {
    return gateway.save_claims().Outstanding();
  };
  hooks.on_true_time = [&gateway](std::optional<std::uint64_t> true_unix_ms,
                                  TimePoint asked_at) {
    gateway.usage().OnTime(true_unix_ms, asked_at, gateway.Now());
  };
  hooks.usage_since = [&gateway](std::uint64_t change) {
    return gateway.UsageSince(change);
  };
  hooks.waiting = [&gateway] { return gateway.WaitingForScaled(); };
  hooks.cache_position = [&gateway] { return gateway.cache().position(); };
}

}  // namespace endivecart::gateway
