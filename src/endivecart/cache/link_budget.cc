#include "endivecart/cache/link_budget.h"

#include <algorithm>

namespace endivecart::cache {

namespace {

constexpr double kLearningRate = 0.2;
// Exports start only while this much of the link's second is booked.
constexpr double kExportBacklogMillis = 50;

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

void LinkBudget::Book(std::int64_t bytes, TimePoint now) {
  backlog_bytes_ = Backlog(now) + static_cast<double>(bytes);
  updated_ = now;
  booked_bytes_ += bytes;
}

void LinkBudget::BookImport(std::int64_t bytes, TimePoint now) {
  Book(bytes, now);
}

bool LinkBudget::TryBookExport(std::int64_t bytes, TimePoint now) {
  if (Backlog(now) > kExportBacklogMillis * bytes_per_ms_)
    return false;
  Book(bytes, now);
  return true;
}

double LinkBudget::ImportMillis(std::int64_t bytes, TimePoint now) const {
  const double rate = std::min(bytes_per_ms_, observed_bytes_per_ms_);
  return (Backlog(now) + static_cast<double>(bytes)) / std::max(rate, 1e-6);
}

void LinkBudget::Observe(std::int64_t bytes, double millis) {
  if (bytes <= 0 || millis <= 0)
    return;
  const double seen = static_cast<double>(bytes) / millis;
  observed_bytes_per_ms_ += kLearningRate * (seen - observed_bytes_per_ms_);
}

}  // namespace endivecart::cache
