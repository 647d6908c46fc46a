#ifndef ENDIVECART_HOST_CLAIM_CLIENT_H_
#define ENDIVECART_HOST_CLAIM_CLIENT_H_

#include "endivecart/entry/entry.h"
#include "endivecart/host/control_thread.h"
#include "endivecart/ledger/ledger.h"

namespace endivecart::host {

// Internal. Makes claims through the replicated log on behalf of request
// threads. What must reach the log in the end is proposed until it has.
class ClaimClient {
 public:
  explicit ClaimClient(ControlThread& control);

  // Blocks until the outcome is certain, or until this host has given the
  // claim up for good.
  Result<ledger::ClaimResult, ledger::LedgerError> Claim(
      const ledger::ClaimRequest& request);
  // Waits a short while for the answer to be kept; goes on in the background.
  void Finish(const ledger::ClaimRequest& request,
              const ledger::KeptAnswer& answer);
  void MarkUnknown(const ledger::ClaimRequest& request);
  void Release(const ledger::ClaimRequest& request);

  entry::ClaimHooks Hooks();

 private:
  // Proposes `command` until it is decided, then calls `done`.
  static void ProposeUntilDecided(ControlThread& control,
                                  const wire::Command& command,
                                  const std::function<void()>& done);
  void RunToEnd(const wire::Command& command, Millis wait);

  ControlThread& control_;
};

}  // namespace endivecart::host

#endif  // ENDIVECART_HOST_CLAIM_CLIENT_H_
