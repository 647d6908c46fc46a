#ifndef ENDIVECART_ENTRY_CALLER_ERROR_H_
#define ENDIVECART_ENTRY_CALLER_ERROR_H_

#include <string>
#include <string_view>

#include "endivecart/base/base.h"

namespace endivecart::entry {

// Whether an upstream ran the request. Sent in the header Endivecart-Run.
enum class RunState { kNotRun, kUnknown, kRan };

std::string_view RunStateName(RunState state);

// An error as it is returned to callers.
struct CallerError {
  int http_status = 500;
  std::string code;     // stable, machine-readable
  std::string message;  // human-readable
  RunState run = RunState::kNotRun;
  Millis retry_after{0};  // 0: no Retry-After header

  bool operator==(const CallerError&) const = default;
  // {"error":{"code":...,"message":...,"run":...}}
  std::string ToJson() const;
};

// Returns `text` as a JSON string literal, including the quotes.
std::string JsonQuoted(std::string_view text);

}  // namespace endivecart::entry

#endif  // ENDIVECART_ENTRY_CALLER_ERROR_H_
