// The predicted time to the first event of a prompt's answer: where the prompt
// is placed, what is fetched, and what is learned from the answer.

#include <algorithm>
#include <utility>

#include "endivecart/gateway/forwarding.h"

namespace endivecart::gateway {

using estimates::CacheHits;
using estimates::CacheOdds;
using scheduling::FetchablePart;
using scheduling::FetchSource;

namespace {

// Between failure domains, transfers take this much longer.
constexpr double kFarFactor = 2;
constexpr double kBytesPerMsPerMbps = 125;
// Time in which an engine finds that another one lacks a part.
constexpr double kHomeDelayMs = 1;
// A home that is less likely to have a part is not asked for it: one that has
// just failed costs some hundred ms.
constexpr double kMinHomeRate = 0.2;

const routes::CacheStore* FindStore(
    const routes::RoutingConfiguration& configuration,
    const settings::Endpoint& address) {
  for (const routes::Service& service : configuration.services) {
    if (service.store && service.store->address == address)
      return &*service.store;
  }
  return nullptr;
}

// `source_mbps`: of the link of a store or engine. Returns 0 if no rate is
// known.
double TransferMsPerToken(const routes::EngineLimits& engine,
                          double source_mbps) {
  const double mbps = engine.link_mbps > 0 && source_mbps > 0
                          ? std::min(engine.link_mbps, source_mbps)
                          : std::max(engine.link_mbps, source_mbps);
  return mbps <= 0 ? 0
                   : static_cast<double>(engine.bytes_per_token) /
                         (mbps * kBytesPerMsPerMbps);
}

}  // namespace

std::optional<Millis> Forwarding::TimeToTarget() const {
  if (route_.latency_target <= Millis(0))
    return std::nullopt;
  return route_.latency_target - Age();
}

std::string Forwarding::SharedCacheKey() const {
  return request_.prompt->model.str() + "/" + IsolatedCustomer().str() + "/" +
         scheduling::SharedKeyOf(*request_.prompt);
}

Forwarding::PartHolders Forwarding::HoldersFor(
    const UpstreamId& upstream) const {
  const auto* found = gateway_.upstreams_.Find(upstream);
  const std::uint64_t version =
      found ? gateway_.upstreams_.WeightsOf(*found, request_.prompt->model) : 0;
  if (version == 0)
    return {};
  return gateway_.cache_.Holders(
      *request_.prompt,
      fleet::CacheLabel(request_.prompt->model, version, IsolatedCustomer()),
      [this](const DomainId& domain) { return IsAllowedIn(domain); },
      gateway_.loop_.Now());
}

std::vector<FetchablePart> Forwarding::FetchableParts(
    const Candidate& candidate,
    const Candidate& home,
    const PartHolders& holders) const {
  const routes::RoutingConfiguration& configuration = routes_->configuration();
  const routes::Service* service = configuration.FindService(service_);
  if (service == nullptr || !service->engine)
    return {};
  const double scale = gateway_.speeds_.TransferScale(service_);
  const auto factor_to = [&](const DomainId& domain) {
    return scale * (domain == candidate.domain ? 1 : kFarFactor);
  };
  const auto count = std::count_if(
      configuration.services.begin(), configuration.services.end(),
      [](const routes::Service& s) { return s.store.has_value(); });
  const estimates::LinkSharing stores{gateway_.Rank().hosts,
                                      static_cast<int>(count)};
  const double home_rate =
      gateway_.cache_hits_.Rate(service_, CacheOdds::kHome);
  std::vector<std::string> links;
  const auto source_at = [&](const std::string& link,
                             const estimates::LinkSharing& sharing) {
    FetchSource source;
    const auto known = std::find(links.begin(), links.end(), link);
    source.link = static_cast<std::size_t>(known - links.begin());
    if (known == links.end())
      links.push_back(link);
    source.wait_ms =
        gateway_.links_.WaitMs(link, sharing, gateway_.loop_.Now());
    return source;
  };
  std::vector<FetchablePart> parts;
  const Prompt& prompt = *request_.prompt;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    FetchablePart part;
    part.tokens = prompt.parts[i].tokens;
    if (i < holders.size()) {
      for (const CacheHolder& holder : holders[i]) {
        FetchSource source = source_at(holder.address.ToString(), stores);
        const auto* store = FindStore(configuration, holder.address);
        if (store != nullptr) {
          const double factor = factor_to(holder.domain);
          source.delay_ms =
              factor * static_cast<double>(store->transfer_delay.count());
          source.ms_per_token =
              factor * TransferMsPerToken(*service->engine, store->link_mbps);
        }
        part.sources.push_back(source);
      }
    }
    if (part.sources.empty() && home.id != candidate.id &&
        home_rate >= kMinHomeRate) {
      FetchSource source = source_at(home.id.str(), {});
      source.delay_ms = kHomeDelayMs;
      source.ms_per_token =
          factor_to(home.domain) *
          TransferMsPerToken(*service->engine, service->engine->link_mbps);
      part.sources.push_back(source);
    }
    parts.push_back(std::move(part));
  }
  return parts;
}

void Forwarding::SetFetchAddresses(SendForecast& forecast,
                                   const Candidate& home,
                                   const PartHolders& holders) const {
  const auto* engine = gateway_.upstreams_.Find(home.id);
  const auto& sources = forecast.fetch.sources;
  forecast.fetch_from.resize(request_.prompt->parts.size());
  for (std::size_t i = 0; i < sources.size(); ++i) {
    if (!sources[i])
      continue;
    if (i < holders.size() && !holders[i].empty()) {
      forecast.fetch_from[i] = holders[i][*sources[i]].address;
    } else if (engine != nullptr) {
      forecast.fetch_from[i] = engine->last.address;
    }
  }
}

Forwarding::SendForecast Forwarding::ForecastAt(
    const Candidate& candidate,
    CacheOdds odds,
    const Candidate& home,
    const PartHolders& holders) const {
  const estimates::SpeedEstimator& speeds = gateway_.speeds_;
  const TimePoint now = gateway_.loop_.Now();
  const std::int64_t shared = scheduling::SharedTokensOf(*request_.prompt);
  const double rate = gateway_.cache_hits_.Rate(service_, odds);
  SendForecast forecast;
  forecast.odds = odds;
  estimates::PromptWork work;
  work.queued_tokens = candidate.prompt_tokens;
  work.requests = candidate.requests;
  work.is_near = candidate.is_near;
  work.prefill_tokens = std::max<std::int64_t>(PromptTokens() - shared, 0);
  forecast.if_cached = work;
  const auto cached = speeds.Predict(service_, candidate.id, work, now);
  scheduling::FetchTarget target;
  target.link_wait_ms = gateway_.links_.WaitMs(candidate.id.str(), {}, now);
  target.queue_ms = cached.queue_ms;
  target.other_requests = candidate.requests;
  target.ms_per_token =
      speeds.PrefillMsPerToken(service_) * speeds.SlownessOf(candidate.id, now);
  forecast.fetch = scheduling::ChooseFetches(
      FetchableParts(candidate, home, holders), target);
  work.prefill_tokens += forecast.fetch.prefill_tokens;
  // The home may have evicted parts from its memory; these are prefilled.
  const double evicted =
      1 - gateway_.cache_hits_.Rate(service_, CacheOdds::kHome);
  for (std::size_t i = 0; i < forecast.fetch.sources.size(); ++i) {
    const bool is_stored = i < holders.size() && !holders[i].empty();
    if (forecast.fetch.sources[i] && !is_stored) {
      work.prefill_tokens += static_cast<std::int64_t>(
          evicted * static_cast<double>(request_.prompt->parts[i].tokens));
    }
  }
  work.transfer_ms =
      std::max(0.0, forecast.fetch.transfer_ms - cached.queue_ms) /
      speeds.TransferScale(service_);
  forecast.if_not_cached = work;
  const auto not_cached = speeds.Predict(service_, candidate.id, work, now);
  auto& expected = forecast.prospect.first_event;
  expected = cached;
  expected.prefill_ms +=
      (1 - rate) * (not_cached.prefill_ms - cached.prefill_ms);
  expected.transfer_ms = (1 - rate) * not_cached.transfer_ms;
  forecast.prospect.gap_ms =
      speeds.ExpectedGapMs(service_, candidate.id, candidate.requests + 1, now);
  return forecast;
}

std::optional<scheduling::PlacementChoice> Forwarding::PlaceThisPrompt(
    const std::vector<Candidate>& candidates) {
  const TimePoint now = gateway_.loop_.Now();
  // Nearly always, all engines have the same version of the weights.
  std::uint64_t holders_version = 0;
  PartHolders holders;
  const auto holders_for = [&](const Candidate& candidate) -> PartHolders& {
    const auto* upstream = gateway_.upstreams_.Find(candidate.id);
    const std::uint64_t version =
        upstream == nullptr
            ? 0
            : gateway_.upstreams_.WeightsOf(*upstream, request_.prompt->model);
    if (version != std::exchange(holders_version, version))
      holders = HoldersFor(candidate.id);
    return holders;
  };
  std::map<UpstreamId, SendForecast> forecasts;
  scheduling::PlacementTask task;
  task.prompt = &*request_.prompt;
  task.cache_label = IsolatedCustomer().str();
  task.sent_before = gateway_.cache_hits_.SentTo(SharedCacheKey(), now);
  if (const auto left = TimeToTarget())
    task.time_left_ms = static_cast<double>(left->count());
  task.gap_target_ms = static_cast<double>(route_.gap_target.count());
  task.random = gateway_.random_();
  task.predict = [&](const Candidate& candidate, CacheOdds odds,
                     const Candidate& home) {
    auto& forecast = forecasts[candidate.id];
    forecast = ForecastAt(candidate, odds, home, holders_for(candidate));
    return forecast.prospect;
  };
  const auto choice = scheduling::PlacePrompt(candidates, task);
  forecast_.reset();
  if (choice) {
    forecast_ = std::move(forecasts[candidates[choice->index].id]);
    const Candidate& chosen = candidates[choice->index];
    SetFetchAddresses(*forecast_,
                      choice->home ? candidates[*choice->home] : chosen,
                      holders_for(chosen));
    predicted_ = choice->prediction;
  } else if (!predicted_ && !candidates.empty()) {
    const Candidate& any = candidates[task.random % candidates.size()];
    predicted_ = ForecastAt(any, CacheOdds::kOther, any, holders_for(any))
                     .prospect.first_event;
  }
  return choice;
}

Millis Forwarding::FetchTimeout() const {
  if (!forecast_)
    return fleet::CacheCatalog::kFetchLimit;
  const auto& prediction = forecast_->prospect.first_event;
  const double prefill_ms =
      static_cast<double>(forecast_->fetch.fetched_tokens +
                          forecast_->if_not_cached.prefill_tokens) *
      gateway_.speeds_.PrefillMsPerToken(service_);
  return scheduling::FetchTimeLimit(forecast_->fetch.transfer_ms, prefill_ms,
                                    prediction.error_ms, TimeToTarget(),
                                    fleet::CacheCatalog::kFetchLimit);
}

void Forwarding::RecordSentPrompt() {
  if (!forecast_)
    return;
  const TimePoint now = gateway_.loop_.Now();
  gateway_.cache_hits_.RecordSent(SharedCacheKey(), upstream_, now);
  if (!forecast_->fetch.HasFetches())
    return;
  for (const auto& transfer : forecast_->fetch.transfers) {
    const auto& store = forecast_->fetch_from[transfer.part];
    if (!store)
      continue;
    gateway_.links_.AddTransfer(store->ToString(), transfer.ms, now);
    gateway_.links_.AddTransfer(upstream_.str(), transfer.ms, now);
    gateway_.links_.AddSharedUse(transfer.ms, now);
  }
}

void Forwarding::RecordFirstEvent() {
  // A resumed stream needs no prefill of the prompt as it was sent.
  if (relay_ || !forecast_ || last_event_id_ || !request_.last_event_id.empty())
    return;
  const TimePoint now = gateway_.loop_.Now();
  const double observed_ms = MillisBetween(sent_at_, now);
  estimates::SpeedEstimator& speeds = gateway_.speeds_;
  const double hit_ms =
      speeds.Predict(service_, upstream_, forecast_->if_cached, now).total_ms();
  const auto miss =
      speeds.Predict(service_, upstream_, forecast_->if_not_cached, now);
  gateway_.metrics_.Observe(
      "endivecart_first_event_error_ms", "service=\"" + service_.str() + "\"",
      std::abs(observed_ms - forecast_->prospect.first_event.total_ms()));
  gateway_.cache_hits_.Add(service_, forecast_->odds, observed_ms, hit_ms,
                           miss.total_ms());
  const bool is_hit = forecast_->odds != CacheOdds::kOther &&
                      CacheHits::IsHit(observed_ms, hit_ms, miss.total_ms());
  speeds.AddFirstEvent(service_, upstream_,
                       is_hit ? forecast_->if_cached : forecast_->if_not_cached,
                       observed_ms, now);
  if (is_hit || !forecast_->fetch.HasFetches())
    return;
  // What the first event took beyond its other components is the transfer.
  const double transfer_ms =
      observed_ms - (miss.total_ms() - miss.transfer_ms - miss.queue_ms);
  double own_ms = 0;
  for (const auto& transfer : forecast_->fetch.transfers)
    own_ms += transfer.ms;
  for (const auto& transfer : forecast_->fetch.transfers) {
    if (const auto& store = forecast_->fetch_from[transfer.part]) {
      gateway_.links_.AddObservedWait(store->ToString(), transfer_ms - own_ms,
                                      now);
    }
  }
}

void Forwarding::RecordGap(double gap_ms) {
  if (relay_ || !request_.prompt)
    return;
  const TimePoint now = gateway_.loop_.Now();
  const int requests =
      gateway_.upstreams_.RequestsAt(upstream_, gateway_.follower_);
  gateway_.speeds_.AddGap(service_, upstream_, requests, gap_ms, now);
  gateway_.concurrency_limits_.Add(upstream_, requests, gap_ms, now);
}

void Forwarding::RecordAnswerTime(SendResult result) {
  if (result != SendResult::kAnswered || request_.prompt || IsStream())
    return;
  const TimePoint now = gateway_.loop_.Now();
  gateway_.concurrency_limits_.Add(upstream_, requests_there_ + 1,
                                   MillisBetween(sent_at_, now), now);
}

void Forwarding::AddForecast(LogLine& line) const {
  if (!forecast_)
    return;
  const auto& prediction = forecast_->prospect.first_event;
  line.Add("queue_ms", prediction.queue_ms)
      .Add("steps_ms", prediction.steps_ms)
      .Add("prefill_ms", prediction.prefill_ms)
      .Add("transfer_ms", prediction.transfer_ms)
      .Add("network_ms", prediction.network_ms)
      .Add("error_ms", prediction.error_ms);
}

}  // namespace endivecart::gateway
