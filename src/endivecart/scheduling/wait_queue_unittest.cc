#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "endivecart/scheduling/scheduling.h"

namespace endivecart::scheduling {
namespace {

using Result = WaitQueue::TryResult;

// Time from the send to the first event.
constexpr Millis kService{100};
constexpr Millis kStep{5};

TimePoint At(int millis) {
  return TimePoint(Millis(1000000 + millis));
}

// A stream of alike requests; times in ms.
struct Load {
  std::string name;
  int rank = 0;
  std::string customer = "c";
  std::int64_t work_tokens = 1000;
  int target = 500;
  int limit = 6000;
  int from = 0;
  int until = 12000;
  int interval = 100;
  int used_before = 0;  // by the caller's earlier attempt
};

struct Played {
  Load load;
  int sent_at = 0;  // by the caller
  int queued_at = 0;
  int attempts = 1;
  int return_at = 0;
  int waited = 0;  // last attempt
  bool is_on_time = false;
  bool is_served = false;
  bool is_refused = false;  // by forecast
};

// Plays loads against room that becomes free at a constant rate. Callers return
// once, if `Retry-After` is within a third of their time left.
class Player {
 public:
  Player(double tokens_per_ms, double most_room)
      : tokens_per_ms_(tokens_per_ms), most_room_(most_room) {}

  void Play(const std::vector<Load>& loads, int until) {
    for (now_ = 0; now_ < until; now_ += static_cast<int>(kStep.count())) {
      for (const Load& load : loads) {
        if (now_ >= load.from && now_ < load.until &&
            (now_ - load.from) % load.interval < kStep.count())
          Arrive({load, now_ - load.used_before});
      }
      auto due = std::partition(away_.begin(), away_.end(), [&](const auto& p) {
        return p.return_at > now_;
      });
      std::vector<Played> returning(due, away_.end());
      away_.erase(due, away_.end());
      for (Played& each : returning) {
        ++each.attempts;
        Arrive(each);
      }
      Step();
    }
  }
  // Returns the part of the requests of a load, or of all, for which `holds`.
  template <class Holds>
  double Part(const std::string& name, Holds holds, int from = -10000) const {
    double all = 0;
    double number = 0;
    for (const Played& each : done) {
      if ((!name.empty() && each.load.name != name) || each.sent_at < from)
        continue;
      ++all;
      number += holds(each) ? 1 : 0;
    }
    return all > 0 ? number / all : 0;
  }
  double OnTime(const std::string& name, int from = -10000) const {
    return Part(
        name, [](const Played& p) { return p.is_on_time; }, from);
  }
  double Served(const std::string& name, int from = -10000) const {
    return Part(
        name, [](const Played& p) { return p.is_served; }, from);
  }
  int Percentile95OfWait(const std::string& name) const {
    std::vector<int> waits;
    for (const Played& each : done) {
      if (each.load.name == name)
        waits.push_back(each.waited);
    }
    std::sort(waits.begin(), waits.end());
    return waits.at(waits.size() * 95 / 100);
  }

  std::vector<Played> done;

 private:
  static int Deadline(const Played& p) { return p.sent_at + p.load.limit; }
  void Arrive(Played played) {
    const Load& load = played.load;
    played.queued_at = now_;
    const int deadline = Deadline(played);
    const auto ticket = queue_.Add(
        {load.rank, CustomerId(load.customer), load.name, "s", load.work_tokens,
         At(played.sent_at), At(played.sent_at + load.target) - kService,
         At(deadline) - kService, At(deadline)},
        At(now_));
    waiting_.emplace(ticket, std::move(played));
  }
  void Step() {
    room_ = std::min(room_ + tokens_per_ms_ * kStep.count(), most_room_);
    queue_.Admit([this](auto ticket) { return Place(ticket); }, Millis(0),
                 At(now_));
    for (const auto& refusal : queue_.Refusals(At(now_)))
      Refuse(refusal);
    std::vector<WaitQueue::Ticket> expired;
    for (const auto& [ticket, played] : waiting_) {
      if (At(now_) + kService > At(Deadline(played)))
        expired.push_back(ticket);
    }
    for (const auto ticket : expired)
      End(ticket);
  }
  Result Place(WaitQueue::Ticket ticket) {
    Played& played = waiting_.at(ticket);
    const auto work = static_cast<double>(played.load.work_tokens);
    if (work > room_)
      return Result::kFull;
    room_ -= work;
    played.is_served = true;
    played.is_on_time =
        At(now_) + kService <= At(played.sent_at + played.load.target);
    End(ticket);
    return Result::kSent;
  }
  void Refuse(const WaitQueue::Refusal& refusal) {
    Played& played = waiting_.at(refusal.ticket);
    const Millis honoured((Deadline(played) - now_) / 3);
    if (played.attempts == 1 && refusal.retry_after <= honoured) {
      played.return_at = now_ + static_cast<int>(refusal.retry_after.count());
      away_.push_back(played);
      queue_.Remove(refusal.ticket, At(now_));
      waiting_.erase(refusal.ticket);
      return;
    }
    played.is_refused = true;
    End(refusal.ticket);
  }
  void End(WaitQueue::Ticket ticket) {
    waiting_.at(ticket).waited = now_ - waiting_.at(ticket).queued_at;
    done.push_back(waiting_.at(ticket));
    queue_.Remove(ticket, At(now_));
    waiting_.erase(ticket);
  }

  const double tokens_per_ms_;
  const double most_room_;
  double room_ = 0;
  int now_ = 0;
  WaitQueue queue_{1};
  std::map<WaitQueue::Ticket, Played> waiting_;
  std::vector<Played> away_;
};

WaitingRequest Request(int rank, int arrived, int latest_start) {
  return {rank,        CustomerId("c"),  "r",       "s",      1000,
          At(arrived), At(latest_start), At(60000), At(60000)};
}

// Admits those for which `fits` holds and returns their tickets.
template <class Fits>
std::vector<WaitQueue::Ticket> AdmitAll(WaitQueue& queue, Fits fits, int now) {
  std::vector<WaitQueue::Ticket> admitted;
  queue.Admit(
      [&](WaitQueue::Ticket ticket) {
        if (!fits(ticket))
          return Result::kFull;
        queue.Remove(ticket, At(now));
        admitted.push_back(ticket);
        return Result::kSent;
      },
      Millis(0), At(now));
  return admitted;
}

BOOST_AUTO_TEST_SUITE(scheduling_waiting,
                      *boost::unit_test::label("scheduling"))

// Guards against one customer's burst delaying another's requests.
BOOST_AUTO_TEST_CASE(competing_customers_do_not_delay_each_other) {
  const Load steady{
      .name = "steady", .customer = "small", .limit = 3000, .interval = 200};
  const Load other{
      .name = "other", .customer = "large", .limit = 3000, .interval = 200};
  Load burst = other;
  burst.work_tokens = 2000;
  burst.from = 4000;
  burst.until = 8000;
  burst.interval = 5;
  Player calm(200, 8000);
  calm.Play({steady, other}, 16000);
  Player busy(200, 8000);
  busy.Play({steady, other, burst}, 16000);
  const auto service = static_cast<double>(kService.count());
  BOOST_TEST(service + busy.Percentile95OfWait("steady") <=
             1.1 * (service + calm.Percentile95OfWait("steady")));
  BOOST_TEST(busy.OnTime("steady") >= 0.95);
}

// Guards against old requests going before fresh ones that can be on time.
BOOST_AUTO_TEST_CASE(returning_callers_after_a_loss_of_power_go_behind) {
  const Load fresh{.name = "fresh"};
  const Load old{
      .name = "old", .until = 400, .interval = 10, .used_before = 2000};
  Player player(20, 4000);
  player.Play({fresh, old}, 16000);
  BOOST_TEST(player.OnTime("fresh") >= 0.95);
  // The room that is left serves the old ones: 10 tokens per ms for 3.6 s.
  BOOST_TEST(player.Served("old") >= 0.8);
}

// Guards against urgent prompts waiting behind long ones, and against long ones
// being starved by short ones that fit sooner.
BOOST_AUTO_TEST_CASE(a_burst_of_long_prompts_delays_no_urgent_short_ones) {
  const Load urgent{.name = "urgent", .target = 400, .limit = 3000};
  const Load usual{
      .name = "usual", .work_tokens = 2000, .target = 1500, .interval = 400};
  const Load burst{.name = "long",
                   .work_tokens = 10000,
                   .target = 1500,
                   .from = 2000,
                   .until = 5000,
                   .interval = 600};
  Player player(20, 12000);
  player.Play({urgent, usual, burst}, 16000);
  BOOST_TEST(player.OnTime("urgent") >= 0.95);
  BOOST_TEST(player.Served("long") >= 0.5 * player.Served("usual"));
  BOOST_TEST(player.Served("urgent") >= player.Served("usual") - 0.05);
  BOOST_TEST(player.OnTime("usual", 9000) == 1.0);
}

// Guards against serving each request in order, and so each one too late, when
// the queue is older than the latency target.
BOOST_AUTO_TEST_CASE(a_backlog_older_than_the_target_makes_no_fresh_one_late) {
  const Load usual{.name = "usual", .until = 14000, .interval = 70};
  Load burst = usual;
  burst.name = "burst";
  burst.from = 2000;
  burst.until = 4000;
  burst.interval = 20;
  Player player(20, 4000);
  player.Play({usual, burst}, 20000);
  // The state is normal again within 4 s.
  BOOST_TEST(player.OnTime("usual", 8000) == 1.0);
  BOOST_TEST(player.OnTime("") >= 0.6);
}

// Guards against late requests of an urgent route making a less urgent one late
// as well, and against the urgent route then being served less often.
BOOST_AUTO_TEST_CASE(late_urgent_requests_go_behind_less_urgent_on_time_ones) {
  const Load urgent{.name = "urgent",
                    .limit = 4000,
                    .until = 500,
                    .interval = 20,
                    .used_before = 1000};
  const Load usual{.name = "usual", .rank = 1};
  Player player(20, 4000);
  player.Play({urgent, usual}, 16000);
  BOOST_TEST(player.OnTime("usual") >= 0.95);
  Player overload(8, 4000);
  Load lasting = urgent;
  lasting.until = 12000;
  lasting.interval = 200;
  overload.Play({lasting, usual}, 16000);
  // Which rank is served less often is known once some were refused.
  BOOST_TEST(overload.Served("urgent", 3000) >=
             overload.Served("usual", 3000) - 0.05);
}

// Guards against callers that wait for nearly their whole time and are then
// refused, and against idle room beside refusals.
BOOST_AUTO_TEST_CASE(a_lasting_overload_is_refused_at_once) {
  Player player(20, 4000);
  player.Play({{.name = "load", .limit = 3000, .until = 20000, .interval = 20}},
              24000);
  std::vector<int> refused;
  int expired = 0;
  for (const Played& each : player.done) {
    if (each.sent_at >= 2000 && each.is_refused)
      refused.push_back(each.waited);
    expired += each.is_served || each.is_refused ? 0 : 1;
  }
  std::sort(refused.begin(), refused.end());
  BOOST_TEST(refused.at(refused.size() * 95 / 100) <= 1000);
  BOOST_TEST(expired <= 20);
  // Room for 40 in 100.
  BOOST_TEST(player.Served("load") >= 0.36);
  BOOST_TEST(player.OnTime("load") >= 0.3);
}

// Guards against `Retry-After` times at which there is no room, or at which all
// callers return together.
BOOST_AUTO_TEST_CASE(refused_callers_return_when_there_is_room) {
  const Load usual{.name = "usual", .until = 14000};
  Load burst = usual;
  burst.name = "burst";
  burst.from = 2000;
  burst.until = 3000;
  burst.interval = 10;
  Player player(20, 4000);
  player.Play({usual, burst}, 20000);
  std::vector<Played> returned;
  for (const Played& each : player.done) {
    if (each.attempts > 1)
      returned.push_back(each);
  }
  BOOST_TEST_REQUIRE(returned.size() > 10U);
  const auto served = std::count_if(returned.begin(), returned.end(),
                                    [](const auto& p) { return p.is_served; });
  BOOST_TEST(static_cast<double>(served) >=
             0.3 * static_cast<double>(returned.size()));
}

// Guards against any class being served less than half as often as its peers.
BOOST_AUTO_TEST_CASE(no_class_starves_under_a_lasting_overload) {
  const auto load = [](const char* name, int rank, const char* customer,
                       int work, int interval) {
    return Load{.name = name,
                .rank = rank,
                .customer = customer,
                .work_tokens = work,
                .target = 1000,
                .until = 40000,
                .interval = interval};
  };
  Player player(24, 12000);
  player.Play({load("small customer", 0, "a", 1000, 200),
               load("large customer", 0, "b", 1000, 40),
               load("long", 0, "a", 8000, 1000),
               load("less urgent", 1, "a", 1000, 200)},
              46000);
  double least = 1;
  double most = 0;
  for (const char* name : {"small customer", "large customer", "long"}) {
    BOOST_TEST_MESSAGE(name << " " << player.Served(name));
    least = std::min(least, player.Served(name));
    most = std::max(most, player.Served(name));
  }
  BOOST_TEST(least >= 0.5 * most);
  BOOST_TEST(player.Served("less urgent") <= least + 0.05);
  BOOST_TEST(player.Served("less urgent") > 0.02);
}

// Guards against refusals while engines are idle and a host merely waits for
// its turn.
BOOST_AUTO_TEST_CASE(requests_that_wait_beside_idle_engines_are_not_refused) {
  for (const Result result : {Result::kSpare, Result::kFull}) {
    WaitQueue queue(1);
    std::size_t refused = 0;
    for (int ms = 0; ms < 4000; ms += 20) {
      WaitingRequest request = Request(0, ms, ms + 400);
      request.give_up_at = request.deadline = At(ms + 1500);
      queue.Add(request, At(ms));
      bool first = ms % 400 == 0;  // a twentieth is admitted
      queue.Admit(
          [&](auto ticket) {
            if (!std::exchange(first, false))
              return result;
            queue.Remove(ticket, At(ms));
            return Result::kSent;
          },
          Millis(0), At(ms));
      for (const auto& refusal : queue.Refusals(At(ms))) {
        queue.Remove(refusal.ticket, At(ms));
        ++refused;
      }
    }
    BOOST_TEST((refused > 0) == (result == Result::kFull));
    BOOST_TEST(queue.IsScarce("s") == (result == Result::kFull));
  }
}

// Guards against a standstill of the first request being taken for a backlog.
BOOST_AUTO_TEST_CASE(the_first_in_the_queue_is_not_refused_by_a_standstill) {
  WaitQueue queue(1);
  WaitingRequest request = Request(0, 0, 500);
  request.give_up_at = request.deadline = At(3000);
  queue.Add(request, At(0));
  for (int ms = 0; ms < 2900; ms += 100) {
    AdmitAll(
        queue, [](auto) { return false; }, ms);
    BOOST_TEST(queue.Refusals(At(ms)).empty());
  }
}

// Guards against a route's priority outweighing its customer's.
BOOST_AUTO_TEST_CASE(a_customers_priority_precedes_the_routes_priority) {
  BOOST_TEST(RankOf(0, 9) < RankOf(1, 0));
  BOOST_TEST(RankOf(1, 0) < RankOf(1, 2));
  BOOST_TEST(RankOf(1, 50) < RankOf(2, 0));
}

// Guards against an order by time alone.
BOOST_AUTO_TEST_CASE(the_most_urgent_request_goes_first) {
  WaitQueue queue(1);
  const auto less_urgent = queue.Add(Request(2, 0, 100), At(0));
  const auto urgent = queue.Add(Request(0, 1, 500), At(1));
  const auto order = AdmitAll(
      queue, [](auto) { return true; }, 2);
  BOOST_TEST(order == (std::vector<WaitQueue::Ticket>{urgent, less_urgent}),
             boost::test_tools::per_element());
  BOOST_TEST(queue.empty());
}

// Guards against each waiting request being tried, and so counted as demand, in
// each round.
BOOST_AUTO_TEST_CASE(a_round_tries_few_requests_that_find_no_room) {
  WaitQueue queue(1);
  WaitingRequest large = Request(0, 0, 500);
  large.work_tokens = 8000;
  for (int i = 0; i < 400; ++i)
    queue.Add(large, At(0));
  const auto small = queue.Add(Request(0, 1, 500), At(1));
  for (const Millis min_age : {Millis(0), Millis(20)}) {
    std::vector<WaitQueue::Ticket> tried;
    queue.Admit(
        [&](WaitQueue::Ticket ticket) {
          tried.push_back(ticket);
          return Result::kFull;
        },
        min_age, At(2));
    BOOST_TEST(tried.size() <= 6U);
    BOOST_TEST(tried.empty() == (min_age > Millis(0)));
    BOOST_TEST((tried.empty() || tried.back() == small));
  }
}

// Guards against a large request being overtaken by small ones forever.
BOOST_AUTO_TEST_CASE(a_large_request_is_not_overtaken_by_small_ones_forever) {
  const Load small{.name = "small", .until = 8000, .interval = 40};
  const Load large{
      .name = "large", .work_tokens = 8000, .limit = 8000, .until = 5};
  const Load less_urgent{.name = "less urgent", .rank = 1};
  Player player(26, 8000);
  player.Play({small, large, less_urgent}, 8000);
  BOOST_TEST(player.Served("large") == 1.0);
}

// Guards against a request holding up those for other upstreams.
BOOST_AUTO_TEST_CASE(a_request_blocks_none_for_other_upstreams) {
  WaitQueue queue(1);
  WaitingRequest request = Request(1, 0, 500);
  request.group = "full";
  const auto stuck = queue.Add(request, At(0));
  const auto other = queue.Add(Request(1, 10, 500), At(10));
  const auto admitted = AdmitAll(
      queue, [&](auto ticket) { return ticket != stuck; }, 400);
  BOOST_TEST(admitted == std::vector<WaitQueue::Ticket>{other},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::scheduling
