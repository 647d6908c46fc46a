#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

#include "endivecart/fleet/fleet.h"

// Guards against WALL: cache that a customer's requests had made before it
// became isolated was used for others as before.

namespace endivecart::fleet {
namespace {

const CustomerId kA("a");
const CustomerId kB("b");
const CustomerId kC("c");

CacheCustomers Customers(std::set<CustomerId> sharing,
                         std::set<CustomerId> isolated) {
  return {std::move(sharing), std::move(isolated)};
}

std::string Command(std::uint64_t version,
                    const std::optional<CacheCustomers>& customers) {
  wire::FleetCommand command;
  wire::ReplaceRoutingCommand& replace = *command.mutable_replace_routing();
  replace.set_version(version);
  if (customers) {
    auto& record = *replace.mutable_cache_customers();
    for (const CustomerId& customer : customers->sharing)
      record.add_sharing(customer.str());
    for (const CustomerId& customer : customers->isolated)
      record.add_isolated(customer.str());
  }
  return command.SerializeAsString();
}

BOOST_AUTO_TEST_SUITE(fleet_cache_sharing, *boost::unit_test::label("fleet"))

BOOST_AUTO_TEST_CASE(the_label_changes_when_a_customer_becomes_isolated) {
  CacheSharing sharing;
  sharing.OnConfiguration(7, Customers({kA, kB}, {}));
  BOOST_TEST(sharing.generation() == 0u);
  sharing.OnConfiguration(9, Customers({kB}, {kA}));
  BOOST_TEST(sharing.generation() == 9u);
  sharing.OnConfiguration(10, Customers({kA, kB}, {}));
  BOOST_TEST(sharing.generation() == 9u);
  // It has shared in between.
  sharing.OnConfiguration(12, Customers({kB}, {kA}));
  BOOST_TEST(sharing.generation() == 12u);
}

BOOST_AUTO_TEST_CASE(changes_that_end_no_sharing_keep_the_label) {
  CacheSharing sharing;
  sharing.OnConfiguration(1, Customers({kA}, {kB}));
  sharing.OnConfiguration(2, Customers({kA}, {kB}));
  sharing.OnConfiguration(3, Customers({kA}, {kB, kC}));  // a new customer
  sharing.OnConfiguration(4, Customers({}, {kB}));
  sharing.OnConfiguration(5, Customers({kA, kB}, {kC}));
  sharing.OnConfiguration(6, Customers({kA, kC}, {}));
  BOOST_TEST(sharing.generation() == 0u);
}

BOOST_AUTO_TEST_CASE(a_customer_that_returns_isolated_changes_the_label) {
  CacheSharing sharing;
  sharing.OnConfiguration(1, Customers({kA, kB}, {}));
  sharing.OnConfiguration(2, Customers({kB}, {}));
  sharing.OnConfiguration(3, Customers({kB}, {kA}));
  BOOST_TEST(sharing.generation() == 3u);
}

// An earlier release may have been leader, or written the snapshot.
BOOST_AUTO_TEST_CASE(customers_that_are_unknown_may_have_shared) {
  CacheSharing sharing;
  sharing.OnConfiguration(1, std::nullopt);
  sharing.OnConfiguration(2, Customers({kA}, {}));
  BOOST_TEST(sharing.generation() == 0u);
  sharing.OnConfiguration(3, Customers({kA}, {kB}));
  BOOST_TEST(sharing.generation() == 3u);
  sharing.OnConfiguration(4, Customers({kA}, {kB, kC}));
  BOOST_TEST(sharing.generation() == 3u);
}

BOOST_AUTO_TEST_CASE(a_snapshot_keeps_who_has_shared) {
  for (const bool is_named : {false, true}) {
    DecisionLog log;
    log.Apply(Command(1, is_named ? std::optional(Customers({kA, kB}, {}))
                                  : std::nullopt),
              1);
    DecisionLog restored;
    BOOST_TEST(restored.Restore(log.Snapshot()));
    for (DecisionLog* each : {&log, &restored}) {
      each->Apply(Command(2, Customers({kA, kB}, {kC})), 2);
      BOOST_TEST(each->decisions().cache_generation == (is_named ? 0u : 2u));
      each->Apply(Command(3, Customers({kB}, {kA, kC})), 3);
      BOOST_TEST(each->decisions().cache_generation == 3u);
    }
    BOOST_TEST(FromWire(ToWire(log.decisions(), false), "").cache_generation ==
               3u);
  }
}

// Stores free what is under any other label.
BOOST_AUTO_TEST_CASE(labels_of_earlier_generations_are_not_live) {
  upstreams::UpstreamRegistry roster;
  upstreams::Announcement announcement;
  announcement.id = UpstreamId("u");
  announcement.models = {{ModelId("m"), 3}};
  roster.Apply(announcement, TimePoint(), TimePoint());
  Decisions decisions;
  decisions.weights[ModelId("m")] = 4;
  const auto live =
      LiveCacheLabels(decisions, {{CustomerId(), 9}, {kA, 0}}, roster);
  BOOST_TEST(
      (live == std::set<std::string>{"m.3@9", "m.3.a", "m.4@9", "m.4.a"}));
}

// Customers become isolated, shared, removed and added at random. Each request
// uses what is under its label, and adds to it.
BOOST_DATA_TEST_CASE(no_request_uses_cache_across_a_wall,
                     boost::unit_test::data::make({1, 2, 3, 4, 5}),
                     seed) {
  const std::vector<CustomerId> all = {kA, kB, kC, CustomerId("d")};
  std::mt19937 random(static_cast<unsigned>(seed));
  const auto draw = [&random](int count) {
    return static_cast<int>(random() % static_cast<unsigned>(count));
  };
  CacheSharing sharing;
  std::map<std::string, std::set<CustomerId>> makers;  // by label
  std::map<CustomerId, int> state;  // 0: removed, 1: shares, 2: isolated
  int shared_uses = 0;
  for (std::uint64_t version = 1; version <= 2000; ++version) {
    state[all.at(static_cast<std::size_t>(draw(4)))] = draw(3);
    CacheCustomers customers;
    for (const auto& [customer, is] : state) {
      if (is != 0)
        (is == 1 ? customers.sharing : customers.isolated).insert(customer);
    }
    sharing.OnConfiguration(version, customers);
    for (const auto& [customer, is] : state) {
      if (is == 0)
        continue;
      const std::string label =
          CacheLabel(ModelId("m"), 1,
                     is == 2 ? CacheScope{customer, 0}
                             : CacheScope{CustomerId(), sharing.generation()});
      std::set<CustomerId>& made_by = makers[label];
      for (const CustomerId& maker : made_by) {
        const bool is_across =
            maker != customer && (is == 2 || state[maker] == 2);
        BOOST_REQUIRE_MESSAGE(!is_across,
                              customer.str() << " used cache of " << maker.str()
                                             << " in version " << version);
        shared_uses += maker != customer ? 1 : 0;
      }
      made_by.insert(customer);
    }
  }
  BOOST_TEST(shared_uses > 500);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
