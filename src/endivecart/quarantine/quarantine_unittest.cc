#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

#include "endivecart/quarantine/quarantine.h"

namespace endivecart::quarantine {
namespace {

constexpr Millis kStep{10};
constexpr Millis kRunTime{20};
constexpr Millis kPollInterval{250};
// Of the deployments; a host that has been in touch for so long must know.
constexpr Millis kContactWindow{3000};

// Many hosts and one or more control hosts on a manual clock. A prompt with the
// part "bad" crashes its upstream, and with it a few sound prompts of other
// hosts.
class SimulatedFleet {
 public:
  explicit SimulatedFleet(std::size_t host_count, std::size_t judge_count = 1)
      : hosts(host_count), in_touch(host_count, true), judges(judge_count) {}

  // Sends a prompt from a random host in touch. Returns whether it was sent.
  // `request` identifies it; 0: a new one.
  bool Send(PartList parts,
            bool breaks,
            const std::string& upstream,
            std::uint64_t request = 0) {
    std::size_t host = random_() % hosts.size();
    while (!in_touch[host])
      host = random_() % hosts.size();
    parts.push_back("common");
    parts = PartKeys(parts);
    const HostRank rank{static_cast<int>(hosts.size()), static_cast<int>(host)};
    if (!hosts[host].Admit(parts, rank, now).allowed)
      return false;
    runs_.push_back({host, request == 0 ? requests_ : request, parts,
                     now + kRunTime, breaks, upstream});
    return true;
  }
  void SendSound() {
    ++requests_;
    refused_sound += Send({Name("s")}, false, "sound") ? 0 : 1;
  }
  // Sends a request that crashes its upstream, as often as a caller's attempt
  // allows, with requests of others that break off with it. One of these goes
  // on to the next upstream too.
  void SendCrashingRequest(int upstreams_per_attempt) {
    const std::uint64_t attempt = ++requests_;
    const std::uint64_t unlucky = ++requests_;
    const std::string unlucky_key = "request:" + Name("unlucky");
    for (int i = 0; i < upstreams_per_attempt; ++i) {
      ++requests_;
      const std::string upstream = Name("u");
      last_upstream = upstream;
      if (!Send({"request:bad"}, true, upstream, attempt))
        return;
      bad_sent_at.push_back(now);
      Send({unlucky_key}, true, upstream, unlucky);
      Send({"request:" + Name("beside")}, true, upstream);
      for (int step = 0; step < 8; ++step) {
        SendSound();
        Step();
      }
    }
  }
  // All processes lose power and start again, the control hosts with what they
  // have stored.
  void RestartAll() {
    runs_.clear();
    following_since_.clear();
    hosts = std::vector<PartMonitor>(hosts.size());
    for (PartJudge& judge : judges) {
      const auto stored = judge.quarantines();
      judge = PartJudge();
      judge.Restore(stored, now);
    }
  }
  // Returns whether it was sent.
  bool SendBad(const std::string& bad = "bad") {
    ++requests_;
    const std::string upstream = Name("u");
    last_upstream = upstream;
    if (!Send({bad, Name("o")}, true, upstream))
      return false;
    bad_sent_at.push_back(now);
    for (int i = 0; i < 3; ++i) {
      ++requests_;
      Send({Name("c")}, true, upstream);
    }
    return true;
  }
  void Step() {
    now += kStep;
    std::vector<Prompt> ended;
    std::erase_if(runs_, [&](const Prompt& run) {
      if (run.ends_at <= now)
        ended.push_back(run);
      return run.ends_at <= now;
    });
    for (const Prompt& run : ended) {
      PartMonitor& host = hosts[run.host];
      if (run.breaks) {
        host.OnBroken(run.upstream, run.request, run.parts, now);
      } else {
        host.OnAnswered(run.parts, now);
      }
    }
    for (PartJudge& judge : judges)
      Exchange(judge);
  }
  // Runs for `time` with a sound prompt in each step, and a bad one at each
  // interval, if that isn't 0.
  void Run(Millis time, Millis bad_interval = Millis(0)) {
    for (Millis passed{0}; passed < time; passed += kStep) {
      SendSound();
      if (bad_interval > Millis(0) && passed % bad_interval == Millis(0))
        SendBad();
      Step();
    }
  }
  std::size_t HostsWithQuarantine(const PartList& parts) const {
    return static_cast<std::size_t>(std::count_if(
        hosts.begin(), hosts.end(),
        [&](const auto& host) { return host.IsQuarantined(parts); }));
  }
  // Bad prompts that were sent later than `at`.
  long BadSentAfter(TimePoint at) const {
    return std::count_if(bad_sent_at.begin(), bad_sent_at.end(),
                         [at](TimePoint sent) { return sent > at; });
  }

  TimePoint now = TimePoint(Millis(1000000));
  std::vector<PartMonitor> hosts;
  std::vector<bool> in_touch;
  std::vector<PartJudge> judges;
  std::vector<TimePoint> bad_sent_at;
  int refused_sound = 0;
  std::string last_upstream;  // that a bad prompt crashed

 private:
  struct Prompt {
    std::size_t host;
    std::uint64_t request;
    PartList parts;
    TimePoint ends_at;
    bool breaks;
    std::string upstream;
  };

  std::string Name(const char* prefix) const {
    return prefix + std::to_string(requests_);
  }
  void Exchange(PartJudge& judge) {
    const bool tell = judge.Judge(now);
    const auto step = static_cast<std::size_t>(now.time_since_epoch() / kStep);
    for (std::size_t host = 0; host < hosts.size(); ++host) {
      const bool polls = (step + host) % (kPollInterval / kStep) == 0;
      if (!in_touch[host])
        continue;
      if (polls) {
        HostFindings findings = hosts[host].Findings(now);
        findings.following_since = following_since_[host];
        judge.OnReport(HostId(std::to_string(host)), findings, now);
      }
      if (polls || tell) {
        hosts[host].Apply(judge.CurrentRuling(), now);
        if (following_since_[host] == TimePoint{})
          following_since_[host] = now;
      }
    }
  }

  std::vector<Prompt> runs_;
  std::map<std::size_t, TimePoint> following_since_;  // by host
  std::mt19937_64 random_{7};
  std::uint64_t requests_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(quarantine_parts, *boost::unit_test::label("quarantine"))

// Guards against BUDGET: with many hosts none of them sees the part twice.
BOOST_DATA_TEST_CASE(a_crashing_part_is_withheld_by_all_hosts_in_time,
                     boost::unit_test::data::make({1, 6, 70, 300}),
                     host_count) {
  SimulatedFleet fleet(static_cast<std::size_t>(host_count));
  fleet.Run(Millis(500));
  fleet.Run(Millis(10000), Millis(100));
  BOOST_REQUIRE_GE(fleet.bad_sent_at.size(), 5u);
  const TimePoint fifth_crash = fleet.bad_sent_at[4] + kRunTime;
  BOOST_TEST(fleet.BadSentAfter(fifth_crash + kContactWindow) == 0);
  BOOST_TEST(fleet.HostsWithQuarantine({"bad"}) == fleet.hosts.size());
  BOOST_TEST(fleet.refused_sound == 0);
}

// Guards against BUDGET: requests that are alike, crash what runs them and come
// again at any host.
BOOST_DATA_TEST_CASE(a_crashing_request_is_withheld_by_all_hosts_in_time,
                     boost::unit_test::data::make({1, 6, 70, 300}) *
                         boost::unit_test::data::make({1, 2}) *
                         boost::unit_test::data::make({300, 2000, 8000}),
                     host_count,
                     upstreams_per_attempt,
                     interval_ms) {
  SimulatedFleet fleet(static_cast<std::size_t>(host_count), 2);
  fleet.Run(Millis(500));
  for (int i = 0; i < 12; ++i) {
    fleet.SendCrashingRequest(upstreams_per_attempt);
    fleet.Run(Millis(interval_ms));
  }
  BOOST_REQUIRE_GE(fleet.bad_sent_at.size(), 3u);
  const TimePoint third_crash = fleet.bad_sent_at[2] + kRunTime;
  BOOST_TEST(fleet.BadSentAfter(third_crash + kContactWindow) <= 3);
  BOOST_TEST(fleet.HostsWithQuarantine({"request:bad"}) == fleet.hosts.size());
  BOOST_TEST(fleet.refused_sound == 0);
}

BOOST_AUTO_TEST_CASE(
    a_popular_request_beside_the_crashing_one_is_not_withheld) {
  SimulatedFleet fleet(6);
  fleet.Run(Millis(500));
  for (int i = 0; i < 10; ++i) {
    fleet.Send({"request:popular"}, false, "sound");
    fleet.SendCrashingRequest(2);
    fleet.Send({"request:popular"}, true, fleet.last_upstream);
    fleet.Run(Millis(500));
  }
  BOOST_TEST(fleet.HostsWithQuarantine({"request:bad"}) == 6u);
  BOOST_TEST(fleet.HostsWithQuarantine({"request:popular"}) == 0u);
}

// One incident after the other; the first one's evidence lasts.
BOOST_AUTO_TEST_CASE(crashing_parts_and_requests_are_told_apart) {
  SimulatedFleet fleet(70, 3);
  fleet.Run(Millis(500));
  fleet.Run(Millis(3000), Millis(60));
  for (int i = 0; i < 6; ++i) {
    fleet.SendCrashingRequest(2);
    fleet.SendBad();
    fleet.Run(Millis(500));
  }
  BOOST_TEST(fleet.HostsWithQuarantine({"bad"}) == 70u);
  BOOST_TEST(fleet.HostsWithQuarantine({"request:bad"}) == 70u);
  BOOST_TEST(fleet.HostsWithQuarantine({"common"}) == 0u);
  BOOST_TEST(fleet.refused_sound == 0);
}

BOOST_AUTO_TEST_CASE(a_second_crashing_part_is_withheld_in_time) {
  SimulatedFleet fleet(70);
  fleet.Run(Millis(500));
  fleet.Run(Millis(2000), Millis(60));
  BOOST_REQUIRE_GE(fleet.bad_sent_at.size(), 10u);
  fleet.bad_sent_at.clear();
  for (int i = 0; i < 600; ++i) {
    fleet.SendSound();
    if (i % 30 == 0)
      fleet.SendBad("worse");
    fleet.Step();
  }
  BOOST_REQUIRE(!fleet.bad_sent_at.empty());
  const std::size_t known = std::min<std::size_t>(fleet.bad_sent_at.size(), 5);
  const TimePoint last_crash = fleet.bad_sent_at[known - 1] + kRunTime;
  BOOST_TEST(fleet.BadSentAfter(last_crash + kContactWindow) == 0);
  BOOST_TEST(fleet.HostsWithQuarantine({"bad"}) == 70u);
  BOOST_TEST(fleet.HostsWithQuarantine({"worse"}) == 70u);
  BOOST_TEST(fleet.refused_sound == 0);
}

BOOST_AUTO_TEST_CASE(one_request_that_is_unlucky_hides_no_crashing_part) {
  SimulatedFleet fleet(6);
  fleet.Run(Millis(500));
  for (int i = 0; i < 300; ++i) {
    fleet.SendSound();
    // The same request, sent again after each crash.
    if (i % 10 == 0 && fleet.SendBad())
      fleet.Send({"unlucky"}, true, fleet.last_upstream, 1);
    fleet.Step();
  }
  BOOST_TEST(fleet.HostsWithQuarantine({"bad"}) == 6u);
  BOOST_TEST(fleet.HostsWithQuarantine({"unlucky"}) == 0u);
}

BOOST_AUTO_TEST_CASE(all_parts_of_unknown_prompts_are_withheld_only_together) {
  // No host has seen any prompt answered, so "common" is as likely as "bad".
  SimulatedFleet fleet(6);
  for (int i = 0; i < 200; ++i) {
    if (i % 10 == 0)
      fleet.SendBad();
    fleet.Step();
  }
  BOOST_TEST(fleet.HostsWithQuarantine({"bad", "common"}) == 6u);
  BOOST_TEST(fleet.HostsWithQuarantine({"common"}) == 0u);
  fleet.Run(Millis(1000), Millis(100));
  BOOST_TEST(fleet.refused_sound == 0);
  BOOST_TEST(fleet.HostsWithQuarantine({"bad"}) == 6u);
}

BOOST_AUTO_TEST_CASE(parts_at_upstreams_that_fail_together_are_not_suspected) {
  SimulatedFleet fleet(6);
  for (int i = 0; i < 50; ++i)
    fleet.Send({"hot"}, true, "u" + std::to_string(i % 9));
  for (int i = 0; i < 200; ++i)
    fleet.Step();
  BOOST_TEST(fleet.HostsWithQuarantine({"hot"}) == 0u);
}

BOOST_AUTO_TEST_CASE(a_part_that_any_host_saw_answered_is_not_suspected) {
  SimulatedFleet fleet(6);
  fleet.Send({"rare"}, false, "u");
  for (int i = 0; i < 10; ++i)
    fleet.Step();
  for (int crash = 0; crash < 5; ++crash) {
    for (int i = 0; i < 4; ++i)
      fleet.Send({"rare"}, true, "u" + std::to_string(crash));
    for (int i = 0; i < 50; ++i)
      fleet.Step();
  }
  BOOST_TEST(fleet.HostsWithQuarantine({"rare"}) == 0u);
}

BOOST_AUTO_TEST_CASE(breaks_at_an_upstream_that_answers_on_are_no_crashes) {
  PartMonitor host;
  PartJudge judge;
  TimePoint now(Millis(1000));
  for (std::uint64_t i = 0; i < 20; ++i) {
    const std::string upstream = "u" + std::to_string(i % 5);
    const TimePoint sent_at = now;
    now += Millis(200);
    host.OnBroken(upstream, i, {"rare"}, now);
    host.OnAlive(upstream, sent_at);  // sent before the break: proves nothing
    BOOST_TEST(!host.Findings(now).runs.empty());
    host.OnAlive(upstream, now + Millis(1));
    judge.OnReport(HostId("h"), host.Findings(now), now);
    judge.Judge(now);
  }
  BOOST_TEST(host.Findings(now).runs.empty());
  BOOST_TEST(judge.CurrentRuling().quarantines.empty());
}

BOOST_AUTO_TEST_CASE(a_new_control_host_learns_the_quarantine_from_the_hosts) {
  SimulatedFleet fleet(6);
  fleet.Run(Millis(500));
  fleet.Run(Millis(3000), Millis(100));
  const auto sent = fleet.bad_sent_at.size();
  fleet.judges = std::vector<PartJudge>(1);
  for (PartMonitor& host : fleet.hosts)
    BOOST_TEST(host.IsQuarantined({"bad"}));
  fleet.hosts[2] = PartMonitor();  // restarts at the same time
  fleet.Run(kPollInterval * 2);
  fleet.Run(Millis(3000), Millis(100));
  BOOST_TEST(fleet.bad_sent_at.size() == sent);
  BOOST_TEST(fleet.judges[0].CurrentRuling().quarantines.size() == 1u);
}

// Guards against BUDGET: after a loss of power of all processes, what had
// crashed upstreams was sent to three more.
BOOST_DATA_TEST_CASE(a_quarantine_outlasts_a_restart_of_all_processes,
                     boost::unit_test::data::make({1, 6, 300}),
                     host_count) {
  SimulatedFleet fleet(static_cast<std::size_t>(host_count), 2);
  fleet.Run(Millis(500));
  fleet.Run(Millis(4000), Millis(100));
  const auto sent = fleet.bad_sent_at.size();
  fleet.RestartAll();
  fleet.Run(kPollInterval);  // until then, hosts aren't ready
  fleet.Run(Millis(3000), Millis(100));
  BOOST_TEST(fleet.bad_sent_at.size() == sent);
  BOOST_TEST(fleet.HostsWithQuarantine({"bad"}) == fleet.hosts.size());
  BOOST_TEST(fleet.refused_sound == 0);
  fleet.hosts[0].OnAnswered({"bad", "common"}, fleet.now);
  fleet.Run(kPollInterval * 3);
  BOOST_TEST(fleet.HostsWithQuarantine({"bad"}) == 0u);
}

// Guards sound requests against a control host that was down meanwhile.
BOOST_AUTO_TEST_CASE(a_released_quarantine_is_not_restored) {
  SimulatedFleet fleet(6);
  fleet.Run(Millis(500));
  fleet.Run(Millis(4000), Millis(100));
  const auto stored = fleet.judges[0].quarantines();
  BOOST_REQUIRE_EQUAL(stored.size(), 1u);
  fleet.hosts[3].OnAnswered({"bad", "common"}, fleet.now);
  fleet.Run(kPollInterval * 3);
  BOOST_REQUIRE_EQUAL(fleet.HostsWithQuarantine({"bad"}), 0u);
  // Until nobody remembers the answer.
  fleet.now += 2 * SoundParts::kMemory;
  fleet.Run(kPollInterval);
  fleet.judges.emplace_back().Restore(stored, fleet.now);
  fleet.Run(kPollInterval * 3);
  BOOST_TEST(fleet.HostsWithQuarantine({"bad"}) == 0u);
}

BOOST_AUTO_TEST_CASE(hosts_that_return_from_a_cut_learn_the_quarantine) {
  SimulatedFleet fleet(6);
  fleet.Run(Millis(500));
  fleet.in_touch = {true, true, true, true, false, false};
  fleet.Run(Millis(4000), Millis(100));
  BOOST_TEST(fleet.HostsWithQuarantine({"bad"}) == 4u);
  fleet.in_touch = std::vector<bool>(6, true);
  fleet.Run(kPollInterval * 2);
  BOOST_TEST(fleet.HostsWithQuarantine({"bad"}) == 6u);
}

BOOST_AUTO_TEST_CASE(one_answer_ends_the_quarantine_at_all_hosts) {
  SimulatedFleet fleet(6, 2);
  fleet.Run(Millis(500));
  fleet.Run(Millis(4000), Millis(100));
  BOOST_REQUIRE_EQUAL(fleet.HostsWithQuarantine({"bad"}), 6u);
  fleet.hosts[3].OnAnswered({"bad", "common"}, fleet.now);
  fleet.Run(kPollInterval * 3);
  BOOST_TEST(fleet.HostsWithQuarantine({"bad"}) == 0u);
}

BOOST_AUTO_TEST_CASE(few_trials_are_made_and_a_sound_part_returns_by_one) {
  SimulatedFleet fleet(6);
  fleet.Run(Millis(500));
  fleet.Run(Millis(4000), Millis(100));
  const auto sent = fleet.bad_sent_at.size();
  // Each crash costs callers answers, so a part that still crashes upstreams
  // gets kMaxTrials in all.
  const auto hours = [&](int count) {
    for (int second = 0; second < 3600 * count; ++second) {
      fleet.now += Millis(1000) - 30 * kStep;
      for (int i = 0; i < 30; ++i) {
        if (i % 10 == 0)
          fleet.SendBad();
        fleet.Step();
      }
    }
  };
  hours(1);
  BOOST_TEST(fleet.bad_sent_at.size() - sent ==
             static_cast<std::size_t>(PartMonitor::kMaxTrials));
  BOOST_TEST(fleet.HostsWithQuarantine({"bad"}) == 6u);
}

BOOST_AUTO_TEST_CASE(a_quarantine_that_nobody_asks_for_ends) {
  SimulatedFleet fleet(6);
  fleet.Run(Millis(500));
  fleet.Run(Millis(4000), Millis(100));
  fleet.now += QuarantineList::kForgetAfter;
  fleet.Run(kPollInterval * 3);
  BOOST_TEST(fleet.HostsWithQuarantine({"bad"}) == 0u);
}

BOOST_AUTO_TEST_CASE(requests_are_alike_by_caller_path_and_body) {
  const RequestIdentity request{"POST", "a", "/x?q=1", "c", "body"};
  const auto with = [&](auto member, std::string_view value) {
    RequestIdentity other = request;
    other.*member = value;
    return RequestKeys(other);
  };
  const PartList keys = RequestKeys(request);
  BOOST_REQUIRE_EQUAL(keys.size(), 2u);
  BOOST_TEST(RequestKeys(request) == keys);
  BOOST_TEST(with(&RequestIdentity::body, "other")[0] != keys[0]);
  BOOST_TEST(with(&RequestIdentity::customer, "d")[0] != keys[0]);
  BOOST_TEST(with(&RequestIdentity::target, "/x?q=2")[0] != keys[0]);
  BOOST_TEST(with(&RequestIdentity::target, "/x?q=2")[1] == keys[1]);
  BOOST_TEST(with(&RequestIdentity::target, "/x")[0] == keys[1]);
  // Where one field ends and the next begins matters.
  BOOST_TEST(RequestKeys({"POST", "a", "/x", "cb", "ody"})[0] !=
             RequestKeys({"POST", "a", "/x", "c", "body"})[0]);
  BOOST_TEST(PartKeys(keys).size() == 2u);
}

BOOST_AUTO_TEST_CASE(memory_is_bounded) {
  PartMonitor host;
  PartJudge judge;
  SoundParts sound;
  TimePoint now(Millis(1000));
  for (std::uint64_t i = 0; i < 20000; ++i) {
    now += Millis(1);
    host.OnBroken("u" + std::to_string(i), i, {"p" + std::to_string(i)}, now);
    sound.Add("p" + std::to_string(i), now);
  }
  BOOST_TEST(host.Findings(now).runs.size() == PartMonitor::kMaxRuns);
  std::size_t remembered = 0;
  for (int i = 0; i < 20000; ++i)
    remembered += sound.IsSound("p" + std::to_string(i), now) ? 1 : 0;
  BOOST_TEST(remembered <= SoundParts::kMaxParts);
  BOOST_TEST(sound.IsSound("p19999", now));
  for (int i = 0; i < 300; ++i)
    judge.OnReport(HostId(std::to_string(i)), host.Findings(now), now);
  judge.Judge(now);
  BOOST_TEST(judge.CurrentRuling().questioned.size() <=
             PartJudge::kMaxQuestioned);
  std::vector<std::string> many(1000);
  for (std::size_t i = 0; i < many.size(); ++i)
    many[i] = std::string(1000, 'x') + std::to_string(i);
  const PartList keys = PartKeys(many);
  BOOST_TEST(keys.size() == kMaxPartsPerPrompt);
  BOOST_TEST(keys.front().size() < 64u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace endivecart::quarantine
