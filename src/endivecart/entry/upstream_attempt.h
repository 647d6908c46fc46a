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

enum class AttemptOutcome {
  kComplete,
  kNotSent,  // no byte reached the upstream
  kRefused,  // the upstream returned an error instead of a stream
  kCut,      // the stream ended before its terminal event
  kForeign,  // the response belongs to another attempt
  kCallerGone,
  kTimedOut,
};

std::string_view AttemptOutcomeName(AttemptOutcome outcome);

struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::kNotSent;
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
// carry the attempt's id and the next position. `on_token` is called with its
// text and returns false once the caller has disconnected; `on_first_token` is
// called with the time since the attempt was sent, in ms.
AttemptResult RunAttempt(const AttemptInput& input,
                         const std::function<TimePoint()>& now,
                         http::ClientPool& pool,
                         const std::function<void(double)>& on_first_token,
                         const std::function<bool(std::string_view)>& on_token);

}  // namespace endivecart::entry

#endif  // ENDIVECART_ENTRY_UPSTREAM_ATTEMPT_H_
