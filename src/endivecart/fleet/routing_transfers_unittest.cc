// Pattern: changes of a large routing document come faster than the links of
// hundreds of followers carry it.

#include "endivecart/fleet/routing_transfers.h"

#include <boost/test/unit_test.hpp>

#include "endivecart/fleet/document_codec.h"

namespace endivecart::fleet {
namespace {

TimePoint At(int millis) {
  return TimePoint(Millis(1000000 + millis));
}

const HostId kHost("e");

struct Transfers {
  // Returns what the host is sent.
  wire::FleetDecisions Add(int millis, const HostId& host = kHost) {
    wire::FleetDecisions message;
    message.set_routing_omitted(true);
    transfers.AddDocument(host, message, At(millis));
    return message;
  }
  bool IsSent(int millis, const HostId& host = kHost) {
    const auto message = Add(millis, host);
    return message.has_encoded_routing() || !message.routing_omitted();
  }
  RoutingPosition Has(std::uint64_t version) const {
    return {incarnation, version, true, false};
  }

  std::uint64_t incarnation = 5;
  RoutingTransfers transfers;
};

BOOST_AUTO_TEST_SUITE(routing_transfers, *boost::unit_test::label("fleet"))

BOOST_FIXTURE_TEST_CASE(one_transfer_is_under_way_and_the_newest_is_next,
                        Transfers) {
  transfers.SetDocument(1, "one");
  transfers.OnPoll(kHost, Has(0), At(0));
  BOOST_TEST(IsSent(0));
  transfers.SetDocument(2, "two");
  transfers.SetDocument(3, "three");
  BOOST_TEST(!IsSent(10));
  transfers.OnPoll(kHost, Has(0), At(20));  // sent before the transfer arrived
  BOOST_TEST(!IsSent(20));
  transfers.OnReceipt(kHost, Has(1));
  const auto next = Add(30);
  BOOST_TEST(next.encoded_routing().base_version() == 1u);
  BOOST_CHECK(DecodeDocument(next.encoded_routing(), "one").value() == "three");
  transfers.OnPoll(kHost, Has(3), At(40));
  BOOST_TEST(!IsSent(40));
  BOOST_TEST(transfers.bytes_under_way() == 0u);
}

BOOST_FIXTURE_TEST_CASE(a_lost_transfer_is_repeated_after_a_poll, Transfers) {
  const std::string document(300000, 'x');
  transfers.SetDocument(1, document);
  RoutingPosition legacy = Has(0);
  legacy.reads_encoded = false;
  transfers.OnPoll(kHost, legacy, At(0));
  BOOST_CHECK(Add(0).routing_document() == document);
  // Its bytes may take that long.
  transfers.OnPoll(kHost, legacy, At(2000));
  BOOST_TEST(!IsSent(2000));
  transfers.SetDocument(2, document + "y");
  BOOST_TEST(!IsSent(60000));  // it may be silent
  transfers.OnPoll(kHost, legacy, At(60001));
  BOOST_CHECK(Add(60001).routing_document() == document + "y");
}

// Guards against a host without a configuration whose process was started just
// after a document had been sent to the one before.
BOOST_FIXTURE_TEST_CASE(a_new_process_is_sent_the_document_at_once, Transfers) {
  transfers.SetDocument(1, "one");
  transfers.OnPoll(kHost, Has(0), At(0));
  BOOST_TEST(IsSent(0));
  ++incarnation;
  transfers.OnPoll(kHost, Has(0), At(10));
  BOOST_TEST(IsSent(10));
  --incarnation;
  transfers.OnReceipt(kHost, Has(0));  // of the earlier process
  BOOST_TEST(!IsSent(20));
}

BOOST_FIXTURE_TEST_CASE(the_whole_is_sent_if_no_difference_can_be_used,
                        Transfers) {
  for (std::uint64_t version = 1; version <= 20; ++version)
    transfers.SetDocument(version, "document " + std::to_string(version));
  transfers.OnPoll(kHost, Has(2), At(0));  // too old
  BOOST_TEST(Add(0).encoded_routing().base_version() == 0u);
  RoutingPosition damaged = Has(19);
  damaged.needs_whole = true;
  transfers.OnReceipt(kHost, damaged);
  BOOST_TEST(Add(10).encoded_routing().base_version() == 0u);
  transfers.OnReceipt(kHost, Has(19));
  BOOST_TEST(Add(20).encoded_routing().base_version() == 19u);
  BOOST_TEST(transfers.encoded() == 2u);
}

BOOST_FIXTURE_TEST_CASE(the_bytes_under_way_to_all_are_bounded, Transfers) {
  constexpr std::size_t kBytes = RoutingTransfers::kMaxBytesUnderWay / 4;
  transfers.SetDocument(1, std::string(kBytes, 'x'));
  RoutingPosition legacy = Has(0);
  legacy.reads_encoded = false;
  std::vector<HostId> hosts;
  for (int i = 0; i < 10; ++i) {
    hosts.emplace_back("e" + std::to_string(i));
    transfers.OnPoll(hosts.back(), legacy, At(0));
    BOOST_TEST(IsSent(0, hosts.back()) == (i < 4));
  }
  BOOST_TEST(transfers.bytes_under_way() == 4 * kBytes);
  BOOST_TEST(transfers.waiting() == 6u);
  BOOST_CHECK(!transfers.TakeWaiting());
  legacy.routing_version = 1;
  transfers.OnPoll(hosts[0], legacy, At(10));
  transfers.Remove(hosts[4]);
  BOOST_CHECK(transfers.TakeWaiting() == hosts[5]);
  BOOST_TEST(IsSent(10, hosts[5]));
  BOOST_CHECK(!transfers.TakeWaiting());
  for (const HostId& host : hosts)
    transfers.Remove(host);
  BOOST_TEST(transfers.bytes_under_way() == 0u);
  BOOST_TEST(transfers.waiting() == 0u);
}

BOOST_FIXTURE_TEST_CASE(a_document_beyond_the_bound_goes_to_one_at_a_time,
                        Transfers) {
  transfers.SetDocument(
      1, std::string(RoutingTransfers::kMaxBytesUnderWay + 1, 'x'));
  RoutingPosition legacy = Has(0);
  legacy.reads_encoded = false;
  transfers.OnPoll(kHost, legacy, At(0));
  transfers.OnPoll(HostId("f"), legacy, At(0));
  BOOST_TEST(IsSent(0));
  BOOST_TEST(!IsSent(0, HostId("f")));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
