#include <boost/test/unit_test.hpp>

#include "endivecart/scheduling/load_model.h"

namespace endivecart::scheduling {
namespace {

using Outcome = LoadModel::Outcome;
using Results = std::vector<LoadModel::Result>;

double Share(const Results& results, bool (*holds)(const LoadModel::Result&)) {
  return results.empty() ? 0
                         : static_cast<double>(std::count_if(
                               results.begin(), results.end(), holds)) /
                               static_cast<double>(results.size());
}

double OnTime(const Results& results) {
  return Share(results, [](const LoadModel::Result& r) {
    return r.outcome == Outcome::kOnTime;
  });
}

double Served(const Results& results) {
  return Share(results, [](const LoadModel::Result& r) {
    return r.outcome == Outcome::kOnTime || r.outcome == Outcome::kLate;
  });
}

Millis Percentile95OfWait(const Results& results) {
  std::vector<Millis> waits;
  for (const auto& result : results)
    waits.push_back(result.waited);
  std::sort(waits.begin(), waits.end());
  return waits.at(waits.size() * 95 / 100);
}

BOOST_AUTO_TEST_SUITE(scheduling_waiting,
                      *boost::unit_test::label("scheduling"))

// Guards against one customer's burst delaying another's requests.
BOOST_AUTO_TEST_CASE(competing_customers_do_not_delay_each_other) {
  const LoadClass steady{
      "steady",     0,         "small",       1000,       Millis(500),
      Millis(3000), Millis(0), Millis(12000), Millis(200)};
  const LoadClass other{
      "other",      0,         "large",       1000,       Millis(500),
      Millis(3000), Millis(0), Millis(12000), Millis(200)};
  LoadClass burst = other;
  burst.from = Millis(4000);
  burst.until = Millis(8000);
  burst.interval = Millis(5);
  burst.work_tokens = 2000;
  LoadModel calm(200, 8000);
  calm.Play({steady, other}, Millis(16000));
  LoadModel busy(200, 8000);
  busy.Play({steady, other, burst}, Millis(16000));
  const Millis before =
      LoadModel::kService + Percentile95OfWait(calm.Of("steady"));
  const Millis during =
      LoadModel::kService + Percentile95OfWait(busy.Of("steady"));
  BOOST_TEST(during.count() <= before.count() * 1.1);
  BOOST_TEST(OnTime(busy.Of("steady")) >= 0.95);
}

// Guards against old requests going before fresh ones that can be on time.
BOOST_AUTO_TEST_CASE(returning_callers_after_a_loss_of_power_go_behind) {
  const LoadClass fresh{
      "fresh",      0,         "c",           1000,       Millis(500),
      Millis(6000), Millis(0), Millis(12000), Millis(100)};
  LoadClass old = fresh;
  old.name = "old";
  old.until = Millis(400);
  old.interval = Millis(10);
  old.used_before = Millis(2000);
  LoadModel model(20, 4000);
  model.Play({fresh, old}, Millis(16000));
  BOOST_TEST(OnTime(model.Of("fresh")) >= 0.95);
  // The room that is left serves the old ones: 10 tokens per ms for 3.6 s.
  BOOST_TEST(Served(model.Of("old", Millis(-2000))) >= 0.8);
}

// Guards against urgent prompts waiting behind long ones, and against long ones
// being starved by short ones that fit sooner.
BOOST_AUTO_TEST_CASE(a_burst_of_long_prompts_delays_no_urgent_short_ones) {
  const LoadClass urgent{
      "urgent",     0,         "c",           1000,       Millis(400),
      Millis(3000), Millis(0), Millis(12000), Millis(100)};
  const LoadClass usual{
      "usual",      0,         "c",           2000,       Millis(1500),
      Millis(6000), Millis(0), Millis(12000), Millis(400)};
  LoadClass burst{"long",       0,
                  "c",          10000,
                  Millis(1500), Millis(6000),
                  Millis(2000), Millis(5000),
                  Millis(600)};
  LoadModel model(20, 12000);
  model.Play({urgent, usual, burst}, Millis(16000));
  BOOST_TEST(OnTime(model.Of("urgent")) >= 0.95);
  BOOST_TEST(Served(model.Of("long")) >= 0.5 * Served(model.Of("usual")));
  BOOST_TEST(Served(model.Of("urgent")) >= Served(model.Of("usual")) - 0.05);
  BOOST_TEST(OnTime(model.Of("usual", Millis(9000))) == 1.0);
}

// Guards against serving each request in order, and so each one too late, when
// the queue is older than the latency target.
BOOST_AUTO_TEST_CASE(a_backlog_older_than_the_target_makes_no_fresh_one_late) {
  const LoadClass usual{
      "usual",      0,         "c",           1000,      Millis(500),
      Millis(6000), Millis(0), Millis(14000), Millis(70)};
  LoadClass burst = usual;
  burst.name = "burst";
  burst.from = Millis(2000);
  burst.until = Millis(4000);
  burst.interval = Millis(20);
  LoadModel model(20, 4000);
  model.Play({usual, burst}, Millis(20000));
  // The state is normal again within 4 s.
  BOOST_TEST(OnTime(model.Of("usual", Millis(8000))) == 1.0);
  const Results all = model.results();
  BOOST_TEST(OnTime(all) >= 0.6);
}

// Guards against callers that wait for nearly their whole time and are then
// refused, and against idle room beside refusals.
BOOST_AUTO_TEST_CASE(a_lasting_overload_is_refused_at_once) {
  const LoadClass load{
      "load",       0,         "c",           1000,      Millis(500),
      Millis(3000), Millis(0), Millis(20000), Millis(20)};
  LoadModel model(20, 4000);
  model.Play({load}, Millis(24000));
  Results refused;
  int expired = 0;
  for (const auto& result : model.Of("load", Millis(2000))) {
    if (result.outcome == Outcome::kRefused)
      refused.push_back(result);
    expired += result.outcome == Outcome::kExpired ? 1 : 0;
  }
  BOOST_TEST(Percentile95OfWait(refused).count() <= 1000);
  BOOST_TEST(expired <= 20);
  // Room for 40 in 100.
  BOOST_TEST(Served(model.Of("load")) >= 0.36);
  BOOST_TEST(OnTime(model.Of("load")) >= 0.3);
}

// Guards against `Retry-After` times at which there is no room, or at which all
// callers return together.
BOOST_AUTO_TEST_CASE(refused_callers_return_when_there_is_room) {
  const LoadClass usual{
      "usual",      0,         "c",           1000,       Millis(500),
      Millis(6000), Millis(0), Millis(14000), Millis(100)};
  LoadClass burst = usual;
  burst.name = "burst";
  burst.from = Millis(2000);
  burst.until = Millis(3000);
  burst.interval = Millis(10);
  LoadModel model(20, 4000);
  model.Play({usual, burst}, Millis(20000));
  Results returned;
  for (const auto& result : model.results()) {
    if (result.attempts > 1)
      returned.push_back(result);
  }
  BOOST_TEST_REQUIRE(returned.size() > 20U);
  BOOST_TEST(Served(returned) >= 0.3);
}

// Guards against any class being served less than half as often as its peers.
BOOST_AUTO_TEST_CASE(no_class_starves_under_a_lasting_overload) {
  std::vector<LoadClass> loads;
  const auto add = [&](const char* name, int rank, const char* customer,
                       std::int64_t work, int interval) {
    loads.push_back({name, rank, customer, work, Millis(1000), Millis(6000),
                     Millis(0), Millis(40000), Millis(interval)});
  };
  add("small customer", 0, "a", 1000, 200);
  add("large customer", 0, "b", 1000, 40);
  add("long", 0, "a", 8000, 1000);
  add("less urgent", 1, "a", 1000, 200);
  LoadModel model(24, 12000);
  model.Play(loads, Millis(46000));
  double least = 1;
  double most = 0;
  for (const LoadClass& load : loads) {
    const double served = Served(model.Of(load.name));
    BOOST_TEST_MESSAGE(load.name << " " << served);
    if (load.rank == 0) {
      least = std::min(least, served);
      most = std::max(most, served);
    }
  }
  BOOST_TEST(least >= 0.5 * most);
  BOOST_TEST(Served(model.Of("less urgent")) <= least + 0.05);
}

BOOST_AUTO_TEST_CASE(the_first_in_the_queue_is_not_refused_by_a_standstill) {
  WaitQueue queue(1);
  const TimePoint start(Millis(1000000));
  WaitingRequest request;
  request.group = "s";
  request.arrived_at = start;
  request.latest_start = start + Millis(500);
  request.give_up_at = request.deadline = start + Millis(3000);
  queue.Add(request, start);
  for (int ms = 0; ms < 2900; ms += 100) {
    queue.Admit([](auto) { return false; }, start + Millis(ms));
    BOOST_TEST(queue.Refusals(start + Millis(ms)).empty());
  }
}

BOOST_AUTO_TEST_CASE(a_customers_priority_precedes_the_routes_priority) {
  BOOST_TEST(RankOf(0, 9) < RankOf(1, 0));
  BOOST_TEST(RankOf(1, 0) < RankOf(1, 2));
  BOOST_TEST(RankOf(1, 50) < RankOf(2, 0));
}

BOOST_AUTO_TEST_CASE(the_most_urgent_request_goes_first) {
  WaitQueue queue(1);
  const TimePoint now(Millis(1000000));
  WaitingRequest request;
  request.latest_start = now + Millis(100);
  request.rank = 2;
  const auto less_urgent = queue.Add(request, now);
  request.latest_start = now + Millis(500);
  request.rank = 0;
  const auto urgent = queue.Add(request, now + Millis(1));
  std::vector<WaitQueue::Ticket> admitted;
  queue.Admit(
      [&](WaitQueue::Ticket ticket) {
        admitted.push_back(ticket);
        return true;
      },
      now + Millis(2));
  BOOST_TEST(admitted == (std::vector<WaitQueue::Ticket>{urgent, less_urgent}),
             boost::test_tools::per_element());
  BOOST_TEST(queue.empty());
}

// Guards against each waiting request being tried, and so counted as demand, in
// each round.
BOOST_AUTO_TEST_CASE(a_round_tries_few_requests_that_find_no_room) {
  WaitQueue queue(1);
  const TimePoint now(Millis(1000000));
  WaitingRequest request;
  request.work_tokens = 8000;
  for (int i = 0; i < 40; ++i)
    queue.Add(request, now);
  request.work_tokens = 1000;
  const auto small = queue.Add(request, now + Millis(1));
  int tries = 0;
  bool has_tried_small = false;
  queue.Admit(
      [&](WaitQueue::Ticket ticket) {
        ++tries;
        has_tried_small |= ticket == small;
        return false;
      },
      now + Millis(2));
  BOOST_TEST(tries <= 6);
  BOOST_TEST(has_tried_small);
}

BOOST_AUTO_TEST_CASE(a_request_blocks_none_for_other_upstreams) {
  WaitQueue queue(1);
  const TimePoint now(Millis(1000000));
  WaitingRequest request;
  request.group = "full";
  const auto stuck = queue.Add(request, now);
  request.group = "s";
  const auto other = queue.Add(request, now + Millis(10));
  std::vector<WaitQueue::Ticket> admitted;
  queue.Admit(
      [&](WaitQueue::Ticket ticket) {
        if (ticket != stuck)
          admitted.push_back(ticket);
        return ticket != stuck;
      },
      now + Millis(400));
  BOOST_TEST(admitted == std::vector<WaitQueue::Ticket>{other},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::scheduling
