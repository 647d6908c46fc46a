#include "endivecart/fleet/cache_save_ledger.h"

namespace endivecart::fleet {

void CacheSaveLedger::OnLeadershipGained(bool may_have_predecessor,
                                         TimePoint now) {
  grants_.clear();
  listed_at_.clear();
  unreported_.clear();
  known_at_.reset();
  gained_at_ = now;
  may_have_predecessor_ = may_have_predecessor;
  if (!may_have_predecessor)
    return;
  // A process that has just started may not know all hosts.
  may_end_wait_early_ =
      watching_since_ && request_limit_ > Millis(0) &&
      (is_first_start_ || now - *watching_since_ >= HostRetention());
  for (const auto& [host, polled_at] : hosts_)
    unreported_.insert(host);
  LogLine("fleet.saves_unknown")
      .Add("hosts", std::uint64_t{unreported_.size()})
      .Add("may_end_early", may_end_wait_early_ ? "yes" : "no")
      .Info();
}

void CacheSaveLedger::OnPoll(const HostRun& host,
                             const std::vector<Outstanding>* saves,
                             TimePoint now) {
  hosts_[host] = now;
  if (saves != nullptr && unreported_.erase(host) > 0) {
    for (const Outstanding& save : *saves)
      grants_.try_emplace(save.part, Entry{save.claim, now + save.ends_in});
  }
  UpdateWait(now);
}

void CacheSaveLedger::UpdateWait(TimePoint now) {
  std::erase_if(hosts_, [&](const auto& entry) {
    if (request_limit_ == Millis(0) || now - entry.second <= HostRetention())
      return false;
    unreported_.erase(entry.first);
    return true;
  });
  if (!may_have_predecessor_ || !may_end_wait_early_ || !unreported_.empty() ||
      AllowedAt() <= now) {
    return;
  }
  known_at_ = now;
  LogLine("fleet.saves_known")
      .Add("saves", std::uint64_t{grants_.size()})
      .Info();
}

TimePoint CacheSaveLedger::AllowedAt() const {
  if (!may_have_predecessor_)
    return gained_at_;
  return known_at_.value_or(gained_at_ + Expiry());
}

CacheSaveLedger::Ruling CacheSaveLedger::Grant(const Part& part,
                                               const Claim& claim,
                                               Millis lifetime,
                                               TimePoint now) {
  if (now < AllowedAt() || lifetime > request_limit_)
    return Ruling::kDenied;
  const auto listed = listed_at_.find(part.store);
  if (listed == listed_at_.end() || listed->second < AllowedAt())
    return Ruling::kNeedsList;
  const auto it = grants_.find(part);
  if (it == grants_.end() && grants_.size() >= kMaxGrants)
    return Ruling::kDenied;
  if (it != grants_.end() && now < it->second.ends_at)
    return Ruling::kDenied;
  if (it != grants_.end() && !it->second.was_complete)
    return Ruling::kNeedsList;
  grants_.insert_or_assign(
      part, Entry{claim, now + lifetime + kTransferWait + kMargin});
  return Ruling::kGranted;
}

void CacheSaveLedger::OnComplete(const Part& part) {
  if (const auto it = grants_.find(part); it != grants_.end())
    it->second.was_complete = true;
}

void CacheSaveLedger::Release(const Part& part,
                              const Claim& claim,
                              bool was_sent,
                              TimePoint now) {
  const auto it = grants_.find(part);
  if (it == grants_.end() || it->second.claim != claim)
    return;
  if (was_sent) {
    it->second.ends_at = std::min(it->second.ends_at, now + kTransferWait);
  } else {
    grants_.erase(it);
  }
}

void CacheSaveLedger::OnListed(
    std::uint64_t store,
    TimePoint asked_at,
    const std::function<bool(std::uint64_t key)>& is_incomplete) {
  listed_at_[store] = asked_at;
  std::erase_if(grants_, [&](const auto& entry) {
    const auto& [part, grant] = entry;
    return part.store == store && grant.ends_at <= asked_at &&
           !is_incomplete(part.key);
  });
}

}  // namespace endivecart::fleet
