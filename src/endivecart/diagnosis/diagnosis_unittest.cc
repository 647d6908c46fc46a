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
// A prefix, as a collector of logs may add it.
const LogText kSecond{
    "b1",
    "  0.0042 b1 2026-06-27T10:06:12.004Z level=INFO event=gateway.done "
    "request=9c41 status=200 outcome=answered detail=\"a b\"\n"
    "no log line at all, 9c41\n"};

BOOST_AUTO_TEST_SUITE(diagnosis_story, *boost::unit_test::label("diagnosis"))

BOOST_AUTO_TEST_CASE(lines_of_several_hosts_are_put_in_order) {
  const auto story = StoryOf("9c41", {kSecond, kFirst});
  BOOST_REQUIRE(story.size() == 3u);
  BOOST_TEST(story[0].event == "gateway.send");
  BOOST_TEST(story[0].source == "a1");
  BOOST_TEST(story[2].source == "b1");
  BOOST_TEST(story[2].fields.back().second == "a b");
}

BOOST_AUTO_TEST_CASE(an_id_inside_another_is_not_the_request) {
  BOOST_TEST(StoryOf("9c4", {kFirst}).empty());
}

BOOST_AUTO_TEST_CASE(the_ending_is_explained) {
  const auto text = DescribeStory("9c41", StoryOf("9c41", {kFirst}));
  BOOST_TEST(text.find("time_limit (status 504): its time was up") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_request_without_lines_is_said_to_have_none) {
  BOOST_TEST(DescribeStory("x", {}).find("no line names it") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::diagnosis
