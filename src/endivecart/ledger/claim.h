#ifndef ENDIVECART_LEDGER_CLAIM_H_
#define ENDIVECART_LEDGER_CLAIM_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "endivecart/base/base.h"

namespace endivecart::ledger {

// Identifies a non-idempotent request of a customer.
struct ClaimKey {
  CustomerId customer;
  std::string key;  // the caller's Idempotency-Key

  auto operator<=>(const ClaimKey&) const = default;
};

// A host's claim to run a request. Claim ids are never reused.
struct ClaimRequest {
  ClaimKey key;
  std::string digest;  // of the request, to detect a reused key
  HostId host;
  std::string claim_id;

  bool operator==(const ClaimRequest&) const = default;
};

// The response that is stored for later calls with the same key.
struct StoredAnswer {
  int status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const StoredAnswer&) const = default;
};

enum class ClaimState {
  kGranted,   // the claiming host, and no other, may run the request
  kRunning,   // another claim is running it
  kFinished,  // it ran; the response is stored
  kUnknown,   // it may have run; it is never run again
  kMismatch,  // the key belongs to another request
};

std::string_view ClaimStateName(ClaimState state);

struct ClaimResult {
  ClaimState state = ClaimState::kGranted;
  StoredAnswer answer;  // for kFinished

  bool operator==(const ClaimResult&) const = default;
};

enum class LedgerErrorCode {
  kNoQuorum,  // not claimed, or the host has released the claim
};

struct LedgerError {
  LedgerErrorCode code;
  std::string detail;

  bool operator==(const LedgerError&) const = default;
};

}  // namespace endivecart::ledger

#endif  // ENDIVECART_LEDGER_CLAIM_H_
