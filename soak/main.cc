// Runs the control plane with random faults; each run is determined by its
// seed.

#include <atomic>
#include <cxxopts.hpp>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

#include "endivecart/base/base.h"
#include "random_run.h"

namespace {

constexpr int kUsageError = 2;

// Parses a seed ("5") or an inclusive range of seeds ("1-200").
std::vector<std::uint64_t> ParseSeeds(const std::string& text) {
  const std::size_t dash = text.find('-');
  const std::uint64_t first = std::stoull(text.substr(0, dash));
  const std::uint64_t last =
      dash == std::string::npos ? first : std::stoull(text.substr(dash + 1));
  std::vector<std::uint64_t> seeds;
  for (std::uint64_t seed = first; seed <= last; ++seed)
    seeds.push_back(seed);
  return seeds;
}

void Print(std::uint64_t seed, const soak::RunReport& report) {
  std::cout << "seed " << seed << ": "
            << (report.violation.empty()
                    ? std::string("held")
                    : "VIOLATION at step " + std::to_string(report.step) +
                          ": " + report.violation)
            << "; changes " << report.accepted_changes << ", claims "
            << report.claims_granted << ", crashes " << report.crashes
            << ", lost disks " << report.lost_disks << ", leaders "
            << report.leaders << '\n';
}

int Run(const cxxopts::ParseResult& args) {
  const auto seeds = ParseSeeds(args["seed"].as<std::string>());
  const bool verbose = args.count("verbose") > 0;
  if (!verbose)
    endivecart::SetLogSinkForTest([](const std::string&) {});
  soak::RunReport total;
  std::uint64_t failed = 0;
  for (const std::uint64_t seed : seeds) {
    soak::RunOptions options;
    options.seed = seed;
    options.steps = args["steps"].as<int>();
    const soak::RunReport report = soak::RunOnce(options);
    total.step += report.step;
    total.accepted_changes += report.accepted_changes;
    total.claims_granted += report.claims_granted;
    total.crashes += report.crashes;
    total.lost_disks += report.lost_disks;
    total.leaders += report.leaders;
    if (!report.violation.empty()) {
      ++failed;
      Print(seed, report);
    } else if (verbose || seeds.size() == 1) {
      Print(seed, report);
    }
  }
  std::cout << total.step << " steps: " << total.accepted_changes
            << " changes, " << total.claims_granted << " claims, "
            << total.crashes << " crashes, " << total.lost_disks
            << " lost disks, " << total.leaders << " leaders\n"
            << seeds.size() - failed << " passed, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("endivecart-soak", "Seeded random runs with faults");
  options.add_options()("seed", "seed, or a range such as 1-200",
                        cxxopts::value<std::string>()->default_value("1"))(
      "steps", "steps of 10 ms per seed",
      cxxopts::value<int>()->default_value("5000"))(
      "verbose", "print log lines and each seed")("help", "print this help");
  try {
    const auto args = options.parse(argc, argv);
    if (args.count("help") > 0) {
      std::cout << options.help() << '\n';
      return 0;
    }
    return Run(args);
  } catch (const std::exception& e) {
    std::cerr << "endivecart-soak: " << e.what() << '\n';
    return kUsageError;
  }
}
