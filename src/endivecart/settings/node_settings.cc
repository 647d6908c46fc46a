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

// Like ReadSeconds(), but rejects a time of less than a millisecond.
Millis ReadPositiveSeconds(JsonReader& reader,
                           const std::string& key,
                           Millis fallback) {
  const double seconds =
      reader.NumberOr(key, static_cast<double>(fallback.count()) / 1000);
  if (seconds * 1000 < 1 || seconds * 1000 > static_cast<double>(kMaxMillis)) {
    reader.AddError(key, "must be from 0.001 to 3600");
    return fallback;
  }
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
  bounds.usage_window =
      ReadPositiveSeconds(reader, "usage_window_s", bounds.usage_window);
  bounds.usage_tolerance =
      reader.NumberOr("usage_tolerance", bounds.usage_tolerance);
  bounds.usage_delay =
      ReadPositiveSeconds(reader, "usage_delay_s", bounds.usage_delay);
  bounds.fencing_required =
      reader.BoolOr("fencing_required", bounds.fencing_required);
  bounds.thaw_slack = Millis(
      reader.IntOr("thaw_slack_ms", bounds.thaw_slack.count(), 0, kMaxMillis));
  reader.RefuseUnknownKeys();
  return bounds;
}

// Returns the duties, which may be named in the words of `duty_names`; what
// that doesn't name is no duty of this system.
std::set<Duty> ReadDuties(JsonReader& reader) {
  std::set<Duty> duties;
  const bool has_names = reader.Has("duty_names");
  JsonReader names = reader.Object("duty_names", false);
  for (const std::string& text : reader.StringsOr("duties", {})) {
    if (has_names && !names.Has(text))
      continue;
    const std::string word = has_names ? names.String(text) : text;
    if (word == "usage") {
      duties.insert(Duty::kUsage);
    } else if (word == "scale") {
      duties.insert(Duty::kScale);
    } else {
      reader.AddError("duties", "'" + word + "' must be usage or scale");
    }
  }
  return duties;
}

std::optional<PlatformApi> ReadPlatformApi(JsonReader& reader) {
  if (!reader.Has("platform_api")) {
    reader.Object("platform_api", false);
    return std::nullopt;
  }
  JsonReader object = reader.Object("platform_api", true);
  PlatformApi api;
  api.duties = ReadDuties(object);
  const std::string address = object.StringOr("address", "");
  const auto endpoint = ParseEndpoint(address);
  if (endpoint) {
    api.address = *endpoint;
  } else if (!api.duties.empty()) {
    object.AddError("address", endpoint.error());
  }
  api.calls_per_s = object.NumberOr("calls_per_s", api.calls_per_s);
  if (api.calls_per_s <= 0)
    object.AddError("calls_per_s", "must be positive");
  object.RefuseUnknownKeys();
  return api;
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
  settings.platform_api = ReadPlatformApi(reader);
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
