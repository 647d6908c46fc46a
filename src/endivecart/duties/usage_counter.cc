#include "endivecart/duties/usage_counter.h"

#include <algorithm>

namespace endivecart::duties {

namespace {

// Resolution of times of requests that began before the time was known.
constexpr Millis kEarlyResolution{100};

std::int64_t ToMillis(TimePoint time) {
  return std::chrono::duration_cast<Millis>(time.time_since_epoch()).count();
}

}  // namespace

std::uint64_t UsageCounter::UnixMsAt(TimePoint time) const {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(ToMillis(time) + offset_ms_.value_or(0), 0));
}

void UsageCounter::OnTime(std::optional<std::uint64_t> true_unix_ms,
                          TimePoint asked_at,
                          TimePoint now) {
  if (!true_unix_ms) {
    state_ = State::kOff;
    early_.clear();
    return;
  }
  state_ = State::kOn;
  const auto round_trip = now - asked_at;
  if (*true_unix_ms == 0 || (offset_ms_ && round_trip > kMaxRoundTrip))
    return;
  offset_ms_ =
      static_cast<std::int64_t>(*true_unix_ms) - ToMillis(now - round_trip / 2);
  // Otherwise, a time that was far ahead would stop the windows until then.
  const auto retention = static_cast<std::uint64_t>(kUsageRetention.count());
  if (complete_until_ms_ > UnixMsAt(now) + retention)
    complete_until_ms_ = 0;
  AddEarly();
}

void UsageCounter::Count(const CustomerId& customer, TimePoint began_at) {
  if (state_ == State::kOff)
    return;
  if (offset_ms_) {
    Add(customer, began_at, 1);
    return;
  }
  const TimePoint rounded(ToMillis(began_at) / kEarlyResolution.count() *
                          kEarlyResolution);
  ++early_[{rounded, customer}];
  std::erase_if(early_, [&](const auto& entry) {
    return began_at - entry.first.first > kUsageRetention;
  });
}

void UsageCounter::Add(const CustomerId& customer,
                       TimePoint at,
                       std::uint64_t count) {
  // What was reported as complete stays so when the time is corrected.
  const std::uint64_t unix_ms = std::max(UnixMsAt(at), complete_until_ms_);
  Sum& sum =
      sums_[{unix_ms / static_cast<std::uint64_t>(window_.count()), customer}];
  sum.count += count;
  sum.change = ++change_;
}

void UsageCounter::AddEarly() {
  for (const auto& [key, count] : early_)
    Add(key.second, key.first, count);
  early_.clear();
}

void UsageCounter::ForgetOld(std::uint64_t unix_ms) {
  const auto retention = static_cast<std::uint64_t>(kUsageRetention.count());
  const auto window = static_cast<std::uint64_t>(window_.count());
  std::erase_if(sums_, [&](const auto& entry) {
    return (entry.first.first + 1) * window + retention < unix_ms;
  });
}

std::optional<UsageReport> UsageCounter::ReportSince(std::uint64_t since,
                                                     TimePoint counted_until,
                                                     TimePoint now) {
  if (state_ != State::kOn)
    return std::nullopt;
  UsageReport report;
  if (!offset_ms_)
    return report;
  ForgetOld(UnixMsAt(now));
  complete_until_ms_ = std::max(complete_until_ms_, UnixMsAt(counted_until));
  report.complete_until_ms = complete_until_ms_;
  report.change = change_;
  for (const auto& [key, sum] : sums_) {
    if (sum.change > since)
      report.entries.push_back({key.first, key.second, sum.count});
  }
  return report;
}

}  // namespace endivecart::duties
