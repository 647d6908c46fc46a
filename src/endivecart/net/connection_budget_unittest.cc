// The bytes that all bodies of a process may hold together.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <sstream>
#include <vector>

#include "endivecart/net/net.h"
#include "support/loop_fixture.h"

namespace endivecart::net {
namespace {

using tests::LoopFixture;
using tests::RawCaller;

constexpr std::size_t kBudgetBytes = 1UL << 20;
constexpr std::size_t kLargeBytes = 256UL << 10;
constexpr std::size_t kSmallBytes = 12'000;
// Large bodies leave a quarter to small ones.
constexpr std::size_t kLargeBodiesAtOnce = 3;

std::string HeadOf(std::size_t length) {
  return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(length) + "\r\n\r\n";
}

const std::string kChunkedHead =
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string Chunk(std::size_t bytes) {
  std::ostringstream out;
  out << std::hex << bytes << "\r\n" << std::string(bytes, 'c') << "\r\n";
  return out.str();
}

bool IsRejected(const RawCaller& caller) {
  return caller.received().starts_with("HTTP/1.1 503 ");
}

// A server that holds the requests it receives.
struct BudgetedServer : LoopFixture {
  BudgetedServer() {
    HttpServerLimits limits;
    limits.max_body_bytes = 4 * kBudgetBytes;
    limits.body_timeout = Millis(5000);
    server = std::move(*HttpServer::Listen(
        loop, tests::AnyPort(), limits,
        [this](HttpExchangePtr exchange) {
          held.push_back(std::move(exchange));
        },
        budget));
  }

  std::unique_ptr<RawCaller> Call(const std::string& bytes) {
    auto caller = std::make_unique<RawCaller>(loop, server->port());
    caller->Write(bytes);
    RunFor(Millis(2));
    return caller;
  }
  // Occupies the part of the budget that large bodies may use.
  void Fill() {
    for (std::size_t i = 0; i < kLargeBodiesAtOnce; ++i)
      senders.push_back(Call(HeadOf(kLargeBytes)));
    BOOST_TEST(budget->reserved_bytes() == kLargeBodiesAtOnce * kLargeBytes);
  }

  const ConnectionBudgetPtr budget = ConnectionBudget::Create(kBudgetBytes);
  std::vector<HttpExchangePtr> held;
  std::unique_ptr<HttpServer> server;
  std::vector<std::unique_ptr<RawCaller>> senders;
};

BOOST_AUTO_TEST_SUITE(net_body_budget, *boost::unit_test::label("net"))

// Guards against LOST: bodies of many connections together exceeded the memory
// of the host.
BOOST_FIXTURE_TEST_CASE(
    bodies_beyond_the_budget_are_rejected_before_they_are_read,
    BudgetedServer) {
  Fill();
  for (int i = 0; i < 7; ++i) {
    const auto caller = Call(HeadOf(kLargeBytes));
    RunUntil([&] { return !caller->received().empty(); });
    BOOST_TEST(IsRejected(*caller));
    BOOST_TEST(caller->received().find("Connection: close") !=
               std::string::npos);
    BOOST_TEST(caller->received().find("Retry-After: ") != std::string::npos);
  }
  BOOST_TEST(budget->rejections() == 7u);
  BOOST_TEST(budget->max_reserved_bytes() <= kBudgetBytes);
  BOOST_TEST(held.empty());
}

// Guards against small requests being rejected while large ones fill the host.
BOOST_FIXTURE_TEST_CASE(small_requests_are_served_beside_large_ones,
                        BudgetedServer) {
  Fill();
  const auto declared =
      Call(HeadOf(kSmallBytes) + std::string(kSmallBytes, 's'));
  const auto chunked = Call(kChunkedHead + Chunk(kSmallBytes) + "0\r\n\r\n");
  const auto without_body = Call("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil([&] { return held.size() == 3; });
  BOOST_TEST(held.size() == 3u);
  BOOST_TEST(budget->rejections() == 0u);
}

// Guards against a body whose length isn't declared passing the budget.
BOOST_FIXTURE_TEST_CASE(a_chunked_body_is_rejected_once_it_has_no_room,
                        BudgetedServer) {
  const auto caller = Call(kChunkedHead);
  for (int i = 0; i < 40 && caller->received().empty(); ++i) {
    caller->Write(Chunk(32UL << 10));
    RunFor(Millis(1));
  }
  RunUntil([&] { return !caller->received().empty(); });
  BOOST_TEST(IsRejected(*caller));
  BOOST_TEST(budget->max_reserved_bytes() <= kBudgetBytes);
  BOOST_TEST(budget->reserved_bytes() == 0u);
}

// Guards against a body that could never be kept being retried as if it were
// due to load, without a trace.
BOOST_FIXTURE_TEST_CASE(a_body_larger_than_the_budget_is_rejected,
                        BudgetedServer) {
  BOOST_TEST(!budget->CanEverHold(2 * kBudgetBytes));
  const auto caller = Call(HeadOf(2 * kBudgetBytes));
  RunUntil([&] { return !caller->received().empty(); });
  BOOST_TEST(IsRejected(*caller));
}

// Guards against LOST: closing with unread input resets the connection, and the
// caller may not get the response.
BOOST_FIXTURE_TEST_CASE(the_rest_of_a_rejected_body_is_read, BudgetedServer) {
  Fill();
  const auto caller = Call(HeadOf(kLargeBytes));
  for (int i = 0; i < 8; ++i) {
    // More would have to wait for the kernel's receive window, in real time.
    BOOST_CHECK_NO_THROW(caller->Write(std::string(1024, 'r')));
    RunFor(Millis(500));
  }
  BOOST_TEST(IsRejected(*caller));
  BOOST_TEST(budget->reserved_bytes() == kLargeBodiesAtOnce * kLargeBytes);
}

// Guards against a budget that fills up for good.
BOOST_FIXTURE_TEST_CASE(a_caller_that_leaves_midway_frees_its_part,
                        BudgetedServer) {
  Fill();
  senders.clear();
  RunUntil([&] { return budget->reserved_bytes() == 0; });
  BOOST_TEST(budget->reserved_bytes() == 0u);
}

// Guards against slow senders occupying the budget.
BOOST_FIXTURE_TEST_CASE(a_slow_sender_keeps_its_part_until_the_body_timeout,
                        BudgetedServer) {
  Fill();
  RunFor(Millis(4900));
  BOOST_TEST(budget->reserved_bytes() == kLargeBodiesAtOnce * kLargeBytes);
  RunFor(Millis(200));
  BOOST_TEST(budget->reserved_bytes() == 0u);
  BOOST_TEST(senders.front()->received().starts_with("HTTP/1.1 408 "));
}

// Guards against a part that is given back while a copy still holds the bytes.
BOOST_FIXTURE_TEST_CASE(a_part_is_kept_as_long_as_any_copy_of_the_body,
                        BudgetedServer) {
  const auto caller = Call(HeadOf(kSmallBytes) + std::string(kSmallBytes, 's'));
  RunUntil([&] { return !held.empty(); });
  BOOST_REQUIRE(!held.empty());
  HttpRequest copy = held.front()->request();
  held.front()->Respond(MakeResponse(200, "", ""));
  held.clear();
  RunFor(Millis(5));
  BOOST_TEST(budget->reserved_bytes() == kSmallBytes);
  copy = HttpRequest();
  BOOST_TEST(budget->reserved_bytes() == 0u);
}

// Guards against LOST: fields of a header section cost many times their text,
// and nothing counted them.
BOOST_FIXTURE_TEST_CASE(fields_count_with_their_overhead, BudgetedServer) {
  std::string head = "GET / HTTP/1.1\r\nHost: a\r\n";
  for (int i = 0; i < 1000; ++i)
    head += "a:b\r\n";
  const auto caller = Call(head);
  RunUntil([&] { return budget->held_bytes() > 0; });
  BOOST_TEST(budget->HeldBytesOf(HeldKind::kRequests) >
             1000 * sizeof(HttpFields::Field));
  caller->Close();
  RunUntil([&] { return budget->held_bytes() == 0; });
  BOOST_TEST(budget->held_bytes() == 0u);
}

// Guards against stalled senders keeping ordinary callers out until a timeout.
BOOST_FIXTURE_TEST_CASE(senders_that_stall_give_way_under_pressure,
                        BudgetedServer) {
  Fill();
  RunFor(kMinCloseAge);
  const auto caller = Call(HeadOf(kLargeBytes) + std::string(kLargeBytes, 'l'));
  RunUntil([&] { return held.size() == 1; });
  BOOST_TEST(held.size() == 1u);
  BOOST_TEST(std::count_if(senders.begin(), senders.end(),
                           [](const auto& s) { return IsRejected(*s); }) > 0);
}

// Guards against ordinary callers who are closed or rejected while a crowd of
// young connections fills the budget: 40 of 40 were.
BOOST_FIXTURE_TEST_CASE(small_requests_are_served_beside_a_young_crowd,
                        BudgetedServer) {
  std::string head = "GET / HTTP/1.1\r\nHost: a\r\n";
  for (int i = 0; i < 200; ++i)
    head += "a:b\r\n";
  while (budget->rejections() == 0)
    senders.push_back(Call(head));
  // Idle strangers take what is left to basic parts.
  for (int i = 0; i < 60; ++i)
    senders.push_back(Call(""));
  for (std::size_t i = 1; i <= 60; ++i) {
    senders.push_back(Call("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
    RunUntil([&] { return held.size() == i || senders.back()->ended(); });
    BOOST_REQUIRE(held.size() == i);
  }
}

// Guards against LOST: responses to pipelined requests pile up for a client
// that reads nothing.
BOOST_FIXTURE_TEST_CASE(a_pipelined_request_waits_for_a_client_that_reads,
                        BudgetedServer) {
  boost::asio::ip::tcp::socket socket(loop.context());
  socket.open(boost::asio::ip::tcp::v4());
  socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  socket.connect({boost::asio::ip::make_address("127.0.0.1"),
                  static_cast<unsigned short>(server->port())});
  const std::string get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(get + get));
  RunUntil([&] { return held.size() == 1; });
  BOOST_REQUIRE(held.size() == 1u);
  held.front()->Respond(
      MakeResponse(200, "", std::string(kBudgetBytes / 2, 'r')));
  RunFor(Millis(50));
  BOOST_TEST(held.size() == 1u);
  RunFor(HttpServerLimits().idle_timeout + Millis(1000));
  BOOST_TEST(server->connections() == 0u);
}

// Guards against a sum that drifts, or passes the budget.
BOOST_AUTO_TEST_CASE(the_sum_is_exact_and_within_the_budget) {
  const auto budget = ConnectionBudget::Create(kBudgetBytes);
  std::mt19937_64 random(11);
  std::vector<BudgetReservation> reservations;
  for (int i = 0; i < 20'000; ++i) {
    if (random() % 2 == 0 && !reservations.empty()) {
      std::swap(reservations[random() % reservations.size()],
                reservations.back());
      reservations.pop_back();
    } else if (auto reserved = budget->TryReserve(random() % kLargeBytes)) {
      reservations.push_back(std::move(*reserved));
    }
    std::size_t sum = 0;
    for (const BudgetReservation& reservation : reservations)
      sum += reservation.bytes();
    BOOST_REQUIRE(budget->reserved_bytes() == sum);
    BOOST_REQUIRE(sum <= kBudgetBytes);
  }
  BOOST_TEST(budget->rejections() > 0u);
  reservations.clear();
  BOOST_TEST(budget->reserved_bytes() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::net
