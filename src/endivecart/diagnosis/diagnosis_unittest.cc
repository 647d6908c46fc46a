#include <boost/test/unit_test.hpp>

#include "endivecart/diagnosis/diagnosis.h"

namespace endivecart::diagnosis {
namespace {

const LogText kFirst{
    "a1",
    "2026-06-27T10:06:11.004Z level=INFO event=gateway.send request=9c41 "
    "upstream=i-1 left_ms=800\n"
    "2026-06-27T10:06:11.100Z level=INFO event=gateway.send request=77 "
    "upstream=i-2\n"
    "2026-06-27T10:06:11.900Z level=INFO event=gateway.done request=9c41 "
    "status=504 outcome=time_limit\n"};
// Log collectors may add a prefix to each line.
const LogText kSecond{
    "b1",
    "  0.0042 b1 2026-06-27T10:06:12.004Z level=INFO event=gateway.done "
    "request=9c41 status=200 outcome=answered detail=\"a b\"\n"
    "not a log line, 9c41\n"};

BOOST_AUTO_TEST_SUITE(diagnosis_story, *boost::unit_test::label("diagnosis"))

BOOST_AUTO_TEST_CASE(lines_of_several_hosts_are_sorted_by_time) {
  const auto timeline = BuildTimeline("9c41", {kSecond, kFirst});
  BOOST_REQUIRE(timeline.size() == 3u);
  BOOST_TEST(timeline[0].event == "gateway.send");
  BOOST_TEST(timeline[0].source == "a1");
  BOOST_TEST(timeline[2].source == "b1");
  BOOST_TEST(timeline[2].fields.back().second == "a b");
}

BOOST_AUTO_TEST_CASE(a_request_id_that_is_a_prefix_of_another_does_not_match) {
  BOOST_TEST(BuildTimeline("9c4", {kFirst}).empty());
}

BOOST_AUTO_TEST_CASE(the_outcome_is_explained) {
  const auto text = FormatTimeline("9c41", BuildTimeline("9c41", {kFirst}));
  BOOST_TEST(text.find("time_limit (status 504): its deadline passed") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_request_without_log_lines_is_reported_as_such) {
  BOOST_TEST(FormatTimeline("x", {}).find("no log line mentions it") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::diagnosis
