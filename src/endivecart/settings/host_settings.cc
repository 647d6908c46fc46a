#include "endivecart/settings/host_settings.h"

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

#include "endivecart/settings/json_reader.h"

namespace endivecart::settings {

namespace {

constexpr std::size_t kCurveKeyLength = 40;
constexpr std::size_t kSha256HexLength = 64;
constexpr int kMaxPort = 65535;
constexpr std::int64_t kMaxBytes = 1LL << 50;

Endpoint ReadEndpoint(JsonReader& reader, const std::string& key) {
  const std::string text = reader.String(key);
  if (text.empty())
    return {};
  auto endpoint = ParseEndpoint(text);
  if (endpoint)
    return *endpoint;
  reader.AddError(key, endpoint.error());
  return {};
}

HostEntry ReadHost(JsonReader reader) {
  HostEntry host;
  host.id = HostId(reader.String("id"));
  host.domain = DomainId(reader.String("domain"));
  host.control = ReadEndpoint(reader, "control");
  host.public_key = reader.String("public_key");
  if (!host.public_key.empty() && host.public_key.size() != kCurveKeyLength)
    reader.AddError("public_key", "must be a CURVE key of 40 characters");
  host.voter = reader.BoolOr("voter", false);
  reader.RefuseUnknownKeys();
  return host;
}

StoreEntry ReadStore(JsonReader reader) {
  StoreEntry store;
  store.id = reader.String("id");
  store.domain = DomainId(reader.String("domain"));
  store.url = reader.String("url");
  store.link_bytes_per_s = reader.Int("link_bytes_per_s", 1, kMaxBytes);
  store.capacity_bytes = reader.Int("capacity_bytes", 1, kMaxBytes);
  reader.RefuseUnknownKeys();
  return store;
}

CallerLimits ReadLimits(JsonReader reader) {
  CallerLimits limits;
  limits.max_connections = static_cast<int>(
      reader.IntOr("max_connections", limits.max_connections, 1, 20000));
  limits.max_header_bytes = static_cast<int>(
      reader.IntOr("max_header_bytes", limits.max_header_bytes, 1024, 1 << 20));
  limits.max_body_bytes = static_cast<int>(
      reader.IntOr("max_body_bytes", limits.max_body_bytes, 1024, 1 << 28));
  limits.idle_timeout = Millis(reader.IntOr(
      "idle_timeout_ms", limits.idle_timeout.count(), 100, 600000));
  reader.RefuseUnknownKeys();
  return limits;
}

LogOptions ReadLog(JsonReader reader) {
  LogOptions log;
  const std::string format =
      reader.ChoiceOr("format", "key-value", {"key-value", "json"});
  log.format = format == "json" ? LogFormat::kJson : LogFormat::kKeyValue;
  log.level =
      reader.ChoiceOr("level", "info", {"debug", "info", "warn", "error"});
  log.file = reader.StringOr("file", "");
  reader.RefuseUnknownKeys();
  return log;
}

std::string ReadDigest(JsonReader& reader, const std::string& key) {
  std::string digest = reader.String(key);
  if (!digest.empty() && digest.size() != kSha256HexLength)
    reader.AddError(key, "must be a SHA-256 digest of 64 hexadecimal digits");
  return digest;
}

void CheckHosts(const HostSettings& settings, JsonReader& reader) {
  std::set<HostId> ids;
  int voters = 0;
  for (const HostEntry& host : settings.hosts) {
    if (!ids.insert(host.id).second)
      reader.AddError("hosts", "duplicate host '" + host.id.str() + "'");
    voters += host.voter ? 1 : 0;
  }
  const HostEntry* self = settings.FindHost(settings.host);
  if (self == nullptr) {
    reader.AddError("hosts",
                    "must list this host, '" + settings.host.str() + "'");
    return;
  }
  if (self->domain != settings.domain)
    reader.AddError("domain", "differs from this host's entry in hosts");
  if (!(self->control == settings.control))
    reader.AddError("listen.control",
                    "differs from this host's entry in hosts");
  if (voters == 0)
    reader.AddError("hosts", "at least one host must be a voter");
  if (self->voter && settings.data_folder.empty())
    reader.AddError("data_folder",
                    "is missing: a voter needs persistent storage");
}

HostSettings ReadSettings(JsonReader& reader) {
  HostSettings settings;
  settings.host = HostId(reader.String("host"));
  settings.domain = DomainId(reader.String("domain"));
  JsonReader listen = reader.Object("listen", true);
  settings.callers = ReadEndpoint(listen, "callers");
  settings.operators = ReadEndpoint(listen, "operators");
  settings.control = ReadEndpoint(listen, "control");
  listen.RefuseUnknownKeys();
  settings.data_folder = reader.StringOr("data_folder", "");
  settings.secret_key = reader.String("secret_key_file");
  settings.operator_token_digest = ReadDigest(reader, "operator_token_digest");
  settings.announce_token_digest = ReadDigest(reader, "announce_token_digest");
  settings.lists_folder = reader.StringOr("lists", "");
  for (JsonReader& host : reader.Objects("hosts", true))
    settings.hosts.push_back(ReadHost(std::move(host)));
  for (JsonReader& store : reader.Objects("stores", false))
    settings.stores.push_back(ReadStore(std::move(store)));
  settings.limits = ReadLimits(reader.Object("limits", false));
  settings.log = ReadLog(reader.Object("log", false));
  reader.RefuseUnknownKeys();
  return settings;
}

}  // namespace

std::string Endpoint::ToString() const {
  return address + ":" + std::to_string(port);
}

Result<Endpoint, std::string> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  const std::string error = "must be ADDRESS:PORT with an IP address";
  if (colon == std::string_view::npos)
    return Fail(error);
  Endpoint endpoint{std::string(text.substr(0, colon)), 0};
  Poco::Net::IPAddress parsed;
  if (!Poco::Net::IPAddress::tryParse(endpoint.address, parsed))
    return Fail(error);
  const std::string port(text.substr(colon + 1));
  if (port.empty() || port.size() > 5 ||
      port.find_first_not_of("0123456789") != std::string::npos) {
    return Fail(error);
  }
  endpoint.port = std::stoi(port);
  if (endpoint.port < 1 || endpoint.port > kMaxPort)
    return Fail("port must be from 1 to " + std::to_string(kMaxPort));
  return endpoint;
}

const HostEntry* HostSettings::FindHost(const HostId& id) const {
  const auto it = std::find_if(hosts.begin(), hosts.end(),
                               [&](const HostEntry& h) { return h.id == id; });
  return it == hosts.end() ? nullptr : &*it;
}

std::vector<HostId> HostSettings::HostsOfDomain(const DomainId& of) const {
  std::vector<HostId> ids;
  for (const HostEntry& entry : hosts) {
    if (entry.domain == of)
      ids.push_back(entry.id);
  }
  return ids;
}

Result<HostSettings, SettingsErrors> ParseHostSettings(std::string_view text) {
  const auto json = ParseJsonText(text);
  if (!json)
    return Fail(json.error());
  SettingsErrors errors;
  JsonReader reader(json->root, "", json->lines, errors);
  HostSettings settings = ReadSettings(reader);
  if (errors.empty())
    CheckHosts(settings, reader);
  if (!errors.empty())
    return Fail(errors);
  return settings;
}

Result<std::string, SettingsErrors> ReadTextFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in)
    return Fail(SettingsErrors{{"", 0, "cannot read file '" + file + "'"}});
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

Result<HostSettings, SettingsErrors> LoadHostSettings(const std::string& file) {
  const auto text = ReadTextFile(file);
  if (!text)
    return Fail(text.error());
  auto settings = ParseHostSettings(*text);
  if (!settings)
    return settings;
  const auto folder = std::filesystem::path(file).parent_path();
  const auto key = ReadTextFile(folder / settings->secret_key);
  if (!key)
    return Fail(key.error());
  settings->secret_key = key->substr(0, key->find_last_not_of("\r\n ") + 1);
  if (settings->secret_key.size() != kCurveKeyLength) {
    return Fail(SettingsErrors{
        {"secret_key_file", 0, "must hold a CURVE key of 40 characters"}});
  }
  if (!settings->lists_folder.empty())
    settings->lists_folder = folder / settings->lists_folder;
  return settings;
}

}  // namespace endivecart::settings
