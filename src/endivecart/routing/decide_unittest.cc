#include <boost/test/unit_test.hpp>

#include <functional>
#include <set>

#include "endivecart/routing/routing.h"

namespace endivecart::routing {
namespace {

UpstreamView MakeView(const std::string& id, const std::string& domain) {
  UpstreamView view;
  view.id = UpstreamId(id);
  view.domain = DomainId(domain);
  view.model = ModelId("quill");
  view.versions = {VersionId("v1")};
  view.free_slots = 1;
  view.prefill_tokens_per_ms = 10;
  return view;
}

RouteRequest MakeRequest() {
  RouteRequest request;
  request.model = ModelId("quill");
  request.version = VersionId("v1");
  request.prompt_tokens = 8000;
  request.home_domain = DomainId("a");
  return request;
}

BOOST_AUTO_TEST_SUITE(decide, *boost::unit_test::label("routing"))

BOOST_AUTO_TEST_CASE(the_lowest_predicted_first_token_time_wins) {
  std::vector<UpstreamView> views = {MakeView("u1", "a"), MakeView("u2", "a")};
  views[0].queue_ms = 500;
  const auto decision = Decide(MakeRequest(), views);
  BOOST_REQUIRE(decision.has_value());
  BOOST_TEST(decision->upstream == 1U);
  BOOST_TEST(decision->predicted_ms == 800.0);
  BOOST_TEST(decision->runner_up == 0U);
  BOOST_TEST(decision->runner_up_ms == 1300.0);
}

BOOST_AUTO_TEST_CASE(a_stored_prefix_is_imported_if_that_is_faster) {
  const std::vector<UpstreamView> views = {MakeView("u1", "a")};
  std::vector<StoreSource> stores = {{"s1", DomainId("a"), 4000, 50}};
  RouteRequest request = MakeRequest();
  request.stores = stores;
  auto decision = Decide(request, views);
  BOOST_REQUIRE(decision.has_value());
  BOOST_TEST((decision->source == SourceKind::kStore));
  BOOST_TEST(decision->predicted_ms == 450.0);
  stores[0].import_ms = 5000;  // the link is slow: recomputing is faster
  decision = Decide(request, views);
  BOOST_TEST((decision->source == SourceKind::kRecompute));
}

BOOST_AUTO_TEST_CASE(hints_about_a_lost_engine_cache_are_ignored) {
  std::vector<UpstreamView> views = {MakeView("u1", "a")};
  views[0].cache_generation = 2;
  const std::vector<EngineSource> engines = {{UpstreamId("u1"), 1, 8000}};
  RouteRequest request = MakeRequest();
  request.engines = engines;
  const auto decision = Decide(request, views);
  BOOST_REQUIRE(decision.has_value());
  BOOST_TEST(decision->cached_tokens == 0);
}

BOOST_AUTO_TEST_CASE(ineligible_upstreams_are_never_chosen) {
  const std::pair<const char*, std::function<void(UpstreamView&)>> cases[] = {
      {"leaving", [](UpstreamView& v) { v.leaving = true; }},
      {"domain out", [](UpstreamView& v) { v.domain_out = true; }},
      {"breaker", [](UpstreamView& v) { v.breaker_open = true; }},
      {"full", [](UpstreamView& v) { v.free_slots = 0; }},
      {"version", [](UpstreamView& v) { v.versions = {VersionId("v2")}; }},
      {"model", [](UpstreamView& v) { v.model = ModelId("other"); }},
  };
  for (const auto& [name, change] : cases) {
    std::vector<UpstreamView> views = {MakeView("u1", "a"),
                                       MakeView("u2", "b")};
    views[1].queue_ms = 10000;
    change(views[0]);
    const auto decision = Decide(MakeRequest(), views);
    BOOST_REQUIRE_MESSAGE(decision.has_value(), name);
    BOOST_TEST(decision->upstream == 1U, name);
    change(views[1]);
    BOOST_TEST(!Decide(MakeRequest(), views).has_value(), name);
  }
}

BOOST_AUTO_TEST_CASE(
    a_host_with_a_stale_configuration_stays_in_its_own_domain) {
  const std::vector<UpstreamView> views = {MakeView("u1", "b")};
  RouteRequest request = MakeRequest();
  BOOST_TEST(Decide(request, views).has_value());
  request.fresh = false;
  BOOST_TEST(!Decide(request, views).has_value());
  request.home_domain = DomainId("b");
  BOOST_TEST(Decide(request, views).has_value());
}

BOOST_AUTO_TEST_CASE(every_host_orders_equal_choices_by_affinity_alike) {
  std::vector<UpstreamView> views;
  views.reserve(8);
  for (int i = 0; i < 8; ++i)
    views.push_back(MakeView("u" + std::to_string(i), "a"));
  std::set<UpstreamId> chosen;
  for (std::uint64_t affinity = 0; affinity < 64; ++affinity) {
    RouteRequest request = MakeRequest();
    request.affinity = affinity;
    const auto here = Decide(request, views);
    std::vector<UpstreamView> elsewhere(views.rbegin(), views.rend());
    const auto there = Decide(request, elsewhere);
    BOOST_REQUIRE(here.has_value());
    BOOST_TEST(views[here->upstream].id.str() ==
               elsewhere[there->upstream].id.str());
    chosen.insert(views[here->upstream].id);
  }
  BOOST_TEST(chosen.size() == 8U);  // different prompts are spread
}

BOOST_AUTO_TEST_CASE(an_error_distinguishes_full_unavailable_and_unknown) {
  std::vector<UpstreamView> views = {MakeView("u1", "a")};
  RouteRequest request = MakeRequest();
  views[0].free_slots = 0;
  BOOST_TEST(
      (Decide(request, views).error().code == RoutingErrorCode::kNoFreeSlot));
  views[0].leaving = true;
  BOOST_TEST(
      (Decide(request, views).error().code == RoutingErrorCode::kUnavailable));
  request.model = ModelId("none");
  BOOST_TEST(
      (Decide(request, views).error().code == RoutingErrorCode::kNoUpstream));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::routing
