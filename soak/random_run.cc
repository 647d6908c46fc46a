#include "random_run.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>

#include "endivecart/membership/membership.h"
#include "fakes.h"

namespace soak {

namespace {

using namespace endivecart;  // NOLINT(google-build-using-namespace)

constexpr std::int64_t kStepMs = 10;
constexpr int kUpstreamSlots = 5;
constexpr std::int64_t kFreshnessMs = 3000;
constexpr double kMaxClockDrift =
    0.01;  // relative deviation of a host's clock rate
constexpr std::int64_t kSettleTimeMs =
    20000;  // time to converge after the last fault
constexpr char kUpstream[] = "upstream:a-u1";
const char kFirstDocument[] =
    R"({"classes":{"c":{"deadline_ms":1000}},"models":{"m":{"version":"v1"}}})";

// What the run has observed, against which the hosts are checked.
struct ExpectedState {
  std::map<Revision, std::string> change_at;     // change id by revision
  std::map<Revision, std::int64_t> accepted_ms;  // first seen, by revision
  std::map<Revision, std::string> document_at;   // by revision
  std::map<std::string, std::string>
      outcome_of;  // serialized outcome by change id
  std::map<std::string, std::string> dispatched;  // claim id by idempotency key
};

struct SimulatedHost {
  settings::HostEntry entry;
  std::unique_ptr<FakeDisk> disk;
  std::unique_ptr<control::ControlNode> node;
  std::unique_ptr<membership::SlotExchange> exchange;
  membership::SlotBorrower borrower;
  double clock_rate = 1;
  std::int64_t restart_at = 0;  // while the host is down
  std::int64_t frozen_until = 0;
  Revision revision = 0;          // newest published since the last start
  std::uint64_t incarnation = 0;  // number of starts
  bool was_leader = false;

  // Returns the host's clock at simulated time `ms`.
  TimePoint Now(std::int64_t ms) const {
    return TimePoint(std::chrono::microseconds(
        1000000 + static_cast<std::int64_t>(static_cast<double>(ms) * 1000 *
                                            clock_rate)));
  }
};

class Run {
 public:
  explicit Run(const RunOptions& options)
      : options_(options),
        random_source_(options.seed),
        network_(random_source_) {}

  RunReport Execute();

 private:
  void MakeHosts();
  void StartHost(SimulatedHost& host);
  void StopHost(SimulatedHost& host, std::int64_t down_ms);
  // Runs `work`; a simulated crash in it stops the host.
  void RunUnlessCrashed(SimulatedHost& host, const std::function<void()>& work);
  void RunStep();
  void Deliver();
  void TickHost(SimulatedHost& host);
  void InjectFaults();
  void InjectRandomFault();
  void RunWorkload();
  void ProposeChange();
  void ProposeClaim();
  void OnClaimed(SimulatedHost& host,
                 std::uint64_t incarnation,
                 const std::string& key,
                 const std::string& claim_id,
                 const std::optional<wire::Outcome>& outcome);
  void RepairVoters();
  void Announce();
  void UseSlots(SimulatedHost& host);
  void OnPublished(SimulatedHost& host,
                   const configuration::ConfigurationPtr& c);
  void RecordOutcome(const std::string& change_id,
                     const wire::Outcome& outcome);
  void Check();
  void CheckFreshness(const SimulatedHost& host);
  void CheckInForce(SimulatedHost& host);
  void CheckSlots();
  void CheckConvergence();
  void ReportViolation(const std::string& text);
  settings::HostSettings MakeSettings(const SimulatedHost& host) const;
  SimulatedHost& RandomHost() {
    return hosts_[static_cast<std::size_t>(
        random_source_.Below(static_cast<int>(hosts_.size())))];
  }

  const RunOptions options_;
  RandomSource random_source_;
  FakeNetwork network_;
  std::vector<SimulatedHost> hosts_;
  std::vector<settings::HostEntry> entries_;
  ExpectedState expected_;
  RunReport report_;
  std::int64_t now_ms_ = 0;
  bool faults_ended_ = false;
  std::uint64_t next_id_ = 1;
  std::vector<std::pair<std::string, wire::Command>> sent_changes_;
  std::map<std::string, membership::Upstream> upstreams_;
  Revision newest_in_force_ = 0;
};

void Run::ReportViolation(const std::string& text) {
  if (!report_.violation.empty())
    return;
  report_.violation = text;
}

void Run::MakeHosts() {
  for (const char* id : {"a1", "a2", "b1", "b2", "c1", "c2"}) {
    settings::HostEntry entry;
    entry.id = HostId(id);
    entry.domain = DomainId(std::string(1, id[0]));
    entry.voter = id[1] == '1';
    entries_.push_back(entry);
  }
  hosts_.resize(entries_.size());
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    hosts_[i].entry = entries_[i];
    hosts_[i].clock_rate =
        1 + kMaxClockDrift * (random_source_.Below(201) - 100) / 100.0;
    if (entries_[i].voter)
      hosts_[i].disk = std::make_unique<FakeDisk>(random_source_, "founder");
    StartHost(hosts_[i]);
  }
}

settings::HostSettings Run::MakeSettings(const SimulatedHost& host) const {
  settings::HostSettings settings;
  settings.host = host.entry.id;
  settings.domain = host.entry.domain;
  settings.hosts = entries_;
  return settings;
}

void Run::StartHost(SimulatedHost& host) {
  host.restart_at = 0;
  host.revision = 0;
  host.borrower = {};
  ++host.incarnation;
  SimulatedHost* const self = &host;
  membership::SlotExchange::Hooks exchange_hooks;
  exchange_hooks.send = [this, self](const HostId& to,
                                     wire::Envelope envelope) {
    network_.Send(self->entry.id, to, std::move(envelope), now_ms_);
  };
  exchange_hooks.demands = [this, self](bool) {
    return std::vector<membership::ResourceDemand>{
        {kUpstream, DomainId("a"),
         self->borrower.Demand(kUpstream, self->Now(now_ms_))}};
  };
  exchange_hooks.take_evidence = [](const HostId&) {
    return std::vector<membership::UpstreamEvidence>{};
  };
  exchange_hooks.on_grants = [self](const auto& grants) {
    for (const membership::ResourceGrant& grant : grants) {
      self->borrower.SetGrant(grant.resource, grant.slots, grant.valid_until,
                              grant.scarce);
    }
  };
  exchange_hooks.on_upstreams = [](const HostId&, const auto&) {};
  host.exchange = std::make_unique<membership::SlotExchange>(
      MakeSettings(host), std::move(exchange_hooks));
  control::ControlOptions options;
  options.self = host.entry.id;
  options.domain = host.entry.domain;
  options.hosts = entries_;
  options.seed = options_.seed * 100 +
                 static_cast<std::uint64_t>(random_source_.Below(1000000));
  options.compact_entries = 40;
  options.first_document = kFirstDocument;
  if (host.disk) {
    options.member =
        control::MakeMemberId(host.entry.id, host.disk->identity());
    options.is_founder = host.disk->identity() == "founder";
  }
  control::ControlNode::Hooks hooks;
  hooks.send = [this, self](const HostId& to, wire::Envelope envelope) {
    network_.Send(self->entry.id, to, std::move(envelope), now_ms_);
  };
  hooks.on_configuration = [this, self](const auto& configuration) {
    OnPublished(*self, configuration);
  };
  hooks.on_down_hosts = [this, self](const auto& down, std::uint64_t epoch) {
    self->exchange->SetDownHosts(down, epoch, self->Now(now_ms_));
  };
  hooks.unix_ms = [this] { return static_cast<std::uint64_t>(now_ms_) + 1; };
  hooks.on_disk_failure = [](const auto&) { throw SimulatedCrash{}; };
  RunUnlessCrashed(host, [&] {
    host.node = std::make_unique<control::ControlNode>(
        std::move(options), host.disk.get(), std::move(hooks),
        host.Now(now_ms_));
  });
}

void Run::StopHost(SimulatedHost& host, std::int64_t down_ms) {
  host.node.reset();
  host.exchange.reset();
  host.restart_at = now_ms_ + down_ms;
  ++report_.crashes;
}

void Run::RunUnlessCrashed(SimulatedHost& host,
                           const std::function<void()>& work) {
  try {
    work();
  } catch (const SimulatedCrash&) {
    StopHost(host, 200 + random_source_.Below(4000));
  }
}

void Run::OnPublished(SimulatedHost& host,
                      const configuration::ConfigurationPtr& c) {
  if (c->revision <= host.revision)
    ReportViolation(host.entry.id.str() + " reverted to revision " +
                    std::to_string(c->revision));
  host.revision = c->revision;
  const auto [it, added] =
      expected_.document_at.emplace(c->revision, c->document);
  if (!added && it->second != c->document)
    ReportViolation("two documents at revision " + std::to_string(c->revision));
  expected_.accepted_ms.emplace(c->revision, now_ms_);
}

void Run::TickHost(SimulatedHost& host) {
  const TimePoint now = host.Now(now_ms_);
  RunUnlessCrashed(host, [&] {
    host.node->Tick(now);
    host.exchange->SetFresh(host.node->IsFresh(now));
    host.exchange->Tick(now);
    if (host.node->IsLeader() && !host.was_leader)
      ++report_.leaders;
    host.was_leader = host.node->IsLeader();
  });
}

void Run::Deliver() {
  for (auto& [to, envelope] : network_.Deliver(now_ms_)) {
    const auto host = std::find_if(
        hosts_.begin(), hosts_.end(),
        [&, id = &to](const SimulatedHost& h) { return h.entry.id == *id; });
    if (!host->node || now_ms_ < host->frozen_until)
      continue;
    const TimePoint now = host->Now(now_ms_);
    const HostId from(envelope.from());
    RunUnlessCrashed(*host, [&, e = &envelope] {
      if (e->has_share_ask()) {
        host->exchange->OnAsk(from, e->share_ask(), now);
      } else if (e->has_share_reply()) {
        host->exchange->OnReply(from, e->share_reply(), now);
      } else {
        host->node->OnEnvelope(*e, now);
      }
    });
  }
}

void Run::InjectRandomFault() {
  SimulatedHost& host = RandomHost();
  switch (random_source_.Below(10)) {
    case 0:
    case 1:
      if (host.node)
        StopHost(host, 100 + random_source_.Below(6000));
      return;
    case 2:  // isolates one host
      network_.Isolate(host.entry.id);
      return;
    case 3: {  // partitions a failure domain
      std::set<HostId> group;
      for (const SimulatedHost& other : hosts_) {
        if (other.entry.domain == host.entry.domain)
          group.insert(other.entry.id);
      }
      network_.Partition(group);
      return;
    }
    case 4:
    case 5:
      network_.Heal();
      return;
    case 6:
      host.frozen_until = now_ms_ + 100 + random_source_.Below(5000);
      return;
    case 7:
      network_.SetLossy(
          random_source_.Below(30) / 100.0, random_source_.Below(20) / 100.0,
          2 + random_source_.Below(random_source_.Chance(0.2) ? 2000 : 60));
      return;
    case 8:
      if (host.disk)
        host.disk->SetFull(random_source_.Chance(0.3));
      return;
    default: {
      // A disk is lost only once the previous repair is complete: with two of
      // four voters' disks lost, no quorum has the log any more.
      const bool all_running =
          std::all_of(hosts_.begin(), hosts_.end(),
                      [](const SimulatedHost& h) { return !h.disk || h.node; });
      if (!host.disk || !all_running || !host.node ||
          !random_source_.Chance(0.5))
        return;
      const bool is_repaired = std::all_of(
          hosts_.begin(), hosts_.end(), [&](const SimulatedHost& h) {
            return !h.disk ||
                   (h.node->core()->IsVoter(h.node->core()->self()) &&
                    h.node->core()->voters().learners().empty() &&
                    h.node->core()->voters().voters_size() == 3);
          });
      if (!is_repaired)
        return;
      StopHost(host, 200 + random_source_.Below(2000));
      host.disk = std::make_unique<FakeDisk>(
          random_source_, "disk" + std::to_string(next_id_++));
      ++report_.lost_disks;
    }
  }
}

void Run::InjectFaults() {
  if (faults_ended_)
    return;
  if (random_source_.Chance(0.012))
    InjectRandomFault();
  for (SimulatedHost& host : hosts_) {
    if (host.disk)
      host.disk->SetCrashChance(0.0008);
  }
}

// Adds and promotes the new member of a voter whose disk was replaced and
// removes the old one, as an operator does.
void Run::RepairVoters() {
  for (SimulatedHost& leader : hosts_) {
    if (!leader.node || !leader.node->IsLeader() ||
        !random_source_.Chance(0.02))
      continue;
    const TimePoint now = leader.Now(now_ms_);
    RunUnlessCrashed(leader, [&] {
      const wire::VoterSet voters = leader.node->core()->voters();
      for (const std::string& learner : voters.learners())
        leader.node->ChangeVoters("promote", control::MemberId(learner), now);
      for (const SimulatedHost& host : hosts_) {
        if (!host.disk)
          continue;
        const control::MemberId current =
            control::MakeMemberId(host.entry.id, host.disk->identity());
        for (const std::string& voter : voters.voters()) {
          const control::MemberId listed(voter);
          if (control::HostOf(listed) == host.entry.id && listed != current &&
              leader.node->core()->IsVoter(current)) {
            leader.node->ChangeVoters("remove", listed, now);
          }
        }
        if (leader.node->LastSeenMember(host.entry.id) == current &&
            !leader.node->core()->IsVoter(current)) {
          leader.node->ChangeVoters("add", current, now);
        }
      }
    });
  }
}

void Run::RecordOutcome(const std::string& change_id,
                        const wire::Outcome& outcome) {
  const std::string answer = outcome.SerializeAsString();
  const auto [it, added] = expected_.outcome_of.emplace(change_id, answer);
  if (!added && it->second != answer)
    ReportViolation("change " + change_id + " got two different outcomes");
  if (!outcome.change().accepted())
    return;
  const auto [at, first] =
      expected_.change_at.emplace(outcome.change().revision(), change_id);
  if (!first && at->second != change_id)
    ReportViolation("two changes were accepted as one revision");
  report_.accepted_changes += added ? 1 : 0;
}

void Run::ProposeChange() {
  SimulatedHost& host = RandomHost();
  if (!host.node || now_ms_ < host.frozen_until)
    return;
  wire::Command command;
  std::string change_id;
  if (!sent_changes_.empty() && random_source_.Chance(0.3)) {
    // Resends a change, as an operator does after a lost answer.
    std::tie(change_id, command) = random_source_.Pick(sent_changes_);
  } else {
    change_id = "change-" + std::to_string(next_id_++);
    const Revision seen =
        host.node->configuration() ? host.node->configuration()->revision : 0;
    wire::ConfigurationChange* change = command.mutable_change();
    change->set_change_id(change_id);
    change->set_expected_revision(seen);
    change->set_author("op" + std::to_string(random_source_.Below(2)));
    const std::string state = random_source_.Chance(0.5) ? "out" : "in";
    change->set_patch("{\"domains\":{\"" +
                      std::string(1, "abc"[random_source_.Below(3)]) + "\":\"" +
                      state + "\"},\"upstreams\":{\"x\":{\"leaving\":" +
                      (random_source_.Chance(0.5) ? "true" : "false") + "}}}");
    sent_changes_.emplace_back(change_id, command);
  }
  const TimePoint now = host.Now(now_ms_);
  RunUnlessCrashed(host, [&] {
    host.node->Propose(
        command, now + Millis(2000),
        [this, change_id](const std::optional<wire::Outcome>& outcome) {
          if (outcome)
            RecordOutcome(change_id, *outcome);
        },
        now);
  });
}

void Run::ProposeClaim() {
  SimulatedHost& host = RandomHost();
  if (!host.node || now_ms_ < host.frozen_until)
    return;
  const std::string key = "key-" + std::to_string(random_source_.Below(400));
  const std::string claim_id =
      host.entry.id.str() + "-" + std::to_string(next_id_++);
  wire::Command command;
  wire::ClaimCommand* claim = command.mutable_claim();
  claim->set_customer("customer");
  claim->set_key(key);
  claim->set_digest("digest");
  claim->set_host(host.entry.id.str());
  claim->set_claim_id(claim_id);
  const TimePoint now = host.Now(now_ms_);
  SimulatedHost* const self = &host;
  const std::uint64_t incarnation = host.incarnation;
  RunUnlessCrashed(host, [&] {
    host.node->Propose(
        command, now + Millis(1000),
        [this, self, incarnation, key, claim_id](const auto& outcome) {
          OnClaimed(*self, incarnation, key, claim_id, outcome);
        },
        now);
  });
}

void Run::OnClaimed(SimulatedHost& host,
                    std::uint64_t incarnation,
                    const std::string& key,
                    const std::string& claim_id,
                    const std::optional<wire::Outcome>& outcome) {
  if (host.incarnation != incarnation || !host.node)
    return;
  const TimePoint now = host.Now(now_ms_);
  wire::Command next;
  const bool granted =
      outcome && outcome->claim().state() == wire::ClaimOutcome::GRANTED;
  const bool should_send = granted && random_source_.Chance(0.8);
  if (granted)
    ++report_.claims_granted;
  if (should_send) {
    const auto [it, added] = expected_.dispatched.emplace(key, claim_id);
    if (!added) {
      ReportViolation("key " + key + " ran twice: " + it->second + " and " +
                      claim_id);
    }
    wire::FinishCommand* finish = next.mutable_finish();
    finish->set_customer("customer");
    finish->set_key(key);
    finish->set_claim_id(claim_id);
    finish->set_unknown(random_source_.Chance(0.2));
    finish->set_status(200);
  } else if (granted || !outcome) {
    // The call wasn't sent and never will be.
    wire::ReleaseCommand* release = next.mutable_release();
    release->set_customer("customer");
    release->set_key(key);
    release->set_claim_id(claim_id);
  } else {
    return;
  }
  host.node->Propose(
      next, now + Millis(5000), [](const auto&) {}, now);
}

void Run::Announce() {
  if (now_ms_ % 500 != 0)
    return;
  membership::Upstream upstream;
  upstream.id = UpstreamId("a-u1");
  upstream.domain = DomainId("a");
  upstream.incarnation = 1;
  upstream.capacity = kUpstreamSlots;
  upstream.prefill_tokens_per_s = 1000;
  for (SimulatedHost& host : hosts_) {
    upstream.running += host.node ? host.borrower.InUse(kUpstream) : 0;
  }
  for (SimulatedHost& host : hosts_) {
    if (!host.exchange || host.entry.domain.str() != "a" ||
        now_ms_ < host.frozen_until) {
      continue;
    }
    host.exchange->Announce(upstream, host.Now(now_ms_));
  }
}

// Acquires and releases slots at random, as requests do.
void Run::UseSlots(SimulatedHost& host) {
  const TimePoint now = host.Now(now_ms_);
  if (random_source_.Chance(0.05))
    host.borrower.SetWaiting(kUpstream, random_source_.Below(4), now);
  if (random_source_.Chance(0.1))
    host.borrower.TryAcquire(kUpstream, now);
  if (random_source_.Chance(0.1))
    host.borrower.Release(kUpstream, now);
}

void Run::RunWorkload() {
  if (!faults_ended_ && random_source_.Chance(0.03))
    ProposeChange();
  if (random_source_.Chance(0.06))
    ProposeClaim();
  RepairVoters();
  Announce();
}

void Run::CheckFreshness(const SimulatedHost& host) {
  if (!host.node->IsFresh(host.Now(now_ms_)))
    return;
  // A fresh host has every change accepted more than one lease ago.
  for (auto it = expected_.accepted_ms.rbegin();
       it != expected_.accepted_ms.rend(); ++it) {
    const auto limit = static_cast<std::int64_t>(
        static_cast<double>(kFreshnessMs) * (1 + 2 * kMaxClockDrift));
    if (it->first > host.revision && it->second + limit < now_ms_) {
      ReportViolation(host.entry.id.str() + " is fresh with revision " +
                      std::to_string(host.revision) + " long after " +
                      std::to_string(it->first));
      return;
    }
  }
  if (host.revision < newest_in_force_) {
    ReportViolation(host.entry.id.str() + " is fresh with revision " +
                    std::to_string(host.revision) + " though " +
                    std::to_string(newest_in_force_) +
                    " was reported in force");
  }
}

void Run::CheckInForce(SimulatedHost& host) {
  if (expected_.change_at.empty() || now_ms_ % 50 != 0)
    return;
  const Revision newest = expected_.change_at.rbegin()->first;
  const auto status = host.node->GetInForceStatus(newest, host.Now(now_ms_));
  if (status && status->in_force)
    newest_in_force_ = std::max(newest_in_force_, newest);
}

void Run::CheckSlots() {
  int slots = 0;
  for (const SimulatedHost& host : hosts_) {
    if (host.node) {
      slots += std::max(host.borrower.Slots(kUpstream, host.Now(now_ms_)),
                        host.borrower.InUse(kUpstream));
    }
  }
  if (slots > kUpstreamSlots)
    ReportViolation(std::to_string(slots) +
                    " slots are lent, above the upstream's capacity");
}

void Run::Check() {
  for (SimulatedHost& host : hosts_) {
    if (!host.node || now_ms_ < host.frozen_until)
      continue;
    CheckInForce(host);
  }
  for (const SimulatedHost& host : hosts_) {
    if (host.node)
      CheckFreshness(host);
  }
  CheckSlots();
}

void Run::RunStep() {
  now_ms_ += kStepMs;
  InjectFaults();
  Deliver();
  for (SimulatedHost& host : hosts_) {
    if (!host.node && now_ms_ >= host.restart_at)
      StartHost(host);
    if (host.node && now_ms_ >= host.frozen_until) {
      TickHost(host);
      UseSlots(host);
    }
  }
  RunWorkload();
  Check();
}

void Run::CheckConvergence() {
  const Revision newest =
      expected_.accepted_ms.empty() ? 0 : expected_.accepted_ms.rbegin()->first;
  if (newest == 0)
    ReportViolation("no configuration was ever accepted");
  for (const SimulatedHost& host : hosts_) {
    if (!host.node || host.revision != newest ||
        !host.node->IsFresh(host.Now(now_ms_))) {
      ReportViolation(host.entry.id.str() + " is not fresh at revision " +
                      std::to_string(newest) + " after all faults had ended");
      return;
    }
    if (host.node->machine() == nullptr)
      continue;
    std::set<std::string> kept;
    for (const wire::ChangeRecord& record : host.node->machine()->History())
      kept.insert(record.change_id());
    for (const auto& [revision, change_id] : expected_.change_at) {
      if (!kept.contains(change_id))
        ReportViolation("accepted change " + change_id + " is lost at " +
                        host.entry.id.str());
    }
  }
}

RunReport Run::Execute() {
  InvariantMonitor::Get().SetHandler(
      [this](Invariant invariant, std::string_view detail) {
        ReportViolation("invariant " + std::string(InvariantName(invariant)) +
                        ": " + std::string(detail));
      });
  MakeHosts();
  for (int i = 0; i < options_.steps && report_.violation.empty(); ++i) {
    report_.step = i;
    RunStep();
  }
  faults_ended_ = true;
  network_.Heal();
  network_.SetLossy(0, 0, 2);
  for (SimulatedHost& host : hosts_) {
    host.frozen_until = 0;
    if (host.disk) {
      host.disk->SetFull(false);
      host.disk->SetCrashChance(0);
    }
  }
  for (std::int64_t i = 0;
       i < kSettleTimeMs / kStepMs && report_.violation.empty(); ++i) {
    ++report_.step;
    RunStep();
  }
  if (report_.violation.empty())
    CheckConvergence();
  InvariantMonitor::Get().SetHandler(nullptr);
  return report_;
}

}  // namespace

RunReport RunOnce(const RunOptions& options) {
  return Run(options).Execute();
}

}  // namespace soak
