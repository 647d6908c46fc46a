#include "endivecart/duties/usage_log.h"

#include <utility>

namespace endivecart::duties {

namespace {

UsageWindow FromWire(const wire::ClosedUsageWindow& message) {
  UsageWindow window;
  window.number = message.number();
  for (const wire::CustomerUsage& usage : message.counts())
    window.counts[CustomerId(usage.customer())] = usage.requests();
  return window;
}

}  // namespace

std::string_view DutyOutcomeName(DutyOutcome outcome) {
  switch (outcome) {
    case DutyOutcome::kAccepted:
      return "accepted";
    case DutyOutcome::kOutdated:
      return "outdated";
    case DutyOutcome::kBusy:
      return "busy";
    case DutyOutcome::kRefused:
      return "refused";
    case DutyOutcome::kNoAnswer:
      return "no_answer";
    case DutyOutcome::kNotSent:
      return "not_sent";
  }
  return "";
}

wire::ClosedUsageWindow ToWire(const UsageWindow& window) {
  wire::ClosedUsageWindow message;
  message.set_number(window.number);
  for (const auto& [customer, requests] : window.counts) {
    wire::CustomerUsage& usage = *message.add_counts();
    usage.set_customer(customer.str());
    usage.set_requests(requests);
  }
  return message;
}

bool UsageLog::CanClose(std::uint64_t window) const {
  if (windows_.contains(window))
    return false;
  // A window below the oldest kept one may have been closed, reported with
  // other counts and removed.
  return windows_.size() < kKeptWindows || window > windows_.begin()->first;
}

bool UsageLog::Apply(const wire::CloseUsageWindowCommand& command) {
  for (const std::uint64_t number : command.finished_windows()) {
    const auto it = windows_.find(number);
    if (it != windows_.end())
      it->second.is_finished = true;
  }
  const std::uint64_t number = command.window().number();
  if (!CanClose(number))
    return false;
  windows_[number] = {FromWire(command.window()), false};
  if (windows_.size() > kKeptWindows)
    windows_.erase(windows_.begin());
  return true;
}

void UsageLog::AddTo(wire::FleetDecisions& snapshot) const {
  for (const auto& [number, closed] : windows_) {
    wire::ClosedUsageWindow& message = *snapshot.add_closed_usage_windows();
    message = ToWire(closed.window);
    message.set_finished(closed.is_finished);
  }
}

UsageLog UsageLog::FromSnapshot(const wire::FleetDecisions& snapshot) {
  UsageLog log;
  for (const wire::ClosedUsageWindow& message :
       snapshot.closed_usage_windows()) {
    log.windows_[message.number()] = {FromWire(message), message.finished()};
  }
  return log;
}

}  // namespace endivecart::duties
