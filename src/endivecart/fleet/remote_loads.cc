#include "endivecart/fleet/remote_loads.h"

#include <algorithm>
#include <utility>

namespace endivecart::fleet {

namespace {

// Unit of FleetLoads.silent_ages.
constexpr Millis kSilentAgeUnit{100};

std::uint32_t NotNegative(std::int64_t value) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(value, 0, INT32_MAX));
}

wire::UpstreamLoad ToLoad(const LoadSum& sum) {
  wire::UpstreamLoad load;
  load.set_requests(NotNegative(sum.requests));
  load.set_prompt_tokens(NotNegative(sum.prompt_tokens));
  load.set_held_tokens(NotNegative(sum.held_tokens));
  return load;
}

// Calls `use(i, number)` for each entry of a list of distances whose number is
// below `end`.
template <class Gaps, class Use>
void ForEachNumber(const Gaps& gaps, int count, std::size_t end, Use use) {
  std::uint64_t number = 0;
  for (int i = 0; i < std::min(count, gaps.size()); ++i) {
    number += gaps[i];
    if (number >= end)
      return;
    use(i, static_cast<std::size_t>(number));
  }
}

}  // namespace

void RemoteLoads::Clear() {
  names_.Clear();
  numbers_.clear();
  entries_.clear();
  version_ = 0;
}

void RemoteLoads::NumberNames() {
  for (std::size_t number = numbers_.size(); number < names_.size(); ++number) {
    // A name that is repeated keeps its first number.
    numbers_.try_emplace(names_.at(number), static_cast<std::uint32_t>(number));
  }
  entries_.resize(names_.size());
}

bool RemoteLoads::Apply(const wire::FleetLoads& loads,
                        const std::vector<LocalLoad>& own,
                        TimePoint now,
                        const HeardCallback& on_heard) {
  if (names_.Update(loads)) {
    numbers_.clear();
    entries_.clear();
    version_ = 0;
  }
  NumberNames();
  if (loads.version() == 0) {
    ApplyAll(loads, now);
  } else if (loads.version() >= version_ && loads.base_version() <= version_) {
    ApplyChanges(loads, now);
    Subtract(own);
  } else {
    return true;  // an answer to an older poll, or after one that was lost
  }
  if (!on_heard || loads.heard_within_ms() == 0)
    return true;
  const TimePoint heard_at = now - Millis(loads.heard_within_ms());
  bool are_known = true;
  for (std::size_t number = 0; number < names_.size(); ++number) {
    if (names_.at(number).empty())
      continue;
    const auto& silent_since = entries_[number].silent_since;
    const bool is_known =
        on_heard(names_.at(number), silent_since.value_or(heard_at));
    are_known &= is_known || silent_since.has_value();
  }
  return are_known;
}

void RemoteLoads::ApplyAll(const wire::FleetLoads& loads, TimePoint now) {
  version_ = 0;
  loads_.clear();
  const int count =
      std::min({loads.upstreams_size(), loads.requests_size(),
                loads.prompt_tokens_size(), loads.held_tokens_size()});
  for (int i = 0; i < count; ++i) {
    if (loads.upstreams(i) >= names_.size())
      continue;
    loads_[names_.at(loads.upstreams(i))] = ToLoad(
        {loads.requests(i), loads.prompt_tokens(i), loads.held_tokens(i)});
  }
  entries_.assign(names_.size(), Entry());
  for (int i = 0; i < std::min(loads.silent_size(), loads.silent_ms_size());
       ++i) {
    if (loads.silent(i) < entries_.size()) {
      entries_[loads.silent(i)].silent_since = now - Millis(loads.silent_ms(i));
    }
  }
}

void RemoteLoads::ApplyChanges(const wire::FleetLoads& loads, TimePoint now) {
  if (loads.base_version() == 0)
    entries_.assign(names_.size(), Entry());
  version_ = loads.version();
  token_unit_ = std::max(loads.token_unit(), 1U);
  const int count = std::min({loads.requests_size(), loads.prompt_tokens_size(),
                              loads.held_tokens_size()});
  ForEachNumber(loads.gaps(), count, entries_.size(),
                [&](int i, std::size_t number) {
                  entries_[number].sum = {
                      loads.requests(i),
                      std::int64_t{loads.prompt_tokens(i)} * token_unit_,
                      std::int64_t{loads.held_tokens(i)} * token_unit_};
                });
  ForEachNumber(loads.silent_gaps(), loads.silent_ages_size(), entries_.size(),
                [&](int i, std::size_t number) {
                  const std::uint32_t age = loads.silent_ages(i);
                  auto& since = entries_[number].silent_since;
                  since.reset();
                  if (age > 0)
                    since = now - kSilentAgeUnit * (age - 1);
                });
}

void RemoteLoads::Subtract(const std::vector<LocalLoad>& own) {
  loads_.clear();
  std::map<std::uint32_t, LoadSum> own_sums;
  for (const LocalLoad& load : own) {
    if (const auto it = numbers_.find(load.upstream); it != numbers_.end()) {
      own_sums[it->second].Add(
          {load.requests, load.prompt_tokens, load.held_tokens}, 1);
    }
  }
  for (std::size_t number = 0; number < entries_.size(); ++number) {
    LoadSum sum = entries_[number].sum;
    if (sum == LoadSum{})
      continue;
    const auto it = own_sums.find(static_cast<std::uint32_t>(number));
    if (it != own_sums.end()) {
      // Rounded as the sum is, so that no rest remains of own work alone.
      const LoadSum rounded = it->second.InUnitsOf(token_unit_);
      sum.Add({rounded.requests, rounded.prompt_tokens * token_unit_,
               rounded.held_tokens * token_unit_},
              -1);
    }
    const wire::UpstreamLoad load = ToLoad(sum);
    if (load.requests() > 0)
      loads_.emplace(names_.at(number), load);
  }
}

std::optional<std::uint32_t> RemoteLoads::NumberOf(
    const UpstreamId& upstream) const {
  const auto it = numbers_.find(upstream);
  if (version_ == 0 || it == numbers_.end())
    return std::nullopt;
  return it->second;
}

const wire::UpstreamLoad* RemoteLoads::Find(const UpstreamId& upstream) const {
  const auto it = loads_.find(upstream);
  return it == loads_.end() ? nullptr : &it->second;
}

}  // namespace endivecart::fleet
