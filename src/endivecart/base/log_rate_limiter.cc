#include "endivecart/base/log_rate_limiter.h"

#include <utility>

namespace endivecart {

namespace {

constexpr std::int64_t kMillisPerSecond = 1000;

}  // namespace

void LogRateLimiter::AdvanceTo(std::int64_t now_ms) {
  const std::int64_t second = now_ms / kMillisPerSecond;
  if (second == second_)
    return;
  second_ = second;
  written_ = 0;
  suppressed_before_ += std::exchange(suppressed_now_, 0);
}

bool LogRateLimiter::TryAcquire(std::int64_t now_ms) {
  AdvanceTo(now_ms);
  if (written_ >= limit_) {
    ++suppressed_now_;
    return false;
  }
  ++written_;
  return true;
}

std::uint64_t LogRateLimiter::TakeSuppressedCount(std::int64_t now_ms) {
  AdvanceTo(now_ms);
  return std::exchange(suppressed_before_, 0);
}

}  // namespace endivecart
