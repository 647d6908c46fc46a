#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>

#include "endivecart/duties/duties.h"

namespace endivecart::duties {
namespace {

constexpr int kPerServer = 10;
constexpr Millis kTick{250};
constexpr Millis kBoot{8000};

// Three domains whose load each test changes. The platform starts servers as
// planned after their boot time.
struct Platform {
  Platform() {
    service.service = routes::ServiceId("s");
    service.scaling = {2, 40, kBoot};
    service.requests_per_server = kPerServer;
    for (const char* name : {"a", "b", "c"}) {
      DomainServers domain;
      domain.domain = DomainId(name);
      domain.ready = 6;
      service.domains.push_back(domain);
    }
  }

  void Run(Millis time, double requests) {
    for (const TimePoint end = now + time; now < end; now += kTick) {
      const auto is_lost = [](const DomainServers& domain) {
        return domain.is_out || !domain.is_reporting;
      };
      const auto lost = static_cast<int>(std::count_if(
          service.domains.begin(), service.domains.end(), is_lost));
      for (DomainServers& domain : service.domains) {
        domain.requests =
            is_lost(domain) ? 0 : static_cast<int>(requests) / (3 - lost);
      }
      const auto before = targets;
      targets = planner.Plan({{service}}, now);
      ++plans;
      for (std::size_t i = 0; i < std::min(before.size(), targets.size());
           ++i) {
        const int change = targets[i].servers - before[i].servers;
        ups += change > 0 ? 1 : 0;
        downs += change < 0 ? 1 : 0;
        largest_down = std::min(largest_down, change);
      }
    }
  }
  int TargetOf(const std::string& domain) const {
    for (const ScaleTarget& target : targets) {
      if (target.domain == DomainId(domain))
        return target.servers;
    }
    return -1;
  }

  TimePoint now{Millis(1000000)};
  ScaledService service;
  ScalePlanner planner;
  std::vector<ScaleTarget> targets;
  int plans = 0;
  int ups = 0;
  int downs = 0;
  int largest_down = 0;
};

BOOST_FIXTURE_TEST_SUITE(duties_scale_planner,
                         Platform,
                         *boost::unit_test::label("duties"))

BOOST_AUTO_TEST_CASE(a_new_leader_starts_from_the_number_that_is_present) {
  service.domains[0].ready = 4;
  service.domains[0].booting = 2;
  Run(kBoot, 90);
  BOOST_TEST(targets.empty());
  Run(kTick, 90);
  BOOST_TEST(TargetOf("a") == 6);
  planner.Reset();
  Run(kBoot, 90);
  BOOST_TEST(targets.empty());
}

// Guards against a decision from samples of the time before a suspension.
BOOST_AUTO_TEST_CASE(after_a_gap_the_planner_starts_anew) {
  Run(kBoot + kTick, 90);
  BOOST_TEST(!targets.empty());
  now += ScalePlanner::kMaxSampleGap + kTick;
  Run(kTick, 90);
  BOOST_TEST(targets.empty());
}

// Guards against servers that are requested only when they are needed, which
// is too late by the boot time.
BOOST_AUTO_TEST_CASE(a_wave_is_anticipated_by_the_boot_time) {
  Run(Millis(20000), 60);
  const TimePoint wave_begins = now;
  std::vector<std::pair<TimePoint, int>> planned;
  while (now - wave_begins < Millis(60000)) {
    const double at_s = MillisBetween(wave_begins, now) / 1000;
    const double needed = (60 + 5 * at_s) / kPerServer;
    // What was planned a boot time ago serves now.
    int serving = 0;
    for (const auto& [at, servers] : planned) {
      if (now - at >= kBoot)
        serving = servers;
    }
    if (now - wave_begins > kBoot + ScalePlanner::kTrendTime)
      BOOST_TEST(serving * 3 >= needed);
    Run(kTick, 60 + 5 * at_s);
    planned.emplace_back(now, TargetOf("a"));
  }
}

BOOST_AUTO_TEST_CASE(a_burst_scales_up_at_once_and_down_slowly) {
  Run(Millis(20000), 90);
  Run(Millis(1500), 300);
  const int peak = TargetOf("a");
  // 30 servers' work, of which two domains carry all.
  BOOST_TEST(peak >= 15);
  Run(Millis(20000), 90);
  BOOST_TEST(TargetOf("a") == peak);
  const TimePoint first = now;
  Run(Millis(60000), 90);
  BOOST_TEST(largest_down == -1);
  BOOST_TEST(TargetOf("a") >= peak - 1 - MillisBetween(first, now) / 8000);
  BOOST_TEST(TargetOf("a") < peak);
}

// Guards against flapping: a server that is removed in each trough has to boot
// again for the next crest.
BOOST_AUTO_TEST_CASE(a_demand_that_swings_faster_than_servers_boot_is_borne) {
  for (int i = 0; i < 40; ++i) {
    Run(Millis(3000), 120);
    Run(Millis(3000), 60);
  }
  const int changes = ups + downs;
  for (int i = 0; i < 40; ++i) {
    Run(Millis(3000), 120);
    Run(Millis(3000), 60);
  }
  BOOST_TEST(ups + downs == changes);
}

BOOST_AUTO_TEST_CASE(two_domains_can_carry_the_load_of_three) {
  Run(Millis(20000), 180);
  BOOST_TEST(TargetOf("a") * 2 >= 18);
}

BOOST_AUTO_TEST_CASE(
    the_number_of_a_lost_domain_stays_and_others_take_its_load) {
  Run(Millis(20000), 180);
  const int before = TargetOf("a");
  for (const bool is_partitioned : {true, false}) {
    DomainServers& lost = service.domains[0];
    lost.is_reporting = !is_partitioned;
    lost.is_out = !is_partitioned;
    Run(Millis(40000), 180);
    BOOST_TEST(TargetOf("a") == -1);
    BOOST_TEST(TargetOf("b") * 2 >= 18 / ScalePlanner::kTargetUse - 1);
  }
  service.domains[0].is_reporting = true;
  service.domains[0].is_out = false;
  Run(kTick, 180);
  BOOST_TEST(TargetOf("a") >= before);
}

// Guards against a number that follows the servers that are left.
BOOST_AUTO_TEST_CASE(crashed_servers_are_missing) {
  Run(Millis(20000), 180);
  const int before = TargetOf("a");
  service.domains[0].ready = 1;
  service.waiting_requests = 20;
  Run(Millis(40000), 180);
  BOOST_TEST(TargetOf("a") >= before);
  const auto missing = targets.front().reason.find("missing");
  BOOST_REQUIRE(missing != std::string::npos);
  BOOST_TEST(targets.front().reason.substr(missing) ==
             "missing " + std::to_string(TargetOf("a") - 1));
}

BOOST_AUTO_TEST_CASE(memory_and_prompts_count_as_well_as_requests) {
  service.domains[0].memory_share = 1;
  BOOST_TEST(DemandOf(service) == 6.0);
  service.prompt_tokens_per_server = 1000;
  service.domains[1].prompt_tokens = 4000;
  service.waiting_prompt_tokens = 5000;
  BOOST_TEST(DemandOf(service) == 9.0);
  service.domains[0].requests = 100;
  service.waiting_requests = 100;
  BOOST_TEST(DemandOf(service) == 20.0);
}

BOOST_AUTO_TEST_CASE(the_configured_range_is_kept) {
  Run(Millis(20000), 5000);
  BOOST_TEST(TargetOf("a") == 40);
  Run(Millis(600000), 0);
  BOOST_TEST(TargetOf("a") == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::duties
