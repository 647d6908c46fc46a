#ifndef ENDIVECART_SETTINGS_NODE_SETTINGS_H_
#define ENDIVECART_SETTINGS_NODE_SETTINGS_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "endivecart/settings/host_settings.h"

namespace endivecart::settings {

// Timeouts and limits that a deployment sets for all its processes.
struct FleetBounds {
  // Between two announcements of an upstream.
  Millis announce_interval{1000};
  // Maximum ratio of retries to requests, over `retry_window`.
  double retry_ratio = 0.2;
  Millis retry_window{10000};
  // Minimum time between orders of two lease holders.
  Millis order_lease{3000};
  // Time until new weights are in use everywhere.
  Millis weights_deadline{10000};
  // Time for which a leaving upstream still serves.
  Millis drain_time{2000};
  // From the stop signal to the exit of the process.
  Millis stop_time{8000};
  // Maximum share of requests that a bad version may get.
  double bad_version_share = 0.1;
  // From the first failures of a version to its last request.
  Millis roll_back_time{5000};
  // Maximum load of a cold upstream, relative to its capacity when cold.
  double cold_overshoot = 1.0;
  // Length of the windows for which requests are counted and reported.
  Millis usage_window{5000};
  // Maximum relative error of a customer's count.
  double usage_tolerance = 0.05;
  // From the end of a window to the latest time of its report.
  Millis usage_delay{10000};
  // Whether the platform refuses calls with an outdated fencing number.
  bool fencing_required = false;
  // For how long calls may still arrive from a process that was resumed or
  // reconnected.
  Millis thaw_slack{300};

  bool operator==(const FleetBounds&) const = default;
};

// What the fleet does for the platform.
enum class Duty {
  kUsage,  // reports the number of requests of each customer
  kScale,  // sets the number of servers
};

// The interface at which the platform takes the calls of duties.
struct PlatformApi {
  Endpoint address;
  std::set<Duty> duties;
  double calls_per_s = 50;  // from all processes together

  bool operator==(const PlatformApi&) const = default;
};

// The validated settings of one process of a fleet whose members discover each
// other at run time. Hosts are identified by their IP addresses.
struct NodeSettings {
  std::string name;  // for display
  HostId host;       // IP address
  DomainId domain;
  std::string region;
  std::map<DomainId, std::string> regions;  // of each failure domain
  std::optional<Endpoint> callers;
  std::optional<Endpoint> ready;      // readiness checks
  std::optional<Endpoint> relay;      // requests from other hosts
  std::optional<Endpoint> operators;  // operators and upstreams
  std::optional<Endpoint> metrics;
  int peer_port = 0;             // the same on all voters
  std::vector<HostId> contacts;  // initial voters
  std::string data_folder;       // empty on a host without a disk
  bool first_start = false;      // of a new fleet, with empty disks
  // Memory that the process may use; if unknown, a low figure.
  int memory_mb = 128;
  FleetBounds bounds;
  std::optional<PlatformApi> platform_api;  // nullopt: there are no duties
  LogOptions log;

  bool HasDuty(Duty duty) const {
    return platform_api && platform_api->duties.contains(duty);
  }

  bool operator==(const NodeSettings&) const = default;
};

// Parses and validates a settings text; returns all errors found.
Result<NodeSettings, SettingsErrors> ParseNodeSettings(std::string_view text);
Result<NodeSettings, SettingsErrors> LoadNodeSettings(const std::string& file);

}  // namespace endivecart::settings

#endif  // ENDIVECART_SETTINGS_NODE_SETTINGS_H_
