#include <boost/test/unit_test.hpp>
#include <random>

#include "endivecart/estimates/estimates.h"

namespace endivecart::estimates {
namespace {

const routes::ServiceId kService("s");
const UpstreamId kFast("fast");
const UpstreamId kSlow("slow");

TimePoint At(int ms) {
  return TimePoint(Millis(1000000 + ms));
}

// A host with streams at ten engines, one in turn for 1.5 s, whose steps take
// 40 ms + 0.3 ms for each request and now and then wait for others' prefill.
class Engines {
 public:
  static constexpr int kEngines = 10;

  // Returns the time of a step at `engine`.
  double StepMs(int requests, double slowness) {
    std::uniform_real_distribution<double> noise(0.8, 1.2);
    const double prefill_ms = random_() % 12 == 0 ? 80 : 0;
    return (40 + 0.3 * requests) * slowness * noise(random_) + prefill_ms;
  }
  // Runs streams one after another; `slowness_of` by engine and time.
  template <class SlownessOf>
  void Run(int seconds, SlownessOf slowness_of) {
    const double end = now_ms + 1000.0 * seconds;
    while (now_ms < end) {
      const int engine = static_cast<int>(random_() % kEngines);
      RunStream(engine, 1500, slowness_of);
    }
  }
  template <class SlownessOf>
  void RunStream(int engine, int ms, SlownessOf slowness_of) {
    const double end = now_ms + ms;
    while (now_ms < end) {
      const int requests = 1 + static_cast<int>(random_() % 20);
      const double step = StepMs(requests, slowness_of(engine, now_ms));
      now_ms += step;
      speeds.AddStep(IdOf(engine), kService, requests, step, now());
    }
  }
  static UpstreamId IdOf(int engine) {
    return UpstreamId("e" + std::to_string(engine));
  }
  TimePoint now() const { return At(static_cast<int>(now_ms)); }
  double Slowness(int engine) const {
    return speeds.SpeedOf(IdOf(engine), now()).slowness;
  }

  UpstreamSpeeds speeds;
  double now_ms = 0;

 private:
  std::mt19937_64 random_{7};
};

std::optional<double> Sustained(const UpstreamSpeeds& speeds,
                                const UpstreamId& id) {
  return speeds.SpeedOf(id, At(0)).sustained_requests;
}

double Usual(int /*engine*/, double /*ms*/) {
  return 1;
}

BOOST_AUTO_TEST_SUITE(estimates_speeds, *boost::unit_test::label("estimates"))

// Guards against decisions that change before anything is learned.
BOOST_AUTO_TEST_CASE(without_samples_all_upstreams_are_typical) {
  UpstreamSpeeds speeds;
  speeds.AddReported(kSlow, kService, 900, At(0));
  speeds.Tick(At(1));
  BOOST_TEST(speeds.SpeedOf(kSlow, At(1)).slowness == 1);
  BOOST_TEST(speeds.SpeedOf(kFast, At(1)).slowness == 1);
  BOOST_TEST(!Sustained(speeds, kSlow).has_value());
  BOOST_TEST(speeds.MsPerRequest(kService) == kInitialMsPerRequest);
}

// Guards against machines of two speeds that are taken for equal.
BOOST_AUTO_TEST_CASE(mixed_speeds_of_a_ratio_of_1_3_show) {
  Engines engines;
  engines.Run(120,
              [](int engine, double) { return engine % 2 == 0 ? 1 : 1.3; });
  double fast = 0;
  double slow = 0;
  for (int engine = 0; engine < Engines::kEngines; engine += 2) {
    fast += engines.Slowness(engine) / (Engines::kEngines / 2.0);
    slow += engines.Slowness(engine + 1) / (Engines::kEngines / 2.0);
  }
  BOOST_TEST(slow / fast > 1.12, slow << " and " << fast);
  BOOST_TEST(slow / fast < 1.35, slow << " and " << fast);
}

// Guards against a slowdown that is noticed when it is over, or outlives it.
BOOST_AUTO_TEST_CASE(a_slowdown_of_2_5_for_600_ms_shows_and_is_forgotten) {
  Engines engines;
  engines.Run(60, Usual);
  engines.RunStream(0, 1500, Usual);
  const double before = engines.Slowness(0);
  const auto slow = [](int, double) { return 2.5; };
  engines.RunStream(0, 400, slow);
  BOOST_TEST(engines.Slowness(0) > before * 1.4);
  engines.RunStream(0, 200, slow);
  BOOST_TEST(engines.Slowness(0) > before * 1.6);
  engines.now_ms += 3000;
  BOOST_TEST(engines.Slowness(0) < before * 1.25);
}

BOOST_AUTO_TEST_CASE(one_slow_step_is_no_evidence) {
  Engines engines;
  engines.Run(60, Usual);
  engines.RunStream(0, 1500, Usual);
  const double before = engines.Slowness(0);
  engines.speeds.AddStep(Engines::IdOf(0), kService, 5, 2000, engines.now());
  BOOST_TEST(engines.Slowness(0) < before * 1.15);
}

// Guards against servers that become 3.5 to 7.5 times slower for seconds and
// still get their full share of plain requests.
BOOST_AUTO_TEST_CASE(a_slow_server_of_a_plain_service_shows_and_recovers) {
  std::mt19937_64 random(3);
  std::exponential_distribution<double> work(1 / 40.0);
  UpstreamSpeeds speeds;
  int ms = 0;
  const auto run = [&](int until, double slowness) {
    for (; ms < until; ms += 100) {
      const bool is_slow = random() % 4 == 0;
      speeds.AddAnswer(is_slow ? kSlow : kFast, kService, 2,
                       (10 + work(random)) * (is_slow ? slowness : 1), At(ms));
    }
  };
  run(20000, 1);
  BOOST_TEST(speeds.SpeedOf(kSlow, At(ms)).slowness < 1.5);
  run(26500, 5);
  BOOST_TEST(speeds.SpeedOf(kSlow, At(ms)).slowness > 2);
  run(36000, 1);
  BOOST_TEST(speeds.SpeedOf(kSlow, At(ms)).slowness < 1.5);
}

// Guards against a cost per request that keeps prompts away from their home.
BOOST_AUTO_TEST_CASE(the_cost_of_a_request_is_learned_from_steps) {
  Engines engines;
  engines.Run(30, Usual);
  BOOST_TEST(engines.speeds.MsPerRequest(kService) > 0.1);
  BOOST_TEST(engines.speeds.MsPerRequest(kService) < 0.9);
  BOOST_TEST(engines.speeds.MsPerRequest(routes::ServiceId("other")) ==
             kInitialMsPerRequest);
}

// Guards against filling an upstream that gets no more work done.
BOOST_AUTO_TEST_CASE(an_upstream_that_is_slow_from_half_full_on_is_found) {
  UpstreamSpeeds speeds;
  std::mt19937_64 random(5);
  std::uniform_real_distribution<double> noise(0.8, 1.2);
  for (int i = 0; i < 600; ++i) {
    const int requests = 1 + static_cast<int>(random() % 16);
    speeds.AddAnswer(kSlow, kService, requests,
                     40 * std::max(1.0, requests / 8.0) * noise(random),
                     At(i * 10));
    speeds.AddAnswer(kFast, routes::ServiceId("t"), requests,
                     40 * noise(random), At(i * 10));
  }
  speeds.Tick(At(6000));
  BOOST_TEST_REQUIRE(Sustained(speeds, kSlow).has_value());
  BOOST_TEST(*Sustained(speeds, kSlow) > 6);
  BOOST_TEST(*Sustained(speeds, kSlow) < 11);
  BOOST_TEST(!Sustained(speeds, kFast).has_value());
  // It is forgotten within seconds.
  speeds.Tick(At(26000));
  BOOST_TEST(!Sustained(speeds, kSlow).has_value());
}

// Guards against false load reports: they count only as far as the steps after
// them agree.
BOOST_AUTO_TEST_CASE(a_false_load_report_changes_nothing_and_is_counted) {
  for (const bool is_true : {true, false}) {
    UpstreamSpeeds speeds;
    int ms = 0;
    for (int i = 0; i < 400; ++i) {
      const bool is_slow = i / 2 % 2 == 0;
      const bool says_slow = is_slow == is_true;
      speeds.AddReported(kSlow, kService, says_slow ? 250 : 100, At(ms));
      for (int step = 0; step < 4; ++step)
        speeds.AddStep(kSlow, kService, 5, is_slow ? 100 : 40, At(ms += 50));
    }
    const auto after_report = [&](int percent) {
      speeds.AddReported(kSlow, kService, percent, At(ms + 3000));
      return speeds.SpeedOf(kSlow, At(ms + 3000)).slowness;
    };
    const double effect = after_report(250) / after_report(100);
    if (is_true) {
      BOOST_TEST(effect > 1.2);
      BOOST_TEST(speeds.contradicted_reports() < 150u);
    } else {
      BOOST_TEST(effect == 1, boost::test_tools::tolerance(0.01));
      BOOST_TEST(speeds.contradicted_reports() > 150u);
    }
  }
}

BOOST_AUTO_TEST_CASE(upstreams_without_recent_samples_are_forgotten) {
  Engines engines;
  engines.Run(10, Usual);
  engines.speeds.Tick(engines.now());
  BOOST_TEST(!engines.speeds.Known(engines.now()).empty());
  engines.speeds.Tick(engines.now() + Millis(121000));
  BOOST_TEST(engines.speeds.Known(engines.now()).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::estimates
