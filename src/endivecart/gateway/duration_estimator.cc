#include "endivecart/gateway/duration_estimator.h"

#include <algorithm>

namespace endivecart::gateway {

namespace {

// Each answer reduces the maximum by this part of it.
constexpr int kDecayDivisor = 256;
// Requests may take longer than before while another host stops or starts.
constexpr double kReserve = 1.25;

}  // namespace

void DurationEstimator::Add(const std::string& route, Millis duration) {
  Millis& longest = longest_[route];
  longest = std::max(duration, longest - longest / kDecayDivisor);
}

std::optional<Millis> DurationEstimator::Longest(
    const std::string& route) const {
  const auto it = longest_.find(route);
  if (it == longest_.end())
    return std::nullopt;
  return Millis(static_cast<Millis::rep>(
      static_cast<double>(it->second.count()) * kReserve));
}

void DurationEstimator::KeepOnly(
    const std::function<bool(const std::string&)>& exists) {
  std::erase_if(longest_,
                [&](const auto& entry) { return !exists(entry.first); });
}

}  // namespace endivecart::gateway
