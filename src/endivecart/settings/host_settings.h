#ifndef ENDIVECART_SETTINGS_HOST_SETTINGS_H_
#define ENDIVECART_SETTINGS_HOST_SETTINGS_H_

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/settings/settings_error.h"

namespace endivecart::settings {

// An IP address and TCP port.
struct Endpoint {
  std::string address;
  int port = 0;

  bool operator==(const Endpoint&) const = default;
  std::string ToString() const;
};

// Parses "ADDRESS:PORT", where ADDRESS is an IP address.
Result<Endpoint, std::string> ParseEndpoint(std::string_view text);

// One of the system's hosts, as listed in the settings of every host.
struct HostEntry {
  HostId id;
  DomainId domain;
  Endpoint control;        // ZeroMQ
  std::string public_key;  // CURVE, 40 characters of Z85
  bool voter = false;

  bool operator==(const HostEntry&) const = default;
};

// A store host, which stores cache pieces in memory and on disk.
struct StoreEntry {
  std::string id;
  DomainId domain;
  std::string url;
  std::int64_t link_bytes_per_s = 0;
  std::int64_t capacity_bytes = 0;

  bool operator==(const StoreEntry&) const = default;
};

// Limits on callers' connections and requests.
struct CallerLimits {
  int max_connections = 512;
  int max_header_bytes = 16 * 1024;
  int max_body_bytes = 8 * 1024 * 1024;
  std::chrono::milliseconds idle_timeout{15000};

  bool operator==(const CallerLimits&) const = default;
};

// The validated settings of one host.
struct HostSettings {
  HostId host;
  DomainId domain;
  Endpoint callers;
  Endpoint operators;
  Endpoint control;
  std::string data_folder;            // empty on a host without a disk
  std::string secret_key;             // CURVE, 40 characters of Z85
  std::string operator_token_digest;  // SHA-256, hexadecimal
  std::string announce_token_digest;  // as above, for upstreams
  std::string lists_folder;           // first configuration of a new site
  std::vector<HostEntry> hosts;
  std::vector<StoreEntry> stores;
  CallerLimits limits;
  LogOptions log;

  const HostEntry* FindHost(const HostId& id) const;
  std::vector<HostId> HostsOfDomain(const DomainId& domain) const;
};

// Parses and validates a settings text; returns all errors found.
Result<HostSettings, SettingsErrors> ParseHostSettings(std::string_view text);

// Loads settings from a file. `secret_key_file` and `lists` may be relative to
// the file's folder.
Result<HostSettings, SettingsErrors> LoadHostSettings(const std::string& file);

// Returns the contents of a file.
Result<std::string, SettingsErrors> ReadTextFile(const std::string& file);

}  // namespace endivecart::settings

#endif  // ENDIVECART_SETTINGS_HOST_SETTINGS_H_
