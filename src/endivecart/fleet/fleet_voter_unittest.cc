#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>

#include "endivecart/fleet/fleet.h"
#include "fakes.h"

namespace endivecart::fleet {
namespace {

// Three voters on a network without delay, with disks whose writes can be held
// back.
class ThreeVoters {
 public:
  ThreeVoters() : dice_(1) {
    for (const char* name : {"a", "b", "c"}) {
      Node& node = nodes_[HostId(name)];
      node.disk =
          std::make_unique<soak::FakeDisk>(dice_, control::kFounderIdentity);
    }
    RestartAll();
  }

  void RestartAll() {
    messages_.clear();
    for (auto& [host, node] : nodes_) {
      node.holds_writes = false;
      node.jobs.clear();
      node.voter = MakeVoter(host, node);
    }
  }

  // Advances time until one voter leads. Returns it.
  FleetVoter& Elect() {
    for (int step = 0; step < 1000; ++step) {
      now_ += Millis(10);
      for (auto& [host, node] : nodes_) {
        node.voter->Tick();
        if (node.voter->IsLeader())
          return *node.voter;
      }
      Exchange();
    }
    throw std::runtime_error("no leader was elected");
  }

  // Delivers messages and runs writes that are not held, without time passing.
  void Exchange() {
    bool is_busy = true;
    while (is_busy) {
      is_busy = RunWrites();
      for (auto& [to, envelope] : std::exchange(messages_, {})) {
        is_busy = true;
        nodes_.at(to).voter->OnRaft(HostId(envelope.from()), envelope.raft());
      }
    }
  }

  bool Replace(FleetVoter& leader, std::uint64_t version) {
    wire::FleetCommand command;
    command.mutable_replace_routing()->set_version(version);
    command.mutable_replace_routing()->set_document("document");
    bool decided = false;
    leader.Propose(command, Millis(900), [&decided](ProposalResult result) {
      decided = result == ProposalResult::kDecided;
    });
    Exchange();
    for (int step = 0; step < 20 && !decided; ++step) {
      now_ += Millis(10);
      leader.Tick();
      Exchange();
    }
    return decided;
  }

  // Lets time pass while writes stay held.
  void Pass(int millis) {
    for (int step = 0; step < millis / 10; ++step) {
      now_ += Millis(10);
      for (auto& [host, node] : nodes_)
        node.voter->Tick();
      Exchange();
    }
  }

  int Leaders() const {
    int leaders = 0;
    for (const auto& [host, node] : nodes_)
      leaders += node.voter->IsConfirmedLeader() ? 1 : 0;
    return leaders;
  }

  void SetFull(const FleetVoter& voter, bool full) {
    for (auto& [host, node] : nodes_) {
      if (node.voter.get() == &voter)
        node.disk->SetFull(full);
    }
  }

  // Restarts a voter that doesn't lead and holds back its writes. Returns its
  // host.
  HostId RestartFollower() {
    for (auto& [host, node] : nodes_) {
      if (node.voter->IsLeader())
        continue;
      node.jobs.clear();
      node.holds_writes = true;
      node.voter = MakeVoter(host, node);
      sent_[host] = 0;
      return host;
    }
    throw std::runtime_error("all voters lead");
  }

  int MessagesOf(const HostId& host) { return sent_[host]; }
  void ReleaseWrites(const HostId& host) {
    nodes_.at(host).holds_writes = false;
  }

  void HoldWrites(const FleetVoter& voter, bool hold) {
    for (auto& [host, node] : nodes_) {
      if (node.voter.get() == &voter)
        node.holds_writes = hold;
    }
  }

 private:
  struct Node {
    std::unique_ptr<soak::FakeDisk> disk;
    std::unique_ptr<FleetVoter> voter;
    bool holds_writes = false;
    std::deque<std::pair<std::function<DiskResult()>,
                         std::function<void(const DiskResult&)>>>
        jobs;
  };

  std::unique_ptr<FleetVoter> MakeVoter(const HostId& host, Node& node) {
    FleetVoterOptions options;
    options.member = control::MakeMemberId(host, node.disk->identity());
    options.is_founder = true;
    options.founders = {HostId("a"), HostId("b"), HostId("c")};
    options.seed = StableHash(host.str());
    FleetVoter::Hooks hooks;
    hooks.send = [this, host](const HostId& to, wire::Envelope envelope) {
      envelope.set_from(host.str());
      ++sent_[host];
      messages_.emplace_back(to, std::move(envelope));
    };
    hooks.run_on_disk = [&node](auto job, auto done) {
      node.jobs.emplace_back(std::move(job), std::move(done));
    };
    hooks.on_decisions = [](const Decisions&) {};
    hooks.on_disk_failure = [](const control::StorageError&) {};
    hooks.now = [this] { return now_; };
    return std::make_unique<FleetVoter>(options, node.disk.get(),
                                        std::move(hooks));
  }

  bool RunWrites() {
    bool ran = false;
    for (auto& [host, node] : nodes_) {
      while (!node.holds_writes && !node.jobs.empty()) {
        const auto job = std::move(node.jobs.front());
        node.jobs.pop_front();
        job.second(job.first());
        ran = true;
      }
    }
    return ran;
  }

  soak::RandomSource dice_;
  TimePoint now_{Millis(1000000)};
  std::map<HostId, Node> nodes_;
  std::map<HostId, int> sent_;
  std::deque<std::pair<HostId, wire::Envelope>> messages_;
};

BOOST_AUTO_TEST_SUITE(fleet_voter, *boost::unit_test::label("fleet"))

BOOST_FIXTURE_TEST_CASE(
    a_read_at_a_new_leader_shows_what_earlier_leaders_committed,
    ThreeVoters) {
  BOOST_REQUIRE(Replace(Elect(), 18));
  RestartAll();
  FleetVoter& leader = Elect();
  std::optional<bool> confirmed;
  leader.Confirm(Millis(900),
                 [&confirmed](bool result) { confirmed = result; });
  // The first entry of the new term and, beside it, a command whose write is
  // slow: the leader learns of the commit while its disk is busy.
  Exchange();
  wire::FleetCommand command;
  command.mutable_set_domain()->set_domain("d");
  bool saw_old_state = false;
  leader.Confirm(Millis(900), [&](bool result) {
    saw_old_state = result && leader.decisions().routing_version < 18;
  });
  HoldWrites(leader, true);
  leader.Propose(command, Millis(900), [](ProposalResult) {});
  Exchange();
  BOOST_TEST(!saw_old_state);
  BOOST_TEST((!leader.IsConfirmedLeader() ||
              leader.decisions().routing_version == 18u));
  HoldWrites(leader, false);
  Exchange();
  BOOST_TEST(confirmed.value_or(false));
  BOOST_TEST(leader.decisions().routing_version == 18u);
}

BOOST_FIXTURE_TEST_CASE(a_read_waits_while_the_disk_writes_committed_entries,
                        ThreeVoters) {
  BOOST_REQUIRE(Replace(Elect(), 18));
  RestartAll();
  FleetVoter& leader = Elect();
  // The commit arrives during the write of this command, and is handed out
  // together with the next one, whose write is slow too.
  bool saw_old_state = false;
  const auto check = [&](bool result) {
    saw_old_state |= result && leader.decisions().routing_version < 18;
  };
  wire::FleetCommand command;
  command.mutable_set_domain()->set_domain("d");
  for (int i = 0; i < 20; ++i) {
    command.mutable_set_domain()->set_out(i % 2 == 0);
    HoldWrites(leader, true);
    leader.Propose(command, Millis(900), [](ProposalResult) {});
    leader.Confirm(Millis(900), check);
    Exchange();
    leader.Confirm(Millis(900), check);
    Exchange();
    HoldWrites(leader, false);
    Exchange();
  }
  BOOST_TEST(!saw_old_state);
  BOOST_TEST(leader.decisions().routing_version == 18u);
}

BOOST_FIXTURE_TEST_CASE(a_leader_keeps_leading_while_its_disk_is_slow,
                        ThreeVoters) {
  FleetVoter& leader = Elect();
  BOOST_REQUIRE(Replace(leader, 1));
  const std::uint64_t term = leader.term();
  wire::FleetCommand command;
  command.mutable_set_domain()->set_domain("d");
  for (int i = 0; i < 5; ++i) {
    command.mutable_set_domain()->set_out(i % 2 == 0);
    HoldWrites(leader, true);
    leader.Propose(command, Millis(900), [](ProposalResult) {});
    Pass(250);
    BOOST_TEST(leader.IsConfirmedLeader());
    HoldWrites(leader, false);
    Exchange();
  }
  BOOST_TEST(leader.term() == term);
}

BOOST_FIXTURE_TEST_CASE(a_leader_whose_disk_is_stuck_is_replaced, ThreeVoters) {
  FleetVoter& leader = Elect();
  BOOST_REQUIRE(Replace(leader, 1));
  wire::FleetCommand command;
  command.mutable_set_domain()->set_domain("d");
  HoldWrites(leader, true);
  leader.Propose(command, Millis(900), [](ProposalResult) {});
  Pass(2500);
  BOOST_TEST(!leader.IsConfirmedLeader());
  BOOST_TEST(Leaders() == 1);
}

BOOST_FIXTURE_TEST_CASE(a_leader_whose_disk_is_full_is_replaced, ThreeVoters) {
  FleetVoter& leader = Elect();
  BOOST_REQUIRE(Replace(leader, 1));
  SetFull(leader, true);
  wire::FleetCommand command;
  command.mutable_set_domain()->set_domain("d");
  leader.Propose(command, Millis(900), [](ProposalResult) {});
  Pass(2500);
  BOOST_TEST(!leader.IsConfirmedLeader());
  BOOST_TEST(Leaders() == 1);
}

// Guards against a change that is lost although it was acknowledged: a voter
// that started on a full disk confirmed records that had never been synced.
BOOST_FIXTURE_TEST_CASE(a_voter_that_starts_is_silent_until_its_disk_is_written,
                        ThreeVoters) {
  BOOST_REQUIRE(Replace(Elect(), 1));
  const HostId host = RestartFollower();
  Pass(1000);
  BOOST_TEST(MessagesOf(host) == 0);
  ReleaseWrites(host);
  Pass(1000);
  BOOST_TEST(MessagesOf(host) > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
