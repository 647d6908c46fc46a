#ifndef ENDIVECART_CONTROL_STATE_MACHINE_H_
#define ENDIVECART_CONTROL_STATE_MACHINE_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/ledger/ledger.h"
#include "endivecart/transport/transport.h"

namespace endivecart::control {

// State machine of the Raft log: the configuration with its changes, the claims
// of at-most-once calls, and which hosts are down. Deterministic. Not
// thread-safe.
class StateMachine {
 public:
  using Validator = std::function<std::string(const std::string& document)>;

  // `validate` returns an error text for an invalid document, and an empty
  // string otherwise. It must give the same result on every voter.
  explicit StateMachine(Validator validate);

  // Applies one serialized Command. A malformed command changes nothing.
  wire::Outcome Apply(const std::string& command);

  // Returns the serialized state.
  std::string Snapshot() const;
  // Replaces the state by one returned by Snapshot().
  void Restore(const std::string& state);

  Revision revision() const { return revision_; }
  const std::string& document() const { return document_; }
  // Returns the accepted changes that are still kept, oldest first.
  std::vector<wire::ChangeRecord> History() const;
  // Appends the patches that lead from `revision` to the current one, oldest
  // first. Returns false if some are no longer kept.
  bool PatchesSince(Revision revision,
                    std::vector<wire::RevisionPatch>& patches) const;
  const std::set<HostId>& down_hosts() const { return down_hosts_; }
  std::uint64_t down_epoch() const { return down_epoch_; }
  const ledger::LedgerState& ledger() const { return ledger_; }

 private:
  wire::ChangeOutcome ApplyChange(const wire::ConfigurationChange& change);
  void RecordChange(const wire::ConfigurationChange& change,
                    const wire::ChangeOutcome& outcome);
  wire::ClaimOutcome ApplyClaim(const wire::ClaimCommand& claim);
  void ApplyFinish(const wire::FinishCommand& finish);
  void ApplyHostState(const wire::HostStateCommand& command);

  Validator validate_;
  Revision revision_ = 0;
  std::string document_ = "{}";
  std::map<std::string, wire::ChangeRecord> changes_;  // by change id
  std::map<Revision, std::string> accepted_;           // change id by revision
  std::vector<std::string> change_order_;              // oldest first
  ledger::LedgerState ledger_;
  std::set<HostId> down_hosts_;
  std::uint64_t down_epoch_ = 0;
  std::uint64_t newest_ms_ = 0;  // highest Unix time of a command
};

}  // namespace endivecart::control

#endif  // ENDIVECART_CONTROL_STATE_MACHINE_H_
