#include <boost/test/unit_test.hpp>

#include "endivecart/fleet/fleet.h"

namespace endivecart::fleet {
namespace {

constexpr int kUpstreams = 240;
constexpr int kHosts = 300;

TimePoint At(int millis) {
  return TimePoint(Millis(1000000 + millis));
}

std::string Name(int i) {
  return "i-" + std::to_string(100000 + i);
}

wire::UpstreamLoad Load(int upstream, std::uint32_t requests) {
  wire::UpstreamLoad load;
  load.set_upstream(Name(upstream));
  load.set_requests(requests);
  load.set_prompt_tokens(requests * 1000);
  load.set_held_tokens(requests * 5000);
  return load;
}

// A table that knows upstreams, and a receiver.
struct Tables {
  Tables() {
    for (int i = 0; i < kUpstreams; ++i)
      Announce(i, 1, 0);
  }

  void Announce(int upstream, std::uint64_t sequence, int at) {
    upstreams::Announcement announcement;
    announcement.id = UpstreamId(Name(upstream));
    announcement.start_time_ms = 1;
    announcement.sequence = sequence;
    announcement.address = {"10.0.0." + std::to_string(upstream), 80};
    registry.Apply(announcement, At(at), At(at));
  }

  // Returns the size of the answer.
  std::size_t Answer(const char* receiver, int at) {
    const auto loads = table.Encode(HostId(receiver), received.known_names(),
                                    registry, At(at));
    received.Apply(loads, At(at), [this](const UpstreamId& id, TimePoint when) {
      heard[id.str()] = when;
    });
    return loads.ByteSizeLong();
  }

  std::uint32_t Requests(int upstream) const {
    const auto* load = received.Find(UpstreamId(Name(upstream)));
    return load == nullptr ? 0 : load->requests();
  }

  upstreams::UpstreamRegistry registry;
  LoadTable table{7};
  RemoteLoads received;
  std::map<std::string, TimePoint> heard;
};

BOOST_AUTO_TEST_SUITE(fleet_loads, *boost::unit_test::label("fleet"))

BOOST_FIXTURE_TEST_CASE(a_host_gets_the_sums_of_all_others, Tables) {
  table.Set(HostId("a"), {Load(1, 3), Load(2, 1)});
  table.Set(HostId("b"), {Load(1, 4)});
  Answer("a", 0);
  BOOST_TEST(Requests(1) == 4u);
  BOOST_TEST(Requests(2) == 0u);
  Answer("c", 10);
  BOOST_TEST(Requests(1) == 7u);
  table.Set(HostId("b"), {Load(2, 2)});
  Answer("c", 20);
  BOOST_TEST(Requests(1) == 3u);
  BOOST_TEST(Requests(2) == 3u);
  table.Set(HostId("a"), {});
  table.Set(HostId("b"), {});
  Answer("c", 30);
  BOOST_TEST(Requests(1) == 0u);
}

// Pattern: hundreds of hosts poll four times a second for the load of hundreds
// of upstreams.
BOOST_FIXTURE_TEST_CASE(an_answer_takes_a_few_bytes_for_each_upstream, Tables) {
  for (int host = 0; host < kHosts; ++host) {
    std::vector<wire::UpstreamLoad> loads(20);
    std::generate(loads.begin(), loads.end(), [host, i = 0]() mutable {
      return Load((host * 7 + i++ * 11) % kUpstreams, 1);
    });
    table.Set(HostId("h" + std::to_string(host)), std::move(loads));
  }
  Answer("h0", 0);  // includes the names
  BOOST_TEST(Answer("h0", 10) < 10u * kUpstreams);
}

BOOST_FIXTURE_TEST_CASE(only_upstreams_that_went_silent_are_named, Tables) {
  Answer("a", 0);
  for (int i = 1; i < kUpstreams; ++i)
    Announce(i, 2, 3000);
  Answer("a", 3500);
  BOOST_CHECK(heard[Name(0)] == At(0));
  // Not later than the actual announcement, and recent.
  BOOST_CHECK(heard[Name(1)] <= At(3000));
  BOOST_CHECK(heard[Name(1)] >= At(3500) - LoadTable::kSilentAfter -
                                    LoadTable::kSilentListInterval);
}

BOOST_FIXTURE_TEST_CASE(an_upstream_unknown_to_the_sender_is_not_confirmed,
                        Tables) {
  table.Set(HostId("a"), {Load(999, 1)});
  Answer("b", 0);
  BOOST_CHECK(heard[Name(999)] < At(-100000));
}

BOOST_FIXTURE_TEST_CASE(names_are_sent_once_and_again_after_a_lost_answer,
                        Tables) {
  table.Set(HostId("a"), {Load(1, 3)});
  const auto lost =
      table.Encode(HostId("b"), received.known_names(), registry, At(0));
  BOOST_TEST(lost.names_size() == kUpstreams);
  const auto first =
      table.Encode(HostId("b"), received.known_names(), registry, At(10));
  BOOST_TEST(first.names_size() == kUpstreams);
  received.Apply(first, At(10), nullptr);
  Answer("b", 20);
  BOOST_TEST(received.known_names().count == std::size_t{kUpstreams});
  BOOST_TEST(Requests(1) == 3u);
  BOOST_TEST(table.Encode(HostId("b"), received.known_names(), registry, At(30))
                 .names_size() == 0);
}

BOOST_FIXTURE_TEST_CASE(another_process_of_the_sender_numbers_names_anew,
                        Tables) {
  Answer("b", 0);
  LoadTable other(8);
  other.Set(HostId("a"), {Load(5, 2)});
  received.Apply(other.Encode(HostId("b"), received.known_names(), {}, At(100)),
                 At(100), nullptr);
  BOOST_TEST(Requests(5) == 2u);
  BOOST_TEST(received.known_names().count == 1u);
}

BOOST_FIXTURE_TEST_CASE(names_of_expired_upstreams_are_dropped, Tables) {
  Answer("b", 0);
  registry.Expire(At(0) + upstreams::UpstreamRegistry::kGoneRetention +
                  Millis(1));
  for (int i = 0; i < 10; ++i)
    Announce(i, 2, 130000);
  table.Set(HostId("a"), {Load(3, 2)});
  table.DropUnused(registry);
  Answer("b", 130000);
  BOOST_TEST(received.known_names().count == 10u);
  BOOST_TEST(Requests(3) == 2u);
}

BOOST_FIXTURE_TEST_CASE(malformed_lists_are_ignored, Tables) {
  wire::FleetLoads loads;
  loads.set_names_epoch(7);
  loads.set_first_name(40);
  loads.add_names("x");
  loads.add_upstreams(3);
  loads.add_upstreams(4000000000);
  loads.add_requests(1);
  loads.set_heard_within_ms(1);
  loads.add_silent(5);
  received.Apply(loads, At(0), [](const UpstreamId&, TimePoint) {});
  BOOST_TEST(received.known_names().count == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
