#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <set>

#include "endivecart/fleet/fleet.h"
#include "fakes.h"

namespace endivecart::fleet {
namespace {

using control::MemberId;

constexpr int kHosts = 3;
constexpr int kStepMillis = 10;
constexpr int kSteps = 4000;
constexpr std::uint64_t kSeeds = 60;
// Time for an election, a second one after a split vote, and delayed messages.
constexpr std::int64_t kStableMillis = 2500;

HostId HostAt(int i) {
  return HostId("h" + std::to_string(i));
}

// Three voters with a lossy network and with disks that crash, fill up, turn
// slow or are lost, while operators write versions and read them back. Each new
// leader is asked for a read and a write at once.
class FleetRun {
 public:
  explicit FleetRun(std::uint64_t seed) : dice_(seed), network_(dice_) {
    for (int i = 0; i < kHosts; ++i) {
      nodes_.emplace_back();
      nodes_.back().host = HostAt(i);
      nodes_.back().disk =
          std::make_unique<soak::FakeDisk>(dice_, control::kFounderIdentity);
      Start(nodes_.back());
    }
    network_.SetLossy(0.03, 0.02, 20);
  }

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      now_ms_ += kStepMillis;
      if (step % 10 == 0)
        InjectFault();
      if (dice_.Chance(0.05))
        Propose();
      if (dice_.Chance(0.05))
        Read();
      Step();
      CheckAtMostOneLeader();
      CheckMajorityHasLeader();
    }
    HealAndSettle();
    Read();
    const std::uint64_t before = acked_;
    for (int step = 0; step < 400; ++step) {
      now_ms_ += kStepMillis;
      Step();
      if (step % 100 == 50)
        Propose();
    }
    BOOST_TEST(acked_ > before);  // the fleet recovered
  }

  int acks() const { return acks_; }
  int stable_periods() const { return stable_periods_; }
  int confirmed_reads() const { return confirmed_reads_; }

 private:
  struct Node {
    HostId host;
    std::unique_ptr<soak::FakeDisk> disk;
    std::unique_ptr<FleetVoter> voter;
    std::int64_t starts_at = 0;  // if the node is down
    bool lost_disk = false;
    bool disk_full = false;
    bool disk_slow = false;
    bool was_leader = false;
    std::uint64_t newest_seen = 0;  // version, by this incarnation
    std::deque<std::pair<std::function<DiskResult()>,
                         std::function<void(const DiskResult&)>>>
        jobs;
  };

  TimePoint Now() const { return TimePoint(Millis(1000000 + now_ms_)); }

  void Start(Node& node) {
    FleetVoterOptions options;
    options.member = control::MakeMemberId(node.host, node.disk->identity());
    options.is_founder = node.disk->identity() == control::kFounderIdentity;
    for (int i = 0; i < kHosts; ++i)
      options.founders.push_back(HostAt(i));
    options.seed = static_cast<std::uint64_t>(dice_.Below(1000000));
    options.compact_entries = 20;
    FleetVoter::Hooks hooks;
    hooks.send = [this, host = node.host](const HostId& to,
                                          wire::Envelope envelope) {
      network_.Send(host, to, std::move(envelope), now_ms_);
    };
    hooks.run_on_disk = [&node](auto job, auto done) {
      node.jobs.emplace_back(std::move(job), std::move(done));
    };
    hooks.on_decisions = [&node](const Decisions& decisions) {
      BOOST_TEST(decisions.routing_version >= node.newest_seen);
      node.newest_seen = decisions.routing_version;
    };
    hooks.on_disk_failure = [](const control::StorageError&) {};
    hooks.now = [this] { return Now(); };
    node.newest_seen = 0;
    node.was_leader = false;
    node.jobs.clear();
    node.voter = std::make_unique<FleetVoter>(options, node.disk.get(),
                                              std::move(hooks));
  }

  void Stop(Node& node, int down_ms) {
    node.voter.reset();
    node.jobs.clear();
    node.starts_at = now_ms_ + down_ms;
  }

  bool DiskLossAllowed() const {
    for (const Node& node : nodes_) {
      if (!node.voter || node.lost_disk)
        return false;
    }
    return true;
  }

  void InjectFault() {
    if (!dice_.Chance(0.08))
      return;
    undisturbed_since_ms_ = now_ms_;
    Node& node = nodes_[static_cast<std::size_t>(dice_.Below(kHosts))];
    switch (dice_.Below(8)) {
      case 0:
        network_.Isolate(node.host);
        isolated_.insert(node.host);
        break;
      case 1:
      case 2:
        network_.Heal();
        isolated_.clear();
        break;
      case 3:
        if (node.voter)
          Stop(node, 100 + dice_.Below(2000));
        break;
      case 4:
        for (Node& each : nodes_) {
          if (each.voter)
            Stop(each, 100 + dice_.Below(500));
        }
        break;
      case 5:
        node.disk_full = dice_.Chance(0.5);
        node.disk->SetFull(node.disk_full);
        break;
      case 7:
        node.disk_slow = dice_.Chance(0.5);
        break;
      case 6:
        // One disk at a time: its member must be replaced before another is
        // lost.
        if (DiskLossAllowed()) {
          Stop(node, 100 + dice_.Below(500));
          node.disk = std::make_unique<soak::FakeDisk>(
              dice_, "again" + std::to_string(++identities_));
          node.disk_full = false;
          node.lost_disk = true;
        }
        break;
    }
  }

  // At most one process at a time may be the confirmed leader. Orders and
  // cache updates rely on this.
  void CheckAtMostOneLeader() {
    const auto leaders =
        std::count_if(nodes_.begin(), nodes_.end(), [](const Node& node) {
          return node.voter && node.voter->IsConfirmedLeader();
        });
    BOOST_TEST(leaders <= 1, "at " << now_ms_ << " ms " << leaders
                                   << " processes are confirmed leaders");
  }

  // Whenever a majority of the voters has been healthy, connected and
  // undisturbed for kStableMillis, one of them must be the confirmed leader. A
  // host with a slow disk may lead too, and lose leadership at each slow write.
  void CheckMajorityHasLeader() {
    int healthy = 0;
    bool in_repair = false;
    bool leads = false;
    for (const Node& node : nodes_) {
      const bool is_healthy = node.voter && !node.disk_full &&
                              !node.disk_slow && !isolated_.contains(node.host);
      healthy += is_healthy && !node.lost_disk ? 1 : 0;
      // Until the former member is removed there are four voters, one of them
      // lost for good, so all others are required for a quorum.
      in_repair = in_repair || (node.lost_disk && !is_healthy);
      leads = leads || (is_healthy && node.voter->IsConfirmedLeader());
      if (!node.voter || node.disk_slow)
        undisturbed_since_ms_ = now_ms_;
    }
    if (healthy < 2 || in_repair) {
      undisturbed_since_ms_ = now_ms_;
      return;
    }
    if (now_ms_ - undisturbed_since_ms_ != kStableMillis)
      return;
    ++stable_periods_;
    BOOST_TEST(leads, "at " << now_ms_ << " ms there is no confirmed leader");
  }

  void HealAndSettle() {
    network_.Heal();
    network_.SetLossy(0, 0, 2);
    for (Node& node : nodes_) {
      node.disk->SetFull(false);
      node.disk_slow = false;
      node.starts_at = std::min(node.starts_at, now_ms_);
    }
    for (int step = 0; step < 1500; ++step) {
      now_ms_ += kStepMillis;
      Step();
    }
  }

  void Step() {
    for (Node& node : nodes_) {
      if (!node.voter && now_ms_ >= node.starts_at)
        Start(node);
      if (!node.voter)
        continue;
      if (!node.jobs.empty() && dice_.Chance(node.disk_slow ? 0.05 : 0.7)) {
        const auto job = std::move(node.jobs.front());
        node.jobs.pop_front();
        job.second(job.first());
      }
      node.voter->Tick();
      if (!std::exchange(node.was_leader, node.voter->IsLeader()) &&
          node.was_leader) {
        ReadAt(node);
        Propose();
      }
      // Stands in for followers' polls, through which members learn of each
      // other.
      for (Node& other : nodes_) {
        if (other.voter && dice_.Chance(0.05))
          other.voter->OnMember(
              control::MakeMemberId(node.host, node.disk->identity()));
      }
      if (node.lost_disk && IsVoter(node))
        node.lost_disk = false;
    }
    for (auto& [to, envelope] : network_.Deliver(now_ms_)) {
      for (Node& node : nodes_) {
        if (node.host == to && node.voter)
          node.voter->OnRaft(HostId(envelope.from()), envelope.raft());
      }
    }
  }

  // Returns whether a committed change made the node's new member one of the
  // voters, in place of its former member.
  bool IsVoter(const Node& node) const {
    const MemberId member =
        control::MakeMemberId(node.host, node.disk->identity());
    for (const Node& other : nodes_) {
      if (!other.voter || !other.voter->IsLeader())
        continue;
      const control::RaftCore& core = other.voter->core();
      const auto voters = core.VotersAt(core.commit_index()).voters();
      if (voters.size() == kHosts && core.MatchIndexOf(member) > 0 &&
          std::find(voters.begin(), voters.end(), member.str()) !=
              voters.end()) {
        return true;
      }
    }
    return false;
  }

  void Propose() {
    const std::uint64_t version = ++proposed_;
    wire::FleetCommand command;
    command.mutable_replace_routing()->set_version(version);
    command.mutable_replace_routing()->set_document(std::to_string(version));
    // Several nodes may consider themselves the leader for a while.
    for (Node& node : nodes_) {
      if (!node.voter || !node.voter->IsLeader())
        continue;
      node.voter->Propose(command, Millis(900),
                          [this, version](ProposalResult result) {
                            if (result != ProposalResult::kDecided)
                              return;
                            acked_ = std::max(acked_, version);
                            ++acks_;
                          });
    }
  }

  void Read() {
    Node& node = nodes_[static_cast<std::size_t>(dice_.Below(kHosts))];
    if (node.voter && node.voter->IsLeader())
      ReadAt(node);
  }

  void ReadAt(Node& node) {
    const std::uint64_t expected = acked_;
    FleetVoter* const voter = node.voter.get();
    voter->Confirm(Millis(900), [this, voter, expected](bool confirmed) {
      if (!confirmed)
        return;
      ++confirmed_reads_;
      BOOST_TEST(voter->decisions().routing_version >= expected);
    });
  }

  soak::RandomSource dice_;
  soak::FakeNetwork network_;
  std::int64_t now_ms_ = 0;
  std::deque<Node> nodes_;
  std::uint64_t proposed_ = 0;
  std::uint64_t acked_ = 0;
  int acks_ = 0;
  int confirmed_reads_ = 0;
  int identities_ = 0;
  std::set<HostId> isolated_;
  std::int64_t undisturbed_since_ms_ = 0;
  int stable_periods_ = 0;
};

BOOST_AUTO_TEST_SUITE(fleet_random_run, *boost::unit_test::label("fleet"))

BOOST_AUTO_TEST_CASE(
    no_acknowledged_change_is_lost_and_every_stable_majority_has_a_leader) {
  int acks = 0;
  int stable_periods = 0;
  int confirmed_reads = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      FleetRun run(seed);
      run.Run();
      BOOST_TEST(run.acks() > 0);
      acks += run.acks();
      stable_periods += run.stable_periods();
      confirmed_reads += run.confirmed_reads();
    }
  }
  // The checks above are meaningful only if enough happened.
  BOOST_TEST(acks > static_cast<int>(kSeeds) * 10);
  BOOST_TEST(stable_periods > static_cast<int>(kSeeds));
  BOOST_TEST(confirmed_reads > static_cast<int>(kSeeds) * 10);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
