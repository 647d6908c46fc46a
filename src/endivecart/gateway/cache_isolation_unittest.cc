#include <boost/test/unit_test.hpp>

#include "support/gateway_fixture.h"

// Guards against WALL: the label of shared cache stayed the same when a
// customer that had shared it became isolated.

namespace endivecart::gateway {
namespace {

using tests::GatewayFixture;
using tests::RawUpstream;
using tests::Reply;

// Two customers, "c" and "d", and upstreams that have version 3 of the model.
struct IsolationFixture : GatewayFixture {
  IsolationFixture() {
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
      auto announcement =
          gateway.upstreams().Find(UpstreamId("u" + std::to_string(i)))->last;
      announcement.sequence = 2;
      announcement.models = {{ModelId("m"), 3}};
      gateway.upstreams().Apply(announcement, loop.Now());
    }
    answer = [](RawUpstream::Connection& connection, std::size_t) {
      Reply(connection, CompleteAnswer("1", "x"));
    };
    Configure(1, {}, {"c", "d"});
  }
  // Puts a configuration into force as a control host decides it.
  void Configure(std::uint64_t version,
                 const std::set<std::string>& isolated,
                 const std::set<std::string>& customers) {
    routes::RoutingConfiguration configuration = table->configuration();
    configuration.version = version;
    configuration.customers.clear();
    wire::FleetCommand command;
    wire::ReplaceRoutingCommand& replace = *command.mutable_replace_routing();
    replace.set_version(version);
    replace.mutable_cache_customers();
    for (const std::string& name : customers) {
      routes::Customer& customer = configuration.customers.emplace_back();
      customer.id = CustomerId(name);
      customer.keys = {"key of " + name};
      customer.isolated = isolated.contains(name);
      if (customer.isolated) {
        replace.mutable_cache_customers()->add_isolated(name);
      } else {
        replace.mutable_cache_customers()->add_sharing(name);
      }
    }
    log_.Apply(command.SerializeAsString(), version);
    gateway.SetDecisions(
        std::make_shared<const fleet::Decisions>(log_.decisions()),
        std::make_shared<const routes::RouteTable>(
            std::make_shared<const routes::RoutingConfiguration>(
                configuration)));
  }
  std::string LabelOf(const std::string& customer) {
    requests.clear();
    Send("/safe/", "1",
         "Key: key of " + customer + "\r\nModel: m\r\nParts: p,q\r\n");
    return Label();
  }
  // Returns the label of the last request that reached an upstream.
  std::string Label() const {
    BOOST_REQUIRE(!requests.empty());
    const std::string& request = requests.back();
    const std::string name = "\r\nLabel: ";
    const std::size_t at = request.find(name) + name.size();
    return request.substr(at, request.find('\r', at) - at);
  }

 private:
  fleet::DecisionLog log_;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_cache_isolation,
                         IsolationFixture,
                         *boost::unit_test::label("gateway"))

BOOST_AUTO_TEST_CASE(others_get_another_label_when_a_customer_is_isolated) {
  const std::string shared = LabelOf("c");
  BOOST_TEST(LabelOf("d") == shared);
  Configure(2, {"c"}, {"c", "d"});
  const std::string later = LabelOf("d");
  BOOST_TEST(later != shared);
  BOOST_TEST(LabelOf("c") != shared);
  BOOST_TEST(LabelOf("c") != later);
  Configure(3, {}, {"c", "d"});
  BOOST_TEST(LabelOf("c") == later);
  BOOST_TEST(LabelOf("d") == later);
  Configure(4, {"c"}, {"c", "d"});
  BOOST_TEST(LabelOf("d") != later);
  BOOST_TEST(LabelOf("d") != shared);
}

BOOST_AUTO_TEST_CASE(other_changes_keep_the_label) {
  const std::string shared = LabelOf("d");
  Configure(2, {}, {"c", "d", "e"});
  Configure(3, {"f"}, {"d", "e", "f"});
  BOOST_TEST(LabelOf("d") == shared);
}

// The request was accepted before, and is sent again after the change.
BOOST_AUTO_TEST_CASE(a_later_send_uses_the_configuration_in_force) {
  const std::string shared = LabelOf("c");
  for (const std::string customer : {"c", "d"}) {
    Configure(customer == "c" ? 2 : 4, {}, {"c", "d"});
    requests.clear();
    answer = [&](RawUpstream::Connection& connection, std::size_t number) {
      if (number == 1) {
        Configure(customer == "c" ? 3 : 5, {"c"}, {"c", "d"});
        Reply(connection, NotRunAnswer("1"));
      } else {
        Reply(connection, CompleteAnswer("1", "x"));
      }
    };
    Send("/safe/", "1",
         "Key: key of " + customer + "\r\nModel: m\r\nParts: p,q\r\n");
    BOOST_TEST(requests.size() == 2u);
    BOOST_TEST(Label() == (customer == "c" ? "m.3.c" : "m.3@5"));
  }
  BOOST_TEST(shared == "m.3");
}

BOOST_AUTO_TEST_CASE(a_customer_that_was_removed_shares_no_cache) {
  answer = [&](RawUpstream::Connection& connection, std::size_t number) {
    if (number == 1) {
      Configure(2, {}, {"d"});
      Reply(connection, NotRunAnswer("1"));
    } else {
      Reply(connection, CompleteAnswer("1", "x"));
    }
  };
  BOOST_TEST(LabelOf("c") == "m.3.c");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace endivecart::gateway
