#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

#include "endivecart/gateway/placement.h"
#include "endivecart/gateway/upstream_tracker.h"
#include "support/gateway_fixture.h"

namespace endivecart::gateway {
namespace {

const routes::ServiceId kService("s");

std::vector<Candidate> MakeEngines(int count) {
  std::vector<Candidate> engines(static_cast<std::size_t>(count));
  for (std::size_t i = 0; i < engines.size(); ++i)
    engines[i].id = UpstreamId("e" + std::to_string(i));
  return engines;
}

Prompt MakePrompt(const std::string& subject) {
  Prompt prompt;
  prompt.model = ModelId("m");
  prompt.input_tokens = 2000;
  prompt.parts = {{subject, 1600}, {"own", 400}};
  return prompt;
}

BOOST_AUTO_TEST_SUITE(gateway_upstream_speed,
                      *boost::unit_test::label("gateway"))

// Guards against prompts that follow their cache to an engine on which the
// queue takes longer than prefilling elsewhere.
BOOST_AUTO_TEST_CASE(a_prompt_leaves_a_home_that_is_slow_and_has_a_queue) {
  auto engines = MakeEngines(4);
  const auto prompt = MakePrompt("p");
  const std::size_t home = PlacePrompt(engines, prompt, "", {}, 0)->index;
  engines[home].slowness = 2.5;
  BOOST_TEST(PlacePrompt(engines, prompt, "", {}, 0)->index != home);
  engines[home].slowness = 1.3;
  BOOST_TEST(PlacePrompt(engines, prompt, "", {}, 0)->index == home);
  engines[home].prompt_tokens = 600;
  BOOST_TEST(PlacePrompt(engines, prompt, "", {}, 0)->index != home);
}

// Guards against filling an engine that is slow from half full on.
BOOST_AUTO_TEST_CASE(a_prompt_leaves_a_home_beyond_what_it_sustains) {
  auto engines = MakeEngines(4);
  const auto prompt = MakePrompt("p");
  SpeedEstimate speed;
  speed.ms_per_request = 0.3;
  const std::size_t home = PlacePrompt(engines, prompt, "", speed, 0)->index;
  engines[home].requests = 11;
  BOOST_TEST(PlacePrompt(engines, prompt, "", speed, 0)->index == home);
  engines[home].sustained_requests = 8;
  BOOST_TEST(PlacePrompt(engines, prompt, "", speed, 0)->index != home);
}

// Guards against plain requests that keep going to a server that has just
// become slow, and against noise that is taken for speed.
BOOST_AUTO_TEST_CASE(a_server_that_becomes_slow_gets_fewer_plain_requests) {
  auto servers = MakeEngines(4);
  for (Candidate& server : servers)
    server.latency_ms = 40;
  std::mt19937_64 random(1);
  const auto share = [&] {
    int count = 0;
    for (int i = 0; i < 2000; ++i)
      count += PlaceByLoad(servers, random())->index == 0 ? 1 : 0;
    return count / 2000.0;
  };
  servers[0].slowness = 1.4;
  BOOST_TEST(share() > 0.22);
  servers[0].slowness = 5;
  BOOST_TEST(share() < 0.1);
  servers[0].slowness = 1;
  servers[0].requests = 5;
  const double busy = share();
  servers[0].sustained_requests = 2;
  BOOST_TEST(share() < busy * 0.6);
}

// 98 hosts that learn by themselves place prompts on engines of two speeds, of
// which each slows down by 2.5 for 600 ms now and then. They know each other's
// load with a delay of 250 ms.
class LearningHosts {
 public:
  static constexpr std::size_t kHosts = 98;
  static constexpr std::size_t kEngines = 20;

  explicit LearningHosts(bool learn) : learn_(learn), hosts_(kHosts) {}

  // Returns the mean over time of the standard deviation of the engines' load.
  double Run() {
    double sum = 0;
    int samples = 0;
    for (tick_ = 0; tick_ < kTicks; ++tick_) {
      if (tick_ % 5 == 0)
        std::rotate(seen_.begin(), seen_.begin() + 1, seen_.end());
      seen_.back() = requests_;
      for (int i = 0; i < kPromptsPerTick; ++i)
        Place(random_() % kHosts);
      Step();
      if (tick_ * kTickMs > 5000) {
        sum += Spread();
        ++samples;
      }
    }
    return sum / samples;
  }

 private:
  static constexpr int kTickMs = 50;
  static constexpr int kTicks = 400;
  static constexpr int kPromptsPerTick = 8;
  static constexpr int kStreamMs = 2000;

  struct Stream {
    std::size_t host;
    std::size_t engine;
    double ms_left;
  };
  using Loads = std::array<int, kEngines>;

  TimePoint now() const { return TimePoint(Millis(1000000 + tick_ * kTickMs)); }
  double SlownessOf(std::size_t engine) const {
    const auto phase = (static_cast<std::size_t>(tick_) + engine * 17) % 80;
    return (engine % 2 == 0 ? 1 : 1.3) * (phase < 12 ? 2.5 : 1);
  }
  double Spread() const {
    double mean = 0;
    double squares = 0;
    for (const int requests : requests_) {
      mean += requests / static_cast<double>(kEngines);
      squares += requests * requests / static_cast<double>(kEngines);
    }
    return std::sqrt(squares - mean * mean);
  }
  void Place(std::size_t host) {
    auto candidates = MakeEngines(kEngines);
    SpeedEstimate speed;
    for (std::size_t i = 0; i < kEngines; ++i) {
      candidates[i].requests = seen_.front()[i];
      // Each prompt in progress still has some tokens in the queue.
      candidates[i].prompt_tokens = std::int64_t{seen_.front()[i]} * 100;
      if (learn_) {
        const auto known = hosts_[host].SpeedOf(candidates[i].id, now());
        candidates[i].slowness = known.slowness;
        candidates[i].sustained_requests = known.sustained_requests;
      }
    }
    if (learn_)
      speed.ms_per_request = hosts_[host].MsPerRequest(kService);
    const auto prompt = MakePrompt("p" + std::to_string(random_() % 60));
    const std::size_t engine =
        PlacePrompt(candidates, prompt, "", speed, random_())->index;
    ++requests_[engine];
    streams_.push_back({host, engine, kStreamMs});
  }
  void Step() {
    for (Stream& stream : streams_) {
      const double slowness = SlownessOf(stream.engine);
      const int requests = requests_[stream.engine];
      hosts_[stream.host].AddStep(candidate_ids_[stream.engine], kService,
                                  requests, (40 + 0.3 * requests) * slowness,
                                  now());
      stream.ms_left -= kTickMs / slowness;
    }
    std::erase_if(streams_, [this](const Stream& stream) {
      if (stream.ms_left > 0)
        return false;
      --requests_[stream.engine];
      return true;
    });
    if (tick_ % 20 == 0) {
      for (auto& host : hosts_)
        host.Tick(now());
    }
  }
  static std::vector<UpstreamId> Ids() {
    std::vector<UpstreamId> ids;
    for (const Candidate& engine : MakeEngines(kEngines))
      ids.push_back(engine.id);
    return ids;
  }

  const bool learn_;
  const std::vector<UpstreamId> candidate_ids_ = Ids();
  std::vector<estimates::UpstreamSpeeds> hosts_;
  std::vector<Stream> streams_;
  Loads requests_{};
  std::array<Loads, 2> seen_{};
  std::mt19937_64 random_{9};
  int tick_ = 0;
};

// Guards against hosts that all avoid an engine, and then all return to it.
BOOST_AUTO_TEST_CASE(hosts_that_learn_by_themselves_do_not_oscillate) {
  const double without = LearningHosts(false).Run();
  const double with = LearningHosts(true).Run();
  BOOST_TEST(with < without * 1.5, with << ", without speeds " << without);
}

// Guards against a report of its own speed that does not reach the estimates,
// or that is believed without a sample.
BOOST_AUTO_TEST_CASE(a_reported_speed_alone_changes_no_choice) {
  TimePoint now{Millis(1000000)};
  UpstreamTracker tracker(DomainId("a"), [&now] { return now; });
  upstreams::Announcement announcement;
  announcement.id = UpstreamId("e1");
  announcement.service = kService;
  announcement.address = {"10.0.0.1", 80};
  tracker.Apply(announcement, now);
  tracker.RecordServerLoad(UpstreamId("e1"), {0, 0, 6, 900});
  UpstreamTracker::Query query;
  query.service = kService;
  const auto candidates = tracker.Candidates(query, nullptr, nullptr);
  BOOST_TEST_REQUIRE(candidates.size() == 1u);
  BOOST_TEST(candidates[0].slowness == 1);
  BOOST_TEST(!candidates[0].sustained_requests.has_value());
  BOOST_TEST(tracker.speeds().Known(now).size() == 1u);
}

// Guards against answers from which nothing is learned, and against figures
// that operators do not see.
BOOST_FIXTURE_TEST_CASE(answers_and_steps_of_streams_reach_the_estimates,
                        tests::GatewayFixture) {
  auto& speeds = gateway.upstreams().speeds();
  // The fixture has had a plain answer from each upstream.
  BOOST_TEST(speeds.Known(loop.Now()).size() == 2u);
  Announce(1, upstreams::UpstreamState::kDraining, 2);
  int events = 0;
  std::unique_ptr<TimerSubscription> timer;
  answer = [&](auto& connection, std::size_t) {
    tests::Reply(connection, StreamHead("1"));
    timer = loop.Every(Millis(3), [&](TimePoint) {
      if (++events > 30)
        return;
      const std::string id = std::to_string(events);
      tests::Reply(connection, Chunk("id: " + id + "\ndata: a\n\n") +
                                   (events == 30 ? "0\r\n\r\n" : ""));
    });
  };
  BOOST_TEST(speeds.SpeedOf(UpstreamId("u0"), loop.Now()).slowness == 1);
  BOOST_TEST(HasStatus(Send("/resumable/"), 200));
  // Timers of a real loop are never exact.
  BOOST_TEST(speeds.SpeedOf(UpstreamId("u0"), loop.Now()).slowness != 1);
  gateway.Tick();
  const std::string page = metrics.PrometheusText();
  for (const char* series :
       {"endivecart_upstream_slowness{upstream=\"u0\"}",
        "endivecart_sustained_requests{upstream=\"u1\"} 0"})
    BOOST_TEST(page.find(series) != std::string::npos, series);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
