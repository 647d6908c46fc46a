#include "endivecart/node/duty_inputs.h"

#include <algorithm>

namespace endivecart::node {

using upstreams::AnnouncedUpstream;
using upstreams::UpstreamState;

namespace {

bool IsHeard(const AnnouncedUpstream& upstream, TimePoint now) {
  return upstream.last.state != UpstreamState::kGone &&
         now - upstream.received_at <= DutyInputs::kSilentAfter;
}

}  // namespace

void DutyInputs::OnCallerPoll(const HostId& host,
                              const wire::FleetPoll& poll,
                              TimePoint now) {
  if (!poll.reach().domain().empty())
    domains_heard_at_[DomainId(poll.reach().domain())] = now;
  if (poll.waiting().empty()) {
    waiting_.erase(host);
  } else {
    waiting_[host] = {now, {poll.waiting().begin(), poll.waiting().end()}};
  }
}

bool DutyInputs::IsReporting(const DomainId& domain,
                             const upstreams::UpstreamRegistry& roster,
                             TimePoint now) const {
  const auto heard = domains_heard_at_.find(domain);
  if (heard != domains_heard_at_.end() && now - heard->second <= kSilentAfter)
    return true;
  return std::any_of(
      roster.all().begin(), roster.all().end(), [&](const auto& entry) {
        return entry.second.last.domain == domain && IsHeard(entry.second, now);
      });
}

duties::ScaledService DutyInputs::CollectService(
    const routes::Service& service,
    const fleet::Decisions& decisions,
    const upstreams::UpstreamRegistry& roster,
    const LoadOf& load_of,
    TimePoint now) const {
  duties::ScaledService scaled;
  scaled.service = service.id;
  scaled.scaling = *service.scaling;
  scaled.requests_per_server =
      service.engine ? service.engine->slots : service.max_connections;
  std::map<DomainId, duties::DomainServers> domains;
  std::map<DomainId, std::int64_t> held_tokens;
  for (const auto& [id, upstream] : roster.all()) {
    if (upstream.last.service != service.id)
      continue;
    duties::DomainServers& domain = domains[upstream.last.domain];
    if (!IsHeard(upstream, now))
      continue;
    (upstream.last.state == UpstreamState::kReady ? domain.ready
                                                  : domain.leaving) += 1;
    const wire::UpstreamLoad load = load_of(id);
    domain.requests += static_cast<int>(load.requests());
    domain.prompt_tokens += load.prompt_tokens();
    held_tokens[upstream.last.domain] += load.held_tokens();
  }
  for (auto& [id, domain] : domains) {
    domain.domain = id;
    domain.is_out = decisions.IsOut(id);
    domain.is_reporting = IsReporting(id, roster, now);
    if (service.engine && service.engine->cache_tokens > 0 &&
        domain.ready > 0) {
      domain.memory_share =
          static_cast<double>(held_tokens[id]) /
          (static_cast<double>(service.engine->cache_tokens) * domain.ready);
    }
    scaled.domains.push_back(domain);
  }
  for (const auto& [host, waiting] : waiting_) {
    if (now - waiting.reported_at > kSilentAfter)
      continue;
    for (const wire::WaitingRecord& record : waiting.records) {
      if (record.service() != service.id.str())
        continue;
      scaled.waiting_requests += static_cast<int>(record.requests());
      scaled.waiting_prompt_tokens +=
          static_cast<std::int64_t>(record.prompt_tokens());
    }
  }
  return scaled;
}

duties::ScaleInputs DutyInputs::Collect(
    const routes::RoutingConfiguration& routing,
    const fleet::Decisions& decisions,
    const upstreams::UpstreamRegistry& roster,
    const LoadOf& load_of,
    TimePoint now) const {
  duties::ScaleInputs inputs;
  for (const routes::Service& service : routing.services) {
    if (service.scaling) {
      inputs.services.push_back(
          CollectService(service, decisions, roster, load_of, now));
    }
  }
  return inputs;
}

}  // namespace endivecart::node
