#include "endivecart/upstreams/announcement.h"

#include <algorithm>

namespace endivecart::upstreams {

std::string_view UpstreamStateName(UpstreamState state) {
  switch (state) {
    case UpstreamState::kReady:
      return "ready";
    case UpstreamState::kDraining:
      return "draining";
    case UpstreamState::kGone:
      return "gone";
  }
  return "";
}

std::uint64_t Announcement::VersionOf(const ModelId& model) const {
  for (const LoadedModel& loaded : models) {
    if (loaded.model == model)
      return loaded.version;
  }
  return 0;
}

wire::AnnouncementRecord ToRecord(const Announcement& announcement,
                                  Millis age) {
  wire::AnnouncementRecord record;
  record.set_id(announcement.id.str());
  record.set_born_ms(announcement.start_time_ms);
  record.set_sequence(announcement.sequence);
  record.set_service(announcement.service.str());
  record.set_address(announcement.address.ToString());
  record.set_domain(announcement.domain.str());
  record.set_software_version(announcement.software_version.str());
  record.set_slots(static_cast<std::uint32_t>(announcement.slots));
  record.set_state(
      static_cast<wire::AnnouncementRecord::State>(announcement.state));
  record.set_leaving(announcement.is_leaving);
  record.set_cold_ms(static_cast<std::uint32_t>(announcement.cold_for.count()));
  for (const LoadedModel& loaded : announcement.models) {
    wire::ModelWeights& weights = *record.add_models();
    weights.set_model(loaded.model.str());
    weights.set_version(loaded.version);
  }
  record.set_age_ms(static_cast<std::uint32_t>(age.count()));
  return record;
}

namespace {

bool IsEmptyOrName(std::string_view field, const std::string& text) {
  return text.empty() || AcceptName(InputSource::kPeer, field, text);
}

// Returns whether the record's names can be used.
bool HasNames(const wire::AnnouncementRecord& record) {
  return AcceptName(InputSource::kPeer, "upstream", record.id()) &&
         IsEmptyOrName("service", record.service()) &&
         IsEmptyOrName("domain", record.domain()) &&
         IsEmptyOrName("version", record.software_version()) &&
         std::all_of(record.models().begin(), record.models().end(),
                     [](const wire::ModelWeights& weights) {
                       return IsEmptyOrName("model", weights.model());
                     });
}

}  // namespace

std::optional<Announcement> FromRecord(const wire::AnnouncementRecord& record) {
  const auto address = settings::ParseEndpoint(record.address());
  if (!address || !HasNames(record) ||
      !wire::AnnouncementRecord::State_IsValid(record.state())) {
    return std::nullopt;
  }
  Announcement announcement;
  announcement.id = UpstreamId(record.id());
  announcement.start_time_ms = record.born_ms();
  announcement.sequence = record.sequence();
  announcement.service = routes::ServiceId(record.service());
  announcement.address = *address;
  announcement.domain = DomainId(record.domain());
  announcement.software_version = VersionId(record.software_version());
  announcement.slots = static_cast<int>(record.slots());
  announcement.state = static_cast<UpstreamState>(record.state());
  announcement.is_leaving = record.leaving();
  announcement.cold_for = Millis(record.cold_ms());
  for (const wire::ModelWeights& weights : record.models())
    announcement.models.push_back(
        {ModelId(weights.model()), weights.version()});
  return announcement;
}

}  // namespace endivecart::upstreams
