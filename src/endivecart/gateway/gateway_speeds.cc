// What operators see of upstreams' speeds.

#include <algorithm>
#include <cmath>
#include <utility>

#include "endivecart/gateway/gateway.h"

namespace endivecart::gateway {

namespace {

// Speeds are logged if they are off by more than a fifth.
const double kLoggedLog = std::log(1.2);
// Upstreams in one line, those with the largest differences first.
constexpr std::size_t kMaxLogged = 16;
constexpr Millis kContradictionLogInterval{60000};

using SpeedById = std::pair<UpstreamId, estimates::Speed>;

std::string TextOf(const SpeedById& entry) {
  const auto& [id, speed] = entry;
  const auto rounded = [](double value) {
    std::string text = std::to_string(value);
    text.resize(text.find('.') + 3);
    return text;
  };
  std::string text = id.str() + ":" + rounded(speed.slowness);
  if (speed.sustained_requests)
    text += "/" + rounded(*speed.sustained_requests);
  return text;
}

}  // namespace

void Gateway::ReportSpeeds() {
  const TimePoint now = loop_.Now();
  auto speeds = upstreams_.speeds().Known(now);
  for (const auto& [id, speed] : speeds) {
    const std::string label = MetricLabel("upstream", id.str());
    metrics_.Set("endivecart_upstream_slowness", label, speed.slowness);
    metrics_.Set("endivecart_sustained_requests", label,
                 speed.sustained_requests.value_or(0));
  }
  const auto off = [](const SpeedById& entry) {
    return std::abs(std::log(entry.second.slowness));
  };
  std::erase_if(speeds,
                [&](const auto& entry) { return off(entry) <= kLoggedLog; });
  const std::size_t logged = std::min(kMaxLogged, speeds.size());
  std::partial_sort(
      speeds.begin(), speeds.begin() + static_cast<std::ptrdiff_t>(logged),
      speeds.end(),
      [&](const auto& a, const auto& b) { return off(a) > off(b); });
  if (logged > 0) {
    std::string text;
    for (std::size_t i = 0; i < logged; ++i)
      text += (i == 0 ? "" : ",") + TextOf(speeds[i]);
    LogLine("gateway.upstream_speed")
        .Add("count", std::uint64_t{speeds.size()})
        .Add("slowness", text)
        .Info();
  }
  const std::uint64_t count = upstreams_.speeds().contradicted_reports();
  const std::uint64_t added =
      count - std::exchange(reported_contradictions_, count);
  if (added == 0)
    return;
  metrics_.Add("endivecart_contradicted_server_speeds_total", "", added);
  if (contradictions_logged_at_ &&
      now - *contradictions_logged_at_ < kContradictionLogInterval) {
    return;
  }
  contradictions_logged_at_ = now;
  LogLine("gateway.contradicted_server_speed").Add("count", count).Warn();
}

}  // namespace endivecart::gateway
