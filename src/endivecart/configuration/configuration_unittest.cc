#include <boost/test/unit_test.hpp>

#include "endivecart/configuration/configuration.h"

namespace endivecart::configuration {
namespace {

const char kDocument[] = R"({
  "plans": {"p": {"requests_per_s": 5, "concurrent": 2, "models": ["m"],
                  "classes": ["c"]}},
  "classes": {"c": {"deadline_ms": 1000}},
  "models": {"m": {"version": "v1"}},
  "customers": {"x": {"plan": "p", "key_digests": []}}
})";

std::string ErrorsAfter(const std::string& patch) {
  const auto document = ApplyMergePatch(kDocument, patch);
  BOOST_REQUIRE(document.has_value());
  const auto parsed = ParseConfiguration(*document);
  return parsed ? "" : settings::JoinErrors(parsed.error());
}

BOOST_AUTO_TEST_SUITE(lists, *boost::unit_test::label("configuration"))

BOOST_AUTO_TEST_CASE(valid_lists_are_parsed) {
  const auto parsed = ParseConfiguration(kDocument);
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed->customers().size() == 1U);
  BOOST_TEST(parsed->plans().at("p").burst == 10);
}

BOOST_AUTO_TEST_CASE(dangling_references_and_invalid_values_are_rejected) {
  const std::pair<const char*, const char*> cases[] = {
      {R"({"customers":{"x":{"plan":"q"}}})", "there is no plan 'q'"},
      {R"({"plans":{"p":{"models":["n"]}}})", "there is no model 'n'"},
      {R"({"plans":{"p":{"services":["s"]}}})", "there is no service 's'"},
      {R"({"plans":{"p":{"classes":["d"]}}})", "there is no class 'd'"},
      {R"({"domains":{"a":"away"}})", "must be one of: in, out"},
      {R"({"rollouts":{"n":{"version":"v","started_ms":0,"deadline_ms":0}}})",
       "there is no model 'n'"},
      {R"({"customers":{"x":{"key_digests":["short"]}}})", "SHA-256"},
      {R"({"unknown":{}})", "is not a known key"},
  };
  for (const auto& [patch, error] : cases) {
    const std::string errors = ErrorsAfter(patch);
    BOOST_TEST(errors.find(error) != std::string::npos,
               error << " not in: " << errors);
  }
}

BOOST_AUTO_TEST_CASE(an_api_key_identifies_its_customer_and_no_other) {
  const std::string patch = R"({"customers":{"x":{"key_digests":[")" +
                            Sha256Hex("secret") + R"("]}}})";
  const auto parsed = ParseConfiguration(*ApplyMergePatch(kDocument, patch));
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST(parsed->FindByKey("secret")->id.str() == "x");
  BOOST_TEST((parsed->FindByKey("Secret") == nullptr));
  BOOST_TEST((parsed->FindByKey("") == nullptr));
}

BOOST_AUTO_TEST_CASE(applying_a_diff_yields_the_target_document) {
  const std::pair<const char*, const char*> cases[] = {
      {"{}", R"({"a":1})"},
      {R"({"a":1,"b":{"c":2}})", R"({"b":{"c":3,"d":[1,2]}})"},
      {R"({"a":{"b":1}})", R"({"a":5})"},
      {R"({"a":[1]})", R"({"a":[1]})"},
  };
  for (const auto& [from, to] : cases) {
    const auto patch = DiffAsMergePatch(from, to);
    BOOST_REQUIRE(patch.has_value());
    BOOST_TEST(*ApplyMergePatch(from, *patch) == *Canonical(to));
  }
  BOOST_TEST(*DiffAsMergePatch(kDocument, kDocument) == "{}");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::configuration
