#include "endivecart/cache/link_budget.h"

#include <algorithm>

namespace endivecart::cache {

namespace {

// Weight of a new transfer in the moving average of the observed rate.
constexpr double kRateSmoothing = 0.2;
// Exports start only while the reserved transfers take at most this long.
constexpr double kMaxExportBacklogMillis = 50;

}  // namespace

LinkBudget::LinkBudget(std::int64_t bytes_per_s, TimePoint now)
    : bytes_per_ms_(static_cast<double>(bytes_per_s) / 1000.0),
      observed_bytes_per_ms_(bytes_per_ms_),
      updated_(now) {}

double LinkBudget::Backlog(TimePoint now) const {
  return std::max(
      0.0, backlog_bytes_ - MillisBetween(updated_, now) * bytes_per_ms_);
}

void LinkBudget::SetRate(std::int64_t bytes_per_s, TimePoint now) {
  backlog_bytes_ = Backlog(now);
  updated_ = now;
  bytes_per_ms_ = static_cast<double>(bytes_per_s) / 1000.0;
}

void LinkBudget::Reserve(std::int64_t bytes, TimePoint now) {
  backlog_bytes_ = Backlog(now) + static_cast<double>(bytes);
  updated_ = now;
  reserved_bytes_ += bytes;
}

void LinkBudget::ReserveImport(std::int64_t bytes, TimePoint now) {
  Reserve(bytes, now);
}

bool LinkBudget::TryReserveExport(std::int64_t bytes, TimePoint now) {
  if (Backlog(now) > kMaxExportBacklogMillis * bytes_per_ms_)
    return false;
  Reserve(bytes, now);
  return true;
}

double LinkBudget::ImportMillis(std::int64_t bytes, TimePoint now) const {
  const double rate = std::min(bytes_per_ms_, observed_bytes_per_ms_);
  return (Backlog(now) + static_cast<double>(bytes)) / std::max(rate, 1e-6);
}

void LinkBudget::Observe(std::int64_t bytes, double millis) {
  if (bytes <= 0 || millis <= 0)
    return;
  const double rate = static_cast<double>(bytes) / millis;
  observed_bytes_per_ms_ += kRateSmoothing * (rate - observed_bytes_per_ms_);
}

}  // namespace endivecart::cache
