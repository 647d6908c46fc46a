// Runs one host of the system in the role given on the command line.

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

#include "endivecart/endivecart.h"
#include "fleet_programs.h"

namespace {

using namespace endivecart;  // NOLINT(google-build-using-namespace)

constexpr int kFailure = 1;
constexpr int kUsageError = 2;
constexpr char kVersion[] = "0.1.0";

cxxopts::Options MakeOptions() {
  cxxopts::Options options("endivecartd",
                           "Runs one host of an endivecart site");
  options.add_options()(
      "role",
      "site (default): a host whose settings list all other hosts; entry or "
      "control: a process of a fleet whose members discover each other",
      cxxopts::value<std::string>()->default_value("site"))(
      "settings",
      "settings file; for entry and control the variable "
      "ENDIVECART_SETTINGS may name it",
      cxxopts::value<std::string>())(
      "found-site",
      "create this voter's data folder for a new site; only at the very first "
      "start")("policy",
               "order of upstreams: predicted, least-loaded or round-robin; "
               "all but the first are baselines",
               cxxopts::value<std::string>()->default_value("predicted"))(
      "version", "print the version")("help", "print this help");
  return options;
}

std::optional<entry::RoutingPolicy> ReadPolicy(const std::string& name) {
  if (name == "predicted")
    return entry::RoutingPolicy::kPredicted;
  if (name == "least-loaded")
    return entry::RoutingPolicy::kLeastLoaded;
  if (name == "round-robin")
    return entry::RoutingPolicy::kRoundRobin;
  return std::nullopt;
}

int Fail(const std::string& message, int code) {
  std::cerr << "endivecartd: " << message << '\n';
  return code;
}

// Waits for SIGTERM or SIGINT, which all threads block.
void WaitForStop(const sigset_t& signals) {
  int signal = 0;
  sigwait(&signals, &signal);
}

int Serve(const cxxopts::ParseResult& args) {
  const auto policy = ReadPolicy(args["policy"].as<std::string>());
  if (!policy)
    return Fail("--policy: unknown policy", kUsageError);
  auto settings =
      settings::LoadHostSettings(args["settings"].as<std::string>());
  if (!settings)
    return Fail(settings::JoinErrors(settings.error()), kUsageError);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  SetUpLogging(settings->log);
  auto host = host::Host::Start(
      {std::move(*settings), *policy, args.count("found-site") > 0});
  if (!host)
    return Fail(host.error().detail, kFailure);
  WaitForStop(signals);
  const bool clean = (*host)->StopGracefully();
  return clean ? 0 : kFailure;
}

int ServeFleet(const std::string& role, std::string file) {
  if (file.empty() && std::getenv("ENDIVECART_SETTINGS") != nullptr)
    file = std::getenv("ENDIVECART_SETTINGS");
  if (file.empty())
    return Fail("--settings is required", kUsageError);
  if (role == "entry")
    return RunEntry(file);
  if (role == "control")
    return RunControl(file);
  return Fail("unknown role '" + role + "'", kUsageError);
}

}  // namespace

int main(int argc, char** argv) {
  auto options = MakeOptions();
  options.parse_positional({"role"});
  options.positional_help("[site|entry|control]");
  try {
    const auto args = options.parse(argc, argv);
    if (args.count("help") > 0) {
      std::cout << options.help() << '\n';
      return 0;
    }
    if (args.count("version") > 0) {
      std::cout << "endivecartd " << kVersion << '\n';
      return 0;
    }
    const auto role = args["role"].as<std::string>();
    if (role != "site") {
      return ServeFleet(role, args.count("settings") > 0
                                  ? args["settings"].as<std::string>()
                                  : "");
    }
    if (args.count("settings") == 0)
      return Fail("--settings is required", kUsageError);
    return Serve(args);
  } catch (const cxxopts::exceptions::exception& e) {
    return Fail(e.what(), kUsageError);
  }
}
