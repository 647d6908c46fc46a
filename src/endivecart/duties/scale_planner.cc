#include "endivecart/duties/scale_planner.h"

#include <algorithm>
#include <cmath>

namespace endivecart::duties {

namespace {

// A shorter series of samples has no trend.
constexpr Millis kMinTrendTime{1000};
// The demand is averaged over this time.
constexpr Millis kAveragingTime{1000};
// A step in the demand looks like a steep trend.
constexpr double kMaxGrowth = 2;
constexpr double kRounding = 1e-9;
constexpr double kMillisPerSecond = 1000;

bool IsUsable(const DomainServers& domain) {
  return !domain.is_out && domain.is_reporting && domain.ready > 0;
}

int CeilOf(double servers) {
  return static_cast<int>(std::ceil(servers - kRounding));
}

std::string Rounded(double value) {
  const auto tenths = static_cast<std::int64_t>(std::lround(value * 10));
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10);
}

}  // namespace

double DemandOf(const ScaledService& service) {
  double requests = 0;
  double prompt_tokens = 0;
  double memory = 0;
  for (const DomainServers& domain : service.domains) {
    requests += domain.requests;
    prompt_tokens += static_cast<double>(domain.prompt_tokens);
    memory += domain.memory_share * domain.ready;
  }
  const double all_requests = requests + service.waiting_requests;
  // Waiting requests will need as much memory as the running ones.
  if (requests > 0)
    memory *= all_requests / requests;
  double demand = memory;
  if (service.requests_per_server > 0)
    demand = std::max(demand, all_requests / service.requests_per_server);
  if (service.prompt_tokens_per_server > 0) {
    prompt_tokens += static_cast<double>(service.waiting_prompt_tokens);
    demand = std::max(
        demand,
        prompt_tokens / static_cast<double>(service.prompt_tokens_per_server));
  }
  return demand;
}

double ScalePlanner::RecentDemand(const std::deque<Sample>& demand) {
  double sum = 0;
  int samples = 0;
  for (const Sample& sample : demand) {
    if (demand.back().at - sample.at < kAveragingTime) {
      sum += sample.demand;
      ++samples;
    }
  }
  return sum / samples;
}

// By least squares; 0 if the demand falls.
double ScalePlanner::GrowthPerSecond(const std::deque<Sample>& demand) {
  const TimePoint last = demand.back().at;
  if (last - demand.front().at < kMinTrendTime)
    return 0;
  const auto count = static_cast<double>(demand.size());
  double times = 0;
  double demands = 0;
  double squares = 0;
  double products = 0;
  for (const Sample& sample : demand) {
    const double at = -MillisBetween(sample.at, last) / kMillisPerSecond;
    times += at;
    demands += sample.demand;
    squares += at * at;
    products += at * sample.demand;
  }
  return std::max(0.0, (count * products - times * demands) /
                           (count * squares - times * times));
}

ScalePlanner::Forecast ScalePlanner::Predict(const ScaledService& service,
                                             const std::deque<Sample>& demand) {
  Forecast forecast;
  forecast.demand = RecentDemand(demand);
  const double boot_s =
      static_cast<double>(service.scaling.boot_time.count()) / kMillisPerSecond;
  forecast.expected =
      std::min(forecast.demand + GrowthPerSecond(demand) * boot_s,
               forecast.demand * kMaxGrowth);
  const auto all = static_cast<int>(service.domains.size());
  auto usable = static_cast<int>(
      std::count_if(service.domains.begin(), service.domains.end(), IsUsable));
  if (usable == 0)
    usable = all;
  forecast.needed = CeilOf(forecast.expected / (kTargetUse * usable));
  forecast.reason = "demand " + Rounded(forecast.demand) + ", expected " +
                    Rounded(forecast.expected) + ", domains " +
                    std::to_string(usable) + " of " + std::to_string(all);
  // A domain that is lost already is the one loss.
  if (usable == all && all > 1) {
    const int without_one =
        CeilOf(forecast.expected / (kTargetUseAfterLoss * (usable - 1)));
    if (without_one > forecast.needed) {
      forecast.needed = without_one;
      forecast.reason += ", for the loss of a domain";
    }
  }
  return forecast;
}

void ScalePlanner::UpdateTarget(Domain& state,
                                const routes::Scaling& scaling,
                                int needed,
                                TimePoint now) {
  const Millis lower_time = kScaleDownBootTimes * scaling.boot_time;
  // What was needed while the domain was lost is unknown.
  if (!state.needs.empty() && now - state.needs.back().at > kMaxSampleGap) {
    state.needs.clear();
    state.started_at = now;
  }
  while (!state.needs.empty() && state.needs.back().servers <= needed)
    state.needs.pop_back();
  state.needs.push_back({now, needed});
  while (now - state.needs.front().at > lower_time)
    state.needs.pop_front();
  const int before = state.servers;
  if (needed > state.servers) {
    state.servers = needed;
  } else if (state.needs.front().servers < state.servers &&
             now - state.started_at >= lower_time &&
             now - state.changed_at >= scaling.boot_time) {
    --state.servers;
  }
  state.servers =
      std::clamp(state.servers, scaling.min_servers, scaling.max_servers);
  if (state.servers != before)
    state.changed_at = now;
}

ScaleTarget ScalePlanner::UpdateDomain(Service& state,
                                       const ScaledService& service,
                                       const DomainServers& domain,
                                       const Forecast& forecast,
                                       TimePoint now) {
  const int present = domain.ready + domain.booting;
  const auto [it, is_new] = state.domains.try_emplace(domain.domain);
  Domain& target = it->second;
  if (is_new)
    target = {present, now, now, {}};
  const int before = target.servers;
  UpdateTarget(target, service.scaling, forecast.needed, now);
  const std::string reason =
      forecast.reason + ", needed " + std::to_string(forecast.needed) +
      ", present " + std::to_string(present) + ", missing " +
      std::to_string(std::max(target.servers - present, 0));
  if (is_new || target.servers != before) {
    LogLine("duties.scale")
        .Add("service", service.service.str())
        .Add("domain", domain.domain.str())
        .Add("servers", target.servers)
        .Add("reason", reason)
        .Info();
  }
  return {service.service, domain.domain, target.servers, reason};
}

std::vector<ScaleTarget> ScalePlanner::Plan(const ScaleInputs& inputs,
                                            TimePoint now) {
  std::vector<ScaleTarget> targets;
  std::map<routes::ServiceId, Service> kept;
  for (const ScaledService& service : inputs.services) {
    const auto it = services_.find(service.service);
    const bool is_continued =
        it != services_.end() &&
        now - it->second.demand.back().at <= kMaxSampleGap;
    Service& state = kept[service.service];
    if (is_continued) {
      state = std::move(it->second);
    } else {
      state.started_at = now;
    }
    state.demand.push_back({now, DemandOf(service)});
    while (now - state.demand.front().at > kTrendTime)
      state.demand.pop_front();
    if (now - state.started_at < service.scaling.boot_time)
      continue;
    const Forecast forecast = Predict(service, state.demand);
    for (const DomainServers& domain : service.domains) {
      if (!domain.is_out && domain.is_reporting) {
        targets.push_back(UpdateDomain(state, service, domain, forecast, now));
      }
    }
  }
  services_ = std::move(kept);
  return targets;
}

}  // namespace endivecart::duties
