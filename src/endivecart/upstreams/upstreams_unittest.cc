#include <boost/test/unit_test.hpp>

#include "endivecart/upstreams/upstreams.h"

namespace endivecart::upstreams {
namespace {

TimePoint At(int millis) {
  return TimePoint(Millis(1000000 + millis));
}

Announcement Make(const char* id, std::uint64_t born, std::uint64_t sequence) {
  Announcement announcement;
  announcement.id = UpstreamId(id);
  announcement.start_time_ms = born;
  announcement.sequence = sequence;
  announcement.service = routes::ServiceId("s");
  announcement.address = {"10.0.0.1", 80};
  announcement.domain = DomainId("a");
  return announcement;
}

BOOST_AUTO_TEST_SUITE(upstreams_roster, *boost::unit_test::label("upstreams"))

BOOST_AUTO_TEST_CASE(a_late_announcement_is_ignored) {
  UpstreamRegistry registry;
  registry.Apply(Make("u", 1, 5), At(0), At(0));
  auto late = Make("u", 1, 4);
  late.state = UpstreamState::kDraining;
  BOOST_CHECK(registry.Apply(late, At(1), At(1)) == AnnouncementEffect::kStale);
  BOOST_CHECK(registry.Find(UpstreamId("u"))->last.state ==
              UpstreamState::kReady);
}

// Guards against DRAIN: the reports of an upstream that said in an answer that
// it leaves may be older, or not show it.
BOOST_AUTO_TEST_CASE(an_upstream_leaves_until_it_starts_again) {
  UpstreamRegistry registry;
  registry.Apply(Make("u", 1, 5), At(0), At(0));
  const auto state = [&] { return registry.Find(UpstreamId("u"))->last.state; };
  BOOST_CHECK(registry.MarkLeaving({UpstreamId("u"), 2}, At(1)) ==
              AnnouncementEffect::kStale);
  BOOST_CHECK(state() == UpstreamState::kReady);
  BOOST_CHECK(registry.MarkLeaving({UpstreamId("u"), 1}, At(1)) ==
              AnnouncementEffect::kChanged);
  BOOST_CHECK(registry.MarkLeaving({UpstreamId("u"), 1}, At(2)) ==
              AnnouncementEffect::kStale);
  registry.Apply(Make("u", 1, 6), At(2), At(2));
  BOOST_CHECK(state() == UpstreamState::kDraining);
  registry.Apply(Make("u", 2, 1), At(3), At(3));
  BOOST_CHECK(state() == UpstreamState::kReady);
}

BOOST_AUTO_TEST_CASE(that_an_upstream_leaves_arrives_behind_newer_reports) {
  UpstreamRegistry teller;
  teller.Apply(Make("u", 1, 5), At(0), At(0));
  teller.MarkLeaving({UpstreamId("u"), 1}, At(1));
  const auto told =
      FromRecord(ToRecord(teller.Find(UpstreamId("u"))->last, Millis(0)));
  BOOST_REQUIRE(told.has_value());
  for (const std::uint64_t sequence : {4, 5, 6}) {
    UpstreamRegistry registry;
    registry.Apply(Make("u", 1, sequence), At(0), At(0));
    BOOST_CHECK(registry.Apply(*told, At(1), At(1)) ==
                AnnouncementEffect::kChanged);
    BOOST_CHECK(registry.Find(UpstreamId("u"))->last.state ==
                UpstreamState::kDraining);
  }
}

BOOST_AUTO_TEST_CASE(a_restart_under_the_same_id_is_a_new_incarnation) {
  UpstreamRegistry registry;
  registry.Apply(Make("u", 1, 500), At(0), At(0));
  BOOST_CHECK(registry.Apply(Make("u", 2, 1), At(1), At(1)) ==
              AnnouncementEffect::kChanged);
  BOOST_CHECK(registry.Apply(Make("u", 1, 501), At(2), At(2)) ==
              AnnouncementEffect::kStale);
}

BOOST_AUTO_TEST_CASE(
    the_later_incarnation_at_an_address_replaces_the_earlier_one) {
  UpstreamRegistry registry;
  registry.Apply(Make("old", 1, 5), At(0), At(0));
  registry.Apply(Make("new", 2, 1), At(1), At(1));
  BOOST_CHECK(registry.Find(UpstreamId("old"))->last.state ==
              UpstreamState::kGone);
  // An announcement that was delayed by a network partition.
  BOOST_CHECK(registry.Apply(Make("old", 1, 6), At(2), At(2)) ==
              AnnouncementEffect::kStale);
  BOOST_CHECK(registry.Find(UpstreamId("new"))->last.state ==
              UpstreamState::kReady);
}

BOOST_AUTO_TEST_CASE(
    an_upstream_that_left_is_not_added_again_by_a_late_announcement) {
  UpstreamRegistry registry;
  registry.Apply(Make("u", 1, 5), At(0), At(0));
  registry.Leave(UpstreamId("u"), 0, At(1));
  BOOST_CHECK(registry.Apply(Make("u", 1, 6), At(2), At(2)) ==
              AnnouncementEffect::kStale);
  BOOST_CHECK(registry.Apply(Make("u", 2, 1), At(3), At(3)) ==
              AnnouncementEffect::kChanged);
}

BOOST_AUTO_TEST_CASE(leaving_of_an_earlier_incarnation_is_ignored) {
  UpstreamRegistry registry;
  registry.Apply(Make("u", 2, 1), At(0), At(0));
  BOOST_CHECK(registry.Leave(UpstreamId("u"), 1, At(1)) ==
              AnnouncementEffect::kStale);
  BOOST_CHECK(registry.Find(UpstreamId("u"))->last.state ==
              UpstreamState::kReady);
}

BOOST_AUTO_TEST_CASE(an_unchanged_announcement_only_refreshes) {
  UpstreamRegistry registry;
  registry.Apply(Make("u", 1, 1), At(0), At(0));
  const std::uint64_t before = registry.newest_change();
  BOOST_CHECK(registry.Apply(Make("u", 1, 2), At(1200), At(1200)) ==
              AnnouncementEffect::kRefreshed);
  BOOST_TEST(registry.ChangedSince(before).empty());
  BOOST_TEST(registry.RefreshedSince(before).size() == 1u);
  BOOST_TEST(registry.ChangedSince(0).size() == 1u);
  BOOST_TEST(registry.RefreshedSince(0).empty());
  BOOST_CHECK(registry.Find(UpstreamId("u"))->received_at == At(1200));
}

// Guards against an upstream that seems to be silent because an older report of
// it arrives by a slower route.
BOOST_AUTO_TEST_CASE(a_late_announcement_does_not_undo_that_it_was_heard) {
  UpstreamRegistry registry;
  registry.Apply(Make("u", 1, 1), At(0), At(0));
  const std::uint64_t before = registry.newest_change();
  registry.Refresh(UpstreamId("u"), At(2400));
  BOOST_TEST(registry.RefreshedSince(before).size() == 1u);
  registry.Apply(Make("u", 1, 2), At(1200), At(2500));
  registry.Refresh(UpstreamId("u"), At(1300));
  BOOST_CHECK(registry.Find(UpstreamId("u"))->received_at == At(2400));
}

// Control hosts relay reports to each other, so each arrives by several routes.
BOOST_AUTO_TEST_CASE(a_refresh_that_arrives_twice_is_passed_on_once) {
  UpstreamRegistry registry;
  registry.Apply(Make("u", 1, 1), At(0), At(0));
  registry.Apply(Make("u", 1, 2), At(1200), At(1210));
  const std::uint64_t before = registry.newest_change();
  registry.Apply(Make("u", 1, 2), At(1201), At(1300));
  registry.Apply(Make("u", 1, 3), At(1202), At(1300));
  BOOST_TEST(registry.RefreshedSince(before).empty());
}

BOOST_AUTO_TEST_CASE(a_longer_cold_start_is_a_change) {
  UpstreamRegistry registry;
  auto cold = Make("u", 1, 1);
  cold.cold_for = Millis(3000);
  registry.Apply(cold, At(0), At(0));
  cold.sequence = 2;
  cold.cold_for = Millis(1800);
  BOOST_CHECK(registry.Apply(cold, At(1200), At(1200)) ==
              AnnouncementEffect::kRefreshed);
  cold.sequence = 3;
  cold.cold_for = Millis(3000);
  BOOST_CHECK(registry.Apply(cold, At(2400), At(2400)) ==
              AnnouncementEffect::kChanged);
}

BOOST_AUTO_TEST_CASE(changes_are_listed_in_their_order) {
  UpstreamRegistry registry;
  for (const char* id : {"c", "a", "b"}) {
    auto announcement = Make(id, 1, 1);
    announcement.address = {std::string("10.0.0.") + id, 80};
    registry.Apply(announcement, At(0), At(0));
  }
  registry.Leave(UpstreamId("c"), 0, At(5));
  std::string order;
  for (const AnnouncedUpstream* upstream : registry.ChangedSince(0))
    order += upstream->last.id.str();
  BOOST_TEST(order == "abc");
  registry.Expire(At(5) + UpstreamRegistry::kGoneRetention + Millis(1));
  BOOST_TEST(registry.ChangedSince(0).empty());
}

BOOST_AUTO_TEST_CASE(an_upstream_that_becomes_cold_is_a_change) {
  UpstreamRegistry registry;
  registry.Apply(Make("u", 1, 1), At(0), At(0));
  auto cold = Make("u", 1, 2);
  cold.cold_for = Millis(500);
  BOOST_CHECK(registry.Apply(cold, At(10), At(20)) ==
              AnnouncementEffect::kChanged);
  BOOST_CHECK(registry.Find(UpstreamId("u"))->cold_until == At(510));
}

BOOST_AUTO_TEST_CASE(an_announcement_is_unchanged_after_encoding_and_decoding) {
  auto announcement = Make("u", 7, 8);
  announcement.state = UpstreamState::kDraining;
  announcement.cold_for = Millis(12);
  announcement.slots = 4;
  announcement.software_version = VersionId("v1");
  announcement.models = {{ModelId("m"), 3}};
  BOOST_CHECK(FromRecord(ToRecord(announcement, Millis(5))).value() ==
              announcement);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::upstreams
