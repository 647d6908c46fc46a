#ifndef ENDIVECART_ENTRY_CALLER_ERROR_H_
#define ENDIVECART_ENTRY_CALLER_ERROR_H_

#include <string>
#include <string_view>

#include "endivecart/base/base.h"

namespace endivecart::entry {

// Whether any upstream ran the request. Sent as header Endivecart-Run.
enum class RunState { kNotRun, kUnknown, kRan };

std::string_view RunStateName(RunState state);

// An error as a caller sees it.
struct CallerError {
  int http_status = 500;
  std::string code;     // stable, for programs
  std::string message;  // for people
  RunState run = RunState::kNotRun;
  Millis retry_after{0};  // 0: no advice

  bool operator==(const CallerError&) const = default;
  // {"error":{"code":...,"message":...,"run":...}}
  std::string ToJson() const;
};

// A JSON string literal of `text`, with its quotes.
std::string JsonQuoted(std::string_view text);

}  // namespace endivecart::entry

#endif  // ENDIVECART_ENTRY_CALLER_ERROR_H_
