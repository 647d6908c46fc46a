#ifndef ENDIVECART_UPSTREAMS_ANNOUNCEMENT_H_
#define ENDIVECART_UPSTREAMS_ANNOUNCEMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/routes/routes.h"
#include "endivecart/settings/settings.h"
#include "endivecart/transport/transport.h"

namespace endivecart::upstreams {

enum class UpstreamState { kReady, kDraining, kGone };

std::string_view UpstreamStateName(UpstreamState state);

// Weights of a model that an upstream has loaded.
struct LoadedModel {
  ModelId model;
  std::uint64_t version = 0;

  bool operator==(const LoadedModel&) const = default;
};

// What an upstream said of itself last. A restart is a new incarnation, told
// by a later `born_ms`, perhaps under the same id.
struct Announcement {
  UpstreamId id;
  std::uint64_t born_ms = 0;   // Unix time of its start, by its own clock
  std::uint64_t sequence = 0;  // grows with each announcement of an incarnation
  routes::ServiceId service;
  settings::Endpoint address;
  DomainId domain;
  VersionId software_version;
  int slots = 0;
  UpstreamState state = UpstreamState::kReady;
  Millis cold_for{0};  // bears little for this long after it was sent
  std::vector<LoadedModel> models;

  // The version of the model's weights; 0 if it hasn't the model.
  std::uint64_t VersionOf(const ModelId& model) const;
  bool operator==(const Announcement&) const = default;
};

wire::AnnouncementRecord ToRecord(const Announcement& announcement, Millis age);
// Nothing if a field can't be used.
std::optional<Announcement> FromRecord(const wire::AnnouncementRecord& record);

}  // namespace endivecart::upstreams

#endif  // ENDIVECART_UPSTREAMS_ANNOUNCEMENT_H_
