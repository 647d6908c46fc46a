#ifndef ENDIVECART_HOST_CLAIM_CLIENT_H_
#define ENDIVECART_HOST_CLAIM_CLIENT_H_

#include "endivecart/entry/entry.h"
#include "endivecart/host/control_thread.h"
#include "endivecart/ledger/ledger.h"

namespace endivecart::host {

// Internal. Makes claims through the replicated log for request threads. The
// results of claims are proposed repeatedly until they are committed.
class ClaimClient {
 public:
  explicit ClaimClient(ControlThread& control);

  // Blocks until the outcome is certain, or fails after the timeout; then this
  // host releases the claim and never runs the request.
  Result<ledger::ClaimResult, ledger::LedgerError> Claim(
      const ledger::ClaimRequest& request);
  // Waits briefly for the response to be stored, and continues in the
  // background. Responses that are too large to store are marked as unknown.
  void Finish(const ledger::ClaimRequest& request,
              const ledger::StoredAnswer& answer);
  // Marks the outcome as unknown: the request may have run. Does not wait.
  void MarkUnknown(const ledger::ClaimRequest& request);
  // Releases a claim whose request was never sent. Does not wait.
  void Release(const ledger::ClaimRequest& request);

  entry::ClaimHooks Hooks();

 private:
  // Proposes `command` until it is decided, then calls `done`.
  static void ProposeUntilDecided(ControlThread& control,
                                  const wire::Command& command,
                                  const std::function<void()>& done);
  void ProposeAndWait(const wire::Command& command, Millis wait);

  ControlThread& control_;
};

}  // namespace endivecart::host

#endif  // ENDIVECART_HOST_CLAIM_CLIENT_H_
