#ifndef ENDIVECART_OPERATORS_OPERATOR_VALUES_H_
#define ENDIVECART_OPERATORS_OPERATOR_VALUES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::operators {

// An operator's change of the configuration.
struct ChangeRequest {
  std::string change_id;
  std::string author;
  std::optional<Revision> expected_revision;  // none: the current one
  std::string patch;                          // JSON merge patch

  bool operator==(const ChangeRequest&) const = default;
};

// The answer to a change; the same each time the change is sent.
struct ChangeResult {
  bool accepted = false;
  Revision revision = 0;  // of the change, or the current one on a conflict
  std::string conflict_change_id;  // what won
  std::string conflict_author;
  std::string error;  // the change itself is faulty

  bool operator==(const ChangeResult&) const = default;
};

// A host on which a change is not in force yet.
struct OutstandingHost {
  HostId host;
  Revision revision = 0;
  std::string reason;

  bool operator==(const OutstandingHost&) const = default;
};

// How far a configuration has come.
struct ForceState {
  Revision revision = 0;
  bool in_force = false;
  std::vector<OutstandingHost> outstanding;

  bool operator==(const ForceState&) const = default;
};

// One accepted change.
struct HistoryEntry {
  Revision revision = 0;
  std::string change_id;
  std::string author;
  std::uint64_t at_ms = 0;  // Unix time
  std::string patch;

  bool operator==(const HistoryEntry&) const = default;
};

enum class OperatorErrorCode {
  kNoQuorum,  // the outcome is not known: send the same change again
  kNotFound,
  kBadRequest,
};

struct OperatorError {
  OperatorErrorCode code;
  std::string detail;

  bool operator==(const OperatorError&) const = default;
};

}  // namespace endivecart::operators

#endif  // ENDIVECART_OPERATORS_OPERATOR_VALUES_H_
