#include "endivecart/fleet/load_table.h"

#include <algorithm>
#include <utility>

namespace endivecart::fleet {

namespace {

// Ages of upstreams that were never heard exceed the field.
std::uint32_t Clamped(std::int64_t value) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(value, 0, INT32_MAX));
}

}  // namespace

void LoadTable::Sum::Add(const wire::UpstreamLoad& load, int sign) {
  requests += sign * std::int64_t{load.requests()};
  prompt_tokens += sign * std::int64_t{load.prompt_tokens()};
  held_tokens += sign * std::int64_t{load.held_tokens()};
}

std::uint32_t LoadTable::NumberOf(const std::string& upstream) {
  const auto [it, is_new] =
      numbers_.emplace(upstream, static_cast<std::uint32_t>(names_.size()));
  if (is_new) {
    names_.push_back(upstream);
    sums_.emplace_back();
  }
  return it->second;
}

void LoadTable::Set(const HostId& host, std::vector<wire::UpstreamLoad> loads) {
  std::vector<wire::UpstreamLoad>& report = reports_[host];
  for (const wire::UpstreamLoad& load : report)
    sums_[NumberOf(load.upstream())].Add(load, -1);
  report = std::move(loads);
  for (const wire::UpstreamLoad& load : report)
    sums_[NumberOf(load.upstream())].Add(load, 1);
  if (report.empty())
    reports_.erase(host);
}

wire::UpstreamLoad LoadTable::TotalOf(const UpstreamId& upstream) const {
  wire::UpstreamLoad load;
  const auto it = numbers_.find(upstream.str());
  if (it == numbers_.end())
    return load;
  const Sum& sum = sums_[it->second];
  load.set_requests(Clamped(sum.requests));
  load.set_prompt_tokens(Clamped(sum.prompt_tokens));
  load.set_held_tokens(Clamped(sum.held_tokens));
  return load;
}

void LoadTable::UpdateSilent(const upstreams::UpstreamRegistry& registry,
                             TimePoint now) {
  if (silent_updated_at_ != TimePoint{} &&
      now - silent_updated_at_ < kSilentListInterval) {
    return;
  }
  silent_updated_at_ = now;
  for (const auto& [id, upstream] : registry.all())
    NumberOf(id.str());
  silent_.clear();
  for (std::uint32_t number = 0; number < names_.size(); ++number) {
    const auto* upstream = registry.Find(UpstreamId(names_[number]));
    if (upstream == nullptr) {
      silent_.emplace_back(number, TimePoint{});
    } else if (now - upstream->received_at > kSilentAfter) {
      silent_.emplace_back(number, upstream->received_at);
    }
  }
}

wire::FleetLoads LoadTable::Encode(const HostId& receiver,
                                   const KnownNames& known,
                                   const upstreams::UpstreamRegistry& registry,
                                   TimePoint now) {
  UpdateSilent(registry, now);
  wire::FleetLoads loads;
  loads.set_names_epoch(epoch_);
  const std::size_t first =
      known.epoch == epoch_ ? std::min(known.count, names_.size()) : 0;
  loads.set_first_name(static_cast<std::uint32_t>(first));
  for (std::size_t number = first; number < names_.size(); ++number)
    loads.add_names(names_[number]);
  std::map<std::uint32_t, Sum> own;
  if (const auto it = reports_.find(receiver); it != reports_.end()) {
    for (const wire::UpstreamLoad& load : it->second)
      own[NumberOf(load.upstream())].Add(load, 1);
  }
  for (std::uint32_t number = 0; number < sums_.size(); ++number) {
    Sum sum = sums_[number];
    if (const auto it = own.find(number); it != own.end()) {
      sum.requests -= it->second.requests;
      sum.prompt_tokens -= it->second.prompt_tokens;
      sum.held_tokens -= it->second.held_tokens;
    }
    if (sum == Sum{})
      continue;
    loads.add_upstreams(number);
    loads.add_requests(Clamped(sum.requests));
    loads.add_prompt_tokens(Clamped(sum.prompt_tokens));
    loads.add_held_tokens(Clamped(sum.held_tokens));
  }
  const auto list_age =
      std::chrono::duration_cast<Millis>(now - silent_updated_at_);
  loads.set_heard_within_ms(Clamped((kSilentAfter + list_age).count()));
  for (const auto& [number, heard_at] : silent_) {
    loads.add_silent(number);
    loads.add_silent_ms(
        Clamped(std::chrono::duration_cast<Millis>(now - heard_at).count()));
  }
  return loads;
}

void LoadTable::DropUnused(const upstreams::UpstreamRegistry& registry) {
  const auto unused = static_cast<std::size_t>(
      std::count_if(names_.begin(), names_.end(), [&](const auto& name) {
        return registry.Find(UpstreamId(name)) == nullptr;
      }));
  if (unused <= names_.size() - unused + kMaxUnusedNames)
    return;
  ++epoch_;
  names_.clear();
  numbers_.clear();
  sums_.clear();
  silent_.clear();
  silent_updated_at_ = TimePoint{};
  for (const auto& [host, report] : reports_) {
    for (const wire::UpstreamLoad& load : report)
      sums_[NumberOf(load.upstream())].Add(load, 1);
  }
}

void RemoteLoads::Clear() {
  epoch_ = 0;
  names_.clear();
}

void RemoteLoads::Apply(const wire::FleetLoads& loads,
                        TimePoint now,
                        const HeardCallback& on_heard) {
  if (loads.names_epoch() != epoch_) {
    epoch_ = loads.names_epoch();
    names_.clear();
  }
  // An answer to an older poll repeats names; one after a lost answer lacks
  // some, which the next poll asks for.
  for (int i = 0; i < loads.names_size(); ++i) {
    if (loads.first_name() + static_cast<std::size_t>(i) == names_.size())
      names_.emplace_back(loads.names(i));
  }
  loads_.clear();
  const int count =
      std::min({loads.upstreams_size(), loads.requests_size(),
                loads.prompt_tokens_size(), loads.held_tokens_size()});
  for (int i = 0; i < count; ++i) {
    if (loads.upstreams(i) >= names_.size())
      continue;
    wire::UpstreamLoad& load = loads_[names_[loads.upstreams(i)]];
    load.set_requests(loads.requests(i));
    load.set_prompt_tokens(loads.prompt_tokens(i));
    load.set_held_tokens(loads.held_tokens(i));
  }
  if (!on_heard || loads.heard_within_ms() == 0)
    return;
  std::vector<TimePoint> heard_at(names_.size(),
                                  now - Millis(loads.heard_within_ms()));
  for (int i = 0; i < std::min(loads.silent_size(), loads.silent_ms_size());
       ++i) {
    if (loads.silent(i) < names_.size())
      heard_at[loads.silent(i)] = now - Millis(loads.silent_ms(i));
  }
  for (std::size_t number = 0; number < names_.size(); ++number)
    on_heard(names_[number], heard_at[number]);
}

const wire::UpstreamLoad* RemoteLoads::Find(const UpstreamId& upstream) const {
  const auto it = loads_.find(upstream);
  return it == loads_.end() ? nullptr : &it->second;
}

}  // namespace endivecart::fleet
