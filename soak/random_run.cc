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
constexpr double kMaxDrift = 0.01;           // of a host's clock speed
constexpr std::int64_t kQuietEndMs = 20000;  // to settle after the last fault
constexpr char kUpstream[] = "upstream:a-u1";
const char kFirstDocument[] =
    R"({"classes":{"c":{"deadline_ms":1000}},"models":{"m":{"version":"v1"}}})";

// What the run itself knows to be true, to hold the hosts against.
struct Truth {
  std::map<Revision, std::string> change_at;     // accepted change by revision
  std::map<Revision, std::int64_t> accepted_ms;  // when first seen
  std::map<Revision, std::string> document_at;
  std::map<std::string, std::string> answer_of;   // change id -> answer
  std::map<std::string, std::string> dispatched;  // key -> claim id
};

struct SimHost {
  settings::HostEntry entry;
  std::unique_ptr<FakeDisk> disk;
  std::unique_ptr<control::ControlNode> node;
  std::unique_ptr<membership::SlotExchange> exchange;
  membership::SlotBorrower holder;
  double speed = 1;
  std::int64_t restart_at = 0;  // while it is down
  std::int64_t frozen_until = 0;
  Revision revision = 0;  // newest published in this life
  std::uint64_t life = 0;
  bool was_leader = false;

  TimePoint Now(std::int64_t ms) const {
    return TimePoint(std::chrono::microseconds(
        1000000 +
        static_cast<std::int64_t>(static_cast<double>(ms) * 1000 * speed)));
  }
};

class Run {
 public:
  explicit Run(const RunOptions& options)
      : options_(options), dice_(options.seed), network_(dice_) {}

  RunReport Execute();

 private:
  void MakeHosts();
  void StartHost(SimHost& host);
  void StopHost(SimHost& host, std::int64_t down_ms);
  void Guard(SimHost& host, const std::function<void()>& work);
  void Step();
  void Deliver();
  void TickHost(SimHost& host);
  void Faults();
  void OneFault();
  void Work();
  void OperatorWork();
  void ClaimWork();
  void OnClaimed(SimHost& host,
                 std::uint64_t life,
                 const std::string& key,
                 const std::string& claim_id,
                 const std::optional<wire::Outcome>& outcome);
  void RepairVoters();
  void Announce();
  void UseSlots(SimHost& host);
  void OnPublished(SimHost& host, const configuration::ConfigurationPtr& c);
  void NoteAnswer(const std::string& change_id, const wire::Outcome& outcome);
  void Check();
  void CheckFreshness(const SimHost& host);
  void CheckForce(SimHost& host);
  void CheckSlots();
  void CheckEnd();
  void Violation(const std::string& text);
  settings::HostSettings SettingsOf(const SimHost& host) const;
  SimHost& Any() {
    return hosts_[static_cast<std::size_t>(
        dice_.Below(static_cast<int>(hosts_.size())))];
  }

  const RunOptions options_;
  Dice dice_;
  FakeNetwork network_;
  std::vector<SimHost> hosts_;
  std::vector<settings::HostEntry> entries_;
  Truth truth_;
  RunReport report_;
  std::int64_t now_ms_ = 0;
  bool quiet_ = false;
  std::uint64_t next_id_ = 1;
  std::vector<std::pair<std::string, wire::Command>> sent_changes_;
  std::map<std::string, membership::Upstream> upstreams_;
  Revision newest_in_force_ = 0;
};

void Run::Violation(const std::string& text) {
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
    hosts_[i].speed = 1 + kMaxDrift * (dice_.Below(201) - 100) / 100.0;
    if (entries_[i].voter)
      hosts_[i].disk = std::make_unique<FakeDisk>(dice_, "founder");
    StartHost(hosts_[i]);
  }
}

settings::HostSettings Run::SettingsOf(const SimHost& host) const {
  settings::HostSettings settings;
  settings.host = host.entry.id;
  settings.domain = host.entry.domain;
  settings.hosts = entries_;
  return settings;
}

void Run::StartHost(SimHost& host) {
  host.restart_at = 0;
  host.revision = 0;
  host.holder = {};
  ++host.life;
  SimHost* const self = &host;
  membership::SlotExchange::Hooks share;
  share.send = [this, self](const HostId& to, wire::Envelope envelope) {
    network_.Send(self->entry.id, to, std::move(envelope), now_ms_);
  };
  share.demands = [this, self](bool) {
    return std::vector<membership::ResourceDemand>{
        {kUpstream, DomainId("a"),
         self->holder.Demand(kUpstream, self->Now(now_ms_))}};
  };
  share.take_evidence = [](const HostId&) {
    return std::vector<membership::UpstreamEvidence>{};
  };
  share.on_grants = [self](const auto& grants) {
    for (const membership::ResourceGrant& grant : grants) {
      self->holder.SetGrant(grant.resource, grant.slots, grant.valid_until,
                            grant.scarce);
    }
  };
  share.on_upstreams = [](const HostId&, const auto&) {};
  host.exchange = std::make_unique<membership::SlotExchange>(SettingsOf(host),
                                                             std::move(share));
  control::ControlOptions options;
  options.self = host.entry.id;
  options.domain = host.entry.domain;
  options.hosts = entries_;
  options.seed =
      options_.seed * 100 + static_cast<std::uint64_t>(dice_.Below(1000000));
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
  Guard(host, [&] {
    host.node = std::make_unique<control::ControlNode>(
        std::move(options), host.disk.get(), std::move(hooks),
        host.Now(now_ms_));
  });
}

void Run::StopHost(SimHost& host, std::int64_t down_ms) {
  host.node.reset();
  host.exchange.reset();
  host.restart_at = now_ms_ + down_ms;
  ++report_.crashes;
}

void Run::Guard(SimHost& host, const std::function<void()>& work) {
  try {
    work();
  } catch (const SimulatedCrash&) {
    StopHost(host, 200 + dice_.Below(4000));
  }
}

void Run::OnPublished(SimHost& host, const configuration::ConfigurationPtr& c) {
  if (c->revision <= host.revision)
    Violation(host.entry.id.str() + " reverted to revision " +
              std::to_string(c->revision));
  host.revision = c->revision;
  const auto [it, added] = truth_.document_at.emplace(c->revision, c->document);
  if (!added && it->second != c->document)
    Violation("two documents at revision " + std::to_string(c->revision));
  truth_.accepted_ms.emplace(c->revision, now_ms_);
}

void Run::TickHost(SimHost& host) {
  const TimePoint now = host.Now(now_ms_);
  Guard(host, [&] {
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
        [&, id = &to](const SimHost& h) { return h.entry.id == *id; });
    if (!host->node || now_ms_ < host->frozen_until)
      continue;
    const TimePoint now = host->Now(now_ms_);
    const HostId from(envelope.from());
    Guard(*host, [&, e = &envelope] {
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

void Run::OneFault() {
  SimHost& host = Any();
  switch (dice_.Below(10)) {
    case 0:
    case 1:
      if (host.node)
        StopHost(host, 100 + dice_.Below(6000));
      return;
    case 2:  // silent, long isolation of one host
      network_.Isolate(host.entry.id);
      return;
    case 3: {  // a failure domain is cut off
      std::set<HostId> group;
      for (const SimHost& other : hosts_) {
        if (other.entry.domain == host.entry.domain)
          group.insert(other.entry.id);
      }
      network_.Cut(group);
      return;
    }
    case 4:
    case 5:
      network_.Heal();
      return;
    case 6:
      host.frozen_until = now_ms_ + 100 + dice_.Below(5000);
      return;
    case 7:
      network_.SetLossy(dice_.Below(30) / 100.0, dice_.Below(20) / 100.0,
                        2 + dice_.Below(dice_.Chance(0.2) ? 2000 : 60));
      return;
    case 8:
      if (host.disk)
        host.disk->SetFull(dice_.Chance(0.3));
      return;
    default: {
      // A disk is lost only once the repair before it is complete: with two
      // of four voters' disks lost no quorum keeps its memory.
      const bool all_up =
          std::all_of(hosts_.begin(), hosts_.end(),
                      [](const SimHost& h) { return !h.disk || h.node; });
      if (!host.disk || !all_up || !host.node || !dice_.Chance(0.5))
        return;
      const bool settled =
          std::all_of(hosts_.begin(), hosts_.end(), [&](const SimHost& h) {
            return !h.disk ||
                   (h.node->core()->IsVoter(h.node->core()->self()) &&
                    h.node->core()->voters().learners().empty() &&
                    h.node->core()->voters().voters_size() == 3);
          });
      if (!settled)
        return;
      StopHost(host, 200 + dice_.Below(2000));
      host.disk = std::make_unique<FakeDisk>(
          dice_, "disk" + std::to_string(next_id_++));
      ++report_.lost_disks;
    }
  }
}

void Run::Faults() {
  if (quiet_)
    return;
  if (dice_.Chance(0.012))
    OneFault();
  for (SimHost& host : hosts_) {
    if (host.disk)
      host.disk->SetCrashChance(0.0008);
  }
}

// What an operator does after a disk was replaced: add, promote, remove.
void Run::RepairVoters() {
  for (SimHost& leader : hosts_) {
    if (!leader.node || !leader.node->IsLeader() || !dice_.Chance(0.02))
      continue;
    const TimePoint now = leader.Now(now_ms_);
    Guard(leader, [&] {
      const wire::VoterSet voters = leader.node->core()->voters();
      for (const std::string& learner : voters.learners())
        leader.node->ChangeVoters("promote", control::MemberId(learner), now);
      for (const SimHost& host : hosts_) {
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

void Run::NoteAnswer(const std::string& change_id,
                     const wire::Outcome& outcome) {
  const std::string answer = outcome.SerializeAsString();
  const auto [it, added] = truth_.answer_of.emplace(change_id, answer);
  if (!added && it->second != answer)
    Violation("change " + change_id + " got two answers");
  if (!outcome.change().accepted())
    return;
  const auto [at, first] =
      truth_.change_at.emplace(outcome.change().revision(), change_id);
  if (!first && at->second != change_id)
    Violation("two changes were accepted as one revision");
  report_.accepted_changes += added ? 1 : 0;
}

void Run::OperatorWork() {
  SimHost& host = Any();
  if (!host.node || now_ms_ < host.frozen_until)
    return;
  wire::Command command;
  std::string change_id;
  if (!sent_changes_.empty() && dice_.Chance(0.3)) {
    // The answer was lost, or so the operator thinks.
    std::tie(change_id, command) = dice_.Pick(sent_changes_);
  } else {
    change_id = "change-" + std::to_string(next_id_++);
    const Revision seen =
        host.node->configuration() ? host.node->configuration()->revision : 0;
    wire::ConfigurationChange* change = command.mutable_change();
    change->set_change_id(change_id);
    change->set_expected_revision(seen);
    change->set_author("op" + std::to_string(dice_.Below(2)));
    const std::string state = dice_.Chance(0.5) ? "out" : "in";
    change->set_patch("{\"domains\":{\"" +
                      std::string(1, "abc"[dice_.Below(3)]) + "\":\"" + state +
                      "\"},\"upstreams\":{\"x\":{\"leaving\":" +
                      (dice_.Chance(0.5) ? "true" : "false") + "}}}");
    sent_changes_.emplace_back(change_id, command);
  }
  const TimePoint now = host.Now(now_ms_);
  Guard(host, [&] {
    host.node->Propose(
        command, now + Millis(2000),
        [this, change_id](const std::optional<wire::Outcome>& outcome) {
          if (outcome)
            NoteAnswer(change_id, *outcome);
        },
        now);
  });
}

void Run::ClaimWork() {
  SimHost& host = Any();
  if (!host.node || now_ms_ < host.frozen_until)
    return;
  const std::string key = "key-" + std::to_string(dice_.Below(400));
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
  SimHost* const self = &host;
  const std::uint64_t life = host.life;
  Guard(host, [&] {
    host.node->Propose(
        command, now + Millis(1000),
        [this, self, life, key, claim_id](const auto& outcome) {
          OnClaimed(*self, life, key, claim_id, outcome);
        },
        now);
  });
}

void Run::OnClaimed(SimHost& host,
                    std::uint64_t life,
                    const std::string& key,
                    const std::string& claim_id,
                    const std::optional<wire::Outcome>& outcome) {
  if (host.life != life || !host.node)
    return;
  const TimePoint now = host.Now(now_ms_);
  wire::Command next;
  const bool granted =
      outcome && outcome->claim().state() == wire::ClaimOutcome::GRANTED;
  const bool sends = granted && dice_.Chance(0.8);
  if (granted)
    ++report_.claims_granted;
  if (sends) {
    const auto [it, added] = truth_.dispatched.emplace(key, claim_id);
    if (!added) {
      Violation("key " + key + " ran twice: " + it->second + " and " +
                claim_id);
    }
    wire::FinishCommand* finish = next.mutable_finish();
    finish->set_customer("customer");
    finish->set_key(key);
    finish->set_claim_id(claim_id);
    finish->set_unknown(dice_.Chance(0.2));
    finish->set_status(200);
  } else if (granted || !outcome) {
    // Nothing was sent, and never will be.
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
  for (SimHost& host : hosts_) {
    upstream.running += host.node ? host.holder.InUse(kUpstream) : 0;
  }
  for (SimHost& host : hosts_) {
    if (!host.exchange || host.entry.domain.str() != "a" ||
        now_ms_ < host.frozen_until) {
      continue;
    }
    host.exchange->Announce(upstream, host.Now(now_ms_));
  }
}

// Takes and gives slots at random, as requests would.
void Run::UseSlots(SimHost& host) {
  const TimePoint now = host.Now(now_ms_);
  if (dice_.Chance(0.05))
    host.holder.SetWaiting(kUpstream, dice_.Below(4), now);
  if (dice_.Chance(0.1))
    host.holder.TryAcquire(kUpstream, now);
  if (dice_.Chance(0.1))
    host.holder.Release(kUpstream, now);
}

void Run::Work() {
  if (!quiet_ && dice_.Chance(0.03))
    OperatorWork();
  if (dice_.Chance(0.06))
    ClaimWork();
  RepairVoters();
  Announce();
}

void Run::CheckFreshness(const SimHost& host) {
  if (!host.node->IsFresh(host.Now(now_ms_)))
    return;
  // A fresh host has everything that was accepted longer ago than a lease.
  for (auto it = truth_.accepted_ms.rbegin(); it != truth_.accepted_ms.rend();
       ++it) {
    const auto limit = static_cast<std::int64_t>(
        static_cast<double>(kFreshnessMs) * (1 + 2 * kMaxDrift));
    if (it->first > host.revision && it->second + limit < now_ms_) {
      Violation(host.entry.id.str() + " is fresh with revision " +
                std::to_string(host.revision) + " long after " +
                std::to_string(it->first));
      return;
    }
  }
  if (host.revision < newest_in_force_) {
    Violation(host.entry.id.str() + " is fresh with revision " +
              std::to_string(host.revision) + " though " +
              std::to_string(newest_in_force_) + " was said to be in force");
  }
}

void Run::CheckForce(SimHost& host) {
  if (truth_.change_at.empty() || now_ms_ % 50 != 0)
    return;
  const Revision newest = truth_.change_at.rbegin()->first;
  const auto force = host.node->GetInForceStatus(newest, host.Now(now_ms_));
  if (force && force->in_force)
    newest_in_force_ = std::max(newest_in_force_, newest);
}

void Run::CheckSlots() {
  int slots = 0;
  for (const SimHost& host : hosts_) {
    if (host.node) {
      slots += std::max(host.holder.Slots(kUpstream, host.Now(now_ms_)),
                        host.holder.InUse(kUpstream));
    }
  }
  if (slots > kUpstreamSlots)
    Violation(std::to_string(slots) + " slots are out for an upstream");
}

void Run::Check() {
  for (SimHost& host : hosts_) {
    if (!host.node || now_ms_ < host.frozen_until)
      continue;
    CheckForce(host);
  }
  for (const SimHost& host : hosts_) {
    if (host.node)
      CheckFreshness(host);
  }
  CheckSlots();
}

void Run::Step() {
  now_ms_ += kStepMs;
  Faults();
  Deliver();
  for (SimHost& host : hosts_) {
    if (!host.node && now_ms_ >= host.restart_at)
      StartHost(host);
    if (host.node && now_ms_ >= host.frozen_until) {
      TickHost(host);
      UseSlots(host);
    }
  }
  Work();
  Check();
}

void Run::CheckEnd() {
  const Revision newest =
      truth_.accepted_ms.empty() ? 0 : truth_.accepted_ms.rbegin()->first;
  if (newest == 0)
    Violation("no configuration was ever accepted");
  for (const SimHost& host : hosts_) {
    if (!host.node || host.revision != newest ||
        !host.node->IsFresh(host.Now(now_ms_))) {
      Violation(host.entry.id.str() + " did not reach revision " +
                std::to_string(newest) + " after all faults had ended");
      return;
    }
    if (host.node->machine() == nullptr)
      continue;
    std::set<std::string> kept;
    for (const wire::ChangeRecord& record : host.node->machine()->History())
      kept.insert(record.change_id());
    for (const auto& [revision, change_id] : truth_.change_at) {
      if (!kept.contains(change_id))
        Violation("accepted change " + change_id + " is lost at " +
                  host.entry.id.str());
    }
  }
}

RunReport Run::Execute() {
  InvariantMonitor::Get().SetHandler(
      [this](Invariant invariant, std::string_view detail) {
        Violation("invariant " + std::string(InvariantName(invariant)) + ": " +
                  std::string(detail));
      });
  MakeHosts();
  for (int i = 0; i < options_.steps && report_.violation.empty(); ++i) {
    report_.step = i;
    Step();
  }
  quiet_ = true;
  network_.Heal();
  network_.SetLossy(0, 0, 2);
  for (SimHost& host : hosts_) {
    host.frozen_until = 0;
    if (host.disk) {
      host.disk->SetFull(false);
      host.disk->SetCrashChance(0);
    }
  }
  for (std::int64_t i = 0;
       i < kQuietEndMs / kStepMs && report_.violation.empty(); ++i) {
    ++report_.step;
    Step();
  }
  if (report_.violation.empty())
    CheckEnd();
  InvariantMonitor::Get().SetHandler(nullptr);
  return report_;
}

}  // namespace

RunReport RunOnce(const RunOptions& options) {
  return Run(options).Execute();
}

}  // namespace soak
