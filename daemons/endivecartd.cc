// One host of the system; its role follows from its settings.

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

#include "endivecart/endivecart.h"

namespace {

using namespace endivecart;  // NOLINT(google-build-using-namespace)

constexpr int kFailure = 1;
constexpr int kUsageError = 2;
constexpr char kVersion[] = "0.1.0";

cxxopts::Options MakeOptions() {
  cxxopts::Options options("endivecartd",
                           "Runs one host of an endivecart site");
  options.add_options()("settings", "settings file of this host",
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

// Waits for SIGTERM or SIGINT, which every thread has blocked.
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

}  // namespace

int main(int argc, char** argv) {
  auto options = MakeOptions();
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
    if (args.count("settings") == 0)
      return Fail("--settings is required", kUsageError);
    return Serve(args);
  } catch (const cxxopts::exceptions::exception& e) {
    return Fail(e.what(), kUsageError);
  }
}
