#include "endivecart/fleet/weights_ages.h"

#include <algorithm>

#include "endivecart/fleet/message_times.h"

namespace endivecart::fleet {

void WeightsAges::Record(const ModelId& model,
                         std::uint64_t version,
                         TimePoint named_at) {
  auto& versions = named_at_[model];
  const auto [it, is_new] = versions.try_emplace(version, named_at);
  it->second = std::min(it->second, named_at);
  if (!is_new)
    return;
  const TimePoint newest = std::prev(versions.end())->second;
  // Keeps the newest version that is old enough to rule out the ones before.
  while (versions.size() > 1 &&
         newest - std::next(versions.begin())->second >= kRetention) {
    versions.erase(versions.begin());
  }
}

std::uint64_t WeightsAges::NewestNamedBefore(const ModelId& model,
                                             Millis age,
                                             TimePoint now) const {
  const auto it = named_at_.find(model);
  if (it == named_at_.end())
    return 0;
  std::uint64_t newest = 0;
  for (const auto& [version, named_at] : it->second) {
    if (now - named_at >= age)
      newest = std::max(newest, version);
  }
  return newest;
}

bool WeightsAges::HasYoungerThan(Millis age, TimePoint now) const {
  return std::any_of(named_at_.begin(), named_at_.end(), [&](const auto& e) {
    return std::any_of(e.second.begin(), e.second.end(),
                       [&](const auto& v) { return now - v.second < age; });
  });
}

void WeightsAges::AppendTo(wire::FleetUpdate& update, TimePoint now) const {
  for (const auto& [model, versions] : named_at_) {
    for (const auto& [version, named_at] : versions) {
      wire::WeightsAgeRecord& record = *update.add_weights_ages();
      record.set_model(model.str());
      record.set_version(version);
      record.set_age_ms(AgeMillis(named_at, now));
    }
  }
}

void WeightsAges::Merge(const wire::FleetUpdate& update, TimePoint now) {
  for (const wire::WeightsAgeRecord& record : update.weights_ages()) {
    Record(ModelId(record.model()), record.version(),
           now - Millis(record.age_ms()));
  }
}

}  // namespace endivecart::fleet
