#ifndef ENDIVECART_SETTINGS_NODE_SETTINGS_H_
#define ENDIVECART_SETTINGS_NODE_SETTINGS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "endivecart/settings/host_settings.h"

namespace endivecart::settings {

// Bounds that a deployment sets for all its processes.
struct FleetBounds {
  Millis announce_interval{1000};  // between an upstream's announcements
  double retry_ratio = 0.2;        // of repeated sends to requests
  Millis retry_window{10000};      // over which the ratio holds
  Millis order_lease{3000};        // between orders of two holders
  Millis weights_deadline{10000};  // for new weights to be in use everywhere
  Millis drain_time{2000};         // a leaving upstream still serves
  Millis stop_time{8000};          // from a stop signal to the end
  double bad_version_share = 0.1;  // of requests that a bad version may get
  Millis roll_back_time{5000};  // from a version's faults to its last request
  double cold_overshoot = 1.0;  // of what a cold upstream bears

  bool operator==(const FleetBounds&) const = default;
};

// The checked settings of one process of a fleet whose members find each other
// at run time. Hosts are known by their IP numbers.
struct NodeSettings {
  std::string name;  // for people
  HostId host;       // IP number
  DomainId domain;
  std::string region;
  std::map<DomainId, std::string> regions;  // of all failure domains
  std::optional<Endpoint> callers;
  std::optional<Endpoint> ready;      // answers whether callers may come
  std::optional<Endpoint> operators;  // operators and upstreams
  std::optional<Endpoint> metrics;
  int peer_port = 0;             // of all voters
  std::vector<HostId> contacts;  // voters, at first
  std::string data_folder;       // empty on a host without a disk
  bool first_start = false;      // of the whole fleet, with empty disks
  FleetBounds bounds;
  LogOptions log;

  bool operator==(const NodeSettings&) const = default;
};

// Reads and checks a settings text; reports every fault at once.
Result<NodeSettings, SettingsErrors> ParseNodeSettings(std::string_view text);
Result<NodeSettings, SettingsErrors> LoadNodeSettings(const std::string& file);

}  // namespace endivecart::settings

#endif  // ENDIVECART_SETTINGS_NODE_SETTINGS_H_
