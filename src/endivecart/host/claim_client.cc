#include "endivecart/host/claim_client.h"

#include <future>
#include <memory>
#include <optional>
#include <utility>

namespace endivecart::host {

namespace {

constexpr Millis kClaimTimeout{2000};
constexpr Millis kFinishTimeout{500};
constexpr Millis kRetryTimeout{10000};
constexpr std::size_t kMaxStoredAnswerBytes = 64UL * 1024;

ledger::ClaimState FromWire(wire::ClaimOutcome::State state) {
  switch (state) {
    case wire::ClaimOutcome::GRANTED:
      return ledger::ClaimState::kGranted;
    case wire::ClaimOutcome::RUNNING:
      return ledger::ClaimState::kRunning;
    case wire::ClaimOutcome::FINISHED:
      return ledger::ClaimState::kFinished;
    case wire::ClaimOutcome::MISMATCH:
      return ledger::ClaimState::kMismatch;
    default:
      return ledger::ClaimState::kUnknown;
  }
}

template <class Part>
void SetKey(const ledger::ClaimRequest& request, Part* part) {
  part->set_customer(request.key.customer.str());
  part->set_key(request.key.key);
  part->set_claim_id(request.claim_id);
}

}  // namespace

ClaimClient::ClaimClient(ControlThread& control) : control_(control) {}

Result<ledger::ClaimResult, ledger::LedgerError> ClaimClient::Claim(
    const ledger::ClaimRequest& request) {
  wire::Command command;
  SetKey(request, command.mutable_claim());
  command.mutable_claim()->set_digest(request.digest);
  command.mutable_claim()->set_host(request.host.str());
  auto promise = std::make_shared<std::promise<std::optional<wire::Outcome>>>();
  auto future = promise->get_future();
  control_.Post([this, command, promise](TimePoint now) {
    control_.node().Propose(
        command, now + kClaimTimeout,
        [promise](std::optional<wire::Outcome> outcome) {
          promise->set_value(std::move(outcome));
        },
        now);
  });
  const auto outcome = future.get();
  if (!outcome || !outcome->has_claim()) {
    // The claim may still be committed. This host never runs it, and releases
    // it so that it does not block later calls.
    Release(request);
    return Fail(ledger::LedgerError{ledger::LedgerErrorCode::kNoQuorum,
                                    "no quorum answered in time"});
  }
  const wire::ClaimOutcome& claim = outcome->claim();
  return ledger::ClaimResult{
      FromWire(claim.state()),
      {static_cast<int>(claim.status()), claim.content_type(), claim.answer()}};
}

void ClaimClient::ProposeUntilDecided(ControlThread& control,
                                      const wire::Command& command,
                                      const std::function<void()>& done) {
  control.Post([&control, command, done](TimePoint now) {
    control.node().Propose(
        command, now + kRetryTimeout,
        [&control, command, done](const std::optional<wire::Outcome>& outcome) {
          if (outcome) {
            done();
          } else {
            ProposeUntilDecided(control, command, done);
          }
        },
        now);
  });
}

void ClaimClient::ProposeAndWait(const wire::Command& command, Millis wait) {
  auto promise = std::make_shared<std::promise<void>>();
  auto future = promise->get_future();
  ProposeUntilDecided(control_, command, [promise] { promise->set_value(); });
  future.wait_for(wait);
}

void ClaimClient::Finish(const ledger::ClaimRequest& request,
                         const ledger::StoredAnswer& answer) {
  if (answer.body.size() > kMaxStoredAnswerBytes)
    return MarkUnknown(request);
  wire::Command command;
  wire::FinishCommand* finish = command.mutable_finish();
  SetKey(request, finish);
  finish->set_status(static_cast<std::uint32_t>(answer.status));
  finish->set_content_type(answer.content_type);
  finish->set_answer(answer.body);
  ProposeAndWait(command, kFinishTimeout);
}

void ClaimClient::MarkUnknown(const ledger::ClaimRequest& request) {
  wire::Command command;
  SetKey(request, command.mutable_finish());
  command.mutable_finish()->set_unknown(true);
  ProposeAndWait(command, Millis(0));
}

void ClaimClient::Release(const ledger::ClaimRequest& request) {
  wire::Command command;
  SetKey(request, command.mutable_release());
  ProposeAndWait(command, Millis(0));
}

entry::ClaimHooks ClaimClient::Hooks() {
  return {[this](const auto& request) { return Claim(request); },
          [this](const auto& request, const auto& answer) {
            Finish(request, answer);
          },
          [this](const auto& request) { MarkUnknown(request); },
          [this](const auto& request) { Release(request); }};
}

}  // namespace endivecart::host
