#include <boost/test/unit_test.hpp>

#include "endivecart/admission/admission.h"

namespace endivecart::admission {
namespace {

TimePoint At(int millis) {
  return TimePoint(Millis(1000000 + millis));
}

QueuedRequest Make(std::uint64_t ticket,
                   const char* customer,
                   int priority = 1) {
  QueuedRequest waiting;
  waiting.ticket = ticket;
  waiting.customer = CustomerId(customer);
  waiting.priority = priority;
  waiting.deadline = At(1000 + static_cast<int>(ticket));
  return waiting;
}

// Serves `count` requests and returns the customers' names in order of service.
std::string ServeSome(FairQueue& queue, int count) {
  std::string order;
  queue.Serve([&](const QueuedRequest& waiting) {
    if (count-- <= 0)
      return false;
    order += waiting.customer.str();
    return true;
  });
  return order;
}

BOOST_AUTO_TEST_SUITE(admission_queue, *boost::unit_test::label("admission"))

BOOST_AUTO_TEST_CASE(a_burst_of_one_customer_does_not_delay_another) {
  FairQueue queue;
  for (std::uint64_t i = 0; i < 10; ++i)
    queue.Push(Make(i, "x"));
  queue.Push(Make(100, "y"));
  const std::string order = ServeSome(queue, 2);
  BOOST_TEST(order.find('y') != std::string::npos);
}

BOOST_AUTO_TEST_CASE(service_is_divided_by_weight) {
  FairQueue queue;
  for (std::uint64_t i = 0; i < 40; ++i) {
    QueuedRequest heavy = Make(i, "h");
    heavy.weight = 3;
    queue.Push(heavy);
    queue.Push(Make(100 + i, "l"));
  }
  const std::string order = ServeSome(queue, 40);
  const auto heavy = std::count(order.begin(), order.end(), 'h');
  BOOST_TEST(heavy >= 28);
  BOOST_TEST(heavy <= 32);
}

BOOST_AUTO_TEST_CASE(
    a_customers_requests_are_served_by_priority_then_deadline) {
  FairQueue queue;
  queue.Push(Make(5, "x", 1));
  queue.Push(Make(3, "x", 1));
  queue.Push(Make(9, "x", 0));
  std::vector<std::uint64_t> order;
  queue.Serve([&](const QueuedRequest& waiting) {
    order.push_back(waiting.ticket);
    return true;
  });
  BOOST_TEST((order == std::vector<std::uint64_t>{9, 3, 5}));
}

BOOST_AUTO_TEST_CASE(one_customers_full_model_does_not_block_others) {
  FairQueue queue;
  queue.Push(Make(1, "x"));
  queue.Push(Make(2, "y"));
  std::string served;
  queue.Serve([&](const QueuedRequest& waiting) {
    if (waiting.customer.str() == "x")
      return false;
    served += waiting.customer.str();
    return true;
  });
  BOOST_TEST(served == "y");
  BOOST_TEST(queue.Size() == 1);
}

BOOST_AUTO_TEST_CASE(expired_requests_are_removed) {
  FairQueue queue;
  queue.Push(Make(1, "x"));
  queue.Push(Make(500, "x"));
  const auto expired = queue.TakeExpired(At(1001));
  BOOST_REQUIRE(expired.size() == 1U);
  BOOST_TEST(expired.front().ticket == 1U);
  BOOST_TEST(queue.SizeOf(CustomerId("x")) == 1);
}

BOOST_AUTO_TEST_CASE(a_token_bucket_enforces_its_rate_and_burst) {
  TokenBucket bucket;
  bucket.Configure(10, 3, At(0));
  int taken = 0;
  for (int ms = 0; ms < 1000; ++ms)
    taken += bucket.TryTake(At(ms)) ? 1 : 0;
  BOOST_TEST(taken == 3 + 9);
  BOOST_TEST(bucket.WaitFor(At(1000)).count() <= 100);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::admission
