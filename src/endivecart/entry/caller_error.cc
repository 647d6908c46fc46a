#include "endivecart/entry/caller_error.h"

#include <Poco/JSONString.h>

namespace endivecart::entry {

std::string_view RunStateName(RunState state) {
  switch (state) {
    case RunState::kNotRun:
      return "not-run";
    case RunState::kUnknown:
      return "unknown";
    case RunState::kRan:
      return "ran";
  }
  return "unknown";
}

std::string JsonQuoted(std::string_view text) {
  return Poco::toJSON(std::string(text), true);
}

std::string CallerError::ToJson() const {
  return "{\"error\":{\"code\":" + JsonQuoted(code) +
         ",\"message\":" + JsonQuoted(message) +
         ",\"run\":" + JsonQuoted(RunStateName(run)) + "}}";
}

}  // namespace endivecart::entry
