#include "endivecart/fleet/cache_save_batches.h"

#include <algorithm>
#include <utility>

#include "endivecart/fleet/save_grant_log.h"

namespace endivecart::fleet {

CacheSaveBatches::CacheSaveBatches(CacheCatalog& catalog,
                                   TimerService& timers,
                                   Hooks hooks)
    : catalog_(catalog), timers_(timers), hooks_(std::move(hooks)) {}

void CacheSaveBatches::OnLeadershipGained(bool is_log_complete) {
  OnLeadershipLost();
  is_leader_ = true;
  is_log_complete_ = is_log_complete;
  next_at_ = timers_.Now();
}

void CacheSaveBatches::OnLeadershipLost() {
  is_leader_ = false;
  is_announced_ = false;
  ++batch_;  // the outcome of the last one is of no interest
  is_under_way_ = false;
  waiting_.clear();
  waiting_parts_ = 0;
  proposed_.clear();
  proposed_ended_.clear();
  timer_.reset();
}

void CacheSaveBatches::Tick() {
  ProposeIfDue(timers_.Now());
}

void CacheSaveBatches::OnClaim(const HostId& host,
                               const wire::CacheSaveClaim& claim) {
  const TimePoint now = timers_.Now();
  wire::CacheSaveGrant grant;
  grant.set_term(claim.term());
  grant.set_number(claim.number());
  if (is_announced_ && waiting_parts_ < kMaxParts)
    grant = catalog_.OnSaveClaim(host, claim, now);
  if (grant.parts().empty()) {
    hooks_.answer(host, grant);
    return;
  }
  waiting_parts_ += static_cast<std::size_t>(grant.parts_size());
  waiting_.push_back({host, std::move(grant), claim.lifetime_ms(), now});
  ProposeIfDue(now);
}

void CacheSaveBatches::ProposeIfDue(TimePoint now) {
  if (!is_leader_ || is_under_way_)
    return;
  const bool has_work =
      is_announced_ ? !waiting_.empty() : catalog_.save_ledger().KnowsAll(now);
  if (!has_work)
    return;
  if (now >= next_at_) {
    DropLate(now);
    if (!is_announced_ || !waiting_.empty())
      Propose(now);
    return;
  }
  const auto left = std::chrono::duration_cast<Millis>(next_at_ - now);
  timer_ = timers_.After(left + Millis(1),
                         [this](TimePoint at) { ProposeIfDue(at); });
}

void CacheSaveBatches::DropLate(TimePoint now) {
  std::erase_if(waiting_, [&](const Waiting& claim) {
    if (now - claim.claimed_at < CacheSaveLedger::kClaimWait)
      return false;
    waiting_parts_ -= static_cast<std::size_t>(claim.grant.parts_size());
    catalog_.CancelGrant(claim.host, claim.grant, now);
    return true;
  });
}

wire::FleetCommand CacheSaveBatches::NextCommand(TimePoint now) {
  wire::FleetCommand command;
  wire::GrantSavesCommand& saves = *command.mutable_grant_saves();
  CacheSaveLedger& ledger = catalog_.save_ledger();
  if (!is_announced_ && !is_log_complete_) {
    saves.set_replaces_all(true);
    for (const auto& save : ledger.LogAll(now))
      *saves.add_grants() = ToWire(save);
    return command;
  }
  proposed_ended_ = ledger.TakeEnded(kMaxEnded, now);
  for (const auto& ended : proposed_ended_)
    *saves.add_ended() = ToWire(ended);
  for (const Waiting& claim : waiting_) {
    for (const wire::CachedPart& part : claim.grant.parts()) {
      *saves.add_grants() = ToWire(SaveGrantLog::Save{
          {part.key(), catalog_.StoreKeyOf(part)},
          {claim.host, claim.grant.number()},
          CacheSaveLedger::GrantTime(Millis(claim.lifetime_ms))});
    }
  }
  return command;
}

void CacheSaveBatches::Propose(TimePoint now) {
  const wire::FleetCommand command = NextCommand(now);
  proposed_ = std::exchange(waiting_, {});
  waiting_parts_ = 0;
  is_under_way_ = true;
  next_at_ = now + kMinInterval;
  hooks_.propose(command, [this, batch = ++batch_](bool is_decided) {
    OnOutcome(batch, is_decided);
  });
}

// May be called while the log applies its entries, so it proposes nothing.
void CacheSaveBatches::OnOutcome(std::uint64_t batch, bool is_decided) {
  if (batch != batch_ || !is_under_way_)
    return;
  const TimePoint now = timers_.Now();
  is_under_way_ = false;
  const std::vector<Waiting> claims = std::exchange(proposed_, {});
  const auto ended = std::exchange(proposed_ended_, {});
  if (is_decided) {
    is_announced_ = true;
    for (const Waiting& claim : claims)
      hooks_.answer(claim.host, claim.grant);
  } else {
    // The log may have these grants all the same, but they are never answered.
    LogLine("fleet.saves_not_logged").Warn();
    next_at_ = now + kFailurePause;
    for (const Waiting& claim : claims)
      catalog_.CancelGrant(claim.host, claim.grant, now);
    catalog_.save_ledger().ReturnEnded(ended);
  }
  if (!waiting_.empty())
    timer_ =
        timers_.After(Millis(1), [this](TimePoint at) { ProposeIfDue(at); });
}

}  // namespace endivecart::fleet
