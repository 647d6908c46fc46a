#include "endivecart/gateway/cache_save_claims.h"

#include <algorithm>
#include <utility>

namespace endivecart::gateway {

namespace {

// Expired entries are removed when there are more.
constexpr std::size_t kMaxPaused = 10000;

wire::CacheSaveRecord RecordOf(const SavePart& part, std::uint64_t number) {
  wire::CacheSaveRecord record;
  record.set_key(part.key);
  record.set_store(fleet::CacheStoreKey(part.address));
  record.set_claim(number);
  return record;
}

}  // namespace

CacheSaveClaims::CacheSaveClaims(std::uint64_t first_number,
                                 TimerService& timers)
    : timers_(timers), last_number_(first_number) {}

bool CacheSaveClaims::Claim(std::uint64_t term,
                            const std::vector<SavePart>& parts,
                            Millis lifetime,
                            Callback done) {
  const TimePoint now = timers_.Now();
  if (!send_ || now < paused_until_)
    return false;
  Pending pending;
  std::copy_if(parts.begin(), parts.end(),
               std::back_inserter(pending.claimed.parts),
               [&](const SavePart& part) {
                 const auto it = paused_parts_.find(part.key);
                 return it == paused_parts_.end() || it->second <= now;
               });
  if (pending.claimed.empty())
    return false;
  const std::uint64_t number = ++last_number_;
  pending.claimed.number = number;
  wire::Envelope envelope;
  wire::CacheSaveClaim& claim = *envelope.mutable_cache_save_claim();
  claim.set_term(term);
  claim.set_number(number);
  claim.set_lifetime_ms(static_cast<std::uint32_t>(lifetime.count()));
  for (const SavePart& part : pending.claimed.parts) {
    wire::CachedPart& out = *claim.add_parts();
    out.set_key(part.key);
    out.set_store(part.store);
  }
  if (!send_(std::move(envelope)))
    return false;
  pending.done = std::move(done);
  pending.ends_at = now + lifetime + fleet::CacheSaveLedger::kTransferWait +
                    fleet::CacheSaveLedger::kMargin;
  pending.timer = timers_.After(kMaxWait, [this, number](TimePoint at) {
    paused_until_ = at + kSilentPause;
    LogLine("gateway.save_claim_unanswered").Debug();
    End(number, {});
  });
  pending_.emplace(number, std::move(pending));
  return true;
}

void CacheSaveClaims::OnGrant(const wire::CacheSaveGrant& grant,
                              std::uint64_t term) {
  const auto it = pending_.find(grant.number());
  if (it == pending_.end()) {
    LogLine("gateway.save_grant_late").Debug();
    return;
  }
  std::vector<SavePart> denied;
  SavePermits granted{grant.number(), {}};
  for (const SavePart& part : it->second.claimed.parts) {
    const bool is_granted =
        std::any_of(grant.parts().begin(), grant.parts().end(),
                    [&](const wire::CachedPart& g) {
                      return g.key() == part.key && g.store() == part.store;
                    });
    (is_granted ? granted.parts : denied).push_back(part);
  }
  Pause(denied, kDeniedPause);
  if (grant.term() != term) {
    SendRelease(granted, false);
    granted.parts.clear();
  }
  End(grant.number(), granted);
  pending_.erase(grant.number());
}

void CacheSaveClaims::End(std::uint64_t number, const SavePermits& granted) {
  Pending& pending = pending_.at(number);
  if (!granted.empty())
    granted_[number] = {granted, pending.ends_at};
  // Stays pending without its callback, in case that the answer is late.
  const Callback done = std::exchange(pending.done, nullptr);
  pending.timer.reset();
  if (!done || !done(granted))
    Release(granted, false);
}

std::vector<wire::CacheSaveRecord> CacheSaveClaims::Outstanding() {
  const TimePoint now = timers_.Now();
  std::erase_if(granted_, [now](const auto& entry) {
    return entry.second.ends_at <= now;
  });
  std::erase_if(pending_, [now](const auto& entry) {
    return entry.second.ends_at <= now;
  });
  std::vector<wire::CacheSaveRecord> records;
  for (const auto& [number, granted] : granted_) {
    const auto left =
        std::chrono::duration_cast<Millis>(granted.ends_at - now) + Millis(1);
    for (const SavePart& part : granted.permits.parts) {
      wire::CacheSaveRecord& record = records.emplace_back();
      record = RecordOf(part, number);
      record.set_ends_in_ms(static_cast<std::uint32_t>(left.count()));
    }
  }
  return records;
}

void CacheSaveClaims::Pause(const std::vector<SavePart>& parts, Millis pause) {
  const TimePoint now = timers_.Now();
  for (const SavePart& part : parts)
    paused_parts_[part.key] = now + pause;
  if (paused_parts_.size() > kMaxPaused) {
    std::erase_if(paused_parts_,
                  [now](const auto& entry) { return entry.second <= now; });
  }
}

void CacheSaveClaims::Release(const SavePermits& permits, bool was_sent) {
  const auto it = granted_.find(permits.number);
  if (it == granted_.end())
    return;
  if (was_sent) {
    Pause(permits.parts, kSentPause);
    it->second.ends_at =
        std::min(it->second.ends_at,
                 timers_.Now() + fleet::CacheSaveLedger::kTransferWait);
  } else {
    granted_.erase(it);
  }
  SendRelease(permits, was_sent);
}

void CacheSaveClaims::SendRelease(const SavePermits& permits, bool was_sent) {
  if (permits.empty() || !send_)
    return;
  wire::Envelope envelope;
  wire::CacheSaveRelease& release = *envelope.mutable_cache_save_release();
  release.set_was_sent(was_sent);
  for (const SavePart& part : permits.parts)
    *release.add_saves() = RecordOf(part, permits.number);
  // If the message is lost, the leader forgets the grant by itself.
  send_(std::move(envelope));
}

}  // namespace endivecart::gateway
