#include <boost/test/unit_test.hpp>
#include <deque>

#include "support/gateway_fleet.h"

namespace endivecart::gateway {
namespace {

using tests::GatewayFleet;
using tests::RawUpstream;

// Three plain upstreams of four slots. After a while they say that they are
// brittle; later they let fewer requests wait, and one that has to refuse too
// many within a second crashes and returns after a while.
struct BrittleFleet : GatewayFleet {
  static constexpr int kHosts = 6;
  static constexpr int kUpstreams = 3;
  static constexpr int kSlots = 4;
  static constexpr Millis kRunTime{100};
  static constexpr int kRefusalLimit = 3;  // per second
  static constexpr Millis kTimeToReturn{1500};
  static constexpr Millis kContactWindow{3000};

  struct Place {
    std::deque<std::pair<std::shared_ptr<RawUpstream::Connection>, std::string>>
        waiting;
    int running = 0;
    std::deque<TimePoint> refused_at;
  };

  BrittleFleet() : GatewayFleet(kHosts, 0) {
    upstream_slots = kSlots;
    on_request = [this](Upstream& upstream, RawUpstream::Connection& connection,
                        const std::string& request) {
      OnRequest(upstream, connection, request);
    };
    for (int i = 0; i < kUpstreams; ++i)
      StartUpstream("v1", "plain");
    RunFor(Millis(300));
  }
  void BecomeBrittle() { brittle_since = loop.Now(); }
  // Sends as many requests a second to all hosts in turn.
  void Run(Millis time, int requests_per_s) {
    const TimePoint start = loop.Now();
    for (int sent = 0; loop.Now() < start + time; RunFor(Millis(10))) {
      const double due = MillisBetween(start, loop.Now()) / 1000 *
                         static_cast<double>(requests_per_s);
      for (; sent < due; ++sent)
        SendPlain(next_host_++ % kHosts, "/plain/x");
    }
  }
  bool IsTight() const {
    return brittle_since && loop.Now() - *brittle_since > kContactWindow;
  }
  std::ptrdiff_t Served() {
    const auto& statuses = answers["/plain/x"];
    return std::count(statuses.begin(), statuses.end(), "HTTP/1.1 200 OK");
  }

  std::optional<TimePoint> brittle_since;
  int falls = 0;
  int refusals = 0;

 private:
  void OnRequest(Upstream& upstream,
                 RawUpstream::Connection& connection,
                 const std::string& request) {
    if (upstream.ended || connection.ended)
      return;
    Place& place = places_[&upstream];
    const std::size_t room = IsTight() ? 2 : 24;
    const auto shared = *std::find_if(
        upstream.server.connections.begin(), upstream.server.connections.end(),
        [&](const auto& known) { return known.get() == &connection; });
    if (place.running < kSlots) {
      Start(upstream, shared, request);
    } else if (place.waiting.size() < room) {
      place.waiting.emplace_back(shared, request);
    } else {
      OnRefusal(upstream, connection, request);
    }
  }
  void Start(Upstream& upstream,
             const std::shared_ptr<RawUpstream::Connection>& connection,
             const std::string& request) {
    ++places_[&upstream].running;
    later_.push_back(
        loop.After(kRunTime, [this, &upstream, connection, request](TimePoint) {
          if (upstream.ended)
            return;
          Place& place = places_[&upstream];
          --place.running;
          if (!connection->ended)
            Reply(*connection, Head(request, "200 OK") +
                                   "Signed: s\r\nContent-Length: 2\r\n\r\nok");
          if (!place.waiting.empty()) {
            const auto next = place.waiting.front();
            place.waiting.pop_front();
            Start(upstream, next.first, next.second);
          }
        }));
  }
  void OnRefusal(Upstream& upstream,
                 RawUpstream::Connection& connection,
                 const std::string& request) {
    Reply(connection, Head(request, "503 Service Unavailable") +
                          "Not-Run: yes\r\nContent-Length: 0\r\n\r\n");
    ++refusals;
    auto& refused_at = places_[&upstream].refused_at;
    refused_at.push_back(loop.Now());
    while (loop.Now() - refused_at.front() > Millis(1000))
      refused_at.pop_front();
    if (!IsTight() || refused_at.size() <= kRefusalLimit || upstream.ended)
      return;
    ++falls;
    later_.push_back(
        loop.After(Millis(0), [&upstream](TimePoint) { Crash(upstream); }));
    upstream.ended = true;
    later_.push_back(loop.After(
        kTimeToReturn, [this](TimePoint) { StartUpstream("v1", "plain"); }));
  }
  std::string Head(const std::string& request, const std::string& status) {
    return "HTTP/1.1 " + status + "\r\nId: " + Field(request, "Id") + "\r\n" +
           (brittle_since ? "Brittle: " + std::to_string(kRefusalLimit) + "\r\n"
                          : "");
  }

  std::map<const Upstream*, Place> places_;
  std::vector<std::unique_ptr<TimerSubscription>> later_;
  int next_host_ = 0;
};

BOOST_FIXTURE_TEST_SUITE(gateway_brittle_upstreams,
                         BrittleFleet,
                         *boost::unit_test::label("gateway"))

// Guards against LIMIT: hosts sent upstreams that had said that they are
// brittle so many requests beyond their room that these fell over, one after
// the other.
BOOST_AUTO_TEST_CASE(brittle_upstreams_do_not_fall_over_in_a_burst) {
  constexpr int kCapacity = kUpstreams * kSlots * 1000 / 100;  // per second
  Run(Millis(500), kCapacity / 2);
  BecomeBrittle();
  Run(kContactWindow, kCapacity / 2);
  answers.clear();
  refusals = 0;
  Run(Millis(4000), 2 * kCapacity);
  BOOST_TEST_MESSAGE("falls " << falls << ", refusals " << refusals
                              << ", served " << Served() << " of "
                              << 4 * kCapacity);
  BOOST_TEST(falls <= 2 + kUpstreams / 10);
  BOOST_TEST(Served() >= 4 * kCapacity / 2);
}

BOOST_AUTO_TEST_CASE(moderate_traffic_is_served_by_brittle_upstreams) {
  constexpr int kCapacity = kUpstreams * kSlots * 1000 / 100;  // per second
  Run(Millis(500), kCapacity / 2);
  BecomeBrittle();
  Run(kContactWindow + Millis(500), kCapacity / 2);
  answers.clear();
  Run(Millis(2000), kCapacity / 2);
  RunFor(Millis(500));
  SendPlain(0, "/plain/other");  // collects the answers
  const auto sent = answers["/plain/x"].size();
  BOOST_TEST_MESSAGE("served " << Served() << " of " << sent);
  BOOST_TEST(falls == 0);
  BOOST_TEST(static_cast<double>(Served()) >= 0.98 * static_cast<double>(sent));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::gateway
