#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <deque>
#include <memory>

#include "endivecart/fleet/fleet.h"
#include "fakes.h"
#include "support/temporary_folder.h"

namespace endivecart::fleet {
namespace {

constexpr int kHosts = 3;
constexpr int kStepMillis = 10;
constexpr int kPeriods = 6;
constexpr std::uint64_t kSeeds = 30;
constexpr std::int64_t kRestartMillis = 300;
// Time for two elections, of which the first ends in a split vote.
constexpr std::int64_t kSettleMillis = 3000;
constexpr Millis kCallTimeout{900};

// Three voters with data folders on disks that are full one after another,
// never two at once, from the middle of any write on. Operators write versions
// and read them back. Single processes are killed meanwhile.
class FullDisksRun {
 public:
  explicit FullDisksRun(std::uint64_t seed) : dice_(seed), network_(dice_) {
    for (int i = 0; i < kHosts; ++i) {
      nodes_.emplace_back();
      nodes_.back().host = HostAt(i);
      Start(nodes_.back());
    }
    network_.SetLossy(0.01, 0.01, 10);
  }

  void Run() {
    Pass(kSettleMillis);
    for (int period = 0; period < kPeriods; ++period) {
      Node& node = NextToFill(period);
      node.calls_until_full = dice_.Below(12);
      node.refuses_truncation = dice_.Chance(0.5);
      const bool kills = dice_.Chance(0.3);
      Pass(1000 + dice_.Below(3000));
      if (kills)
        Stop(node);
      node.calls_until_full = -1;
      // The next disk is full before this one has caught up.
      Pass(dice_.Below(200));
    }
    CheckChangesAreAcknowledged();
    for (Node& node : nodes_)
      Stop(node);
    CheckChangesAreAcknowledged();
    CheckAllAgree();
  }

  int acks() const { return acks_; }
  int confirmed_reads() const { return confirmed_reads_; }
  int refusals() const { return refusals_; }

 private:
  struct Node {
    HostId host;
    TemporaryFolder folder;
    std::unique_ptr<control::DataFolder> storage;
    std::unique_ptr<FleetVoter> voter;
    int calls_until_full = -1;  // -1 if there is room
    bool refuses_truncation = false;
    bool disk_failed = false;
    std::int64_t starts_at = 0;
    std::deque<std::pair<std::function<DiskResult()>,
                         std::function<void(const DiskResult&)>>>
        jobs;
  };

  static HostId HostAt(int i) { return HostId("h" + std::to_string(i)); }

  TimePoint Now() const { return TimePoint(Millis(1000000 + now_ms_)); }

  bool IsFull(Node& node) {
    if (node.calls_until_full > 0)
      --node.calls_until_full;
    if (node.calls_until_full != 0)
      return false;
    ++refusals_;
    errno = ENOSPC;
    return true;
  }

  control::FileCalls CallsOf(Node& node) {
    control::FileCalls calls;
    calls.write = [this, &node](int file, const void* data, std::size_t size) {
      if (!IsFull(node))
        return ::write(file, data, size);
      const auto fits = static_cast<std::size_t>(dice_.Below(2)) * (size / 2);
      if (fits > 0)
        return ::write(file, data, fits);
      errno = ENOSPC;
      return ssize_t{-1};
    };
    const auto sync = [this, &node](int) { return IsFull(node) ? -1 : 0; };
    calls.sync_data = sync;
    calls.sync_file = sync;
    calls.sync_folder = sync;
    calls.truncate = [this, &node](int file, off_t size) {
      return node.refuses_truncation && IsFull(node) ? -1
                                                     : ::ftruncate(file, size);
    };
    calls.rename = [this, &node](const char* from, const char* to) {
      return IsFull(node) ? -1 : std::rename(from, to);
    };
    return calls;
  }

  void Start(Node& node) {
    auto opened = control::DataFolder::Open(node.folder.str(), node.host, true,
                                            CallsOf(node));
    if (!opened) {
      node.starts_at = now_ms_ + kRestartMillis;
      return;
    }
    node.storage = std::move(*opened);
    FleetVoterOptions options;
    options.member = node.storage->member();
    options.is_founder = true;
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
    hooks.on_decisions = [](const Decisions&) {};
    hooks.on_disk_failure = [&node](const control::StorageError& error) {
      BOOST_ERROR(node.host.str() << " ends: " << error.detail);
      node.disk_failed = true;
    };
    hooks.now = [this] { return Now(); };
    node.voter = std::make_unique<FleetVoter>(options, node.storage.get(),
                                              std::move(hooks));
  }

  void Stop(Node& node) {
    node.voter.reset();
    node.storage.reset();
    node.jobs.clear();
    node.disk_failed = false;
    node.starts_at = now_ms_ + kRestartMillis;
  }

  Node& NextToFill(int period) {
    if (dice_.Chance(0.5)) {
      for (Node& node : nodes_) {
        if (node.voter && node.voter->IsLeader())
          return node;
      }
    }
    return nodes_[static_cast<std::size_t>(period % kHosts)];
  }

  void Pass(std::int64_t millis) {
    const std::int64_t end = now_ms_ + millis;
    while (now_ms_ < end) {
      now_ms_ += kStepMillis;
      if (dice_.Chance(0.1))
        Propose();
      if (dice_.Chance(0.05))
        Read();
      Step();
    }
  }

  void Step() {
    for (Node& node : nodes_) {
      if (!node.voter && now_ms_ >= node.starts_at)
        Start(node);
      if (!node.voter)
        continue;
      if (!node.jobs.empty() && dice_.Chance(0.7)) {
        const auto job = std::move(node.jobs.front());
        node.jobs.pop_front();
        job.second(job.first());
      }
      if (node.disk_failed) {
        Stop(node);
        continue;
      }
      node.voter->Tick();
      for (Node& other : nodes_) {
        if (other.voter && dice_.Chance(0.05))
          other.voter->OnMember(
              control::MakeMemberId(node.host, control::kFounderIdentity));
      }
    }
    for (auto& [to, envelope] : network_.Deliver(now_ms_)) {
      for (Node& node : nodes_) {
        if (node.host == to && node.voter)
          node.voter->OnRaft(HostId(envelope.from()), envelope.raft());
      }
    }
  }

  void Propose() {
    const std::uint64_t version = ++proposed_;
    wire::FleetCommand command;
    command.mutable_replace_routing()->set_version(version);
    command.mutable_replace_routing()->set_document(std::string(
        static_cast<std::size_t>(dice_.Chance(0.1) ? 50000 : 10), 'x'));
    for (Node& node : nodes_) {
      if (!node.voter || !node.voter->IsLeader())
        continue;
      node.voter->Propose(command, kCallTimeout,
                          [this, version](ProposalResult result) {
                            if (result != ProposalResult::kDecided)
                              return;
                            acked_ = std::max(acked_, version);
                            ++acks_;
                          });
    }
  }

  void Read() {
    for (Node& node : nodes_) {
      if (!node.voter || !node.voter->IsLeader())
        continue;
      FleetVoter* const voter = node.voter.get();
      voter->Confirm(
          kCallTimeout, [this, voter, expected = acked_](bool confirmed) {
            if (!confirmed)
              return;
            ++confirmed_reads_;
            BOOST_TEST(voter->decisions().routing_version >= expected);
          });
    }
  }

  void CheckChangesAreAcknowledged() {
    Pass(kSettleMillis);
    const int acks_before = acks_;
    const int reads_before = confirmed_reads_;
    Pass(2000);
    BOOST_TEST(acks_ > acks_before);
    BOOST_TEST(confirmed_reads_ > reads_before);
  }

  // Each voter has all acknowledged changes, so that another disk may be lost.
  void CheckAllAgree() {
    for (const Node& node : nodes_) {
      BOOST_REQUIRE(node.voter);
      const auto& decisions = node.voter->decisions();
      BOOST_TEST(decisions.routing_version + 20 >= acked_);
      BOOST_TEST(acked_ > 0u);
    }
  }

  soak::RandomSource dice_;
  soak::FakeNetwork network_;
  std::int64_t now_ms_ = 0;
  std::deque<Node> nodes_;
  std::uint64_t proposed_ = 0;
  std::uint64_t acked_ = 0;
  int acks_ = 0;
  int confirmed_reads_ = 0;
  int refusals_ = 0;
};

BOOST_AUTO_TEST_SUITE(disks_full, *boost::unit_test::label("fleet"))

// Guards against voters that stay unusable, end, or lose acknowledged changes
// after their disks were full.
BOOST_AUTO_TEST_CASE(
    changes_are_acknowledged_again_after_disks_were_full_in_turn) {
  int acks = 0;
  int confirmed_reads = 0;
  int refusals = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      FullDisksRun run(seed);
      run.Run();
      acks += run.acks();
      confirmed_reads += run.confirmed_reads();
      refusals += run.refusals();
    }
  }
  // The checks above are meaningful only if enough happened.
  BOOST_TEST(acks > static_cast<int>(kSeeds) * 30);
  BOOST_TEST(confirmed_reads > static_cast<int>(kSeeds) * 10);
  BOOST_TEST(refusals > static_cast<int>(kSeeds) * 10);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
