#include <boost/test/unit_test.hpp>

#include "endivecart/fleet/fleet.h"
#include "endivecart/fleet/heard_upstreams.h"
#include "endivecart/fleet/quarantine_messages.h"

// Guards against CONFIG: a receiver dropped a whole message for one name in it
// that wasn't UTF-8, so that it never learned of the others.

namespace endivecart::fleet {
namespace {

constexpr char kOddName[] = "k\xFC";
const TimePoint kNow = TimePoint(Millis(1000000));

// What a receiver gets of a message.
template <class Message>
Message Received(const Message& sent) {
  Message received;
  BOOST_TEST(received.ParseFromString(sent.SerializeAsString()));
  return received;
}

wire::AnnouncementRecord Record(const std::string& id) {
  upstreams::Announcement announcement;
  announcement.id = UpstreamId(id);
  announcement.service = routes::ServiceId("s");
  announcement.domain = DomainId("d");
  announcement.address = {"10.0.0.1", 80};
  announcement.models = {{ModelId("m"), 1}};
  return upstreams::ToRecord(announcement, Millis(0));
}

BOOST_AUTO_TEST_SUITE(fleet_odd_records, *boost::unit_test::label("fleet"))

BOOST_AUTO_TEST_CASE(an_odd_announcement_costs_none_of_the_others) {
  wire::FleetUpdate update;
  *update.add_announcements() = Record("a");
  *update.add_announcements() = Record(kOddName);
  wire::AnnouncementRecord& odd_model = *update.add_announcements();
  odd_model = Record("b");
  odd_model.mutable_models(0)->set_model(kOddName);
  *update.add_announcements() = Record("c");
  std::string ids;
  const auto rejected = RejectedInputMonitor::Get().Count(InputSource::kPeer);
  const wire::FleetUpdate received = Received(update);
  for (const auto& record : received.announcements()) {
    if (const auto announcement = upstreams::FromRecord(record))
      ids += announcement->id.str();
  }
  BOOST_TEST(ids == "ac");
  BOOST_TEST(RejectedInputMonitor::Get().Count(InputSource::kPeer) ==
             rejected + 2);
}

BOOST_AUTO_TEST_CASE(the_names_after_an_odd_one_keep_their_positions) {
  wire::HeardUpstreams heard;
  heard.set_names_epoch(1);
  for (const char* name : {"a", kOddName, "c"})
    heard.add_names(name);
  for (const int gap : {0, 1, 1}) {
    heard.add_gaps(static_cast<std::uint32_t>(gap));
    heard.add_ages(1);
  }
  ReceivedNames names;
  std::string ids;
  BOOST_TEST(ApplyHeard(Received(heard), names, kNow,
                        [&](const UpstreamId& id, TimePoint) {
                          ids += id.str();
                          return true;
                        }));
  BOOST_TEST(ids == "ac");
  BOOST_TEST(names.known().count == 3u);
}

BOOST_AUTO_TEST_CASE(an_odd_load_costs_none_of_the_others) {
  wire::FleetPoll poll;
  for (const char* name : {"a", kOddName, "c"}) {
    wire::UpstreamLoad& load = *poll.add_loads();
    load.set_upstream(name);
    load.set_requests(2);
  }
  const wire::FleetPoll received = Received(poll);
  LoadTable table(1);
  table.Set(HostId("h"), {received.loads().begin(), received.loads().end()}, 0);
  BOOST_TEST(table.TotalOf(UpstreamId("c")).requests() == 2u);
  BOOST_TEST(table.TotalOf(UpstreamId(kOddName)).requests() == 0u);
}

BOOST_AUTO_TEST_CASE(an_odd_part_costs_its_own_record_only) {
  quarantine::HostFindings findings;
  findings.runs = {{"a/1", 1, kNow, {"p"}},
                   {"b/1", 2, kNow, {"q", kOddName}},
                   {kOddName, 3, kNow, {"r"}}};
  findings.sound = {{kOddName, kNow}, {"s", kNow}};
  findings.quarantines = {{{kOddName, "t"}, kNow, 0, kNow},
                          {{"u"}, kNow, 0, kNow}};
  const auto read = FromWire(Received(ToWire(findings, kNow)), kNow);
  BOOST_REQUIRE(read.runs.size() == 1u);
  BOOST_TEST(read.runs[0].upstream_run == "a/1");
  BOOST_REQUIRE(read.sound.size() == 1u);
  BOOST_TEST(read.sound[0].part == "s");
  // The rest of a record's parts would stand for more prompts.
  BOOST_REQUIRE(read.quarantines.size() == 1u);
  BOOST_TEST(read.quarantines[0].parts.front() == "u");
}

// A domain that an earlier release stored must not cost the whole snapshot.
BOOST_AUTO_TEST_CASE(a_stored_odd_name_costs_none_of_the_log) {
  wire::FleetCommand command;
  command.mutable_set_domain()->set_domain(kOddName);
  command.mutable_set_domain()->set_out(true);
  DecisionLog log;
  BOOST_TEST(log.Apply(command.SerializeAsString(), 1));
  command.mutable_replace_routing()->set_version(7);
  BOOST_TEST(log.Apply(command.SerializeAsString(), 2));
  DecisionLog restored;
  BOOST_TEST(restored.Restore(log.Snapshot()));
  BOOST_TEST(restored.decisions().routing_version == 7u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
