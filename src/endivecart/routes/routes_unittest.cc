#include <boost/test/unit_test.hpp>

#include "endivecart/routes/routes.h"

namespace endivecart::routes {
namespace {

Route Make(const char* host, const char* prefix) {
  Route route;
  route.name = prefix;
  route.host = host;
  route.path_prefix = prefix;
  route.time_limit = Millis(1000);
  route.services = {{ServiceId("s"), 1}};
  return route;
}

RoutingConfiguration MakeConfiguration() {
  RoutingConfiguration configuration;
  configuration.version = 1;
  configuration.services.resize(1);
  configuration.services[0].id = ServiceId("s");
  configuration.routes = {Make("a.example", "/x/"), Make("a.example", "/x/y/"),
                          Make("b.example", "/")};
  Customer customer;
  customer.id = CustomerId("c");
  customer.keys = {"k1", "k2"};
  configuration.customers = {customer};
  return configuration;
}

RouteTable TableOf(const RoutingConfiguration& configuration) {
  return RouteTable(
      std::make_shared<const RoutingConfiguration>(configuration));
}

BOOST_AUTO_TEST_SUITE(routes_table, *boost::unit_test::label("routes"))

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins) {
  const auto table = TableOf(MakeConfiguration());
  BOOST_TEST(table.Match("a.example", "/x/y/z")->path_prefix == "/x/y/");
  BOOST_TEST(table.Match("A.Example:80", "/x/q")->path_prefix == "/x/");
  BOOST_TEST(table.Match("a.example", "/q") == nullptr);
  BOOST_TEST(table.Match("c.example", "/x/") == nullptr);
}

BOOST_AUTO_TEST_CASE(a_key_identifies_only_its_customer) {
  const auto table = TableOf(MakeConfiguration());
  BOOST_TEST(table.FindCustomer("k2")->id.str() == "c");
  BOOST_TEST(table.FindCustomer("k") == nullptr);
  BOOST_TEST(table.FindCustomer("") == nullptr);
}

BOOST_AUTO_TEST_CASE(an_open_route_needs_no_key) {
  auto configuration = MakeConfiguration();
  configuration.routes[0].needs_key = false;
  const auto table = TableOf(configuration);
  BOOST_TEST(!table.NeedsKey(*table.Match("a.example", "/x/")));
  BOOST_TEST(table.NeedsKey(*table.Match("b.example", "/")));
}

BOOST_AUTO_TEST_CASE(a_valid_configuration_has_no_error) {
  BOOST_TEST(!CheckConfiguration(MakeConfiguration()).has_value());
}

BOOST_AUTO_TEST_CASE(each_configuration_error_is_reported) {
  const auto error_after = [](auto&& mutate) {
    auto configuration = MakeConfiguration();
    mutate(configuration);
    const auto error = CheckConfiguration(configuration);
    BOOST_REQUIRE(error.has_value());
    return error->code;
  };
  BOOST_CHECK(error_after([](auto& c) {
                c.routes[0].services[0].service = ServiceId("t");
              }) == RoutingErrorCode::kUnknownService);
  BOOST_CHECK(error_after([](auto& c) { c.routes[1].path_prefix = "/x/"; }) ==
              RoutingErrorCode::kDuplicateRoute);
  BOOST_CHECK(error_after([](auto& c) {
                c.routes[0].services[0].weight = 0;
              }) == RoutingErrorCode::kNoWeight);
  BOOST_CHECK(error_after([](auto& c) {
                c.routes[0].time_limit = Millis(0);
              }) == RoutingErrorCode::kNoTimeLimit);
  BOOST_CHECK(error_after([](auto& c) {
                c.customers.push_back(c.customers[0]);
                c.customers[1].id = CustomerId("d");
              }) == RoutingErrorCode::kSharedKey);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::routes
