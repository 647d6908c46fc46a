#include "endivecart/settings/node_settings.h"

#include "endivecart/settings/json_reader.h"
#include "endivecart/settings/json_text.h"

namespace endivecart::settings {

namespace {

constexpr int kMaxPort = 65535;
// About ten lines per request in a burst.
constexpr std::int64_t kLogLinesPerSecond = 500;
constexpr std::int64_t kMaxLogLines = 100'000;
constexpr std::int64_t kMinMemoryMb = 16;
constexpr std::int64_t kMaxMemoryMb = 1'000'000;
constexpr std::int64_t kMaxMillis = 3'600'000;  // an hour

std::optional<Endpoint> ReadEndpoint(JsonReader& reader,
                                     const std::string& key) {
  const std::string text = reader.StringOr(key, "");
  if (text.empty())
    return std::nullopt;
  auto endpoint = ParseEndpoint(text);
  if (!endpoint) {
    reader.AddError(key, endpoint.error());
    return std::nullopt;
  }
  return *endpoint;
}

std::vector<HostId> ReadContacts(JsonReader& reader) {
  std::vector<HostId> contacts;
  for (const std::string& text : reader.StringsOr("contacts", {})) {
    const auto endpoint = ParseEndpoint(text);
    if (endpoint) {
      contacts.emplace_back(endpoint->address);
    } else {
      reader.AddError("contacts", "'" + text + "' " + endpoint.error());
    }
  }
  return contacts;
}

Millis ReadMillis(JsonReader& reader, const std::string& key, Millis fallback) {
  return Millis(reader.IntOr(key, fallback.count(), 1, kMaxMillis));
}

Millis ReadSeconds(JsonReader& reader,
                   const std::string& key,
                   Millis fallback) {
  const double seconds =
      reader.NumberOr(key, static_cast<double>(fallback.count()) / 1000);
  return Millis(static_cast<Millis::rep>(seconds * 1000));
}

FleetBounds ReadBounds(JsonReader reader) {
  FleetBounds bounds;
  bounds.announce_interval =
      ReadMillis(reader, "announce_interval_ms", bounds.announce_interval);
  bounds.retry_ratio = reader.NumberOr("retry_ratio", bounds.retry_ratio);
  bounds.retry_window =
      ReadSeconds(reader, "retry_window_s", bounds.retry_window);
  bounds.order_lease = ReadMillis(reader, "order_lease_ms", bounds.order_lease);
  bounds.weights_deadline =
      ReadMillis(reader, "weights_deadline_ms", bounds.weights_deadline);
  bounds.drain_time = ReadMillis(reader, "drain_time_ms", bounds.drain_time);
  bounds.stop_time = ReadSeconds(reader, "stop_time_s", bounds.stop_time);
  bounds.bad_version_share =
      reader.NumberOr("bad_version_share", bounds.bad_version_share);
  bounds.roll_back_time =
      ReadMillis(reader, "roll_back_time_ms", bounds.roll_back_time);
  bounds.cold_overshoot =
      reader.NumberOr("cold_overshoot", bounds.cold_overshoot);
  reader.RefuseUnknownKeys();
  return bounds;
}

NodeSettings ReadSettings(JsonReader& reader) {
  NodeSettings settings;
  settings.name = reader.String("name");
  settings.host = HostId(reader.String("host"));
  settings.domain = DomainId(reader.String("domain"));
  settings.region = reader.StringOr("region", "");
  JsonReader regions = reader.Object("regions", false);
  for (const std::string& domain : regions.Keys())
    settings.regions[DomainId(domain)] = regions.String(domain);
  JsonReader listen = reader.Object("listen", true);
  settings.callers = ReadEndpoint(listen, "callers");
  settings.ready = ReadEndpoint(listen, "ready");
  settings.relay = ReadEndpoint(listen, "relay");
  settings.operators = ReadEndpoint(listen, "operators");
  settings.metrics = ReadEndpoint(listen, "metrics");
  listen.RefuseUnknownKeys();
  settings.peer_port = static_cast<int>(reader.Int("peer_port", 1, kMaxPort));
  settings.contacts = ReadContacts(reader);
  settings.data_folder = reader.StringOr("data_folder", "");
  settings.first_start = reader.BoolOr("first_start", false);
  settings.memory_mb = static_cast<int>(reader.IntOr(
      "memory_mb", settings.memory_mb, kMinMemoryMb, kMaxMemoryMb));
  settings.bounds = ReadBounds(reader.Object("bounds", false));
  JsonReader log = reader.Object("log", false);
  settings.log.level =
      log.ChoiceOr("level", "info", {"debug", "info", "warn", "error"});
  settings.log.to_standard_output = true;
  settings.log.max_lines_per_s = static_cast<int>(
      log.IntOr("max_lines_per_s", kLogLinesPerSecond, 1, kMaxLogLines));
  log.RefuseUnknownKeys();
  reader.RefuseUnknownKeys();
  return settings;
}

}  // namespace

Result<NodeSettings, SettingsErrors> ParseNodeSettings(std::string_view text) {
  const auto json = ParseJsonText(text);
  if (!json)
    return Fail(json.error());
  SettingsErrors errors;
  JsonReader reader(json->root, "", json->lines, errors);
  NodeSettings settings = ReadSettings(reader);
  if (!errors.empty())
    return Fail(errors);
  return settings;
}

Result<NodeSettings, SettingsErrors> LoadNodeSettings(const std::string& file) {
  const auto text = ReadTextFile(file);
  if (!text)
    return Fail(text.error());
  return ParseNodeSettings(*text);
}

}  // namespace endivecart::settings
