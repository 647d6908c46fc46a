#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>

#include "endivecart/fleet/fleet.h"
#include "fakes.h"

namespace endivecart::fleet {
namespace {

constexpr int kVoters = 3;
constexpr int kCallers = 4;
constexpr std::uint64_t kParts = 20;
constexpr Millis kStep{10};
constexpr int kSteps = 12000;
constexpr Millis kLifetime{6000};
constexpr Millis kPollInterval{250};
constexpr std::uint64_t kSeeds = 30;

// Three voters whose leader grants saves through the replicated log, while
// single processes, all of them, or the leader between a grant and its commit
// are killed (only synced records survive), disks fill up and answers are lost.
// The store never shows any part, so that a part may be saved once its last
// save has ended. Checked: no two saves of a part may begin at the same time.
class SaveRun {
 public:
  explicit SaveRun(std::uint64_t seed) : dice_(seed), network_(dice_) {
    timers_.Advance(Millis(1'000'000));
    for (int i = 0; i < kVoters; ++i) {
      Node& node = nodes_.emplace_back();
      node.host = HostId("h" + std::to_string(i));
      node.disk =
          std::make_unique<soak::FakeDisk>(dice_, control::kFounderIdentity);
      Start(node);
    }
    for (int i = 0; i < kCallers; ++i) {
      callers_.emplace_back().host = HostId("e" + std::to_string(i));
      Restart(callers_.back());
    }
    network_.SetLossy(0.01, 0.01, 10);
  }

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      timers_.Advance(kStep);
      if (dice_.Chance(0.0008))
        InjectFault();
      RunLater();
      for (const auto& delivery : network_.Deliver(NowMillis()))
        Deliver(delivery.first, delivery.second);
      for (Node& node : nodes_)
        StepNode(node);
      for (Caller& caller : callers_)
        StepCaller(caller);
    }
  }

  int saves = 0;
  int overlaps = 0;
  // Within the time for which a leader without a log would grant nothing.
  int saves_soon_after_restart = 0;
  std::size_t most_logged = 0;

 private:
  struct Node {
    HostId host;
    std::unique_ptr<soak::FakeDisk> disk;
    std::unique_ptr<FleetVoter> voter;
    std::unique_ptr<CacheCatalog> catalog;
    std::unique_ptr<CacheSaveBatches> batches;
    std::uint64_t term = 0;  // as the leader
    TimePoint starts_at{};
    bool disk_full = false;
    std::deque<std::pair<std::function<DiskResult()>,
                         std::function<void(const DiskResult&)>>>
        jobs;
  };
  struct Caller {
    HostId host;
    std::uint64_t incarnation = 0;
    std::uint64_t claims = 0;
    std::uint64_t term = 0;
    TimePoint poll_due{};
    std::map<std::uint64_t, std::pair<TimePoint, std::uint64_t>> claimed;
    std::map<std::uint64_t, std::pair<TimePoint, std::uint64_t>> outstanding;
  };

  TimePoint Now() const { return timers_.Now(); }
  std::int64_t NowMillis() const {
    return std::chrono::duration_cast<Millis>(Now().time_since_epoch()).count();
  }
  Millis Below(int millis) { return Millis(dice_.Below(millis)); }
  void After(Millis delay, std::function<void()> action) {
    later_.emplace(Now() + delay, std::move(action));
  }
  void RunLater() {
    while (!later_.empty() && later_.begin()->first <= Now()) {
      const auto action = std::move(later_.begin()->second);
      later_.erase(later_.begin());
      action();
    }
  }

  void Start(Node& node) {
    node.catalog = std::make_unique<CacheCatalog>();
    routes::CacheStore store;
    store.address = store_;
    store.cache_tokens = 1'000'000;
    node.catalog->SetStores({store});
    node.catalog->SetRequestLimit(kLifetime);
    node.catalog->StartWatchingPolls(false, Now());
    node.term = 0;
    node.batches = std::make_unique<CacheSaveBatches>(*node.catalog, timers_,
                                                      SaveHooks(node));
    FleetVoterOptions options;
    options.member = control::MakeMemberId(node.host, node.disk->identity());
    options.is_founder = true;
    for (int i = 0; i < kVoters; ++i)
      options.founders.push_back(HostId("h" + std::to_string(i)));
    options.seed = static_cast<std::uint64_t>(dice_.Below(1000000));
    options.compact_entries = 20;
    FleetVoter::Hooks hooks;
    hooks.send = [this, host = node.host](const HostId& to,
                                          wire::Envelope envelope) {
      network_.Send(host, to, std::move(envelope), NowMillis());
    };
    hooks.run_on_disk = [&node](auto job, auto done) {
      node.jobs.emplace_back(std::move(job), std::move(done));
    };
    hooks.on_decisions = [](const Decisions&) {};
    hooks.on_disk_failure = [](const control::StorageError&) {};
    hooks.now = [this] { return Now(); };
    node.voter = std::make_unique<FleetVoter>(options, node.disk.get(),
                                              std::move(hooks));
  }
  CacheSaveBatches::Hooks SaveHooks(Node& node) {
    CacheSaveBatches::Hooks hooks;
    hooks.propose = [this, &node](const wire::FleetCommand& command,
                                  std::function<void(bool)> done) {
      if (dice_.Chance(0.01))
        After(Below(30), [this] { RestartAll(); });
      node.voter->Propose(command, Millis(900),
                          [done = std::move(done)](ProposalResult result) {
                            done(result == ProposalResult::kDecided);
                          });
    };
    hooks.answer = [this](const HostId& host,
                          const wire::CacheSaveGrant& grant) {
      if (dice_.Chance(0.1))
        return;
      After(Below(50), [this, host, grant] { OnGrant(host, grant); });
    };
    return hooks;
  }
  // Loses what isn't on the disk.
  void Kill(Node& node) {
    node.batches.reset();
    node.voter.reset();
    node.catalog.reset();
    node.jobs.clear();
    node.starts_at = Now() + Below(1000);
  }
  void Restart(Caller& caller) {
    caller.incarnation = static_cast<std::uint64_t>(dice_.Below(1 << 30)) << 33;
    caller.claims = 0;
    caller.term = 0;
    caller.claimed.clear();
    caller.outstanding.clear();
  }

  void InjectFault() {
    Node& node = nodes_[static_cast<std::size_t>(dice_.Below(kVoters))];
    switch (dice_.Below(5)) {
      case 0:
        if (node.voter)
          Kill(node);
        break;
      case 1:
        node.disk_full = !node.disk_full;
        node.disk->SetFull(node.disk_full);
        break;
      case 2:
        network_.Isolate(node.host);
        After(Millis(500) + Below(1500), [this] { network_.Heal(); });
        break;
      default:
        RestartAll();
    }
  }
  void RestartAll() {
    restarted_at_ = Now();
    for (Node& each : nodes_) {
      each.disk_full = false;
      each.disk->SetFull(false);
      if (each.voter)
        Kill(each);
    }
    for (Caller& caller : callers_)
      Restart(caller);
  }

  void Deliver(const HostId& to, const wire::Envelope& envelope) {
    for (Node& node : nodes_) {
      if (node.host == to && node.voter)
        node.voter->OnRaft(HostId(envelope.from()), envelope.raft());
    }
  }
  void StepNode(Node& node) {
    if (!node.voter && Now() >= node.starts_at)
      Start(node);
    if (!node.voter)
      return;
    if (!node.jobs.empty() && dice_.Chance(0.7)) {
      const auto job = std::move(node.jobs.front());
      node.jobs.pop_front();
      job.second(job.first());
    }
    node.voter->Tick();
    most_logged = std::max(most_logged, node.voter->save_grants().size());
    if (!node.voter->IsConfirmedLeader()) {
      if (node.voter->term() != node.term && std::exchange(node.term, 0) != 0) {
        node.catalog->OnLeadershipLost();
        node.batches->OnLeadershipLost();
      }
      return;
    }
    if (node.term != node.voter->term()) {
      node.term = node.voter->term();
      const SaveGrantLog& log = node.voter->save_grants();
      const bool is_complete =
          log.newest_term() == node.term && log.IsComplete();
      const auto logged = log.Saves();
      node.catalog->OnLeadershipGained(node.term, Now(), true,
                                       is_complete ? &logged : nullptr);
      node.batches->OnLeadershipGained(is_complete);
    }
    node.batches->Tick();
    for (const CacheRead& read : node.catalog->NextReads(Now())) {
      if (read.is_list) {
        node.catalog->OnList(read.store, {1, 1, {}, {}}, Now());
      } else {
        node.catalog->OnEvents(read.store, {1, 1, false, {}, 0}, Now());
      }
    }
  }
  Node* Leader() {
    const auto leader =
        std::find_if(nodes_.begin(), nodes_.end(), [](const Node& node) {
          return node.voter && node.term != 0 &&
                 node.voter->IsConfirmedLeader() &&
                 node.voter->term() == node.term;
        });
    return leader == nodes_.end() ? nullptr : &*leader;
  }

  void StepCaller(Caller& caller) {
    Node* const leader = Leader();
    if (leader == nullptr)
      return;
    if (Now() >= caller.poll_due) {
      caller.poll_due = Now() + kPollInterval;
      Poll(caller, *leader);
    }
    if (caller.term == leader->term && dice_.Chance(0.1))
      Claim(caller, *leader);
  }
  void Poll(Caller& caller, Node& leader) {
    wire::FleetPoll poll;
    poll.set_incarnation(caller.incarnation);
    poll.set_cache_term(caller.term);
    poll.set_wants_loads(true);
    std::erase_if(caller.outstanding, [this](const auto& entry) {
      return entry.second.first <= Now();
    });
    for (const auto& [number, save] : caller.outstanding) {
      wire::CacheSaveRecord& record = *poll.add_saves();
      record = RecordOf(number, save.second);
      record.set_ends_in_ms(static_cast<std::uint32_t>(
          std::chrono::duration_cast<Millis>(save.first - Now()).count()));
    }
    for (Node& node : nodes_) {
      if (node.voter)
        node.catalog->OnPoll(caller.host, poll, Now());
    }
    caller.term = leader.term;
  }
  wire::CacheSaveRecord RecordOf(std::uint64_t number,
                                 std::uint64_t part) const {
    wire::CacheSaveRecord record;
    record.set_key(part);
    record.set_store(CacheStoreKey(store_));
    record.set_claim(number);
    return record;
  }
  void Claim(Caller& caller, Node& leader) {
    const std::uint64_t number = caller.incarnation + ++caller.claims;
    const auto part = static_cast<std::uint64_t>(dice_.Below(kParts));
    wire::CacheSaveClaim claim;
    claim.set_term(caller.term);
    claim.set_number(number);
    claim.set_lifetime_ms(static_cast<std::uint32_t>(kLifetime.count()));
    claim.add_parts()->set_key(part);
    caller.claimed[number] = {Now(), part};
    leader.batches->OnClaim(caller.host, claim);
  }
  void OnGrant(const HostId& host, const wire::CacheSaveGrant& grant) {
    Caller& caller =
        *std::find_if(callers_.begin(), callers_.end(),
                      [&](const Caller& c) { return c.host == host; });
    const auto claimed = caller.claimed.find(grant.number());
    if (claimed == caller.claimed.end())
      return;  // of an earlier run
    const auto [claimed_at, part] = claimed->second;
    caller.claimed.erase(claimed);
    if (grant.parts().empty())
      return;
    if (grant.term() != caller.term ||
        Now() - claimed_at > CacheSaveLedger::kClaimWait) {
      Release(host, RecordOf(grant.number(), part), false);
      return;
    }
    Begin(caller, grant.number(), part, claimed_at);
  }
  void Begin(Caller& caller,
             std::uint64_t number,
             std::uint64_t part,
             TimePoint claimed_at) {
    ++saves;
    if (Now() - restarted_at_ < CacheSaveLedger::GrantTime(kLifetime))
      ++saves_soon_after_restart;
    TimePoint& ends_at = may_begin_until_[part];
    overlaps += Now() < ends_at ? 1 : 0;
    ends_at = claimed_at + kLifetime + CacheSaveLedger::kTransferWait;
    caller.outstanding[number] = {
        claimed_at + CacheSaveLedger::GrantTime(kLifetime), part};
    if (dice_.Chance(0.3))
      return;  // never ends before its time limit
    After(Millis(100) + Below(3000), [this, &caller, number, part] {
      const auto it = caller.outstanding.find(number);
      if (it == caller.outstanding.end())
        return;
      it->second.first = Now() + CacheSaveLedger::kTransferWait;
      may_begin_until_[part] = it->second.first;
      if (dice_.Chance(0.9))
        Release(caller.host, RecordOf(number, part), true);
    });
  }
  void Release(const HostId& host,
               const wire::CacheSaveRecord& save,
               bool was_sent) {
    wire::CacheSaveRelease release;
    *release.add_saves() = save;
    release.set_was_sent(was_sent);
    if (Node* const leader = Leader())
      leader->catalog->OnSaveRelease(host, release, Now());
  }

  const settings::Endpoint store_{"10.0.0.1", 80};
  soak::RandomSource dice_;
  soak::FakeNetwork network_;
  ManualTimerService timers_;
  std::deque<Node> nodes_;
  std::deque<Caller> callers_;
  std::multimap<TimePoint, std::function<void()>> later_;
  std::map<std::uint64_t, TimePoint> may_begin_until_;  // by part
  TimePoint restarted_at_{};
};

BOOST_AUTO_TEST_SUITE(fleet_save_random_run, *boost::unit_test::label("fleet"))

// Guards against MIXED: a leader that doesn't know a save of an earlier one
// grants another one of the same part.
BOOST_AUTO_TEST_CASE(no_part_has_two_saves_whatever_restarts) {
  int soon = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      SaveRun run(seed);
      run.Run();
      BOOST_TEST_MESSAGE("saves " << run.saves << ", soon after a restart "
                                  << run.saves_soon_after_restart
                                  << ", most in the log " << run.most_logged);
      BOOST_TEST(run.overlaps == 0);
      BOOST_TEST(run.saves > 10);
      // Each part is there once, ended or not.
      BOOST_TEST(run.most_logged <= kParts);
      soon += run.saves_soon_after_restart;
    }
  }
  BOOST_TEST(soon > static_cast<int>(kSeeds));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
