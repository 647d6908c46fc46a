#include "endivecart/fleet/load_table.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace endivecart::fleet {

namespace {

// Unit of FleetLoads.silent_ages.
constexpr std::chrono::duration<std::uint32_t, std::milli> kSilentAgeUnit{100};

// Ages of upstreams that were never heard exceed the field.
std::uint32_t Clamped(std::int64_t value) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(value, 0, INT32_MAX));
}

std::uint32_t AgeMillis(TimePoint since, TimePoint now) {
  return Clamped(std::chrono::duration_cast<Millis>(now - since).count());
}

// See FleetLoads.silent_ages. Rounded up.
std::uint32_t SilentAge(TimePoint since, TimePoint now) {
  return AgeMillis(since, now) / kSilentAgeUnit.count() + 2;
}

}  // namespace

std::uint32_t LoadTable::NumberOf(const std::string& upstream) {
  const std::uint32_t number = names_.NumberOf(upstream);
  if (number >= entries_.size())
    entries_.resize(number + 1);
  return number;
}

std::optional<std::vector<LoadTable::Report>> LoadTable::Resolve(
    const std::vector<wire::UpstreamLoad>& loads,
    std::uint64_t names_epoch) {
  std::vector<Report> reports;
  reports.reserve(loads.size());
  for (const wire::UpstreamLoad& load : loads) {
    if (load.number() == 0) {
      if (!AcceptName(InputSource::kPeer, "upstream", load.upstream()))
        continue;
      reports.push_back({NumberOf(load.upstream()), LoadSum::From(load)});
      continue;
    }
    if (names_epoch != names_.epoch() || load.number() > names_.size())
      return std::nullopt;
    reports.push_back(
        {NumberOf(names_.at(load.number() - 1)), LoadSum::From(load)});
  }
  return reports;
}

void LoadTable::Set(const HostId& host,
                    const std::vector<wire::UpstreamLoad>& loads,
                    std::uint64_t names_epoch) {
  auto resolved = Resolve(loads, names_epoch);
  if (!resolved)
    return;
  std::vector<Report>& report = reports_[host];
  for (const Report& old : report)
    Add(old, -1);
  const auto previous = std::exchange(report, std::move(*resolved));
  for (const Report& current : report)
    Add(current, 1);
  // Only now, so that work that goes on is no change.
  for (const Report& old : previous)
    UpdateVersion(entries_[old.number]);
  for (const Report& current : report)
    UpdateVersion(entries_[current.number]);
  if (report.empty())
    reports_.erase(host);
}

void LoadTable::Add(const Report& report, int sign) {
  entries_[report.number].sum.Add(report.load, sign);
}

void LoadTable::UpdateVersion(Entry& entry) {
  if (IsSentAlready(entry))
    return;
  entry.sent = entry.sum;
  entry.version = ++version_;
}

bool LoadTable::IsSentAlready(const Entry& entry) const {
  if (!coarse_)
    return entry.sum == entry.sent;
  LoadSum difference = entry.sum;
  difference.Add(entry.sent, -1);
  return std::abs(difference.requests) < entry.request_quantum &&
         std::abs(difference.prompt_tokens) < kPromptQuantum &&
         std::abs(difference.held_tokens) < kHeldQuantum;
}

void LoadTable::SetCoarse(bool coarse) {
  if (std::exchange(coarse_, coarse) == coarse)
    return;
  for (Entry& entry : entries_)
    UpdateVersion(entry);
}

wire::UpstreamLoad LoadTable::TotalOf(const UpstreamId& upstream) const {
  wire::UpstreamLoad load;
  const auto number = names_.Find(upstream.str());
  if (!number || *number >= entries_.size())
    return load;
  const LoadSum& sum = entries_[*number].sum;
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
  std::vector<const upstreams::AnnouncedUpstream*> known(names_.size());
  for (const auto& [id, upstream] : registry.all()) {
    const std::uint32_t number = NumberOf(id.str());
    known.resize(names_.size());
    known[number] = &upstream;
  }
  entries_.resize(names_.size());
  const Millis silent_after = SilentAfter();
  oldest_heard_ = Millis(0);
  for (std::uint32_t number = 0; number < names_.size(); ++number) {
    const auto* upstream = known[number];
    std::optional<TimePoint> silent_since;
    if (upstream == nullptr) {
      silent_since = TimePoint{};
    } else if (now - upstream->received_at > silent_after) {
      silent_since = upstream->received_at;
    } else {
      oldest_heard_ =
          std::max(oldest_heard_,
                   std::chrono::ceil<Millis>(now - upstream->received_at));
    }
    Entry& entry = entries_[number];
    entry.request_quantum =
        upstream ? std::max(1, upstream->last.slots / kSlotsPerQuantum) : 1;
    if (entry.silent_since == silent_since)
      continue;
    entry.silent_since = silent_since;
    entry.silent_version = ++version_;
  }
}

std::uint32_t LoadTable::HeardWithin(TimePoint now) const {
  return Clamped(SilentAfter().count()) + AgeMillis(silent_updated_at_, now);
}

std::uint32_t LoadTable::OldestHeard(TimePoint now) const {
  return Clamped(oldest_heard_.count()) + AgeMillis(silent_updated_at_, now) +
         1;
}

wire::FleetLoads LoadTable::Encode(const HostId& receiver,
                                   const KnownNames& known,
                                   const upstreams::UpstreamRegistry& registry,
                                   TimePoint now) {
  UpdateSilent(registry, now);
  wire::FleetLoads loads;
  names_.AddMissing(known, loads);
  std::map<std::uint32_t, LoadSum> own;
  if (const auto it = reports_.find(receiver); it != reports_.end()) {
    for (const Report& report : it->second)
      own[report.number].Add(report.load, 1);
  }
  for (std::uint32_t number = 0; number < entries_.size(); ++number) {
    LoadSum sum = entries_[number].sum;
    if (const auto it = own.find(number); it != own.end())
      sum.Add(it->second, -1);
    if (sum == LoadSum{})
      continue;
    loads.add_upstreams(number);
    loads.add_requests(Clamped(sum.requests));
    loads.add_prompt_tokens(Clamped(sum.prompt_tokens));
    loads.add_held_tokens(Clamped(sum.held_tokens));
  }
  loads.set_heard_within_ms(HeardWithin(now));
  for (std::uint32_t number = 0; number < entries_.size(); ++number) {
    if (const auto& since = entries_[number].silent_since) {
      loads.add_silent(number);
      loads.add_silent_ms(AgeMillis(*since, now));
    }
  }
  return loads;
}

wire::FleetLoads LoadTable::EncodeChanges(
    const KnownNames& known,
    std::uint64_t known_version,
    const upstreams::UpstreamRegistry& registry,
    TimePoint now) {
  UpdateSilent(registry, now);
  const std::uint64_t base =
      known.epoch == names_.epoch() && known_version <= version_ ? known_version
                                                                 : 0;
  wire::FleetLoads loads;
  names_.AddMissing(known, loads);
  loads.set_version(version_);
  loads.set_base_version(base);
  const std::uint32_t token_unit = coarse_ ? kTokenUnit : 1;
  loads.set_token_unit(token_unit);
  // While coarse, the limit is so high that upstreams would seem silent to
  // hosts that lose their primary control host, if it were taken for the age of
  // all.
  loads.set_heard_within_ms(coarse_ ? OldestHeard(now) : HeardWithin(now));
  std::uint32_t previous = 0;
  std::uint32_t previous_silent = 0;
  for (std::uint32_t number = 0; number < entries_.size(); ++number) {
    const Entry& entry = entries_[number];
    if (entry.version > base && (base != 0 || entry.sent != LoadSum{})) {
      loads.add_gaps(number - std::exchange(previous, number));
      const LoadSum sent = entry.sent.InUnitsOf(token_unit);
      loads.add_requests(Clamped(sent.requests));
      loads.add_prompt_tokens(Clamped(sent.prompt_tokens));
      loads.add_held_tokens(Clamped(sent.held_tokens));
    }
    if (entry.silent_version > base && (base != 0 || entry.silent_since)) {
      loads.add_silent_gaps(number - std::exchange(previous_silent, number));
      loads.add_silent_ages(
          entry.silent_since ? SilentAge(*entry.silent_since, now) : 0);
    }
  }
  return loads;
}

void LoadTable::DropUnused(const upstreams::UpstreamRegistry& registry) {
  std::size_t unused = 0;
  for (std::size_t number = 0; number < names_.size(); ++number)
    unused += registry.Find(UpstreamId(names_.at(number))) == nullptr ? 1 : 0;
  if (unused <= names_.size() - unused + kMaxUnusedNames)
    return;
  const UpstreamNames old = names_;
  names_.Restart();
  entries_.clear();
  silent_updated_at_ = TimePoint{};
  for (auto& [host, reports] : reports_) {
    for (Report& report : reports) {
      report.number = NumberOf(old.at(report.number));
      Add(report, 1);
      UpdateVersion(entries_[report.number]);
    }
  }
}

}  // namespace endivecart::fleet
