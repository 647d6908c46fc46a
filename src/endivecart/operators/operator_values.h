#ifndef ENDIVECART_OPERATORS_OPERATOR_VALUES_H_
#define ENDIVECART_OPERATORS_OPERATOR_VALUES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::operators {

// A change of the configuration by an operator.
struct ChangeRequest {
  std::string change_id;
  std::string author;
  std::optional<Revision> expected_revision;  // none: the current one
  std::string patch;                          // JSON merge patch

  bool operator==(const ChangeRequest&) const = default;
};

// The result of a change; the same each time the change is sent.
struct ChangeResult {
  bool accepted = false;
  Revision revision = 0;  // of the change, or the current one on a conflict
  std::string conflict_change_id;  // the change that was applied instead
  std::string conflict_author;
  std::string error;  // set if the change itself is invalid

  bool operator==(const ChangeResult&) const = default;
};

// A host on which a change is not in force yet.
struct OutstandingHost {
  HostId host;
  Revision revision = 0;
  std::string reason;

  bool operator==(const OutstandingHost&) const = default;
};

// Progress of putting a configuration into force.
struct ForceState {
  Revision revision = 0;
  bool in_force = false;
  std::vector<OutstandingHost> outstanding;

  bool operator==(const ForceState&) const = default;
};

// An accepted change.
struct HistoryEntry {
  Revision revision = 0;
  std::string change_id;
  std::string author;
  std::uint64_t at_ms = 0;  // Unix time
  std::string patch;

  bool operator==(const HistoryEntry&) const = default;
};

enum class OperatorErrorCode {
  kNoQuorum,  // the outcome is unknown: send the same change again
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
