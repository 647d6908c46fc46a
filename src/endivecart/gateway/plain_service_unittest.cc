#include <boost/test/unit_test.hpp>
#include <queue>
#include <random>

#include "endivecart/gateway/placement.h"

namespace endivecart::gateway {
namespace {

// Many hosts share a service with few servers. Each host reports its requests
// once a poll interval, at a time of its own, and gets the sums of what the
// others reported last. It knows only its own requests at once.
struct PlainService {
  int hosts = 295;
  int servers = 5;
  int slots = 6;
  int queue_limit = 24;
  double requests_per_s = 590;
  double work_ms = 30;
  int poll_interval_ms = 250;
  int lost_server = -1;  // known to all; the others bear its load
};

struct PlainServiceOutcome {
  int requests = 0;
  int refused = 0;  // found the server's queue full
  int queued = 0;   // found no free slot
};

struct RunningRequest {
  double ends_at_ms = 0;
  std::size_t host = 0;
  std::size_t server = 0;

  bool operator>(const RunningRequest& other) const {
    return ends_at_ms > other.ends_at_ms;
  }
};

class PlainServiceRun {
 public:
  explicit PlainServiceRun(const PlainService& service)
      : service_(service),
        here_(Count(service.hosts), std::vector<int>(Count(service.servers))),
        reported_(here_),
        seen_(here_),
        sums_(Count(service.servers)),
        there_(Count(service.servers)),
        free_at_(Count(service.servers),
                 std::vector<double>(Count(service.slots))) {}

  PlainServiceOutcome Run(double seconds) {
    std::exponential_distribution<double> gap(service_.requests_per_s / 1000);
    double now = 0;
    while (now < seconds * 1000) {
      now += gap(random_);
      EndRequests(now);
      const std::size_t host = random_() % here_.size();
      PollAll(now);
      Send(host, now);
    }
    return outcome_;
  }

 private:
  static std::size_t Count(int count) {
    return static_cast<std::size_t>(count);
  }

  void EndRequests(double now) {
    while (!running_.empty() && running_.top().ends_at_ms <= now) {
      --there_[running_.top().server];
      --here_[running_.top().host][running_.top().server];
      running_.pop();
    }
  }

  // All hosts whose turn has come since the last request see the current sums.
  void PollAll(double now) {
    const int interval = service_.poll_interval_ms;
    for (; polled_until_ms_ < now; ++polled_until_ms_) {
      const int phase = static_cast<int>(polled_until_ms_) % interval;
      for (std::size_t host = 0; host < here_.size(); ++host) {
        if (static_cast<int>(host) * interval / service_.hosts != phase)
          continue;
        for (std::size_t i = 0; i < there_.size(); ++i) {
          sums_[i] += here_[host][i] - reported_[host][i];
          reported_[host][i] = here_[host][i];
          seen_[host][i] = sums_[i] - reported_[host][i];
        }
      }
    }
  }

  void Send(std::size_t host, double now) {
    std::vector<Candidate> candidates;
    for (std::size_t i = 0; i < there_.size(); ++i) {
      if (static_cast<int>(i) == service_.lost_server)
        continue;
      Candidate& candidate = candidates.emplace_back();
      candidate.id = UpstreamId(std::to_string(i));
      candidate.slots = service_.slots;
      candidate.is_near = host % there_.size() == i;
      candidate.requests = seen_[host][i] + here_[host][i];
      candidate.latency_ms = service_.work_ms + 5;
    }
    const auto choice = PlaceByLoad(candidates, random_());
    const auto server =
        static_cast<std::size_t>(std::stoi(candidates[choice->index].id.str()));
    ++outcome_.requests;
    if (there_[server] >= service_.slots)
      ++outcome_.queued;
    if (there_[server] >= service_.slots + service_.queue_limit) {
      ++outcome_.refused;
      return;
    }
    std::lognormal_distribution<double> work(std::log(service_.work_ms) - 0.125,
                                             0.5);
    auto& slot =
        *std::min_element(free_at_[server].begin(), free_at_[server].end());
    slot = std::max(slot, now) + work(random_);
    ++there_[server];
    ++here_[host][server];
    running_.push({slot, host, server});
  }

  const PlainService service_;
  std::mt19937_64 random_{11};
  std::vector<std::vector<int>> here_;  // by host and server
  std::vector<std::vector<int>> reported_;
  // The others' requests, as of the host's last poll.
  std::vector<std::vector<int>> seen_;
  std::vector<int> sums_;  // of what all hosts reported, by server
  std::vector<int> there_;
  std::vector<std::vector<double>> free_at_;
  std::priority_queue<RunningRequest,
                      std::vector<RunningRequest>,
                      std::greater<>>
      running_;
  double polled_until_ms_ = 0;
  PlainServiceOutcome outcome_;
};

BOOST_AUTO_TEST_SUITE(gateway_plain_service,
                      *boost::unit_test::label("gateway"))

// Pattern: hundreds of callers' hosts, five servers at three fifths of their
// capacity, views a quarter of a second old. If each host chose the server that
// looked least loaded, all would choose the same one until their next polls.
BOOST_AUTO_TEST_CASE(servers_with_free_slots_for_all_refuse_nothing) {
  const auto outcome = PlainServiceRun({}).Run(60);
  BOOST_TEST(outcome.requests > 30000);
  BOOST_TEST(outcome.refused == 0);
  BOOST_TEST(outcome.queued < outcome.requests / 3);
}

// Pattern: one of five servers is lost, so that the others are busy to three
// quarters.
BOOST_AUTO_TEST_CASE(the_load_of_a_lost_server_is_spread_over_the_others) {
  PlainService service;
  service.lost_server = 2;
  const auto outcome = PlainServiceRun(service).Run(60);
  BOOST_TEST(outcome.refused < outcome.requests / 500);
}

// The view is too old for more than a preference, unless the difference is
// large.
BOOST_AUTO_TEST_CASE(a_less_loaded_server_is_preferred_but_not_exclusively) {
  std::vector<Candidate> candidates(5);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    candidates[i].id = UpstreamId(std::to_string(i));
    candidates[i].slots = 6;
    candidates[i].latency_ms = 35;
    candidates[i].requests = i == 3 ? 2 : 9;
  }
  std::mt19937_64 random(5);
  std::vector<int> chosen(candidates.size());
  for (int i = 0; i < 2000; ++i)
    ++chosen[PlaceByLoad(candidates, random())->index];
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (i != 3)
      BOOST_TEST((chosen[i] > 100 && chosen[3] > chosen[i] * 5 / 4));
  }
  candidates[1].requests = 100;
  for (int i = 0; i < 200; ++i)
    BOOST_TEST(PlaceByLoad(candidates, random())->index != 1u);
}

// Pattern: a server is replaced, and hundreds of hosts have no answer of it
// yet. If each took it for fast, it would get all requests at once.
BOOST_AUTO_TEST_CASE(a_server_of_unknown_latency_gets_its_share_only) {
  std::vector<Candidate> candidates(5);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    candidates[i].id = UpstreamId(std::to_string(i));
    candidates[i].slots = 6;
    candidates[i].latency_ms = i == 2 ? 0 : 35;
    candidates[i].requests = 3;
  }
  std::mt19937_64 random(5);
  int chosen = 0;
  for (int i = 0; i < 1000; ++i)
    chosen += PlaceByLoad(candidates, random())->index == 2 ? 1 : 0;
  BOOST_TEST(chosen > 100);
  BOOST_TEST(chosen < 300);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
