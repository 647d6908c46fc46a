#include "endivecart/fleet/cache_save_ledger.h"

namespace endivecart::fleet {

namespace {

// How often the grants that have ended are looked for, while others are made.
constexpr Millis kSweepInterval{1000};

}  // namespace

void CacheSaveLedger::OnLeadershipGained(
    bool may_have_predecessor,
    TimePoint now,
    const std::vector<Outstanding>* logged) {
  grants_.clear();
  restored_.clear();
  reported_.clear();
  ended_.clear();
  next_sweep_ = now;
  listed_at_.clear();
  unreported_.clear();
  known_at_.reset();
  gained_at_ = now;
  may_have_predecessor_ = may_have_predecessor;
  if (!may_have_predecessor)
    return;
  if (logged != nullptr) {
    Restore(*logged, now);
    return;
  }
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

// How long ago they were granted is unknown: times of day are not trusted, and
// this process may just have started.
void CacheSaveLedger::Restore(const std::vector<Outstanding>& logged,
                              TimePoint now) {
  known_at_ = now;
  for (const Outstanding& save : logged) {
    Entry entry{save.claim, now + save.ends_in};
    entry.is_restored = true;
    grants_.emplace(save.part, entry);
    restored_[save.claim.host].push_back(save.part);
  }
  LogLine("fleet.saves_restored")
      .Add("saves", std::uint64_t{logged.size()})
      .Info();
}

// The host has no other grants of earlier terms, and gets none any more.
void CacheSaveLedger::OnReport(const HostRun& host,
                               const std::vector<Outstanding>& saves,
                               TimePoint now) {
  const auto restored = restored_.find(host.first);
  if (restored == restored_.end() || !reported_.insert(host).second)
    return;
  std::map<Part, Outstanding> reported;
  for (const Outstanding& save : saves)
    reported.emplace(save.part, save);
  for (const Part& part : restored->second) {
    const auto it = grants_.find(part);
    if (it == grants_.end() || !it->second.is_restored)
      continue;
    const std::uint64_t offset = it->second.claim.number - host.second;
    if (offset == 0 || offset > kMaxClaims)
      continue;  // of an earlier run, whose saves may still begin
    const auto save = reported.find(part);
    const bool is_outstanding =
        save != reported.end() && save->second.claim == it->second.claim;
    it->second.ends_at =
        std::min(it->second.ends_at,
                 now + (is_outstanding ? save->second.ends_in : kTransferWait));
  }
}

void CacheSaveLedger::OnPoll(const HostRun& host,
                             const std::vector<Outstanding>* saves,
                             TimePoint now) {
  hosts_[host] = now;
  if (saves != nullptr)
    OnReport(host, *saves, now);
  if (saves != nullptr && unreported_.erase(host) > 0) {
    for (const Outstanding& save : *saves) {
      Entry entry{save.claim, now + save.ends_in};
      entry.is_logged = false;
      grants_.try_emplace(save.part, entry);
    }
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
  if (it == grants_.end() && grants_.size() + ended_.size() >= kMaxGrants)
    return Ruling::kDenied;
  if (it != grants_.end() && now < it->second.ends_at)
    return Ruling::kDenied;
  if (it != grants_.end() && !it->second.was_complete)
    return Ruling::kNeedsList;
  if (it != grants_.end())
    MarkEnded(part, it->second);
  grants_.insert_or_assign(part, Entry{claim, now + GrantTime(lifetime)});
  return Ruling::kGranted;
}

void CacheSaveLedger::OnComplete(const Part& part) {
  const auto it = grants_.find(part);
  if (it == grants_.end())
    return;
  it->second.was_complete = true;
  // Its save has begun, and that of its claim is the only one.
  if (it->second.is_restored)
    Erase(it);
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
    Erase(it);
  }
}

void CacheSaveLedger::MarkEnded(const Part& part, Entry& entry) {
  if (std::exchange(entry.is_logged, false))
    ended_.push_back({part, entry.claim, Millis(0)});
}

void CacheSaveLedger::Erase(Grants::iterator it) {
  MarkEnded(it->first, it->second);
  grants_.erase(it);
}

std::vector<CacheSaveLedger::Outstanding> CacheSaveLedger::TakeEnded(
    std::size_t max,
    TimePoint now) {
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepInterval;
    for (auto& [part, entry] : grants_) {
      if (entry.ends_at <= now)
        MarkEnded(part, entry);
    }
  }
  const auto end = ended_.begin() +
                   static_cast<std::ptrdiff_t>(std::min(max, ended_.size()));
  std::vector<Outstanding> taken(ended_.begin(), end);
  ended_.erase(ended_.begin(), end);
  return taken;
}

void CacheSaveLedger::ReturnEnded(const std::vector<Outstanding>& ended) {
  ended_.insert(ended_.end(), ended.begin(), ended.end());
}

std::vector<CacheSaveLedger::Outstanding> CacheSaveLedger::LogAll(
    TimePoint now) {
  std::vector<Outstanding> saves;
  for (auto& [part, entry] : grants_) {
    entry.is_logged = now < entry.ends_at;
    if (!entry.is_logged)
      continue;
    const auto left =
        std::chrono::duration_cast<Millis>(entry.ends_at - now) + Millis(1);
    saves.push_back({part, entry.claim, left});
  }
  ended_.clear();
  return saves;
}

void CacheSaveLedger::OnListed(
    std::uint64_t store,
    TimePoint asked_at,
    const std::function<bool(std::uint64_t key)>& is_incomplete) {
  listed_at_[store] = asked_at;
  for (auto it = grants_.begin(); it != grants_.end();) {
    const auto current = it++;
    const auto& [part, grant] = *current;
    if (part.store == store && grant.ends_at <= asked_at &&
        !is_incomplete(part.key)) {
      Erase(current);
    }
  }
}

}  // namespace endivecart::fleet
