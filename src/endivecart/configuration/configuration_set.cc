#include "endivecart/configuration/configuration_set.h"

#include <algorithm>
#include <filesystem>
#include <utility>

#include "endivecart/configuration/document.h"

namespace endivecart::configuration {

namespace {

using settings::JsonReader;

constexpr std::int64_t kMaxRate = 1000000;
constexpr std::int64_t kMaxUnixMs = 1LL << 48;
constexpr std::size_t kSha256HexLength = 64;

template <class T>
std::set<T> ToSet(const std::vector<std::string>& strings) {
  std::set<T> out;
  for (const std::string& text : strings)
    out.insert(T(text));
  return out;
}

Plan ReadPlan(JsonReader reader, const std::string& name) {
  Plan plan;
  plan.name = name;
  plan.weight = static_cast<int>(reader.IntOr("weight", 1, 1, 1000));
  plan.requests_per_s =
      static_cast<int>(reader.Int("requests_per_s", 1, kMaxRate));
  plan.burst = static_cast<int>(
      reader.IntOr("burst", plan.requests_per_s * 2LL, 1, kMaxRate));
  plan.concurrent = static_cast<int>(reader.Int("concurrent", 1, kMaxRate));
  plan.max_queue =
      static_cast<int>(reader.IntOr("max_queue", 100, 1, kMaxRate));
  plan.models = ToSet<ModelId>(reader.StringsOr("models", {}));
  plan.services = ToSet<std::string>(reader.StringsOr("services", {}));
  plan.classes = ToSet<std::string>(reader.StringsOr("classes", {}));
  plan.cache_floor_bytes = reader.IntOr("cache_floor_bytes", 0, 0, 1LL << 50);
  reader.RefuseUnknownKeys();
  return plan;
}

Customer ReadCustomer(JsonReader reader, const std::string& id) {
  Customer customer{CustomerId(id), reader.String("plan"),
                    reader.StringsOr("key_digests", {})};
  for (const std::string& digest : customer.key_digests) {
    if (digest.size() != kSha256HexLength)
      reader.AddError("key_digests", "each must be a SHA-256 digest");
  }
  reader.RefuseUnknownKeys();
  return customer;
}

RequestClass ReadClass(JsonReader reader, const std::string& name) {
  RequestClass request_class;
  request_class.name = name;
  request_class.priority = static_cast<int>(reader.IntOr("priority", 1, 0, 9));
  request_class.deadline = Millis(reader.Int("deadline_ms", 1, 86400000));
  reader.RefuseUnknownKeys();
  return request_class;
}

Rollout ReadRollout(JsonReader reader) {
  Rollout rollout;
  rollout.version = VersionId(reader.String("version"));
  const std::string state =
      reader.ChoiceOr("state", "running", {"running", "done", "taken-back"});
  rollout.state = state == "running" ? RolloutState::kRunning
                  : state == "done"  ? RolloutState::kDone
                                     : RolloutState::kTakenBack;
  rollout.share_permille =
      static_cast<int>(reader.IntOr("share_permille", 0, 0, 1000));
  rollout.started_ms = reader.Int("started_ms", 0, kMaxUnixMs);
  rollout.deadline_ms = reader.Int("deadline_ms", 0, kMaxUnixMs);
  rollout.route = reader.StringOr("route", "");
  rollout.previous = VersionId(reader.StringOr("previous", ""));
  rollout.reason = reader.StringOr("reason", "");
  reader.RefuseUnknownKeys();
  return rollout;
}

Model ReadModel(JsonReader reader, const std::string& id) {
  Model model{ModelId(id), VersionId(reader.String("version")), {}};
  reader.RefuseUnknownKeys();
  return model;
}

Service ReadService(JsonReader reader, const std::string& name) {
  Service service;
  service.name = name;
  service.idempotent = reader.BoolOr("idempotent", false);
  for (JsonReader& backend : reader.Objects("backends", true)) {
    service.backends.push_back(
        {backend.String("url"), DomainId(backend.String("domain"))});
    backend.RefuseUnknownKeys();
  }
  reader.RefuseUnknownKeys();
  return service;
}

UpstreamRule ReadUpstream(JsonReader reader, const std::string& id) {
  UpstreamRule rule{UpstreamId(id), reader.BoolOr("checks_fencing", false),
                    reader.BoolOr("leaving", false)};
  reader.RefuseUnknownKeys();
  return rule;
}

}  // namespace

// Builds a ConfigurationSet from its JSON document.
class ConfigurationReader {
 public:
  explicit ConfigurationReader(JsonReader& reader) : reader_(reader) {}

  ConfigurationSet Read() {
    ForEach("plans", [&](JsonReader child, const std::string& key) {
      set_.plans_.emplace(key, ReadPlan(std::move(child), key));
    });
    ForEach("customers", [&](JsonReader child, const std::string& key) {
      set_.customers_.emplace(key, ReadCustomer(std::move(child), key));
    });
    ForEach("classes", [&](JsonReader child, const std::string& key) {
      set_.classes_.emplace(key, ReadClass(std::move(child), key));
    });
    ForEach("models", [&](JsonReader child, const std::string& key) {
      set_.models_.emplace(key, ReadModel(std::move(child), key));
    });
    ForEach("rollouts", [&](JsonReader child, const std::string& key) {
      const Rollout rollout = ReadRollout(std::move(child));
      const auto model = set_.models_.find(ModelId(key));
      if (model == set_.models_.end()) {
        reader_.AddError("rollouts." + key, "there is no model '" + key + "'");
      } else {
        model->second.rollout = rollout;
      }
    });
    ForEach("services", [&](JsonReader child, const std::string& key) {
      set_.services_.emplace(key, ReadService(std::move(child), key));
    });
    ForEach("upstreams", [&](JsonReader child, const std::string& key) {
      set_.upstreams_.emplace(key, ReadUpstream(std::move(child), key));
    });
    ReadDomains();
    reader_.RefuseUnknownKeys();
    CheckReferences();
    return std::move(set_);
  }

 private:
  template <class Function>
  void ForEach(const std::string& list, Function function) {
    JsonReader entries = reader_.Object(list, false);
    for (const std::string& key : entries.Keys())
      function(entries.Object(key, true), key);
  }

  void ReadDomains() {
    JsonReader domains = reader_.Object("domains", false);
    for (const std::string& key : domains.Keys()) {
      if (domains.ChoiceOr(key, "in", {"in", "out"}) == "out")
        set_.domains_out_.insert(DomainId(key));
    }
  }

  void CheckReferences() {
    for (const auto& [id, customer] : set_.customers_) {
      if (!set_.plans_.contains(customer.plan)) {
        reader_.AddError("customers." + id.str() + ".plan",
                         "there is no plan '" + customer.plan + "'");
      }
    }
    for (const auto& [name, plan] : set_.plans_)
      CheckPlan(plan);
    for (const auto& [id, model] : set_.models_) {
      if (model.rollout && !model.rollout->route.empty() &&
          !set_.classes_.contains(model.rollout->route)) {
        reader_.AddError("rollouts." + id.str() + ".route",
                         "there is no class '" + model.rollout->route + "'");
      }
    }
  }

  void CheckPlan(const Plan& plan) {
    const std::string place = "plans." + plan.name;
    for (const ModelId& model : plan.models) {
      if (!set_.models_.contains(model)) {
        reader_.AddError(place + ".models",
                         "there is no model '" + model.str() + "'");
      }
    }
    for (const std::string& service : plan.services) {
      if (!set_.services_.contains(service)) {
        reader_.AddError(place + ".services",
                         "there is no service '" + service + "'");
      }
    }
    for (const std::string& name : plan.classes) {
      if (!set_.classes_.contains(name))
        reader_.AddError(place + ".classes",
                         "there is no class '" + name + "'");
    }
  }

  JsonReader& reader_;
  ConfigurationSet set_;
};

std::string_view RolloutStateName(RolloutState state) {
  switch (state) {
    case RolloutState::kRunning:
      return "running";
    case RolloutState::kDone:
      return "done";
    case RolloutState::kTakenBack:
      return "taken-back";
  }
  return "unknown";
}

bool ConfigurationSet::UpstreamIsLeaving(const UpstreamId& upstream) const {
  const auto it = upstreams_.find(upstream);
  return it != upstreams_.end() && it->second.leaving;
}

const Plan& ConfigurationSet::PlanOf(const Customer& customer) const {
  return plans_.at(customer.plan);
}

const Customer* ConfigurationSet::FindByKey(std::string_view api_key) const {
  const std::string digest = Sha256Hex(api_key);
  const Customer* found = nullptr;
  for (const auto& [id, customer] : customers_) {
    for (const std::string& known : customer.key_digests) {
      if (ConstantTimeEqual(known, digest))
        found = &customer;
    }
  }
  return found;
}

Result<ConfigurationSet, settings::SettingsErrors> ParseConfiguration(
    std::string_view text) {
  const auto json = settings::ParseJsonText(text);
  if (!json)
    return Fail(json.error());
  settings::SettingsErrors errors;
  JsonReader reader(json->root, "", json->lines, errors);
  ConfigurationSet set = ConfigurationReader(reader).Read();
  if (!errors.empty())
    return Fail(errors);
  return set;
}

Result<std::string, settings::SettingsErrors> LoadListFolder(
    const std::string& folder) {
  namespace fs = std::filesystem;
  std::string document = "{}";
  settings::SettingsErrors errors;
  for (const char* name : {"customers.json", "plans.json", "models.json",
                           "services.json", "domains.json", "upstreams.json"}) {
    const std::string file = fs::path(folder) / name;
    if (!fs::exists(file))
      continue;
    const auto text = settings::ReadTextFile(file);
    const auto merged =
        text
            ? ApplyMergePatch(document, *text)
            : Result<std::string, settings::SettingsErrors>(Fail(text.error()));
    if (merged) {
      document = *merged;
      continue;
    }
    for (settings::SettingsError error : merged.error()) {
      error.reason = std::string(name) + ": " + error.reason;
      errors.push_back(error);
    }
  }
  if (errors.empty() && document == "{}")
    errors.push_back({"", 0, "no list files in folder '" + folder + "'"});
  if (!errors.empty())
    return Fail(errors);
  return document;
}

}  // namespace endivecart::configuration
