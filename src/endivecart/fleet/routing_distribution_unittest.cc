// Guards against configurations that come into force late: with 1,400 routes
// and a change each 0.33 s, each version waited in the queue to a host behind
// the whole documents of all versions before it, and a request was refused as
// an older version says, 2.8 s after the acknowledgement.

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <random>

#include "large_fleet_fixture.h"

namespace endivecart::fleet {
namespace {

constexpr int kRoutes = 1400;
constexpr Millis kChangeInterval{330};
// Each version must be in force at all hosts within this time.
constexpr Millis kInForce{1000};
constexpr std::size_t kLinkBytesPerSecond = 7000000 / 8;
// A control host has 256 MB in all.
constexpr std::size_t kMaxQueuedBytes = 32UL << 20;

// A document with `kRoutes` routes, each with names of its own, of which one
// differs in each version.
class Documents {
 public:
  Documents() {
    for (int i = 0; i < kRoutes; ++i)
      names_.push_back(RandomName() + "/" + RandomName());
  }
  std::string Next(std::uint64_t version) {
    names_[version * 37 % kRoutes] = RandomName() + "/" + RandomName();
    std::string text =
        "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (const std::string& name : names_) {
      text +=
          R"({"name":"r-)" + name +
          R"(","host":"pule25.example","path_prefix":"/)" + name +
          R"(/","type":"streaming","timeout_ms":10000,"target_latency_ms":600,)"
          R"("priority":1,"service":"huvo11a","attempts":2,"public":false,)"
          R"("sticky":true,"resumable":true,"gap_target_ms":800},)";
    }
    text.back() = ']';
    return text + "}";
  }

 private:
  std::string RandomName() {
    std::string name;
    for (int i = 0; i < 9; ++i)
      name += static_cast<char>('a' + random_() % 26);
    return name;
  }

  std::mt19937 random_{7};
  std::vector<std::string> names_;
};

struct Storm {
  Millis slowest{0};  // from a change until it is in force at all hosts
  std::uint64_t update_bytes = 0;
};

// Makes `changes` changes, the first with version `first`, and waits until each
// is in force everywhere.
Storm RunStorm(Fleet& fleet,
               Documents& documents,
               std::uint64_t first,
               int changes,
               int hosts) {
  constexpr Millis kTick{10};
  Storm storm;
  fleet.ResetCounts();
  std::map<std::uint64_t, Millis> pending;  // versions, since when
  std::uint64_t next = first;
  for (Millis now{0}; now < Millis(60000); now += kTick) {
    const auto made = static_cast<int>(next - first);
    if (made < changes && now >= kChangeInterval * made) {
      fleet.Replace(next, documents.Next(next));
      pending[next++] = now;
    }
    fleet.RunFor(kTick);
    while (!pending.empty() &&
           fleet.CountWithRouting(pending.begin()->first) == hosts) {
      storm.slowest =
          std::max(storm.slowest, now + kTick - pending.begin()->second);
      pending.erase(pending.begin());
    }
    if (made == changes && pending.empty())
      break;
  }
  BOOST_TEST(pending.empty());
  storm.update_bytes = fleet.CountOf("updates").bytes;
  BOOST_TEST_MESSAGE(hosts << " hosts, " << changes << " changes: slowest "
                           << storm.slowest.count() << " ms, "
                           << storm.update_bytes / 1000 / changes
                           << " kB of updates a change, "
                           << fleet.PeakQueuedBytes(0) / 1000
                           << " kB queued at most");
  return storm;
}

// A fleet whose hosts have a document of `kRoutes` routes, version 2.
struct FleetWithRoutes {
  explicit FleetWithRoutes(int hosts, bool legacy = false)
      : fleet(hosts, 60, legacy) {
    fleet.RunFor(Millis(3000));
    fleet.LimitLinks(kLinkBytesPerSecond);
    fleet.Replace(2, documents.Next(2));
    fleet.RunFor(Millis(5000));
    BOOST_TEST(fleet.CountWithRouting(2) == hosts);
  }

  Documents documents;
  Fleet fleet;
};

BOOST_AUTO_TEST_SUITE(routing_distribution, *boost::unit_test::label("fleet"))

BOOST_DATA_TEST_CASE(each_version_is_soon_in_force_while_changes_come_fast,
                     boost::unit_test::data::make({98, 300}),
                     hosts) {
  FleetWithRoutes with_routes(hosts);
  const Storm storm =
      RunStorm(with_routes.fleet, with_routes.documents, 3, 24, hosts);
  BOOST_TEST(storm.slowest.count() <= kInForce.count());
  for (int host = 0; host < kControlHosts; ++host)
    BOOST_TEST(with_routes.fleet.PeakQueuedBytes(host) <= kMaxQueuedBytes);
}

BOOST_AUTO_TEST_CASE(a_change_costs_bytes_by_its_size) {
  constexpr int kHosts = 100;
  constexpr int kChanges = 10;
  FleetWithRoutes with_routes(kHosts);
  const Storm storm =
      RunStorm(with_routes.fleet, with_routes.documents, 3, kChanges, kHosts);
  // Polls are answered meanwhile; a whole document has 400 kB.
  BOOST_TEST(storm.update_bytes / kChanges < 10000ULL * kHosts);
}

BOOST_AUTO_TEST_CASE(hosts_that_missed_changes_get_the_newest_whole) {
  constexpr int kHosts = 20;
  FleetWithRoutes with_routes(kHosts);
  Fleet& fleet = with_routes.fleet;
  fleet.SetCutOff(3, true);
  RunStorm(fleet, with_routes.documents, 3, 15, kHosts - 1);
  fleet.RestartEntryHost(4);
  fleet.SetCutOff(3, false);
  const std::string document = with_routes.documents.Next(18);
  fleet.Replace(18, document);
  fleet.RunFor(Millis(1500));
  for (const int host : {0, 3, 4}) {
    BOOST_TEST(fleet.DecisionsOf(host).routing_version == 18u);
    BOOST_CHECK(fleet.DecisionsOf(host).routing_document == document);
  }
}

BOOST_AUTO_TEST_CASE(hosts_of_an_earlier_release_get_whole_documents) {
  constexpr int kHosts = 20;
  FleetWithRoutes with_routes(kHosts, true);
  Fleet& fleet = with_routes.fleet;
  std::string document;
  for (std::uint64_t version = 3; version < 9; ++version) {
    document = with_routes.documents.Next(version);
    fleet.Replace(version, document);
    fleet.RunFor(kChangeInterval);
  }
  fleet.RunFor(Millis(2000));
  BOOST_TEST(fleet.CountWithRouting(8) == kHosts);
  BOOST_CHECK(fleet.DecisionsOf(0).routing_document == document);
  // One under way to each, whatever else was decided meanwhile.
  BOOST_TEST(fleet.PeakQueuedBytes(0) < 2 * document.size() * kHosts);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
