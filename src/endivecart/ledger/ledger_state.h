#ifndef ENDIVECART_LEDGER_LEDGER_STATE_H_
#define ENDIVECART_LEDGER_LEDGER_STATE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "endivecart/ledger/claim.h"

namespace endivecart::ledger {

// One claim as it is replicated.
struct ClaimRecord {
  ClaimRequest request;
  ClaimState state = ClaimState::kRunning;
  KeptAnswer answer;
  std::uint64_t at_ms = 0;  // Unix time of the last change

  bool operator==(const ClaimRecord&) const = default;
};

// The replicated state of at-most-once calls. Deterministic: the same commands
// in the same order give the same state on every voter.
class LedgerState {
 public:
  // Grants a claim once for each key. A claim id that was granted, or given
  // up, is not granted again.
  ClaimResult Claim(const ClaimRequest& request, std::uint64_t at_ms);
  // Keeps the answer. Also turns an unknown outcome into a known one.
  void Finish(const ClaimKey& key,
              const std::string& claim_id,
              const KeptAnswer& answer,
              std::uint64_t at_ms);
  void MarkUnknown(const ClaimKey& key,
                   const std::string& claim_id,
                   std::uint64_t at_ms);
  // The claiming host never sent anything, and never will. This also holds if
  // the claim itself comes later in the log.
  void Release(const ClaimKey& key,
               const std::string& claim_id,
               std::uint64_t at_ms);
  // Nobody will tell what became of the host's running claims.
  void OnHostDown(const HostId& host, std::uint64_t at_ms);
  // Drops records whose retention has ended.
  void Compact(std::uint64_t now_ms);

  std::vector<ClaimRecord> Records() const;
  const std::map<std::string, std::uint64_t>& given_up() const {
    return given_up_;
  }
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
