// Admission of queued requests, and what is reported of them.

#include <memory>
#include <string>

#include "endivecart/gateway/forwarding.h"

namespace endivecart::gateway {

namespace {

// A new request is no reason to try those again that were tried in vain just
// before: each try counts as demand.
constexpr Millis kMinAgeForNew{20};

}  // namespace

void Gateway::AdmitSoon() {
  if (wait_queue_.empty() || admit_soon_)
    return;
  admit_soon_ = loop_.After(Millis(0), [this](TimePoint) {
    admit_soon_.reset();
    Admit(Millis(0));
  });
}

void Gateway::AdmitNew() {
  if (admit_soon_ || admit_new_)
    return;
  admit_new_ = loop_.After(Millis(0), [this](TimePoint) {
    admit_new_.reset();
    Admit(kMinAgeForNew);
  });
}

void Gateway::Admit(Millis min_age) {
  wait_queue_.Admit(
      [this](scheduling::WaitQueue::Ticket ticket) {
        const auto it = waiting_.find(ticket);
        const auto forwarding =
            it == waiting_.end() ? nullptr : it->second.lock();
        return forwarding ? forwarding->TryDispatch()
                          : scheduling::WaitQueue::TryResult::kFull;
      },
      min_age, loop_.Now());
  RefuseHopeless();
}

void Gateway::RefuseHopeless() {
  for (const auto& refusal : wait_queue_.Refusals(loop_.Now())) {
    const auto it = waiting_.find(refusal.ticket);
    const auto forwarding = it == waiting_.end() ? nullptr : it->second.lock();
    if (forwarding)
      forwarding->RefuseWaiting(refusal.retry_after, refusal.expected_wait);
  }
}

void Gateway::ReportBacklog() {
  metrics_.Set("endivecart_waiting_requests", "",
               static_cast<double>(wait_queue_.size()));
  for (const auto& figures : wait_queue_.TakeFigures(loop_.Now())) {
    const std::string labels = "service=\"" + figures.group + "\",rank=\"" +
                               std::to_string(figures.rank) + "\"";
    metrics_.Add("endivecart_backlog_admitted_total", labels,
                 static_cast<std::uint64_t>(figures.admitted));
    metrics_.Add("endivecart_backlog_refused_total", labels,
                 static_cast<std::uint64_t>(figures.refused));
    metrics_.Observe("endivecart_backlog_longest_wait_ms", labels,
                     figures.longest_wait_ms);
    LogLine("gateway.backlog")
        .Add("service", figures.group)
        .Add("rank", figures.rank)
        .Add("waiting", figures.waiting)
        .Add("late", figures.late)
        .Add("tokens", figures.work_tokens)
        .Add("oldest_ms", figures.oldest_ms)
        .Add("admitted", figures.admitted)
        .Add("refused", figures.refused)
        .Add("longest_wait_ms", figures.longest_wait_ms)
        .Add("tokens_per_ms", figures.tokens_per_ms)
        .Info();
  }
}

}  // namespace endivecart::gateway
