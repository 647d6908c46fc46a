#ifndef ENDIVECART_ENTRY_UPSTREAM_ATTEMPT_H_
#define ENDIVECART_ENTRY_UPSTREAM_ATTEMPT_H_

#include <functional>
#include <string>
#include <string_view>

#include "endivecart/base/base.h"
#include "endivecart/entry/inference_request.h"
#include "endivecart/entry/placement.h"
#include "endivecart/http/http.h"

namespace endivecart::entry {

enum class AttemptEnd {
  kComplete,
  kNotSent,  // no byte reached the upstream
  kRefused,  // it answered with an error instead of a stream
  kCut,      // the stream stopped before its terminal mark
  kForeign,  // the answer was not this attempt's own
  kCallerGone,
  kTimedOut,
};

std::string_view AttemptEndName(AttemptEnd end);

struct AttemptResult {
  AttemptEnd end = AttemptEnd::kNotSent;
  AttemptReport report;
  std::string detail;
  std::string finish_reason;

  bool operator==(const AttemptResult&) const = default;
};

struct AttemptInput {
  const InferenceRequest* request = nullptr;
  const Placement* placement = nullptr;
  std::string attempt_id;  // echoed by the upstream with each chunk
  int resume_from = 0;     // tokens that the caller already has
  int priority = 0;
  TimePoint deadline;
};

// Sends one attempt to its upstream and reads the stream. Every chunk must
// carry the attempt's id and the next position; `on_token` gets its text and
// returns false once the caller is gone. `on_first_token` gets the time since
// the attempt was sent, in ms.
AttemptResult RunAttempt(const AttemptInput& input,
                         const std::function<TimePoint()>& now,
                         http::ClientPool& pool,
                         const std::function<void(double)>& on_first_token,
                         const std::function<bool(std::string_view)>& on_token);

}  // namespace endivecart::entry

#endif  // ENDIVECART_ENTRY_UPSTREAM_ATTEMPT_H_
