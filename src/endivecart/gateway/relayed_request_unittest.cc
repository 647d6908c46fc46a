#include "endivecart/gateway/relayed_request.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace endivecart::gateway {

BOOST_AUTO_TEST_SUITE(gateway_relayed_request,
                      *boost::unit_test::label("gateway"))

BOOST_AUTO_TEST_CASE(a_ticket_is_parsed_as_it_was_written) {
  const RelayTicket ticket{2, 18446744073709551615ULL};
  BOOST_TEST((ParseRelayTicket(ToText(ticket)) == ticket));
  BOOST_TEST((ParseRelayTicket("runs=0,routing=0") == RelayTicket()));
}

BOOST_DATA_TEST_CASE(malformed_tickets_are_rejected,
                     boost::unit_test::data::make(
                         {"", "runs=1", "runs=,routing=1", "runs=1,routing=",
                          "runs=-1,routing=1", "runs=1,routing=1x",
                          "runs=99999999999,routing=1", "routing=1,runs=1",
                          "runs=1,routing=18446744073709551616"}),
                     text) {
  BOOST_TEST(!ParseRelayTicket(text).has_value());
}

BOOST_AUTO_TEST_CASE(an_incarnation_of_an_upstream_is_read_as_written) {
  const upstreams::UpstreamRun run{UpstreamId("i/1"), 1782554762180};
  BOOST_CHECK(ParseUpstreamRun(ToText(run)) == run);
  for (const char* text : {"", "i", "/1", "i/", "i/x", "i/-1", "k\xFC/1"})
    BOOST_CHECK(!ParseUpstreamRun(text));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace endivecart::gateway
