#ifndef ENDIVECART_ENTRY_COMPLETION_HANDLER_H_
#define ENDIVECART_ENTRY_COMPLETION_HANDLER_H_

#include <functional>
#include <string>

#include "endivecart/base/base.h"
#include "endivecart/configuration/configuration.h"
#include "endivecart/entry/answer_writer.h"
#include "endivecart/entry/dispatcher.h"
#include "endivecart/entry/inference_request.h"
#include "endivecart/entry/upstream_attempt.h"
#include "endivecart/http/http.h"

namespace endivecart::entry {

// An authenticated caller and the class of its request.
struct CallerContext {
  RequestId id;
  CustomerId customer;
  configuration::RequestClass request_class;
  TimePoint arrived;

  bool operator==(const CallerContext&) const = default;
};

// Handles generation requests: admission, attempts, resumption of cut streams,
// and an explicit error if no complete response can be given.
class CompletionHandler {
 public:
  struct Hooks {
    std::function<TimePoint()> now;
    // Acquires a read lease on stored pieces; false if they cannot be read.
    std::function<bool(const Placement&)> lease_pieces;
    // Called after a complete response, whose prompt may be worth storing.
    std::function<void(const Placement&, const AttemptReport&)> on_answered;
  };

  CompletionHandler(Dispatcher& dispatcher,
                    http::ClientPool& pool,
                    MetricsRegistry& metrics,
                    Hooks hooks);

  void Handle(const CallerContext& caller,
              const InferenceRequest& request,
              http::ServerResponse& response);

 private:
  struct Progress;

  AttemptResult RunOne(const CallerContext& caller,
                       const InferenceRequest& request,
                       Placement& placement,
                       AnswerWriter& writer,
                       Progress& progress);
  // Returns whether another attempt is allowed after `result`.
  bool MayRetry(const CallerContext& caller,
                const AttemptResult& result,
                Progress& progress) const;
  void RunAttempts(const CallerContext& caller,
                   const InferenceRequest& request,
                   PlacementRequest& placement_request,
                   Placement placement,
                   AnswerWriter& writer);
  void Refuse(const CallerContext& caller,
              const PlacementError& error,
              bool bytes_sent,
              AnswerWriter& writer);
  void ReportFailure(const CallerContext& caller,
                     const AttemptResult& result,
                     const Progress& progress,
                     AnswerWriter& writer);

  Dispatcher& dispatcher_;
  http::ClientPool& pool_;
  MetricsRegistry& metrics_;
  Hooks hooks_;
};

}  // namespace endivecart::entry

#endif  // ENDIVECART_ENTRY_COMPLETION_HANDLER_H_
