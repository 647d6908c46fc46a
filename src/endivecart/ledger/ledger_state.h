#ifndef ENDIVECART_LEDGER_LEDGER_STATE_H_
#define ENDIVECART_LEDGER_LEDGER_STATE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "endivecart/ledger/claim.h"

namespace endivecart::ledger {

// A replicated claim.
struct ClaimRecord {
  ClaimRequest request;
  ClaimState state = ClaimState::kRunning;
  StoredAnswer answer;
  std::uint64_t at_ms = 0;  // Unix time of the last change

  bool operator==(const ClaimRecord&) const = default;
};

// Replicated state machine of at-most-once calls. Deterministic: the same
// commands in the same order yield the same state on every voter.
class LedgerState {
 public:
  // Grants one claim for each key. A released claim id is never granted; the
  // same claim is granted again while it is running.
  ClaimResult Claim(const ClaimRequest& request, std::uint64_t at_ms);
  // Stores the response. Also resolves a claim whose outcome was unknown.
  void Finish(const ClaimKey& key,
              const std::string& claim_id,
              const StoredAnswer& answer,
              std::uint64_t at_ms);
  // Marks a running claim as unknown: its request may have run.
  void MarkUnknown(const ClaimKey& key,
                   const std::string& claim_id,
                   std::uint64_t at_ms);
  // Releases a claim whose host has not sent the request and never will. Also
  // applies if the claim itself comes later in the log.
  void Release(const ClaimKey& key,
               const std::string& claim_id,
               std::uint64_t at_ms);
  // Marks the host's running claims as unknown, because the host may never
  // report their outcome.
  void OnHostDown(const HostId& host, std::uint64_t at_ms);
  // Removes records whose retention period has passed.
  void Compact(std::uint64_t now_ms);

  // The state for a snapshot: the records and the released claim ids.
  std::vector<ClaimRecord> Records() const;
  const std::map<std::string, std::uint64_t>& given_up() const {
    return given_up_;
  }
  // Replaces the state by that of a snapshot.
  void Restore(const std::vector<ClaimRecord>& records,
               const std::map<std::string, std::uint64_t>& given_up);
  std::size_t size() const { return claims_.size(); }

 private:
  ClaimRecord* Find(const ClaimKey& key, const std::string& claim_id);

  std::map<ClaimKey, ClaimRecord> claims_;
  std::map<std::string, std::uint64_t> given_up_;  // claim id -> Unix ms
};

}  // namespace endivecart::ledger

#endif  // ENDIVECART_LEDGER_LEDGER_STATE_H_
