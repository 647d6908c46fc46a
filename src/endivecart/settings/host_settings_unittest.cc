#include <boost/test/unit_test.hpp>

#include "endivecart/settings/settings.h"

namespace endivecart::settings {
namespace {

const char kValidSettings[] = R"({
  // a voter
  "host": "a1", "domain": "a",
  "listen": {"callers": "127.0.0.1:1", "operators": "127.0.0.1:2",
             "control": "127.0.0.1:3"},
  "data_folder": "data", "secret_key_file": "k",
  "operator_token_digest": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
  "announce_token_digest": "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb",
  "hosts": [{"id": "a1", "domain": "a", "control": "127.0.0.1:3", "voter": true,
             "public_key": "0123456789012345678901234567890123456789"}]
})";

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  const auto at = text.find(from);
  BOOST_REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

BOOST_AUTO_TEST_SUITE(host_settings, *boost::unit_test::label("settings"))

BOOST_AUTO_TEST_CASE(valid_settings_with_comments_are_read) {
  const auto settings = ParseHostSettings(kValidSettings);
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings->host.str() == "a1");
  BOOST_TEST(settings->control.port == 3);
  BOOST_TEST(settings->hosts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(each_error_names_its_line_and_key) {
  struct Case {
    const char* from;
    const char* to;
    const char* error;
  };
  const Case cases[] = {
      {"\"host\": \"a1\"", "\"host\": 5", "line 3: host: must be a string"},
      {"\"domain\": \"a\",\n  \"listen\"", "\"listen\"", "domain: is missing"},
      {"127.0.0.1:1", "localhost:1",
       "line 4: listen.callers: must be ADDRESS:PORT with an IP address"},
      {"127.0.0.1:1", "127.0.0.1:70000",
       "line 4: listen.callers: port must be from 1 to 65535"},
      {"\"data_folder\": \"data\",", "",
       "data_folder: is missing: a voter needs persistent storage"},
      {"\"voter\": true", "\"voter\": \"yes\"",
       "line 9: hosts.0.voter: must be true or false"},
      {"\"data_folder\"", "\"data_fodler\"",
       "line 6: data_fodler: is not a known key"},
      {"\"host\": \"a1\", ", "\"host\": \"a1\", \"host\": \"a1\", ",
       "host: duplicate key"},
      {"{\"id\": \"a1\"", "{\"id\": \"a9\"", "must list this host, 'a1'"},
      {"bbbb\"", "\"", "announce_token_digest: must be a SHA-256 digest"},
  };
  for (const Case& test : cases) {
    const auto settings =
        ParseHostSettings(Replaced(kValidSettings, test.from, test.to));
    BOOST_REQUIRE_MESSAGE(!settings.has_value(), test.error);
    const std::string errors = JoinErrors(settings.error());
    BOOST_TEST_MESSAGE(errors);
    BOOST_TEST(errors.find(test.error) != std::string::npos,
               test.error << " not in: " << errors);
  }
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_at_once) {
  const auto settings = ParseHostSettings(
      R"({"host": 1, "domain": 2, "listen": {}, "unknown": 3})");
  BOOST_REQUIRE(!settings.has_value());
  BOOST_TEST(settings.error().size() >= 8U);
}

BOOST_AUTO_TEST_CASE(malformed_texts_are_rejected_without_a_crash) {
  for (const char* text :
       {"", "[", "null", "[]", "{\"a\":", "/*", "{\"a\": \"\\", "{]"}) {
    BOOST_TEST(!ParseHostSettings(text).has_value());
  }
  BOOST_TEST(!ParseHostSettings(std::string(100000, '[')).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::settings
