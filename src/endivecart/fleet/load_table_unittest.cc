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
    received.Apply(loads, {}, At(at),
                   [this](const UpstreamId& id, TimePoint when) {
                     heard[id.str()] = when;
                     return true;
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
    table.Set(HostId("h" + std::to_string(host)), loads);
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
  received.Apply(first, {}, At(10), nullptr);
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
                 {}, At(100), nullptr);
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

// Guards against answers whose size grows with the upstreams, or with changes
// of no consequence, in fleets of hundreds of hosts.
struct Differences : Tables {
  std::size_t Answer(int at, const std::vector<LocalLoad>& own = {}) {
    const auto loads = table.EncodeChanges(
        received.known_names(), received.version(), registry, At(at));
    received.Apply(loads, own, At(at),
                   [this](const UpstreamId& id, TimePoint when) {
                     heard[id.str()] = when;
                     return true;
                   });
    return loads.ByteSizeLong();
  }
};

BOOST_FIXTURE_TEST_CASE(differences_have_only_what_changed, Differences) {
  table.Set(HostId("a"), {Load(1, 3), Load(2, 1)});
  table.Set(HostId("b"), {Load(1, 4)});
  Answer(0);
  BOOST_TEST(Requests(1) == 7u);
  BOOST_TEST(Answer(10) < 40u);
  table.Set(HostId("b"), {Load(5, 1)});
  BOOST_TEST(Answer(20) < 60u);
  BOOST_TEST(Requests(1) == 3u);
  BOOST_TEST(Requests(2) == 1u);
  BOOST_TEST(Requests(5) == 1u);
}

BOOST_FIXTURE_TEST_CASE(the_receivers_own_work_is_not_that_of_others,
                        Differences) {
  table.Set(HostId("a"), {Load(1, 3)});
  table.Set(HostId("b"), {Load(1, 4), Load(2, 1)});
  Answer(0, {{UpstreamId(Name(1)), 3, 3000, 15000}});
  BOOST_TEST(Requests(1) == 4u);
  BOOST_TEST(received.Find(UpstreamId(Name(1)))->held_tokens() == 20000u);
  Answer(10, {{UpstreamId(Name(1)), 7, 7000, 35000}});
  BOOST_TEST(Requests(1) == 0u);
  BOOST_TEST(Requests(2) == 1u);
}

BOOST_FIXTURE_TEST_CASE(an_answer_after_a_lost_one_has_what_that_had,
                        Differences) {
  Answer(0);
  const auto late = table.EncodeChanges(received.known_names(),
                                        received.version(), registry, At(10));
  table.Set(HostId("a"), {Load(1, 3)});
  table.EncodeChanges(received.known_names(), received.version(), registry,
                      At(20));  // lost
  table.Set(HostId("a"), {Load(1, 3), Load(2, 2)});
  Answer(30);
  BOOST_TEST(Requests(1) == 3u);
  received.Apply(late, {}, At(40), nullptr);
  BOOST_TEST(Requests(1) == 3u);
  BOOST_TEST(Requests(2) == 2u);
}

BOOST_FIXTURE_TEST_CASE(coarse_sums_differ_by_less_than_a_quantum,
                        Differences) {
  table.SetCoarse(true);
  Answer(0);
  for (std::uint32_t requests = 1; requests <= 60; ++requests) {
    table.Set(HostId("a"), {Load(1, requests)});
    Answer(static_cast<int>(requests) * 10);
    BOOST_TEST(Requests(1) == requests);  // of unknown slots, so each counts
  }
  wire::UpstreamLoad load = Load(2, 1);
  load.set_prompt_tokens(100);
  load.set_held_tokens(600);
  table.Set(HostId("a"), {load});
  Answer(1000);
  BOOST_TEST(received.Find(UpstreamId(Name(2)))->held_tokens() == 1024u);
  load.set_held_tokens(600 + LoadTable::kHeldQuantum - 1);
  table.Set(HostId("a"), {load});
  BOOST_TEST(Answer(1010) < 40u);
}

// Guards against scale requests by sums that were rounded for receivers.
BOOST_FIXTURE_TEST_CASE(the_total_of_an_upstream_is_exact_while_coarse,
                        Differences) {
  table.SetCoarse(true);
  wire::UpstreamLoad load = Load(1, 2);
  load.set_prompt_tokens(100);
  load.set_held_tokens(600);
  table.Set(HostId("a"), {load});
  Answer(0);
  load.set_held_tokens(601);
  table.Set(HostId("a"), {load});
  table.Set(HostId("b"), {Load(1, 1)});
  const wire::UpstreamLoad total = table.TotalOf(UpstreamId(Name(1)));
  BOOST_TEST(total.requests() == 3u);
  BOOST_TEST(total.prompt_tokens() == 100u + Load(1, 1).prompt_tokens());
  BOOST_TEST(total.held_tokens() == 601u + Load(1, 1).held_tokens());
  BOOST_TEST(table.TotalOf(UpstreamId("unknown")).requests() == 0u);
}

BOOST_FIXTURE_TEST_CASE(reports_by_number_need_the_same_names, Differences) {
  Answer(0);
  const auto number = received.NumberOf(UpstreamId(Name(3)));
  BOOST_REQUIRE(number.has_value());
  wire::UpstreamLoad load = Load(3, 2);
  load.clear_upstream();
  load.set_number(*number + 1);
  table.Set(HostId("a"), {load}, received.known_names().epoch);
  Answer(10);
  BOOST_TEST(Requests(3) == 2u);
  load.set_requests(9);
  table.Set(HostId("a"), {load}, 99);
  load.set_number(4000000);
  table.Set(HostId("a"), {load}, received.known_names().epoch);
  Answer(20);
  BOOST_TEST(Requests(3) == 2u);
}

BOOST_FIXTURE_TEST_CASE(differences_tell_silence_and_its_end, Differences) {
  Answer(0);
  Answer(3000);
  BOOST_CHECK(heard[Name(0)] <= At(0));
  Announce(0, 2, 3050);
  Answer(3200);
  BOOST_CHECK(heard[Name(0)] > At(2000));
  BOOST_CHECK(heard[Name(0)] <= At(3050));
  BOOST_CHECK(heard[Name(1)] <= At(0));
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
  received.Apply(loads, {}, At(0),
                 [](const UpstreamId&, TimePoint) { return true; });
  BOOST_TEST(received.known_names().count == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
