#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

#include "endivecart/estimates/estimates.h"

namespace endivecart::estimates {
namespace {

TimePoint At(int millis) {
  return TimePoint(Millis(1000000 + millis));
}

const routes::ServiceId kService("s");
const UpstreamId kFast("fast");
const UpstreamId kSlow("slow");

BOOST_AUTO_TEST_SUITE(estimates_speed, *boost::unit_test::label("estimates"))

// Returns the estimated rate after prompts of 2,000 to 12,000 tokens. A third
// of them need four times the expected prefill because their cache was evicted,
// and half of them find the engine busy.
double LearnRate(double tokens_per_ms) {
  SpeedEstimator estimator;
  for (int i = 0; i < 300; ++i) {
    const int tokens = 2000 + i % 11 * 1000;
    const int read = i % 3 == 0 ? tokens * 4 : tokens;
    const int there = i % 2;
    estimator.AddFirstEvent(kService, kFast, {0, tokens, there},
                            14 + read / tokens_per_ms + there * 500,
                            At(i * 100));
  }
  return 1 / estimator.PrefillMsPerToken(kService);
}

BOOST_AUTO_TEST_CASE(the_estimate_converges_for_slow_and_fast_engines) {
  for (const double rate : {5.0, 24.0, 48.0, 200.0}) {
    const double learned = LearnRate(rate);
    BOOST_TEST(learned > rate * 0.6, rate << " learned as " << learned);
    BOOST_TEST(learned < rate * 1.1, rate << " learned as " << learned);
  }
}

BOOST_AUTO_TEST_CASE(each_service_has_its_own_estimate) {
  SpeedEstimator estimator;
  const double initial = estimator.PrefillMsPerToken(kService);
  for (int i = 0; i < 20; ++i) {
    estimator.AddFirstEvent(routes::ServiceId("other"), kFast, {0, 5000}, 50,
                            At(i));
  }
  BOOST_TEST(estimator.PrefillMsPerToken(kService) == initial);
}

// A host of a fleet with engines of two speeds, 1.3 apart. Engines need
// 15 ms + 1 ms for each request and step, and 66 tokens of prefill a ms.
class MixedEngines {
 public:
  // Lets a prompt arrive every 200 ms, and streams have events meanwhile.
  void Run(int prompts) {
    for (int i = 0; i < prompts; ++i) {
      now_ms_ += 200;
      const bool is_slow = random_() % 2 == 0;
      const PromptWork work = RandomWork();
      const double seen = Seen(work, is_slow);
      const UpstreamId& id = is_slow ? kSlow : kFast;
      const double predicted =
          estimator.Predict(kService, id, work, At(now_ms_)).total_ms();
      errors_.push_back(std::abs(seen - predicted) / seen);
      estimator.AddFirstEvent(kService, id, work, seen, At(now_ms_));
      for (const UpstreamId& upstream : {kFast, kSlow}) {
        const int requests = 1 + static_cast<int>(random_() % 20);
        estimator.AddGap(kService, upstream, requests,
                         Gap(requests, upstream == kSlow), At(now_ms_));
      }
    }
  }
  // The median relative error of the last `count` predictions.
  double MedianError(std::size_t count) {
    std::vector<double> last(errors_.end() - static_cast<std::ptrdiff_t>(count),
                             errors_.end());
    std::sort(last.begin(), last.end());
    return last[count / 2];
  }
  TimePoint now() const { return At(now_ms_); }
  static double Gap(int requests, bool is_slow) {
    return (15.0 + requests) * (is_slow ? 1.3 : 1);
  }

  SpeedEstimator estimator;

 private:
  PromptWork RandomWork() {
    PromptWork work;
    work.queued_tokens = static_cast<std::int64_t>(random_() % 12000);
    work.prefill_tokens = 300 + static_cast<std::int64_t>(random_() % 11000);
    work.requests = static_cast<int>(random_() % 20);
    work.transfer_ms =
        random_() % 3 == 0 ? static_cast<double>(random_() % 200) : 0;
    return work;
  }
  double Seen(const PromptWork& work, bool is_slow) {
    std::uniform_real_distribution<double> noise(0.7, 1.3);
    const double tokens =
        static_cast<double>(work.queued_tokens + work.prefill_tokens);
    const double step = work.requests > 0 ? Gap(work.requests, is_slow) : 0;
    return 6 + work.transfer_ms +
           (tokens / 66 * (is_slow ? 1.3 : 1) + step) * noise(random_);
  }

  std::mt19937_64 random_{3};
  int now_ms_ = 0;
  std::vector<double> errors_;
};

// Covers mixed speeds: the median error of predictions is to be under 30%.
BOOST_AUTO_TEST_CASE(predictions_are_within_a_third_for_engines_of_two_speeds) {
  MixedEngines engines;
  engines.Run(300);
  BOOST_TEST(engines.MedianError(200) < 0.3);
  const double ratio = engines.estimator.SlownessOf(kSlow, engines.now()) /
                       engines.estimator.SlownessOf(kFast, engines.now());
  BOOST_TEST(ratio > 1.1);
  BOOST_TEST(ratio < 1.5);
}

// Covers engines that share their machine: slower by 2.5 for 600 ms.
BOOST_AUTO_TEST_CASE(an_engine_that_slows_down_is_noticed_and_forgotten) {
  MixedEngines engines;
  engines.Run(100);
  const TimePoint now = engines.now();
  const double before = engines.estimator.SlownessOf(kFast, now);
  for (int ms = 50; ms <= 400; ms += 50) {
    engines.estimator.AddGap(kService, kFast, 10,
                             2.5 * MixedEngines::Gap(10, false),
                             now + Millis(ms));
  }
  const auto slowness = [&](int ms) {
    return engines.estimator.SlownessOf(kFast, now + Millis(ms));
  };
  BOOST_TEST(slowness(400) > before * 1.5);
  BOOST_TEST(slowness(4000) < before * 1.2);
}

BOOST_AUTO_TEST_CASE(one_slow_response_is_no_evidence) {
  MixedEngines engines;
  engines.Run(100);
  const TimePoint now = engines.now();
  const double before = engines.estimator.SlownessOf(kFast, now);
  engines.estimator.AddFirstEvent(kService, kFast, {0, 1600, 3}, 3000, now);
  engines.estimator.AddGap(kService, kFast, 10, 2000, now);
  BOOST_TEST(engines.estimator.SlownessOf(kFast, now) < before * 1.7);
  BOOST_TEST(engines.estimator.PrefillMsPerToken(kService) < 1.3 / 66);
}

// Guards against false reports: what upstreams say of themselves counts only as
// far as the time between events agrees with it.
BOOST_AUTO_TEST_CASE(reports_that_responses_contradict_change_nothing) {
  for (const bool are_true : {true, false}) {
    SpeedEstimator estimator;
    int ms = 0;
    for (int i = 0; i < 300; ++i) {
      ms += 100;
      const bool is_slow = i / 6 % 2 == 0;
      const double reported = is_slow == are_true ? 2.5 : 1;
      estimator.AddReportedSlowness(kFast, reported, At(ms));
      estimator.AddGap(kService, kFast, 5, is_slow ? 50 : 20, At(ms + 20));
    }
    const auto with_report = [&](double reported) {
      SpeedEstimator copy = estimator;
      copy.AddReportedSlowness(kFast, reported, At(ms + 3000));
      return copy.SlownessOf(kFast, At(ms + 3000));
    };
    const double effect = with_report(2.5) / with_report(1);
    if (are_true)
      BOOST_TEST(effect > 1.2);
    else
      BOOST_TEST(effect < 1.05);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(estimates_links, *boost::unit_test::label("estimates"))

BOOST_AUTO_TEST_CASE(a_transfer_waits_for_those_planned_before_it) {
  LinkModel links;
  links.AddTransfer("a", 200, At(0));
  BOOST_TEST(links.WaitMs("a", {1, 4}, At(50)) == 150,
             boost::test_tools::tolerance(0.01));
  BOOST_TEST(links.WaitMs("a", {1, 4}, At(300)) == 0);
  BOOST_TEST(links.WaitMs("b", {1, 4}, At(0)) == 0);
}

// Covers 300 hosts with a stale view: none sees what the others fetch.
BOOST_AUTO_TEST_CASE(other_hosts_are_taken_to_use_a_link_as_this_one_does) {
  LinkModel links;
  links.AddSharedUse(10, At(0));
  const double few = links.WaitMs("a", {10, 4}, At(100));
  const double many = links.WaitMs("a", {300, 4}, At(100));
  BOOST_TEST(few > 0);
  BOOST_TEST(many > 2 * few);
  BOOST_TEST(links.WaitMs("a", {300, 60}, At(100)) < many);
  BOOST_TEST(links.WaitMs("a", {1, 4}, At(100)) == 0);
}

BOOST_AUTO_TEST_CASE(late_first_events_raise_the_wait_until_they_age) {
  LinkModel links;
  links.AddObservedWait("a", 5000, At(0));
  BOOST_TEST(links.WaitMs("a", {1, 4}, At(0)) < 100);  // one is no evidence
  for (int i = 0; i < 10; ++i)
    links.AddObservedWait("a", 500, At(i * 50));
  BOOST_TEST(links.WaitMs("a", {1, 4}, At(500)) > 250);
  BOOST_TEST(links.WaitMs("a", {1, 4}, At(6000)) < 20);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(estimates_cache, *boost::unit_test::label("estimates"))

BOOST_AUTO_TEST_CASE(hits_are_learned_from_early_first_events) {
  CacheHits hits;
  const double before = hits.Rate(kService, CacheOdds::kHome);
  for (int i = 0; i < 100; ++i) {
    hits.Add(kService, CacheOdds::kHome, 30, 25, 200);
    hits.Add(kService, CacheOdds::kSentBefore, 200, 25, 200);
    hits.Add(kService, CacheOdds::kOther, 25, 25, 30);  // tells nothing
  }
  BOOST_TEST(hits.Rate(kService, CacheOdds::kHome) > 0.95);
  BOOST_TEST(hits.Rate(kService, CacheOdds::kSentBefore) < 0.05);
  BOOST_TEST(hits.Rate(kService, CacheOdds::kOther) < 0.05);
  BOOST_TEST(hits.Rate(routes::ServiceId("other"), CacheOdds::kHome) == before);
}

BOOST_AUTO_TEST_CASE(an_engine_is_remembered_only_as_long_as_it_keeps_parts) {
  CacheHits hits;
  hits.RecordSent("k", kFast, At(0));
  BOOST_TEST(hits.SentTo("k", At(5000)).size() == 1u);
  BOOST_TEST(hits.SentTo("k", At(20000)).empty());
  hits.Expire(At(20000));
  BOOST_TEST(hits.SentTo("k", At(0)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::estimates
