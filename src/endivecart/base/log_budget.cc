#include "endivecart/base/log_budget.h"

#include <utility>

namespace endivecart {

namespace {

constexpr std::int64_t kMillisPerSecond = 1000;

}  // namespace

void LogBudget::MoveOn(std::int64_t now_ms) {
  const std::int64_t second = now_ms / kMillisPerSecond;
  if (second == second_)
    return;
  second_ = second;
  written_ = 0;
  left_out_before_ += std::exchange(left_out_now_, 0);
}

bool LogBudget::Take(std::int64_t now_ms) {
  MoveOn(now_ms);
  if (written_ >= limit_) {
    ++left_out_now_;
    return false;
  }
  ++written_;
  return true;
}

std::uint64_t LogBudget::TakeLeftOut(std::int64_t now_ms) {
  MoveOn(now_ms);
  return std::exchange(left_out_before_, 0);
}

}  // namespace endivecart
