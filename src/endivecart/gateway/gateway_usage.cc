// What hosts report of customers' usage and of the demand for servers.

#include <algorithm>
#include <map>
#include <utility>

#include "endivecart/gateway/forwarding.h"

namespace endivecart::gateway {

std::optional<fleet::UsageChanges> Gateway::UsageSince(std::uint64_t change) {
  const TimePoint now = loop_.Now();
  TimePoint counted_until = now;
  for (const auto& forwarding : active_) {
    counted_until =
        std::min(counted_until, forwarding->UncountedSince().value_or(now));
  }
  const auto report = usage_.ReportSince(change, counted_until, now);
  if (!report)
    return std::nullopt;
  return fleet::UsageChanges{duties::ToWire(*report), report->change};
}

std::vector<wire::WaitingRecord> Gateway::WaitingForScaled() const {
  std::map<routes::ServiceId, wire::WaitingRecord> by_service;
  for (const auto& [ticket, weak] : waiting_) {
    const auto forwarding = weak.lock();
    if (!forwarding)
      continue;
    const auto* service =
        routes_->configuration().FindService(forwarding->service());
    if (service == nullptr || !service->scaling)
      continue;
    wire::WaitingRecord& record = by_service[service->id];
    record.set_service(service->id.str());
    record.set_requests(record.requests() + 1);
    record.set_prompt_tokens(
        record.prompt_tokens() +
        static_cast<std::uint64_t>(forwarding->PromptTokens()));
  }
  std::vector<wire::WaitingRecord> records;
  records.reserve(by_service.size());
  for (auto& [id, record] : by_service)
    records.push_back(std::move(record));
  return records;
}

void Forwarding::CountUsage(TimePoint began_at) {
  if (std::exchange(usage_counted_, true))
    return;
  // The host that sends it to an upstream counts it.
  if (!relay_ && customer_ != nullptr)
    gateway_.usage_.Count(customer_->id, began_at);
}

std::optional<TimePoint> Forwarding::UncountedSince() const {
  if (usage_counted_ || IsStream() || !call_ || relay_)
    return std::nullopt;
  return sent_at_;
}

}  // namespace endivecart::gateway
