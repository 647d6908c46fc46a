#include "endivecart/fleet/heard_upstreams.h"

#include <algorithm>
#include <utility>

namespace endivecart::fleet {

wire::HeardUpstreams EncodeHeard(
    const std::vector<const upstreams::AnnouncedUpstream*>& heard,
    const KnownNames& known,
    UpstreamNames& names,
    TimePoint now) {
  std::vector<std::pair<std::uint32_t, TimePoint>> entries;
  entries.reserve(heard.size());
  for (const auto* upstream : heard) {
    entries.emplace_back(names.NumberOf(upstream->last.id.str()),
                         upstream->received_at);
  }
  std::sort(entries.begin(), entries.end());
  wire::HeardUpstreams message;
  names.AddMissing(known, message);
  std::uint32_t previous = 0;
  for (const auto& [number, heard_at] : entries) {
    message.add_gaps(number - previous);
    previous = number;
    const auto age =
        std::chrono::ceil<Millis>(std::max(now, heard_at) - heard_at) +
        kHeardAgeUnit - Millis(1);
    message.add_ages(static_cast<std::uint32_t>(
        std::min<Millis::rep>(age / kHeardAgeUnit, INT32_MAX)));
  }
  return message;
}

bool ApplyHeard(const wire::HeardUpstreams& heard,
                ReceivedNames& names,
                TimePoint now,
                const HeardCallback& on_heard) {
  names.Update(heard);
  if (!on_heard)
    return true;
  bool are_known = true;
  std::uint64_t number = 0;
  for (int i = 0; i < std::min(heard.gaps_size(), heard.ages_size()); ++i) {
    number += heard.gaps(i);
    if (number >= names.size())
      break;
    if (names.at(number).empty())
      continue;
    are_known &=
        on_heard(names.at(number), now - kHeardAgeUnit * heard.ages(i));
  }
  return are_known;
}

}  // namespace endivecart::fleet
