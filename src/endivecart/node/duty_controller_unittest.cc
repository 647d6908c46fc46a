#include "endivecart/node/duty_controller.h"

#include <boost/test/unit_test.hpp>

#include "duty_calls.h"
#include "platform_standin.h"
#include "support/loop_fixture.h"

namespace endivecart::node {
namespace {

using tests::AnyPort;
using tests::LoopFixture;

constexpr std::uint64_t kStartUnixMs = 1'000'000;

// Control processes that share a replicated log whose commits take no time, and
// the platform, over real sockets.
struct Duties : LoopFixture {
  struct Process {
    std::unique_ptr<DutyController> controller;
    bool is_suspended = false;
  };

  explicit Duties(bool fencing_required = false)
      : platform(loop, {AnyPort(), fencing_required, 50}) {
    BOOST_REQUIRE_EQUAL(platform.Start(), "");
    for (const char* name : {"c1", "c2"})
      Add(name);
    decisions.routing_version = 1;
    tick = loop.Every(Millis(50), [this](TimePoint) {
      for (auto& [name, process] : processes) {
        if (!process.is_suspended)
          process.controller->Tick(decisions);
      }
    });
  }

  void Add(const std::string& name) {
    DutyController::Options options;
    options.api.address = {"127.0.0.1", platform.port()};
    options.api.duties = {settings::Duty::kUsage, settings::Duty::kScale};
    options.holder = name;
    DutyController::Hooks hooks;
    hooks.is_confirmed_leader = [this, name] { return leader == name; };
    hooks.term = [this] { return term; };
    hooks.usage_log = [this]() -> const duties::UsageLog& { return log; };
    hooks.propose = [this](const wire::FleetCommand& command,
                           const fleet::FleetVoter::ProposalCallback& done) {
      log.Apply(command.close_usage_window());
      done(fleet::ProposalResult::kDecided);
    };
    hooks.encode_call = platform::EncodeDutyCall;
    hooks.decode_result = platform::DecodeDutyResult;
    hooks.decode_customers = [](const std::string&) {
      return std::optional(std::vector{CustomerId("a"), CustomerId("b")});
    };
    hooks.unix_ms = [this](TimePoint now) {
      return std::optional(
          kStartUnixMs + static_cast<std::uint64_t>(MillisBetween(start, now)));
    };
    hooks.usage_counts = [this](std::uint64_t window) {
      return window < first_known
                 ? std::nullopt
                 : std::optional(std::map<CustomerId, std::uint64_t>{
                       {CustomerId("a"), window}});
    };
    hooks.usage_complete = [](std::uint64_t, TimePoint) { return true; };
    hooks.scale_targets = [this](TimePoint) {
      return std::vector{
          duties::ScaleTarget{routes::ServiceId("s"), DomainId("d"), servers}};
    };
    processes[name].controller = std::make_unique<DutyController>(
        loop, options, std::move(hooks), metrics);
  }

  void Lead(const std::string& name) {
    leader = name;
    ++term;
  }
  std::vector<std::string> Executed(const std::string& path) const {
    std::vector<std::string> bodies;
    for (const auto& call : platform.executed()) {
      if (call.path == path)
        bodies.push_back(call.body);
    }
    return bodies;
  }

  standins::PlatformStandin platform;
  MetricsRegistry metrics;
  const TimePoint start = loop.Now();
  std::string leader;
  std::uint64_t term = 0;
  duties::UsageLog log;
  fleet::Decisions decisions;
  int servers = 3;
  std::uint64_t first_known = kStartUnixMs / 5000;
  std::map<std::string, Process> processes;
  std::unique_ptr<TimerSubscription> tick;
};

struct FencedDuties : Duties {
  FencedDuties() : Duties(true) {}
};

BOOST_AUTO_TEST_SUITE(node_duty_controller, *boost::unit_test::label("net"))

BOOST_FIXTURE_TEST_CASE(windows_and_numbers_of_servers_are_sent_once, Duties) {
  Lead("c1");
  RunFor(Millis(17'000));
  BOOST_TEST((Executed("/usage") ==
              std::vector<std::string>{
                  R"({"counts":{"a":200,"b":0},"window_number":200})",
                  R"({"counts":{"a":201,"b":0},"window_number":201})",
                  R"({"counts":{"a":202,"b":0},"window_number":202})"}));
  // The second one is meant for a late call of a former holder.
  BOOST_TEST(Executed("/scale").size() == 2U);
  servers = 4;
  RunFor(Millis(2000));
  BOOST_TEST(Executed("/scale").back() ==
             R"({"desired_count":4,"service":"s","zone":"d"})");
  BOOST_TEST(platform.violation() == "");
}

// Guards against reports that differ, and against numbers of servers that a
// call without an answer undoes.
BOOST_FIXTURE_TEST_CASE(lost_late_failed_and_slow_calls_are_repeated, Duties) {
  Lead("c1");
  platform.faults.lost = 1;
  platform.faults.failed = 1;
  RunFor(Millis(6000));
  platform.faults.late = 2;
  servers = 4;
  RunFor(Millis(1500));
  servers = 5;
  RunFor(Millis(12'000));
  platform.faults.answer_delay = Millis(900);
  RunFor(Millis(10'000));
  const auto reports = Executed("/usage");
  BOOST_TEST((std::set(reports.begin(), reports.end()).size() >= 4U));
  BOOST_TEST(Executed("/scale").back() ==
             R"({"desired_count":5,"service":"s","zone":"d"})");
  BOOST_TEST(platform.violation() == "");
}

// Guards against a queue of calls that exceeds the platform's rate after it was
// down.
BOOST_FIXTURE_TEST_CASE(reports_follow_after_the_platform_was_down, Duties) {
  Lead("c1");
  const int port = platform.port();
  platform.Stop();
  RunFor(Millis(16'000));
  standins::PlatformStandin again(loop, {{"127.0.0.1", port}, false, 50});
  BOOST_REQUIRE_EQUAL(again.Start(), "");
  RunFor(Millis(3000));
  BOOST_TEST(again.executed().size() >= 4U);
  BOOST_TEST(again.throttled() == 0);
  BOOST_TEST(again.violation() == "");
}

// Guards against a call of a holder that was suspended while another process
// took over.
BOOST_FIXTURE_TEST_CASE(a_resumed_holder_checks_its_leadership_first, Duties) {
  Lead("c1");
  RunFor(Millis(6000));
  processes["c1"].is_suspended = true;
  platform.faults.late = 1;
  Lead("c2");
  RunFor(Millis(3000));
  const auto before = platform.executed().size();
  servers = 7;
  RunFor(Millis(1500));
  BOOST_TEST(platform.executed().size() > before);
  processes["c1"].is_suspended = false;
  RunFor(Millis(10'000));
  BOOST_TEST(platform.executed().back().holder == "c2");
  BOOST_TEST(platform.executed().back().token == 2U);
  BOOST_TEST(platform.violation() == "");
}

BOOST_FIXTURE_TEST_CASE(an_outdated_holder_stops_calling, FencedDuties) {
  Lead("c1");
  term = 5;
  RunFor(Millis(10'000));
  // The platform has seen a higher number, so each subject gets one call.
  Lead("c2");
  term = 4;
  RunFor(Millis(20'000));
  BOOST_TEST(platform.refused() == 2);
  Lead("c2");
  term = 6;
  const auto before = platform.executed().size();
  RunFor(Millis(4000));
  BOOST_TEST(platform.executed().size() > before);
  BOOST_TEST(platform.violation() == "");
}

BOOST_FIXTURE_TEST_CASE(nothing_is_reported_before_the_first_configuration,
                        Duties) {
  decisions.routing_version = 0;
  Lead("c1");
  RunFor(Millis(12'000));
  BOOST_TEST(Executed("/usage").empty());
  decisions.routing_version = 1;
  RunFor(Millis(5000));
  BOOST_TEST(Executed("/usage").size() == 1U);
  BOOST_TEST(Executed("/usage")[0] ==
             R"({"counts":{"a":202,"b":0},"window_number":202})");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::node
