#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

#include "endivecart/fleet/fleet.h"

namespace endivecart::fleet {
namespace {

TimePoint At(int millis) {
  return TimePoint(Millis(1000000 + millis));
}

struct Catalog {
  Catalog() {
    routes::CacheStore settings;
    settings.address = store;
    settings.cache_tokens = 10000;
    catalog.SetStores({settings});
    catalog.OnLeadershipGained(3, At(-2000));
  }

  void List(int at,
            const std::vector<std::string>& ids,
            std::uint64_t epoch = 1) {
    CacheList list;
    list.epoch = epoch;
    list.next = 10;
    for (const std::string& id : ids)
      list.complete.emplace_back(CachePartName{"m.1", id}, 100);
    catalog.NextReads(At(at));
    catalog.OnList(store, list, At(at));
  }

  settings::Endpoint store{"10.0.0.1", 80};
  CacheCatalog catalog;
};

BOOST_AUTO_TEST_SUITE(fleet_catalog, *boost::unit_test::label("fleet"))

BOOST_FIXTURE_TEST_CASE(a_new_leader_reads_no_store_before_old_orders_expired,
                        Catalog) {
  catalog.OnLeadershipGained(4, At(100));
  routes::CacheStore another;
  another.address = {"10.0.0.2", 80};
  catalog.SetStores({another});  // set after leadership was gained
  const TimePoint expired_at = At(100) + CacheCatalog::kOldOrdersExpired;
  BOOST_TEST(catalog.NextReads(expired_at - Millis(1)).empty());
  BOOST_TEST(catalog.NextReads(expired_at).size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(a_part_is_published_only_once_it_is_complete, Catalog) {
  List(0, {"a"});
  const auto all = catalog.UpdateSince({}, At(10));
  BOOST_TEST(all->reset());
  BOOST_TEST(all->added_size() == 1);
  CacheEvents events;
  events.epoch = 1;
  events.next = 11;
  events.events = {{true, {"m.1", "b"}, 50}};
  catalog.OnEvents(store, events, At(20));
  const auto more = catalog.UpdateSince({3, all->cursor()}, At(20));
  BOOST_TEST(!more->reset());
  BOOST_TEST(more->added_size() == 1);
  BOOST_TEST(more->added(0).key() == CacheKey({"m.1", "b"}));
}

// Guards against MIXED: the copy of an earlier answer brought back a part that
// the store had freed since.
BOOST_FIXTURE_TEST_CASE(the_copy_of_an_earlier_answer_changes_nothing,
                        Catalog) {
  List(0, {});
  const auto all = catalog.UpdateSince({}, At(10));
  CacheEvents earlier;
  earlier.epoch = 1;
  earlier.next = 11;
  earlier.events = {{true, {"m.1", "b"}, 50}};
  CacheEvents later = earlier;
  later.next = 12;
  later.events[0].added = false;
  for (const CacheEvents& events : {earlier, later, earlier})
    catalog.OnEvents(store, events, At(20));
  BOOST_TEST(catalog.UpdateSince({}, At(30))->added_size() == 0);
}

// Guards against MIXED: a part that its writer completed late was published
// while the order to free it was under way.
BOOST_FIXTURE_TEST_CASE(
    an_abandoned_part_that_becomes_complete_is_not_published,
    Catalog) {
  const auto list_partial = [this](int at, bool is_complete) {
    CacheList list;
    list.epoch = 1;
    list.next = 10;
    (is_complete ? list.complete : list.partial)
        .emplace_back(CachePartName{"m.1", "late"}, 100);
    catalog.NextReads(At(at));
    catalog.OnList(store, list, At(at));
  };
  list_partial(0, false);
  CacheEvents events;
  events.epoch = 1;
  events.next = 10;
  events.clock_ms = 5000;
  catalog.OnEvents(store, events, At(10));
  BOOST_TEST(catalog.NextFrees(At(10500)).size() == 1u);
  events.events = {{true, {"m.1", "late"}, 100}};
  catalog.OnEvents(store, events, At(10600));
  BOOST_TEST(catalog.UpdateSince({}, At(10610))->added_size() == 0);
  list_partial(10700, true);
  BOOST_TEST(catalog.UpdateSince({}, At(10710))->added_size() == 0);
  // Once it has been freed, it may be stored again.
  events.events = {{false, {"m.1", "late"}, 100}, {true, {"m.1", "late"}, 100}};
  catalog.OnEvents(store, events, At(10800));
  BOOST_TEST(catalog.UpdateSince({}, At(10810))->added_size() == 1);
}

std::vector<std::string> Names(int count) {
  std::vector<std::string> names(static_cast<std::size_t>(count));
  std::generate(names.begin(), names.end(),
                [i = 0]() mutable { return std::to_string(i++); });
  return names;
}

// Follows the catalogue until it has received everything.
struct CatalogFollower {
  explicit CatalogFollower(CacheCatalog& followed) : catalog(followed) {}

  // Returns the number of updates it took.
  int Follow(int at) {
    for (int updates = 1;; ++updates) {
      const auto update = catalog.UpdateSince(position, At(at));
      if (update->reset())
        parts.clear();
      for (const auto& part : update->removed())
        parts.erase(part.key());
      for (const auto& part : update->added())
        parts.insert(part.key());
      position = {update->term(), update->cursor(), update->floor(),
                  update->stores_version()};
      resets += update->reset() ? 1 : 0;
      if (!update->has_more())
        return updates;
    }
  }

  CacheCatalog& catalog;
  CachePosition position;
  std::set<std::uint64_t> parts;
  int resets = 0;
};

// Pattern: a new leader is polled by hundreds of hosts that lack everything.
BOOST_FIXTURE_TEST_CASE(a_large_catalogue_is_sent_in_several_updates, Catalog) {
  List(0, Names(2500));
  CatalogFollower follower(catalog);
  const auto first = catalog.UpdateSince(follower.position, At(10));
  BOOST_TEST(first->added_size() == CacheCatalog::kMaxPartsPerUpdate);
  BOOST_TEST(first->has_more());
  BOOST_TEST(follower.Follow(10) == 3);
  BOOST_TEST(follower.parts.size() == 2500u);
  BOOST_TEST(follower.resets == 1);
  // Nothing is repeated afterwards, not even the states of the stores.
  const auto last = catalog.UpdateSince(follower.position, At(2000));
  BOOST_TEST(last->added_size() == 0);
  BOOST_TEST(catalog.UpdateSince(follower.position, At(1990))->stores_size() ==
             last->stores_size());
}

BOOST_FIXTURE_TEST_CASE(a_part_removed_while_a_follower_catches_up_is_removed,
                        Catalog) {
  List(0, Names(1500));
  CatalogFollower follower(catalog);
  auto update = catalog.UpdateSince({}, At(10));
  for (const auto& part : update->added())
    follower.parts.insert(part.key());
  follower.position = {3, update->cursor(), update->floor(),
                       update->stores_version()};
  const std::uint64_t removed = update->added(0).key();
  for (int i = 0; i < 1500; ++i) {
    if (CacheKey({"m.1", std::to_string(i)}) != removed)
      continue;
    CacheEvents events;
    events.epoch = 1;
    events.next = 11;
    events.events = {{false, {"m.1", std::to_string(i)}, 100}};
    catalog.OnEvents(store, events, At(20));
  }
  follower.Follow(30);
  BOOST_TEST(follower.parts.size() == 1499u);
  BOOST_TEST(!follower.parts.contains(removed));
  BOOST_TEST(follower.resets == 0);
}

BOOST_FIXTURE_TEST_CASE(a_follower_that_missed_too_many_removals_starts_anew,
                        Catalog) {
  List(0, {"a"});
  CatalogFollower late(catalog);
  late.Follow(10);
  std::uint64_t next = 11;
  for (int i = 0; i < 21000; ++i) {
    CacheEvents events;
    events.epoch = 1;
    events.next = ++next;
    const CachePartName name{"m.1", "x" + std::to_string(i)};
    events.events = {{true, name, 100}, {false, name, 100}};
    catalog.OnEvents(store, events, At(20));
  }
  late.Follow(30);
  BOOST_TEST(late.resets == 2);
  BOOST_TEST(late.parts.size() == 1u);
  // One that starts now doesn't have to start anew again.
  CatalogFollower fresh(catalog);
  fresh.Follow(40);
  BOOST_TEST(fresh.Follow(50) == 1);
  BOOST_TEST(fresh.resets == 1);
  BOOST_TEST(fresh.parts.size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(parts_of_a_store_that_restarted_empty_are_discarded,
                        Catalog) {
  List(0, {"a"});
  const auto all = catalog.UpdateSince({}, At(10));
  CacheEvents events;
  events.epoch = 2;
  catalog.OnEvents(store, events, At(20));
  const auto update = catalog.UpdateSince({3, all->cursor()}, At(20));
  // Followers discard what they know of another generation.
  BOOST_TEST(update->stores(0).generation() > all->stores(0).generation());
  BOOST_TEST(!update->stores(0).readable());
  BOOST_TEST(catalog.UpdateSince({}, At(20))->added_size() == 0);
}

BOOST_FIXTURE_TEST_CASE(
    a_restarted_store_takes_no_parts_until_all_earlier_fetches_ended,
    Catalog) {
  List(0, {});
  const auto ended = static_cast<int>(
      (CacheCatalog::kUpdateLease + CacheCatalog::kFetchLimit).count());
  BOOST_TEST(!catalog.UpdateSince({}, At(ended))->stores(0).takes_more());
  BOOST_TEST(catalog.UpdateSince({}, At(ended + 600))->stores(0).takes_more());
}

BOOST_FIXTURE_TEST_CASE(a_retired_part_is_not_freed_while_it_may_be_fetched,
                        Catalog) {
  List(0, {"a"});
  CacheEvents events;
  events.epoch = 1;
  events.next = 10;
  events.clock_ms = 5000;
  catalog.OnEvents(store, events, At(10));
  catalog.Retire([](const std::string&) { return false; }, At(100));
  BOOST_TEST(catalog.UpdateSince({}, At(110))->added_size() == 0);
  const auto delay = static_cast<int>(CacheCatalog::kFreeDelay.count());
  BOOST_TEST(catalog.NextFrees(At(100 + delay - 1)).empty());
  const auto frees = catalog.NextFrees(At(100 + delay));
  BOOST_REQUIRE(frees.size() == 1u);
  BOOST_TEST(frees[0].parts.size() == 1u);
  BOOST_TEST(frees[0].epoch == 1u);
  BOOST_TEST(frees[0].until_ms > 5000u);
}

BOOST_FIXTURE_TEST_CASE(a_process_that_lost_leadership_publishes_nothing,
                        Catalog) {
  catalog.OnLeadershipLost();
  BOOST_TEST(!catalog.UpdateSince({}, At(0)).has_value());
  BOOST_TEST(catalog.NextReads(At(0)).empty());
}

// Guards against MIXED: the save that writes the part may be of an earlier
// leader, and a second one could begin after the part was published.
BOOST_FIXTURE_TEST_CASE(a_part_that_is_being_written_gets_no_save, Catalog) {
  catalog.SetRequestLimit(Millis(10000));
  catalog.OnLeadershipGained(4, At(0), false);
  const CachePartName part{"m.1", "a"};
  const auto is_granted = [&](int at, const CacheList& list) {
    catalog.NextReads(At(at));
    catalog.OnList(store, list, At(at));
    wire::CacheSaveClaim claim;
    claim.set_term(4);
    claim.set_number(static_cast<std::uint64_t>(at));
    claim.set_lifetime_ms(10000);
    claim.add_parts()->set_key(CacheKey(part));
    return catalog.OnSaveClaim(HostId("a"), claim, At(at)).parts_size() > 0;
  };
  CacheList empty{1, 10, {}, {}};
  CacheList writing{1, 10, {}, {{part, 100}}};
  BOOST_TEST(!is_granted(400, writing));
  BOOST_TEST(!is_granted(5000, writing));
  BOOST_TEST(is_granted(10000, empty));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
