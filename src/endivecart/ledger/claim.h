#ifndef ENDIVECART_LEDGER_CLAIM_H_
#define ENDIVECART_LEDGER_CLAIM_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "endivecart/base/base.h"

namespace endivecart::ledger {

// What names a non-idempotent request for its customer.
struct ClaimKey {
  CustomerId customer;
  std::string key;  // the caller's Idempotency-Key

  auto operator<=>(const ClaimKey&) const = default;
};

// A host's wish to run a request. Its id is never used twice.
struct ClaimRequest {
  ClaimKey key;
  std::string digest;  // of the request, to detect a reused key
  HostId host;
  std::string claim_id;

  bool operator==(const ClaimRequest&) const = default;
};

// An answer that is kept for later calls with the same key.
struct KeptAnswer {
  int status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const KeptAnswer&) const = default;
};

enum class ClaimState {
  kGranted,   // the asker, and nobody else, may run it
  kRunning,   // another asker has it
  kFinished,  // it ran; the answer is kept
  kUnknown,   // it may have run; it is never run again
  kMismatch,  // the key belongs to another request
};

std::string_view ClaimStateName(ClaimState state);

struct ClaimResult {
  ClaimState state = ClaimState::kGranted;
  KeptAnswer answer;  // for kFinished

  bool operator==(const ClaimResult&) const = default;
};

enum class LedgerErrorCode {
  kNoQuorum,  // nothing was claimed, or the host has given the claim up
};

struct LedgerError {
  LedgerErrorCode code;
  std::string detail;

  bool operator==(const LedgerError&) const = default;
};

}  // namespace endivecart::ledger

#endif  // ENDIVECART_LEDGER_CLAIM_H_
