#include <boost/test/unit_test.hpp>

#include "endivecart/upstreams/upstreams.h"

namespace endivecart::upstreams {
namespace {

TimePoint At(int millis) {
  return TimePoint(Millis(1000000 + millis));
}

Announcement Make(const char* id, std::uint64_t born, std::uint64_t sequence) {
  Announcement said;
  said.id = UpstreamId(id);
  said.born_ms = born;
  said.sequence = sequence;
  said.service = routes::ServiceId("s");
  said.address = {"10.0.0.1", 80};
  said.domain = DomainId("a");
  return said;
}

BOOST_AUTO_TEST_SUITE(upstreams_roster, *boost::unit_test::label("upstreams"))

BOOST_AUTO_TEST_CASE(a_late_announcement_changes_nothing) {
  AnnouncedRoster roster;
  roster.Apply(Make("u", 1, 5), At(0), At(0));
  auto late = Make("u", 1, 4);
  late.state = UpstreamState::kDraining;
  BOOST_CHECK(roster.Apply(late, At(1), At(1)) == AnnouncementEffect::kStale);
  BOOST_CHECK(roster.Find(UpstreamId("u"))->last.state ==
              UpstreamState::kReady);
}

BOOST_AUTO_TEST_CASE(a_restart_under_the_same_id_counts_anew) {
  AnnouncedRoster roster;
  roster.Apply(Make("u", 1, 500), At(0), At(0));
  BOOST_CHECK(roster.Apply(Make("u", 2, 1), At(1), At(1)) ==
              AnnouncementEffect::kChanged);
  BOOST_CHECK(roster.Apply(Make("u", 1, 501), At(2), At(2)) ==
              AnnouncementEffect::kStale);
}

BOOST_AUTO_TEST_CASE(the_later_incarnation_at_an_address_replaces_the_former) {
  AnnouncedRoster roster;
  roster.Apply(Make("old", 1, 5), At(0), At(0));
  roster.Apply(Make("new", 2, 1), At(1), At(1));
  BOOST_CHECK(roster.Find(UpstreamId("old"))->last.state ==
              UpstreamState::kGone);
  // A report that a partition has held up.
  BOOST_CHECK(roster.Apply(Make("old", 1, 6), At(2), At(2)) ==
              AnnouncementEffect::kStale);
  BOOST_CHECK(roster.Find(UpstreamId("new"))->last.state ==
              UpstreamState::kReady);
}

BOOST_AUTO_TEST_CASE(what_has_left_is_not_brought_back_by_its_own_words) {
  AnnouncedRoster roster;
  roster.Apply(Make("u", 1, 5), At(0), At(0));
  roster.Leave(UpstreamId("u"), 0, At(1));
  BOOST_CHECK(roster.Apply(Make("u", 1, 6), At(2), At(2)) ==
              AnnouncementEffect::kStale);
  BOOST_CHECK(roster.Apply(Make("u", 2, 1), At(3), At(3)) ==
              AnnouncementEffect::kChanged);
}

BOOST_AUTO_TEST_CASE(the_leave_of_an_earlier_incarnation_is_too_late) {
  AnnouncedRoster roster;
  roster.Apply(Make("u", 2, 1), At(0), At(0));
  BOOST_CHECK(roster.Leave(UpstreamId("u"), 1, At(1)) ==
              AnnouncementEffect::kStale);
  BOOST_CHECK(roster.Find(UpstreamId("u"))->last.state ==
              UpstreamState::kReady);
}

BOOST_AUTO_TEST_CASE(the_next_announcement_only_refreshes) {
  AnnouncedRoster roster;
  roster.Apply(Make("u", 1, 1), At(0), At(0));
  const std::uint64_t before = roster.newest_change();
  BOOST_CHECK(roster.Apply(Make("u", 1, 2), At(10), At(10)) ==
              AnnouncementEffect::kRefreshed);
  BOOST_TEST(roster.ChangedSince(before).size() == 1u);
  BOOST_CHECK(roster.Find(UpstreamId("u"))->heard_at == At(10));
}

BOOST_AUTO_TEST_CASE(an_upstream_that_turns_cold_is_a_change) {
  AnnouncedRoster roster;
  roster.Apply(Make("u", 1, 1), At(0), At(0));
  auto cold = Make("u", 1, 2);
  cold.cold_for = Millis(500);
  BOOST_CHECK(roster.Apply(cold, At(10), At(20)) ==
              AnnouncementEffect::kChanged);
  BOOST_CHECK(roster.Find(UpstreamId("u"))->cold_until == At(510));
}

BOOST_AUTO_TEST_CASE(an_announcement_survives_the_wire) {
  auto said = Make("u", 7, 8);
  said.state = UpstreamState::kDraining;
  said.cold_for = Millis(12);
  said.slots = 4;
  said.software_version = VersionId("v1");
  said.models = {{ModelId("m"), 3}};
  BOOST_CHECK(FromRecord(ToRecord(said, Millis(5))).value() == said);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::upstreams
