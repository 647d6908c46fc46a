#include "command_line.h"

#include <Poco/JSON/Array.h>
#include <Poco/UUIDGenerator.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>
#include <thread>

#include "endivecart/configuration/configuration.h"
#include "endivecart/settings/settings.h"
#include "endivecart/transport/transport.h"
#include "explain_command.h"
#include "operator_client.h"

namespace command_line {

namespace {

using namespace endivecart;  // NOLINT(google-build-using-namespace)

constexpr Millis kInForcePollInterval{50};
constexpr Millis kMovePollInterval{1000};

int Fail(const std::string& message, int code) {
  std::cerr << "endivecart: " << message << '\n';
  return code;
}

int Fail(const ClientError& error) {
  if (error.status == 409)
    return Fail("conflict: " + error.detail, kConflict);
  if (error.status == 503)
    return Fail(error.detail, kUnknown);
  return Fail(error.detail, error.status == 400 ? kUsageError : kFailure);
}

OperatorClient Client(const Arguments& arguments) {
  return {arguments.operators, arguments.token};
}

void PrintJson(const Json& json) {
  json.stringify(std::cout, 0);
  std::cout << '\n';
}

std::string Field(const Json& json, const std::string& key) {
  return json.has(key) ? json.get(key).toString() : "";
}

int KeyGen(const Arguments&) {
  const transport::CurveKeyPair keys = transport::GenerateCurveKeyPair();
  std::cout << "public " << keys.public_key << "\nsecret " << keys.secret_key
            << '\n';
  return kOk;
}

int Digest(const Arguments& arguments) {
  if (arguments.words.size() != 2)
    return Fail("usage: endivecart digest TEXT", kUsageError);
  std::cout << Sha256Hex(arguments.words[1]) << '\n';
  return kOk;
}

// `path` is a folder of lists or a single file with some of the lists.
Result<std::string, settings::SettingsErrors> LoadLists(
    const std::string& path) {
  auto text = settings::ReadTextFile(path);
  if (text && !text->empty())
    return configuration::Canonical(*text);
  return configuration::LoadListFolder(path);
}

int ConfigCheck(const Arguments& arguments) {
  if (arguments.words.size() != 3)
    return Fail("usage: endivecart config check FILE", kUsageError);
  const std::string& path = arguments.words[2];
  const auto text = settings::ReadTextFile(path);
  settings::SettingsErrors errors;
  const auto host =
      text && !text->empty()
          ? settings::ParseHostSettings(*text)
          : Result<settings::HostSettings, settings::SettingsErrors>(
                endivecart::Fail(settings::SettingsErrors{}));
  if (host) {
    std::cout << path << ": settings of host " << host->host.str()
              << " are sound\n";
    return kOk;
  }
  // A text without "listen" is assumed to contain lists.
  const bool is_host = text && text->find("\"listen\"") != std::string::npos;
  if (is_host) {
    errors = host.error();
  } else {
    const auto lists = LoadLists(path);
    const auto checked =
        lists
            ? configuration::ParseConfiguration(*lists)
            : Result<configuration::ConfigurationSet, settings::SettingsErrors>(
                  endivecart::Fail(lists.error()));
    if (checked) {
      std::cout << path << ": lists are sound\n";
      return kOk;
    }
    errors = checked.error();
  }
  for (const settings::SettingsError& error : errors)
    std::cerr << path << ": " << error.ToString() << '\n';
  return kUsageError;
}

int Status(const Arguments& arguments) {
  const OperatorClient client = Client(arguments);
  int responded = 0;
  Poco::JSON::Array::Ptr all = new Poco::JSON::Array;
  for (const std::string& url : client.urls()) {
    const auto status = client.GetFrom(url, "/v1/status");
    if (!status) {
      std::cerr << "endivecart: " << url << ": " << status.error().detail
                << '\n';
      continue;
    }
    ++responded;
    all->add(*status);
    if (!arguments.json) {
      std::cout << Field(**status, "host") << "  domain "
                << Field(**status, "domain") << "  revision "
                << Field(**status, "revision") << "  "
                << ((*status)->getValue<bool>("fresh") ? "fresh" : "NOT FRESH")
                << "  leader " << Field(**status, "leader") << "  running "
                << Field(**status, "running") << "  violations "
                << Field(**status, "invariant_violations") << '\n';
    }
  }
  if (arguments.json) {
    Json json;
    json.set("hosts", all);
    PrintJson(json);
  }
  if (client.urls().empty())
    return Fail("--operators is required", kUsageError);
  return responded > 0 ? kOk : kFailure;
}

int Upstreams(const Arguments& arguments) {
  const auto reply = Client(arguments).Get("/v1/upstreams");
  if (!reply)
    return Fail(reply.error());
  if (arguments.json) {
    PrintJson(**reply);
    return kOk;
  }
  for (const auto& element : *(*reply)->getArray("upstreams")) {
    const auto& upstream = *element.extract<Json::Ptr>();
    std::cout << Field(upstream, "id") << "  domain "
              << Field(upstream, "domain") << "  model "
              << Field(upstream, "model") << "  free here "
              << Field(upstream, "free_slots_here")
              << (upstream.getValue<bool>("leaving") ? "  leaving" : "")
              << (upstream.getValue<bool>("domain_out") ? "  domain out" : "")
              << (upstream.getValue<bool>("breaker_open") ? "  failing" : "")
              << '\n';
  }
  return kOk;
}

int ConfigShow(const Arguments& arguments) {
  const auto reply = Client(arguments).Get("/v1/config");
  if (!reply)
    return Fail(reply.error());
  if (arguments.json) {
    PrintJson(**reply);
    return kOk;
  }
  std::cout << "// revision " << Field(**reply, "revision") << '\n';
  (*reply)->getObject("document")->stringify(std::cout, 2);
  std::cout << '\n';
  return kOk;
}

int ConfigHistory(const Arguments& arguments) {
  const auto reply = Client(arguments).Get("/v1/config/history");
  if (!reply)
    return Fail(reply.error());
  if (arguments.json) {
    PrintJson(**reply);
    return kOk;
  }
  for (const auto& element : *(*reply)->getArray("changes")) {
    const auto& change = *element.extract<Json::Ptr>();
    std::cout << Field(change, "revision") << "  " << Field(change, "author")
              << "  " << Field(change, "change_id") << "  "
              << Field(change, "patch") << '\n';
  }
  return kOk;
}

// Waits until a revision is in force; prints the hosts that have not applied it
// yet.
int WaitInForce(const Arguments& arguments, const std::string& revision) {
  const OperatorClient client = Client(arguments);
  const auto end = std::chrono::steady_clock::now() +
                   std::chrono::seconds(arguments.timeout_s);
  Json::Ptr last;
  while (std::chrono::steady_clock::now() < end) {
    const auto force =
        client.GetFromLeader("/v1/config/force?revision=" + revision);
    if (force) {
      last = *force;
      if (last->getValue<bool>("in_force"))
        break;
    }
    std::this_thread::sleep_for(kInForcePollInterval);
  }
  const bool in_force = !last.isNull() && last->getValue<bool>("in_force");
  std::cout << "revision " << revision
            << (in_force ? " is in force\n" : " is not in force yet\n");
  if (!last.isNull()) {
    for (const auto& element : *last->getArray("outstanding")) {
      const auto& host = *element.extract<Json::Ptr>();
      std::cout << "outstanding: " << Field(host, "host") << " at revision "
                << Field(host, "revision") << ": " << Field(host, "reason")
                << '\n';
    }
  }
  return in_force ? kOk : kFailure;
}

int SendChange(const Arguments& arguments, const Json::Ptr& patch) {
  Json body;
  const std::string change_id =
      arguments.change_id.empty()
          ? Poco::UUIDGenerator::defaultGenerator().createRandom().toString()
          : arguments.change_id;
  body.set("change_id", change_id);
  body.set("author", arguments.author);
  body.set("patch", patch);
  if (!arguments.expect_revision.empty()) {
    body.set("expected_revision",
             static_cast<Poco::UInt64>(std::strtoull(
                 arguments.expect_revision.c_str(), nullptr, 10)));
  }
  const auto reply = Client(arguments).Post("/v1/config", body);
  if (!reply) {
    if (reply.error().status == 409 && !reply.error().body.isNull()) {
      const Json& winner = *reply.error().body;
      return Fail("conflict: the revision is " + Field(winner, "revision") +
                      "; change " + Field(winner, "conflict_change_id") +
                      " by " + Field(winner, "conflict_author") +
                      " was accepted first",
                  kConflict);
    }
    std::cerr << "change id " << change_id << '\n';
    return Fail(reply.error());
  }
  if (arguments.json) {
    PrintJson(**reply);
  } else {
    std::cout << "accepted as revision " << Field(**reply, "revision")
              << " (change id " << change_id << ")\n";
  }
  return arguments.wait ? WaitInForce(arguments, Field(**reply, "revision"))
                        : kOk;
}

// Returns the patch that makes the site's lists equal to those at `path`; other
// lists are not changed.
Result<Json::Ptr, std::string> PatchTo(const Arguments& arguments,
                                       const std::string& path) {
  const auto wanted = LoadLists(path);
  if (!wanted)
    return endivecart::Fail(settings::JoinErrors(wanted.error()));
  const auto current = Client(arguments).Get("/v1/config");
  if (!current)
    return endivecart::Fail(current.error().detail);
  const auto wanted_json = settings::ParseJsonText(*wanted);
  Json::Ptr current_lists = new Json;
  const Json::Ptr document = (*current)->getObject("document");
  for (const std::string& key : wanted_json->root->getNames()) {
    if (document->has(key))
      current_lists->set(key, document->get(key));
  }
  std::ostringstream from;
  current_lists->stringify(from);
  const auto patch = configuration::DiffAsMergePatch(from.str(), *wanted);
  if (!patch)
    return endivecart::Fail(settings::JoinErrors(patch.error()));
  return settings::ParseJsonText(*patch)->root;
}

int ConfigApply(const Arguments& arguments) {
  if (arguments.words.size() != 3)
    return Fail("usage: endivecart config apply FOLDER|FILE", kUsageError);
  const auto patch = PatchTo(arguments, arguments.words[2]);
  if (!patch)
    return Fail(patch.error(), kUsageError);
  if ((*patch)->size() == 0) {
    std::cout << "no changes\n";
    return kOk;
  }
  return SendChange(arguments, *patch);
}

int ConfigDiff(const Arguments& arguments) {
  if (arguments.words.size() != 3)
    return Fail("usage: endivecart config diff FOLDER|FILE", kUsageError);
  const auto patch = PatchTo(arguments, arguments.words[2]);
  if (!patch)
    return Fail(patch.error(), kUsageError);
  (*patch)->stringify(std::cout, 2);
  std::cout << '\n';
  return kOk;
}

int Config(const Arguments& arguments) {
  const std::map<std::string, std::function<int(const Arguments&)>> commands = {
      {"check", ConfigCheck},     {"show", ConfigShow},
      {"apply", ConfigApply},     {"diff", ConfigDiff},
      {"history", ConfigHistory},
  };
  const auto it = arguments.words.size() < 2
                      ? commands.end()
                      : commands.find(arguments.words[1]);
  if (it == commands.end()) {
    return Fail("usage: endivecart config check|show|apply|diff|history",
                kUsageError);
  }
  return it->second(arguments);
}

int DomainStatus(const Arguments& arguments) {
  const auto reply = Client(arguments).Get("/v1/config");
  if (!reply)
    return Fail(reply.error());
  const Json::Ptr domains =
      (*reply)->getObject("document")->getObject("domains");
  if (domains.isNull()) {
    std::cout << "all domains are in\n";
    return kOk;
  }
  for (const std::string& name : domains->getNames())
    std::cout << name << "  " << Field(*domains, name) << '\n';
  return kOk;
}

int Domain(const Arguments& arguments) {
  const std::string usage = "usage: endivecart domain out|in NAME | status";
  if (arguments.words.size() == 2 && arguments.words[1] == "status")
    return DomainStatus(arguments);
  if (arguments.words.size() != 3 ||
      (arguments.words[1] != "out" && arguments.words[1] != "in")) {
    return Fail(usage, kUsageError);
  }
  Json::Ptr states = new Json;
  states->set(arguments.words[2], arguments.words[1]);
  Json::Ptr patch = new Json;
  patch->set("domains", states);
  return SendChange(arguments, patch);
}

int Upstream(const Arguments& arguments) {
  if (arguments.words.size() != 3 ||
      (arguments.words[1] != "leave" && arguments.words[1] != "return")) {
    return Fail("usage: endivecart upstream leave|return NAME", kUsageError);
  }
  Json::Ptr rule = new Json;
  rule->set("leaving", arguments.words[1] == "leave");
  Json::Ptr rules = new Json;
  rules->set(arguments.words[2], rule);
  Json::Ptr patch = new Json;
  patch->set("upstreams", rules);
  return SendChange(arguments, patch);
}

std::int64_t UnixMillis() {
  return std::chrono::system_clock::now().time_since_epoch() / Millis(1);
}

Json::Ptr RolloutPatch(const std::string& model, const Json::Ptr& rollout) {
  Json::Ptr rollouts = new Json;
  rollouts->set(model, rollout);
  Json::Ptr patch = new Json;
  patch->set("rollouts", rollouts);
  return patch;
}

// Returns the site's rollouts; null if there are none.
Result<Json::Ptr, ClientError> ReadRollouts(const Arguments& arguments) {
  const auto reply = Client(arguments).Get("/v1/config");
  if (!reply)
    return endivecart::Fail(reply.error());
  return (*reply)->getObject("document")->getObject("rollouts");
}

int VersionStart(const Arguments& arguments) {
  if (arguments.words.size() != 4 || arguments.deadline.empty()) {
    return Fail(
        "usage: endivecart version start MODEL VERSION "
        "--deadline SECONDS [--route CLASS]",
        kUsageError);
  }
  const auto rollouts = ReadRollouts(arguments);
  if (!rollouts)
    return Fail(rollouts.error());
  const std::string& model = arguments.words[2];
  const Json::Ptr current =
      rollouts->isNull() ? nullptr : (*rollouts)->getObject(model);
  if (!current.isNull() && Field(*current, "state") == "running") {
    return Fail("a move of " + model + " to " + Field(*current, "version") +
                    " is running; abort it first",
                kConflict);
  }
  Json::Ptr rollout = new Json;
  const std::int64_t now = UnixMillis();
  rollout->set("version", arguments.words[3]);
  rollout->set("state", "running");
  rollout->set("share_permille", 0);
  rollout->set("started_ms", now);
  rollout->set(
      "deadline_ms",
      now + std::strtoll(arguments.deadline.c_str(), nullptr, 10) * 1000);
  // Null removes the fields of an earlier move.
  rollout->set("route", arguments.route.empty()
                            ? Poco::Dynamic::Var()
                            : Poco::Dynamic::Var(arguments.route));
  rollout->set("reason", Poco::Dynamic::Var());
  rollout->set("previous", Poco::Dynamic::Var());
  return SendChange(arguments, RolloutPatch(model, rollout));
}

int VersionAbort(const Arguments& arguments) {
  if (arguments.words.size() != 3)
    return Fail("usage: endivecart version abort MODEL", kUsageError);
  Json::Ptr rollout = new Json;
  rollout->set("state", "taken-back");
  rollout->set("share_permille", 0);
  rollout->set("reason", "aborted by " + arguments.author);
  return SendChange(arguments, RolloutPatch(arguments.words[2], rollout));
}

bool PrintRollouts(const Json::Ptr& rollouts) {
  bool running = false;
  for (const std::string& model : rollouts->getNames()) {
    const Json::Ptr rollout = rollouts->getObject(model);
    running |= Field(*rollout, "state") == "running";
    std::cout << model << "  version " << Field(*rollout, "version") << "  "
              << Field(*rollout, "state") << "  share "
              << Field(*rollout, "share_permille") << " permille"
              << (Field(*rollout, "reason").empty() ? "" : "  ")
              << Field(*rollout, "reason") << '\n';
  }
  return running;
}

int VersionStatus(const Arguments& arguments) {
  const auto end = std::chrono::steady_clock::now() +
                   std::chrono::seconds(arguments.timeout_s);
  while (true) {
    const auto rollouts = ReadRollouts(arguments);
    if (!rollouts)
      return Fail(rollouts.error());
    if (rollouts->isNull()) {
      std::cout << "no moves\n";
      return kOk;
    }
    const bool running = PrintRollouts(*rollouts);
    if (!arguments.wait || !running)
      return kOk;
    if (std::chrono::steady_clock::now() >= end)
      return Fail("the move is still running", kFailure);
    std::this_thread::sleep_for(kMovePollInterval);
  }
}

int VersionHistory(const Arguments& arguments) {
  const auto reply = Client(arguments).Get("/v1/config/history");
  if (!reply)
    return Fail(reply.error());
  for (const auto& element : *(*reply)->getArray("changes")) {
    const auto& change = *element.extract<Json::Ptr>();
    if (Field(change, "patch").find("\"rollouts\"") != std::string::npos) {
      std::cout << Field(change, "revision") << "  " << Field(change, "author")
                << "  " << Field(change, "patch") << '\n';
    }
  }
  return kOk;
}

int Version(const Arguments& arguments) {
  const std::map<std::string, std::function<int(const Arguments&)>> commands = {
      {"start", VersionStart},
      {"status", VersionStatus},
      {"abort", VersionAbort},
      {"history", VersionHistory},
  };
  const auto it = arguments.words.size() < 2
                      ? commands.end()
                      : commands.find(arguments.words[1]);
  if (it == commands.end()) {
    return Fail("usage: endivecart version start|status|abort|history",
                kUsageError);
  }
  return it->second(arguments);
}

int Voters(const Arguments& arguments) {
  if (arguments.words.size() != 3) {
    return Fail("usage: endivecart voters add|promote|remove HOST",
                kUsageError);
  }
  Json body;
  body.set("action", arguments.words[1]);
  body.set("host", arguments.words[2]);
  const auto reply = Client(arguments).PostToLeader("/v1/voters", body);
  if (!reply)
    return Fail(reply.error());
  std::cout << Field(**reply, "result") << '\n';
  return kOk;
}

int Drain(const Arguments& arguments) {
  if (arguments.operators.size() != 1)
    return Fail("drain requires exactly one host in --operators", kUsageError);
  const auto reply = Client(arguments).Post("/v1/drain", Json());
  if (!reply)
    return Fail(reply.error());
  std::cout << "the host is no longer ready\n";
  return kOk;
}

}  // namespace

int RunCommand(const Arguments& arguments) {
  const std::map<std::string, std::function<int(const Arguments&)>> commands = {
      {"keygen", KeyGen},   {"digest", Digest},       {"config", Config},
      {"status", Status},   {"upstreams", Upstreams}, {"upstream", Upstream},
      {"domain", Domain},   {"voters", Voters},       {"drain", Drain},
      {"version", Version}, {"explain", Explain},
  };
  const auto it = commands.find(arguments.words.front());
  if (it == commands.end()) {
    return Fail("unknown command '" + arguments.words.front() +
                    "'; see endivecart --help",
                kUsageError);
  }
  return it->second(arguments);
}

}  // namespace command_line
