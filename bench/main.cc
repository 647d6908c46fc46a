// Load generator and experiments.

#include <csignal>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <map>

#include "endivecart/base/base.h"
#include "experiments.h"
#include "fleet_load.h"

namespace {

constexpr int kUsageError = 2;

cxxopts::Options MakeOptions() {
  cxxopts::Options options("endivecart-bench",
                           "Load generator and experiments");
  const auto text = [] {
    return cxxopts::value<std::string>()->default_value("");
  };
  options.add_options()("experiment",
                        "returns, overhead, load, decide, moves, changes, "
                        "calls, distribution or fleet",
                        cxxopts::value<std::string>())(
      "hosts", "URLs of the caller API, comma-separated", text())(
      "upstreams", "URLs of the stand-in upstreams", text())(
      "stores", "URLs of the stand-in stores", text())(
      "keys", "API keys", text())("operators", "URLs of the operator API",
                                  text())("token", "operator token", text())(
      "output", "file for the ids of accepted changes",
      cxxopts::value<std::string>()->default_value("/dev/null"))(
      "prompts", "folder of .md files to build prompts from",
      cxxopts::value<std::string>()->default_value("docs"))(
      "seed", "random seed",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "duration", cxxopts::value<double>()->default_value("10"))(
      "rate", "calls per second",
      cxxopts::value<double>()->default_value("20"))(
      "count", "moves of each kind",
      cxxopts::value<int>()->default_value("40"))(
      "warmup", "seconds at the start that are reported separately",
      cxxopts::value<double>()->default_value("0"))(
      "control", "IP addresses of control hosts, comma-separated; for fleet",
      text())("operator-port", "of the control hosts; for fleet",
              cxxopts::value<int>()->default_value("7000"))(
      "peer-port", "of the control hosts; for fleet",
      cxxopts::value<int>()->default_value("7100"))(
      "entry-hosts", "for fleet", cxxopts::value<int>()->default_value("300"))(
      "fleet-upstreams", "for fleet",
      cxxopts::value<int>()->default_value("3000"))(
      "limits", "upstreams whose limits each host names; for fleet",
      cxxopts::value<int>()->default_value("0"))(
      "burst", "factor on the last customer's rate in the middle third",
      cxxopts::value<double>()->default_value("1"))("json", "print JSON lines")(
      "help", "print this help");
  options.parse_positional({"experiment"});
  return options;
}

int RunFleet(const cxxopts::ParseResult& args) {
  bench::FleetLoad load;
  load.control_hosts =
      endivecart::SplitAtCommas(args["control"].as<std::string>());
  load.operator_port = args["operator-port"].as<int>();
  load.peer_port = args["peer-port"].as<int>();
  load.hosts = args["entry-hosts"].as<int>();
  load.upstreams = args["fleet-upstreams"].as<int>();
  load.limits = args["limits"].as<int>();
  load.seconds = args["seconds"].as<double>();
  if (load.control_hosts.empty() || load.upstreams < 1) {
    std::cerr << "endivecart-bench: --control and --fleet-upstreams are "
                 "required\n";
    return kUsageError;
  }
  return bench::RunFleetLoad(load);
}

int Run(const cxxopts::ParseResult& args) {
  if (args["experiment"].as<std::string>() == "fleet")
    return RunFleet(args);
  const std::map<std::string, std::function<int(const bench::SiteTargets&)>>
      experiments = {{"returns", bench::RunReturns},
                     {"overhead", bench::RunOverhead},
                     {"load", bench::RunLoad},
                     {"decide", bench::RunDecide},
                     {"moves", bench::RunMoves},
                     {"changes", bench::RunChanges},
                     {"calls", bench::RunCalls},
                     {"distribution", bench::RunDistribution}};
  const auto it = experiments.find(args["experiment"].as<std::string>());
  if (it == experiments.end()) {
    std::cerr << "endivecart-bench: unknown experiment\n";
    return kUsageError;
  }
  bench::SiteTargets site;
  site.hosts = endivecart::SplitAtCommas(args["hosts"].as<std::string>());
  site.upstreams =
      endivecart::SplitAtCommas(args["upstreams"].as<std::string>());
  site.stores = endivecart::SplitAtCommas(args["stores"].as<std::string>());
  site.keys = endivecart::SplitAtCommas(args["keys"].as<std::string>());
  site.operators =
      endivecart::SplitAtCommas(args["operators"].as<std::string>());
  site.operator_token = args["token"].as<std::string>();
  site.output = args["output"].as<std::string>();
  site.prompts = args["prompts"].as<std::string>();
  site.seed = args["seed"].as<std::uint64_t>();
  site.seconds = args["seconds"].as<double>();
  site.rate = args["rate"].as<double>();
  site.concurrent = args["count"].as<int>();
  site.warmup = args["warmup"].as<double>();
  site.burst = args["burst"].as<double>();
  site.json = args.count("json") > 0;
  const bool needs_site = it->first != "decide" && it->first != "moves" &&
                          it->first != "distribution";
  if (needs_site && (site.hosts.empty() || site.keys.empty())) {
    std::cerr << "endivecart-bench: --hosts and --keys are required\n";
    return kUsageError;
  }
  return it->second(site);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  endivecart::SetUpLogging({});
  auto options = MakeOptions();
  try {
    const auto args = options.parse(argc, argv);
    if (args.count("help") > 0 || args.count("experiment") == 0) {
      std::cout << options.help() << '\n';
      return args.count("help") > 0 ? 0 : kUsageError;
    }
    return Run(args);
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << "endivecart-bench: " << e.what() << '\n';
    return kUsageError;
  }
}
