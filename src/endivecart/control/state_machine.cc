#include "endivecart/control/state_machine.h"

#include <algorithm>
#include <utility>

#include "endivecart/configuration/configuration.h"

namespace endivecart::control {

namespace {

// Number of changes whose outcomes and patches are kept: about ten days at the
// planned system size.
constexpr std::size_t kMaxKeptChanges = 4096;

ledger::ClaimKey KeyOf(const std::string& customer, const std::string& key) {
  return {CustomerId(customer), key};
}

wire::ClaimOutcome::State ToWire(ledger::ClaimState state) {
  switch (state) {
    case ledger::ClaimState::kGranted:
      return wire::ClaimOutcome::GRANTED;
    case ledger::ClaimState::kRunning:
      return wire::ClaimOutcome::RUNNING;
    case ledger::ClaimState::kFinished:
      return wire::ClaimOutcome::FINISHED;
    case ledger::ClaimState::kUnknown:
      return wire::ClaimOutcome::UNKNOWN;
    case ledger::ClaimState::kMismatch:
      return wire::ClaimOutcome::MISMATCH;
  }
  return wire::ClaimOutcome::UNKNOWN;
}

ledger::ClaimState FromWire(wire::ClaimOutcome::State state) {
  switch (state) {
    case wire::ClaimOutcome::RUNNING:
      return ledger::ClaimState::kRunning;
    case wire::ClaimOutcome::FINISHED:
      return ledger::ClaimState::kFinished;
    default:
      return ledger::ClaimState::kUnknown;
  }
}

wire::ClaimOutcome ToWire(ledger::ClaimState state,
                          const ledger::StoredAnswer& answer) {
  wire::ClaimOutcome outcome;
  outcome.set_state(ToWire(state));
  outcome.set_status(static_cast<std::uint32_t>(answer.status));
  outcome.set_content_type(answer.content_type);
  outcome.set_answer(answer.body);
  return outcome;
}

wire::ClaimRecord ToWire(const ledger::ClaimRecord& record) {
  wire::ClaimRecord out;
  out.set_customer(record.request.key.customer.str());
  out.set_key(record.request.key.key);
  out.set_digest(record.request.digest);
  out.set_host(record.request.host.str());
  out.set_claim_id(record.request.claim_id);
  *out.mutable_outcome() = ToWire(record.state, record.answer);
  out.set_at_ms(record.at_ms);
  return out;
}

ledger::ClaimRecord FromWire(const wire::ClaimRecord& record) {
  ledger::ClaimRecord out;
  out.request = {KeyOf(record.customer(), record.key()), record.digest(),
                 HostId(record.host()), record.claim_id()};
  out.state = FromWire(record.outcome().state());
  out.answer = {static_cast<int>(record.outcome().status()),
                record.outcome().content_type(), record.outcome().answer()};
  out.at_ms = record.at_ms();
  return out;
}

}  // namespace

StateMachine::StateMachine(Validator validate)
    : validate_(std::move(validate)) {}

wire::Outcome StateMachine::Apply(const std::string& bytes) {
  wire::Outcome outcome;
  wire::Command command;
  if (!command.ParseFromString(bytes))
    return outcome;
  newest_ms_ = std::max<std::uint64_t>(newest_ms_, command.at_ms());
  if (command.has_change()) {
    *outcome.mutable_change() = ApplyChange(command.change());
    return outcome;
  }
  if (command.has_claim()) {
    *outcome.mutable_claim() = ApplyClaim(command.claim());
    return outcome;
  }
  if (command.has_finish())
    ApplyFinish(command.finish());
  if (command.has_release()) {
    const auto& release = command.release();
    ledger_.Release(KeyOf(release.customer(), release.key()),
                    release.claim_id(), newest_ms_);
  }
  if (command.has_host_state())
    ApplyHostState(command.host_state());
  outcome.set_done(true);
  return outcome;
}

wire::ChangeOutcome StateMachine::ApplyChange(
    const wire::ConfigurationChange& change) {
  // A repeated change id gets the same outcome.
  const auto known = changes_.find(change.change_id());
  if (known != changes_.end())
    return known->second.outcome();
  wire::ChangeOutcome outcome;
  outcome.set_revision(revision_);
  if (change.expected_revision() != revision_) {
    const auto winner = accepted_.upper_bound(change.expected_revision());
    if (winner != accepted_.end()) {
      outcome.set_conflict_change_id(winner->second);
      outcome.set_conflict_author(changes_[winner->second].author());
    } else {
      outcome.set_conflict_change_id("-");
    }
    RecordChange(change, outcome);
    return outcome;
  }
  const auto document =
      configuration::ApplyMergePatch(document_, change.patch());
  const std::string error =
      document ? validate_(*document) : settings::JoinErrors(document.error());
  if (!error.empty()) {
    outcome.set_error(error);
    RecordChange(change, outcome);
    return outcome;
  }
  document_ = *document;
  ++revision_;
  outcome.set_accepted(true);
  outcome.set_revision(revision_);
  RecordChange(change, outcome);
  accepted_[revision_] = change.change_id();
  return outcome;
}

void StateMachine::RecordChange(const wire::ConfigurationChange& change,
                                const wire::ChangeOutcome& outcome) {
  wire::ChangeRecord record;
  record.set_change_id(change.change_id());
  record.set_author(change.author());
  record.set_revision(outcome.accepted() ? outcome.revision() : 0);
  record.set_at_ms(newest_ms_);
  if (outcome.accepted())
    record.set_patch(change.patch());
  *record.mutable_outcome() = outcome;
  changes_[change.change_id()] = std::move(record);
  change_order_.push_back(change.change_id());
  if (change_order_.size() <= kMaxKeptChanges)
    return;
  const auto oldest = changes_.find(change_order_.front());
  accepted_.erase(oldest->second.revision());
  changes_.erase(oldest);
  change_order_.erase(change_order_.begin());
}

wire::ClaimOutcome StateMachine::ApplyClaim(const wire::ClaimCommand& claim) {
  ledger_.Compact(newest_ms_);
  const ledger::ClaimResult result =
      ledger_.Claim({KeyOf(claim.customer(), claim.key()), claim.digest(),
                     HostId(claim.host()), claim.claim_id()},
                    newest_ms_);
  return ToWire(result.state, result.answer);
}

void StateMachine::ApplyFinish(const wire::FinishCommand& finish) {
  const ledger::ClaimKey key = KeyOf(finish.customer(), finish.key());
  if (finish.unknown()) {
    ledger_.MarkUnknown(key, finish.claim_id(), newest_ms_);
    return;
  }
  ledger_.Finish(key, finish.claim_id(),
                 {static_cast<int>(finish.status()), finish.content_type(),
                  finish.answer()},
                 newest_ms_);
}

void StateMachine::ApplyHostState(const wire::HostStateCommand& command) {
  const HostId host(command.host());
  const bool changed = command.down() ? down_hosts_.insert(host).second
                                      : down_hosts_.erase(host) > 0;
  if (!changed)
    return;
  ++down_epoch_;
  if (command.down())
    ledger_.OnHostDown(host, newest_ms_);
}

std::vector<wire::ChangeRecord> StateMachine::History() const {
  std::vector<wire::ChangeRecord> history;
  for (const auto& [revision, change_id] : accepted_)
    history.push_back(changes_.at(change_id));
  return history;
}

bool StateMachine::PatchesSince(
    Revision revision,
    std::vector<wire::RevisionPatch>& patches) const {
  for (Revision next = revision + 1; next <= revision_; ++next) {
    const auto change = accepted_.find(next);
    if (change == accepted_.end())
      return false;
    wire::RevisionPatch& patch = patches.emplace_back();
    patch.set_revision(next);
    patch.set_patch(changes_.at(change->second).patch());
  }
  return true;
}

std::string StateMachine::Snapshot() const {
  wire::MachineState state;
  state.set_revision(revision_);
  state.set_document(document_);
  for (const std::string& id : change_order_)
    *state.add_changes() = changes_.at(id);
  for (const ledger::ClaimRecord& record : ledger_.Records())
    *state.add_claims() = ToWire(record);
  for (const auto& [id, at_ms] : ledger_.given_up())
    (*state.mutable_given_up())[id] = at_ms;
  for (const HostId& host : down_hosts_)
    state.add_down_hosts(host.str());
  state.set_down_epoch(down_epoch_);
  state.set_newest_ms(newest_ms_);
  return state.SerializeAsString();
}

void StateMachine::Restore(const std::string& bytes) {
  wire::MachineState state;
  if (!bytes.empty() && !state.ParseFromString(bytes)) {
    LogLine("control.bad_snapshot").Error();
    return;
  }
  CheckInvariant(state.revision() >= revision_,
                 Invariant::kConfigurationMonotone,
                 "a snapshot holds an older revision");
  revision_ = state.revision();
  document_ = state.document().empty() ? "{}" : state.document();
  changes_.clear();
  accepted_.clear();
  change_order_.clear();
  for (const wire::ChangeRecord& change : state.changes()) {
    changes_[change.change_id()] = change;
    change_order_.push_back(change.change_id());
    if (change.outcome().accepted())
      accepted_[change.revision()] = change.change_id();
  }
  std::vector<ledger::ClaimRecord> claims;
  for (const wire::ClaimRecord& claim : state.claims())
    claims.push_back(FromWire(claim));
  ledger_.Restore(claims, {state.given_up().begin(), state.given_up().end()});
  down_hosts_.clear();
  for (const std::string& host : state.down_hosts())
    down_hosts_.insert(HostId(host));
  down_epoch_ = state.down_epoch();
  newest_ms_ = state.newest_ms();
}

}  // namespace endivecart::control
