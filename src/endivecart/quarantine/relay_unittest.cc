#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

#include "endivecart/quarantine/quarantine.h"

namespace endivecart::quarantine {
namespace {

constexpr Millis kPollInterval{250};
constexpr int kRelayPort = 7701;

// Hosts of which some are cut off from the service "s", and control hosts that
// all of them poll. Each host in touch with upstreams was answered just now.
struct RelayFleet {
  explicit RelayFleet(int hosts, int control_hosts = 1)
      : cut_off(static_cast<std::size_t>(hosts)),
        selectors(static_cast<std::size_t>(hosts)),
        tables(static_cast<std::size_t>(control_hosts)) {}

  static HostId IdOf(std::size_t host) {
    return HostId("h" + std::to_string(host));
  }
  HostReach ReachOf(std::size_t host) const {
    const bool is_cut = cut_off[host].has_value();
    return {DomainId(host % 2 == 0 ? "a" : "b"),
            kRelayPort,
            0,
            {{"s", is_cut, is_cut ? *cut_off[host] : now}}};
  }
  // Every host polls every control host.
  void Poll() {
    now += kPollInterval;
    for (RelayTable& table : tables) {
      table.Expire(now);
      for (std::size_t host = 0; host < selectors.size(); ++host) {
        if (!is_down.contains(host))
          table.OnReport(IdOf(host), ReachOf(host), now);
      }
      for (std::size_t host = 0; host < selectors.size(); ++host) {
        const auto relays = table.RelaysFor(IdOf(host), now);
        most_relays = std::max(most_relays, relays.size());
        selectors[host].Apply(relays, now);
      }
    }
  }
  void Cut(std::size_t host) { cut_off[host] = now; }
  RelaySelector::Query QueryOf(std::size_t host) const {
    RelaySelector::Query query;
    query.service = "s";
    query.cut_off_since = *cut_off[host];
    return query;
  }
  std::optional<RelayHost> Choose(std::size_t host) {
    return selectors[host].Choose(QueryOf(host), random(), now);
  }

  TimePoint now = TimePoint(Millis(1000000));
  std::vector<std::optional<TimePoint>> cut_off;
  std::vector<RelaySelector> selectors;
  std::vector<RelayTable> tables;
  std::set<std::size_t> is_down;
  std::size_t most_relays = 0;
  std::mt19937_64 random{7};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(quarantine_relays, *boost::unit_test::label("quarantine"))

BOOST_DATA_TEST_CASE(hosts_that_are_cut_off_share_the_others_evenly,
                     boost::unit_test::data::make({6, 30, 300}),
                     hosts) {
  RelayFleet fleet(hosts, 3);
  const auto cut = static_cast<std::size_t>(hosts / 2);
  for (std::size_t host = 0; host < cut; ++host)
    fleet.Cut(host);
  fleet.Poll();
  std::map<HostId, int> requests;
  constexpr int kRequestsPerHost = 40;
  for (int i = 0; i < kRequestsPerHost; ++i) {
    for (std::size_t host = 0; host < cut; ++host) {
      const auto relay = fleet.Choose(host);
      BOOST_REQUIRE(relay.has_value());
      BOOST_TEST(!relay->reach.services[0].is_cut_off);
      fleet.selectors[host].OnSent(relay->host);
      ++requests[relay->host];
    }
  }
  // Each relay serves as many cut hosts as there are relays.
  for (const auto& [relay, count] : requests)
    BOOST_TEST(count <= 3 * kRequestsPerHost, relay.str() << ": " << count);
  BOOST_TEST(fleet.most_relays <= RelayTable::kMaxRelays);
}

BOOST_AUTO_TEST_CASE(there_is_no_relay_if_no_host_is_answered) {
  RelayFleet fleet(6);
  for (std::size_t host = 0; host < 6; ++host)
    fleet.Cut(host);
  fleet.Poll();
  for (std::size_t host = 0; host < 6; ++host)
    BOOST_TEST(!fleet.Choose(host).has_value());
}

// Until then the upstreams may be down for all.
BOOST_AUTO_TEST_CASE(a_relay_must_have_been_answered_since_the_cut) {
  RelayFleet fleet(2);
  fleet.Poll();
  const TimePoint answered_at = fleet.now;
  fleet.Cut(0);
  fleet.Poll();
  auto query = fleet.QueryOf(0);
  BOOST_TEST(fleet.selectors[0].Choose(query, 1, fleet.now).has_value());
  query.cut_off_since = answered_at + 2 * kPollInterval;
  BOOST_TEST(!fleet.selectors[0].Choose(query, 1, fleet.now).has_value());
}

BOOST_AUTO_TEST_CASE(a_new_control_host_knows_the_relays_after_a_poll) {
  RelayFleet fleet(6, 2);
  fleet.Cut(0);
  fleet.Poll();
  for (RelayTable& table : fleet.tables)
    table = RelayTable();
  BOOST_TEST(fleet.Choose(0).has_value());
  fleet.Poll();
  BOOST_TEST(fleet.tables[0].RelaysFor(RelayFleet::IdOf(0), fleet.now).size() ==
             5u);
}

BOOST_AUTO_TEST_CASE(hosts_that_are_down_relay_nothing_soon) {
  RelayFleet fleet(6);
  fleet.Cut(0);
  fleet.Poll();
  for (const std::size_t host : {1, 2, 3, 4, 5})
    fleet.is_down.insert(host);
  for (Millis passed{0}; passed <= RelayTable::kFresh + RelaySelector::kMemory;
       passed += kPollInterval) {
    fleet.Poll();
  }
  BOOST_TEST(!fleet.Choose(0).has_value());
  BOOST_TEST(fleet.tables[0].size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_relay_that_is_unreachable_is_avoided_for_a_while) {
  RelayFleet fleet(2);
  fleet.Cut(0);
  fleet.Poll();
  fleet.selectors[0].OnUnreachable(RelayFleet::IdOf(1), fleet.now);
  BOOST_TEST(!fleet.Choose(0).has_value());
  while (fleet.now - *fleet.cut_off[0] <=
         RelaySelector::kAvoidTime + 2 * kPollInterval) {
    fleet.Poll();
  }
  BOOST_TEST(fleet.Choose(0).has_value());
}

BOOST_AUTO_TEST_CASE(
    requests_stay_in_the_regions_to_which_they_are_restricted) {
  RelayFleet fleet(6);
  fleet.Cut(0);
  fleet.Poll();
  auto query = fleet.QueryOf(0);
  query.may_be_in = [](const DomainId& domain) { return domain.str() == "b"; };
  for (std::uint64_t draw = 0; draw < 20; ++draw) {
    const auto relay =
        fleet.selectors[0].Choose(query, draw * 0x100000001ULL, fleet.now);
    BOOST_REQUIRE(relay.has_value());
    BOOST_TEST(relay->reach.domain.str() == "b");
  }
  query.may_be_in = [](const DomainId&) { return false; };
  BOOST_TEST(!fleet.selectors[0].Choose(query, 1, fleet.now).has_value());
}

BOOST_AUTO_TEST_CASE(a_host_that_stops_is_no_relay) {
  RelayTable table;
  const TimePoint now = TimePoint(Millis(1000000));
  table.OnReport(HostId("cut"), {DomainId("a"), 1, 0, {{"s", true, now}}}, now);
  table.OnReport(HostId("up"), {DomainId("a"), 1, 0, {{"s", false, now}}}, now);
  BOOST_TEST(table.RelaysFor(HostId("cut"), now).size() == 1u);
  BOOST_TEST(table.RelaysFor(HostId("up"), now).empty());
  table.OnReport(HostId("up"), {DomainId("a"), 0, 0, {{"s", false, now}}}, now);
  BOOST_TEST(table.RelaysFor(HostId("cut"), now).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace endivecart::quarantine
