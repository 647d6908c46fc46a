#include "endivecart/quarantine/reach_monitor.h"

#include <algorithm>

namespace endivecart::quarantine {

void ReachMonitor::OnData(const std::string& service, TimePoint now) {
  State& state = services_[service];
  state.used_at = now;
  state.data_at = now;
}

void ReachMonitor::OnConnected(const std::string& service, TimePoint at) {
  State& state = services_[service];
  state.used_at = std::max(state.used_at, at);
  state.connected_at = std::max(state.connected_at, at);
  if (state.failing_since && at > *state.failing_since)
    Clear(service, state, at);
}

void ReachMonitor::OnUnreachable(const std::string& service, TimePoint now) {
  State& state = services_[service];
  state.used_at = now;
  Suspect(state, now);
}

void ReachMonitor::OnWaiting(const std::string& service,
                             TimePoint since,
                             TimePoint now) {
  State& state = services_[service];
  state.used_at = now;
  if (now - std::max({since, state.data_at, state.connected_at}) >= kSilence)
    Suspect(state, now);
}

void ReachMonitor::Suspect(State& state, TimePoint now) {
  if (!state.failing_since)
    state.failing_since = now;
}

std::vector<std::string> ReachMonitor::ServicesToProbe(TimePoint now) const {
  std::vector<std::string> services;
  for (const auto& [service, state] : services_) {
    if (state.failing_since && state.probes_out == 0 &&
        now - state.probed_at >= kProbeInterval) {
      services.push_back(service);
    }
  }
  return services;
}

void ReachMonitor::BeginProbes(const std::string& service,
                               std::size_t probes,
                               TimePoint now) {
  State& state = services_[service];
  state.probed_at = now;
  state.probes_out = probes;
}

void ReachMonitor::OnProbe(const std::string& service,
                           bool connected,
                           TimePoint now) {
  const auto it = services_.find(service);
  if (it == services_.end())
    return;
  State& state = it->second;
  if (state.probes_out > 0)
    --state.probes_out;
  if (connected) {
    state.connected_at = now;
    Clear(service, state, now);
    return;
  }
  if (state.probes_out > 0 || !state.failing_since ||
      state.connected_at >= state.probed_at || state.is_cut_off) {
    return;
  }
  state.is_cut_off = true;
  LogLine("gateway.cut_off")
      .Add("service", service)
      .Add("failing_ms", MillisBetween(*state.failing_since, now))
      .Add("answered_before_ms", MillisBetween(state.data_at, now))
      .Warn();
}

void ReachMonitor::Clear(const std::string& service,
                         State& state,
                         TimePoint now) {
  if (state.is_cut_off && state.failing_since) {
    LogLine("gateway.reached")
        .Add("service", service)
        .Add("cut_off_ms", MillisBetween(*state.failing_since, now))
        .Warn();
  }
  state.failing_since.reset();
  state.is_cut_off = false;
}

std::optional<TimePoint> ReachMonitor::CutOffSince(
    const std::string& service) const {
  const auto it = services_.find(service);
  return it != services_.end() && it->second.is_cut_off
             ? it->second.failing_since
             : std::nullopt;
}

TimePoint ReachMonitor::LastData(const std::string& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? TimePoint{} : it->second.data_at;
}

bool ReachMonitor::IsCutOff() const {
  return std::any_of(services_.begin(), services_.end(),
                     [](const auto& entry) { return entry.second.is_cut_off; });
}

std::vector<ServiceReach> ReachMonitor::Report(TimePoint now) const {
  std::vector<ServiceReach> report;
  for (const auto& [service, state] : services_) {
    if (state.is_cut_off || now - state.data_at <= kMemory)
      report.push_back({service, state.is_cut_off, state.data_at});
  }
  return report;
}

void ReachMonitor::Expire(TimePoint now) {
  std::erase_if(services_, [now](const auto& entry) {
    return now - entry.second.used_at > kMemory &&
           entry.second.probes_out == 0 && !entry.second.is_cut_off;
  });
}

}  // namespace endivecart::quarantine
