#include <boost/test/unit_test.hpp>

#include "endivecart/settings/settings.h"

namespace endivecart::settings {
namespace {

std::string TextWith(const std::string& more) {
  return R"({"name": "c1", "host": "127.0.0.1", "domain": "a",
  "listen": {"operators": "127.0.0.1:2"}, "peer_port": 3, "contacts": [])" +
         more + "}";
}

std::string ErrorsOf(const std::string& more) {
  const auto settings = ParseNodeSettings(TextWith(more));
  return settings ? "" : JoinErrors(settings.error());
}

BOOST_AUTO_TEST_SUITE(node_settings, *boost::unit_test::label("settings"))

BOOST_AUTO_TEST_CASE(without_an_interface_of_the_platform_there_are_no_duties) {
  const auto settings = ParseNodeSettings(TextWith(""));
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(!settings->platform_api.has_value());
  BOOST_TEST(!settings->HasDuty(Duty::kUsage));
  BOOST_TEST((settings->bounds.usage_window == Millis(5000)));
  BOOST_TEST((settings->bounds.usage_delay == Millis(10000)));
}

BOOST_AUTO_TEST_CASE(duties_and_their_bounds_are_read) {
  const auto settings = ParseNodeSettings(TextWith(
      R"(, "platform_api": {"address": "127.0.0.1:9", "duties": ["usage"],
          "calls_per_s": 20},
          "bounds": {"usage_window_s": 2.5, "usage_tolerance": 0.1,
          "usage_delay_s": 6, "fencing_required": true, "thaw_slack_ms": 0})"));
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings->HasDuty(Duty::kUsage));
  BOOST_TEST(!settings->HasDuty(Duty::kScale));
  BOOST_TEST(settings->platform_api->address.port == 9);
  BOOST_TEST(settings->platform_api->calls_per_s == 20);
  BOOST_TEST((settings->bounds.usage_window == Millis(2500)));
  BOOST_TEST((settings->bounds.usage_delay == Millis(6000)));
  BOOST_TEST(settings->bounds.usage_tolerance == 0.1);
  BOOST_TEST(settings->bounds.fencing_required);
  BOOST_TEST((settings->bounds.thaw_slack == Millis(0)));
}

// Guards against a start that fails because a deployment names a duty that this
// version doesn't know.
BOOST_AUTO_TEST_CASE(duties_may_have_other_names_and_unknown_ones_are_ignored) {
  const auto settings = ParseNodeSettings(TextWith(
      R"(, "platform_api": {"address": "127.0.0.1:9", "duties": ["x", "y"],
          "duty_names": {"y": "scale", "z": "usage"}})"));
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST((settings->platform_api->duties == std::set{Duty::kScale}));
}

// Guards against a deployment without duties that fails to start because of
// the address of an interface that it doesn't use.
BOOST_AUTO_TEST_CASE(an_address_is_required_only_if_there_is_a_duty) {
  BOOST_TEST(ErrorsOf(R"(, "platform_api": {"duties": []})").empty());
  BOOST_TEST(ErrorsOf(R"(, "platform_api": {"duties": ["scale"]})")
                 .find("platform_api.address: must be") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(bad_values_are_rejected_with_their_key) {
  struct Case {
    const char* text;
    const char* error;
  };
  const Case cases[] = {
      {R"(, "bounds": {"usage_window_s": 0})",
       "bounds.usage_window_s: must be"},
      {R"(, "bounds": {"usage_window_s": -5})", "bounds.usage_window_s: must"},
      {R"(, "bounds": {"usage_window_s": 1e9})", "bounds.usage_window_s: must"},
      {R"(, "bounds": {"usage_delay_s": 0})", "bounds.usage_delay_s: must be"},
      {R"(, "bounds": {"usage_delay_s": -1})", "bounds.usage_delay_s: must"},
      {R"(, "bounds": {"usage_tolerance": -1})", "usage_tolerance: must not"},
      {R"(, "bounds": {"thaw_slack_ms": -1})", "thaw_slack_ms: must be"},
      {R"(, "bounds": {"fencing_required": 1})", "fencing_required: must be"},
      {R"(, "platform_api": {"calls_per_s": 0})",
       "platform_api.calls_per_s: must be positive"},
      {R"(, "platform_api": {"calls_per_s": -2})",
       "platform_api.calls_per_s: must not be negative"},
      {R"(, "platform_api": {"duties": ["sleep"]})",
       "platform_api.duties: 'sleep' must be usage or scale"},
      {R"(, "platform_api": [])", "platform_api: must be an object"},
  };
  for (const Case& test : cases) {
    const std::string errors = ErrorsOf(test.text);
    BOOST_TEST(errors.find(test.error) != std::string::npos,
               test.error << " not in: " << errors);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::settings
