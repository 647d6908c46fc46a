#include "endivecart/ledger/ledger_state.h"

namespace endivecart::ledger {

namespace {

constexpr std::uint64_t kHourMs = 3600ULL * 1000;
constexpr std::uint64_t kFinishedRetentionMs = 24 * kHourMs;
constexpr std::uint64_t kUnknownRetentionMs = 7ULL * 24 * kHourMs;
constexpr std::uint64_t kGivenUpRetentionMs = kHourMs;

std::uint64_t RetentionOf(ClaimState state) {
  return state == ClaimState::kFinished ? kFinishedRetentionMs
                                        : kUnknownRetentionMs;
}

}  // namespace

std::string_view ClaimStateName(ClaimState state) {
  switch (state) {
    case ClaimState::kGranted:
      return "granted";
    case ClaimState::kRunning:
      return "running";
    case ClaimState::kFinished:
      return "finished";
    case ClaimState::kUnknown:
      return "unknown";
    case ClaimState::kMismatch:
      return "mismatch";
  }
  return "unknown";
}

ClaimRecord* LedgerState::Find(const ClaimKey& key,
                               const std::string& claim_id) {
  const auto it = claims_.find(key);
  return it != claims_.end() && it->second.request.claim_id == claim_id
             ? &it->second
             : nullptr;
}

ClaimResult LedgerState::Claim(const ClaimRequest& request,
                               std::uint64_t at_ms) {
  if (given_up_.contains(request.claim_id))
    return {ClaimState::kUnknown, {}};
  const auto [it, added] = claims_.try_emplace(
      request.key, ClaimRecord{request, ClaimState::kRunning, {}, at_ms});
  if (added)
    return {ClaimState::kGranted, {}};
  const ClaimRecord& record = it->second;
  // The same claim, sent again because the reply was lost.
  if (record.request == request && record.state == ClaimState::kRunning)
    return {ClaimState::kGranted, {}};
  if (record.request.digest != request.digest)
    return {ClaimState::kMismatch, {}};
  return {record.state, record.answer};
}

void LedgerState::Finish(const ClaimKey& key,
                         const std::string& claim_id,
                         const StoredAnswer& answer,
                         std::uint64_t at_ms) {
  ClaimRecord* record = Find(key, claim_id);
  if (record == nullptr || record->state == ClaimState::kFinished)
    return;
  record->state = ClaimState::kFinished;
  record->answer = answer;
  record->at_ms = at_ms;
}

void LedgerState::MarkUnknown(const ClaimKey& key,
                              const std::string& claim_id,
                              std::uint64_t at_ms) {
  ClaimRecord* record = Find(key, claim_id);
  if (record == nullptr || record->state != ClaimState::kRunning)
    return;
  record->state = ClaimState::kUnknown;
  record->at_ms = at_ms;
}

void LedgerState::Release(const ClaimKey& key,
                          const std::string& claim_id,
                          std::uint64_t at_ms) {
  given_up_[claim_id] = at_ms;
  const ClaimRecord* record = Find(key, claim_id);
  if (record != nullptr && record->state != ClaimState::kFinished)
    claims_.erase(key);
}

void LedgerState::OnHostDown(const HostId& host, std::uint64_t at_ms) {
  for (auto& [key, record] : claims_) {
    if (record.request.host == host && record.state == ClaimState::kRunning) {
      record.state = ClaimState::kUnknown;
      record.at_ms = at_ms;
    }
  }
}

void LedgerState::Compact(std::uint64_t now_ms) {
  // Running claims are never dropped, because their host may still run them.
  std::erase_if(claims_, [&](const auto& entry) {
    const ClaimRecord& record = entry.second;
    return record.state != ClaimState::kRunning &&
           record.at_ms + RetentionOf(record.state) < now_ms;
  });
  std::erase_if(given_up_, [&](const auto& entry) {
    return entry.second + kGivenUpRetentionMs < now_ms;
  });
}

std::vector<ClaimRecord> LedgerState::Records() const {
  std::vector<ClaimRecord> records;
  records.reserve(claims_.size());
  for (const auto& [key, record] : claims_)
    records.push_back(record);
  return records;
}

void LedgerState::Restore(
    const std::vector<ClaimRecord>& records,
    const std::map<std::string, std::uint64_t>& given_up) {
  claims_.clear();
  for (const ClaimRecord& record : records)
    claims_.emplace(record.request.key, record);
  given_up_ = given_up;
}

}  // namespace endivecart::ledger
