// Guards against a control host so busy with soft state that it can't answer a
// read: with 300 entry hosts, a routing configuration could not be read back.

#include "endivecart/fleet/poll_queue.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>

#include "endivecart/fleet/fleet.h"
#include "fakes.h"

namespace endivecart::fleet {
namespace {

using std::chrono::microseconds;

TimePoint At(int millis) {
  return TimePoint(Millis(1000000 + millis));
}

// Three voters in one thread of time. The polls of many hosts arrive at the
// leader, and each costs it time.
class BusyVoters {
 public:
  BusyVoters()
      : queue_({[this](const HostId&, const wire::FleetPoll&) { ServePoll(); },
                [this] { return now_; }}) {
    for (const char* name : {"a", "b", "c"}) {
      const HostId host(name);
      Node& node = nodes_[host];
      node.disk =
          std::make_unique<soak::FakeDisk>(dice_, control::kFounderIdentity);
      FleetVoterOptions options;
      options.member = control::MakeMemberId(host, node.disk->identity());
      options.is_founder = true;
      options.founders = {HostId("a"), HostId("b"), HostId("c")};
      options.seed = StableHash(host.str());
      FleetVoter::Hooks hooks;
      hooks.send = [this, host](const HostId& to, wire::Envelope envelope) {
        envelope.set_from(host.str());
        messages_.emplace_back(to, std::move(envelope));
      };
      hooks.run_on_disk = [this](auto job, auto done) {
        writes_.emplace_back([job, done] { done(job()); });
      };
      hooks.on_decisions = [](const Decisions&) {};
      hooks.on_disk_failure = [](const control::StorageError&) {};
      hooks.now = [this] { return now_; };
      node.voter = std::make_unique<FleetVoter>(options, node.disk.get(),
                                                std::move(hooks));
    }
  }

  FleetVoter& Elect() {
    for (int i = 0; i < 4000; ++i) {
      RunTurn();
      for (auto& [host, node] : nodes_) {
        if (node.voter->IsConfirmedLeader())
          return *node.voter;
      }
    }
    throw std::runtime_error("no leader was elected");
  }

  // From now on the polls of `hosts` hosts arrive each `interval`.
  void Load(int hosts, Millis interval, microseconds cost) {
    poll_cost_ = cost;
    poll_gap_ = microseconds(interval) / hosts;
    hosts_ = hosts;
    next_poll_ = now_;
  }

  // Runs until `done` is set. Returns how long that took.
  Millis RunUntil(const bool& done) {
    const TimePoint began = now_;
    while (!done && now_ - began < Millis(5000))
      RunTurn();
    return std::chrono::duration_cast<Millis>(now_ - began);
  }
  void RunFor(Millis duration) {
    const TimePoint end = now_ + duration;
    while (now_ < end)
      RunTurn();
  }

  const PollQueue& queue() const { return queue_; }
  int served() const { return served_; }
  Millis max_tick_delay() const { return max_tick_delay_; }

 private:
  struct Node {
    std::unique_ptr<soak::FakeDisk> disk;
    std::unique_ptr<FleetVoter> voter;
  };

  void ServePoll() {
    ++served_;
    now_ += poll_cost_;
  }

  // One turn of the leader's loop: eight polls, all other messages and writes,
  // and the timers that are due.
  void RunTurn() {
    now_ += microseconds(500);
    for (int i = 0; i < 8 && poll_gap_.count() > 0 && next_poll_ <= now_; ++i) {
      queue_.Add(HostId("h" + std::to_string(polls_++ % hosts_)), {});
      next_poll_ += poll_gap_;
    }
    for (auto& [to, envelope] : std::exchange(messages_, {}))
      nodes_.at(to).voter->OnRaft(HostId(envelope.from()), envelope.raft());
    for (const auto& write : std::exchange(writes_, {}))
      write();
    if (now_ < next_tick_)
      return;
    const auto delay = now_ - next_tick_;
    max_tick_delay_ =
        std::max(max_tick_delay_, std::chrono::duration_cast<Millis>(delay));
    next_tick_ = now_ + PollQueue::kWindow;
    for (auto& [host, node] : nodes_)
      node.voter->Tick();
    queue_.OnTick(delay);
  }

  soak::RandomSource dice_{1};
  std::map<HostId, Node> nodes_;
  std::deque<std::pair<HostId, wire::Envelope>> messages_;
  std::deque<std::function<void()>> writes_;
  TimePoint now_ = At(0);
  TimePoint next_tick_ = At(0);
  TimePoint next_poll_{};
  microseconds poll_gap_{0};
  microseconds poll_cost_{0};
  int hosts_ = 1;
  int polls_ = 0;
  int served_ = 0;
  Millis max_tick_delay_{0};
  PollQueue queue_;
};

BOOST_AUTO_TEST_SUITE(poll_queue, *boost::unit_test::label("fleet"))

BOOST_AUTO_TEST_CASE(
    a_voter_with_ten_times_its_load_answers_reads_and_commits) {
  BusyVoters voters;
  FleetVoter& leader = voters.Elect();
  const std::uint64_t term = leader.term();
  // The answers to all polls take ten seconds of each second.
  voters.Load(300, Millis(750), microseconds(25000));
  voters.RunFor(Millis(3000));
  for (std::uint64_t version = 1; version <= 10; ++version) {
    bool decided = false;
    wire::FleetCommand command;
    command.mutable_replace_routing()->set_version(version);
    command.mutable_replace_routing()->set_document("document");
    leader.Propose(command, Millis(900), [&decided](ProposalResult result) {
      decided = result == ProposalResult::kDecided;
    });
    BOOST_TEST(voters.RunUntil(decided).count() < 500);
    bool is_read = false;
    leader.Confirm(Millis(900), [&](bool confirmed) {
      is_read = confirmed && leader.decisions().routing_version == version;
    });
    BOOST_TEST(voters.RunUntil(is_read).count() < 500);
  }
  BOOST_TEST(leader.IsConfirmedLeader());
  BOOST_TEST(leader.term() == term);
  // One poll may delay a tick, but never several.
  BOOST_TEST(voters.max_tick_delay().count() < 60);
  BOOST_TEST(voters.served() > 50);
  BOOST_TEST(voters.queue().dropped() > 0u);
  BOOST_TEST(voters.queue().waiting() <= 300u);
}

BOOST_AUTO_TEST_CASE(polls_are_answered_at_once_while_there_is_time) {
  BusyVoters voters;
  voters.Elect();
  voters.Load(300, Millis(750), microseconds(200));
  voters.RunFor(Millis(3000));
  BOOST_TEST(voters.queue().waiting() == 0u);
  BOOST_TEST(voters.queue().dropped() == 0u);
  BOOST_TEST(voters.served() >= 1190);
}

BOOST_AUTO_TEST_CASE(only_the_latest_poll_of_a_follower_waits) {
  TimePoint now = At(0);
  std::vector<std::uint64_t> served;
  PollQueue queue({[&](const HostId&, const wire::FleetPoll& poll) {
                     served.push_back(poll.number());
                     now += PollQueue::kMaxBudget;
                   },
                   [&] { return now; }});
  for (std::uint64_t number = 1; number <= 4; ++number) {
    wire::FleetPoll poll;
    poll.set_number(number);
    queue.Add(HostId("h"), poll);
  }
  BOOST_TEST(queue.waiting() == 1u);
  queue.OnTick(microseconds(0));
  BOOST_TEST(served == (std::vector<std::uint64_t>{1, 4}),
             boost::test_tools::per_element());
  BOOST_TEST(queue.dropped() == 2u);
}

BOOST_AUTO_TEST_CASE(a_poll_that_its_follower_has_given_up_is_dropped) {
  TimePoint now = At(0);
  int served = 0;
  PollQueue queue({[&](const HostId&, const wire::FleetPoll&) {
                     ++served;
                     now += PollQueue::kMaxBudget;
                   },
                   [&] { return now; }});
  queue.Add(HostId("g"), {});
  queue.Add(HostId("h"), {});
  now += PollQueue::kMaxAge + Millis(1);
  queue.OnTick(microseconds(0));
  BOOST_TEST(served == 1);
  BOOST_TEST(queue.waiting() == 0u);
}

BOOST_AUTO_TEST_CASE(late_ticks_leave_less_time_for_polls) {
  TimePoint now = At(0);
  int served = 0;
  PollQueue queue({[&](const HostId&, const wire::FleetPoll&) {
                     ++served;
                     now += microseconds(1000);
                   },
                   [&] { return now; }});
  for (int i = 0; i < 10; ++i)
    queue.OnTick(Millis(100));
  BOOST_TEST(queue.IsBusy());
  for (int i = 0; i < 20; ++i)
    queue.Add(HostId("h" + std::to_string(i)), {});
  BOOST_TEST(served == 1);
  for (int i = 0; i < 100; ++i)
    queue.OnTick(microseconds(0));
  BOOST_TEST(!queue.IsBusy());
}

BOOST_AUTO_TEST_CASE(a_message_with_too_many_entries_is_dropped_and_counted) {
  EntryLimit limit("poll", 2);
  BOOST_TEST(limit.Accepts(HostId("h"), 2, At(0)));
  BOOST_TEST(!limit.Accepts(HostId("h"), 3, At(0)));
  BOOST_TEST(limit.dropped() == 1u);
  wire::FleetPoll poll;
  poll.add_loads();
  poll.add_limits();
  poll.mutable_quarantine()->add_sound();
  poll.add_waiting();
  poll.mutable_usage()->add_records();
  BOOST_TEST(CountEntries(poll) == 5u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
