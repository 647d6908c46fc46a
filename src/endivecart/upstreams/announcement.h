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

// One incarnation of an upstream.
struct UpstreamRun {
  UpstreamId id;
  std::uint64_t start_time_ms = 0;  // Unix time, by the upstream's clock

  auto operator<=>(const UpstreamRun&) const = default;
};

// One announcement of an upstream. A restart is a new incarnation, identified
// by a later `start_time_ms`; its id may be the same.
struct Announcement {
  UpstreamId id;
  std::uint64_t start_time_ms = 0;  // Unix time, by the upstream's clock
  std::uint64_t sequence = 0;       // increases within an incarnation
  routes::ServiceId service;
  settings::Endpoint address;
  DomainId domain;
  VersionId software_version;
  int slots = 0;
  UpstreamState state = UpstreamState::kReady;
  // It said in an answer that it leaves, which its announcements may not show:
  // it may reach hosts, but no control host. `state` isn't kReady then.
  bool is_leaving = false;
  Millis cold_for{0};  // limited request rate for this long after sending
  std::vector<LoadedModel> models;

  // Returns the loaded version of the model's weights, or 0 if it is not
  // loaded.
  std::uint64_t VersionOf(const ModelId& model) const;
  UpstreamRun run() const { return {id, start_time_ms}; }
  bool operator==(const Announcement&) const = default;
};

wire::AnnouncementRecord ToRecord(const Announcement& announcement, Millis age);
// Returns nullopt if a field is invalid.
std::optional<Announcement> FromRecord(const wire::AnnouncementRecord& record);

}  // namespace endivecart::upstreams

#endif  // ENDIVECART_UPSTREAMS_ANNOUNCEMENT_H_
