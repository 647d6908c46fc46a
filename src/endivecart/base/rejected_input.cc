#include "endivecart/base/rejected_input.h"

#include <chrono>

#include "endivecart/base/log.h"
#include "endivecart/base/text.h"

namespace endivecart {

namespace {

constexpr std::int64_t kLogIntervalSeconds = 60;

std::int64_t SteadySeconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace

std::string_view InputSourceName(InputSource source) {
  switch (source) {
    case InputSource::kCaller:
      return "caller";
    case InputSource::kOperator:
      return "operator";
    case InputSource::kPeer:
      return "peer";
    case InputSource::kCount:
      break;
  }
  return "";
}

RejectedInputMonitor& RejectedInputMonitor::Get() {
  static auto* const monitor = new RejectedInputMonitor;
  return *monitor;
}

void RejectedInputMonitor::Record(InputSource source,
                                  std::string_view field,
                                  std::string_view text) {
  const std::int64_t now_s = SteadySeconds();
  std::uint64_t count = 0;
  {
    const std::scoped_lock lock(mutex_);
    Source& entry = sources_.at(static_cast<std::size_t>(source));
    count = ++entry.count;
    if (entry.logged_at_s && now_s - *entry.logged_at_s < kLogIntervalSeconds)
      return;
    entry.logged_at_s = now_s;
  }
  LogLine("input.rejected")
      .Add("source", InputSourceName(source))
      .Add("field", field)
      .Add("text", ToPlainText(text, kMaxNameBytes))
      .Add("count", count)
      .Warn();
}

std::uint64_t RejectedInputMonitor::Count(InputSource source) const {
  const std::scoped_lock lock(mutex_);
  return sources_.at(static_cast<std::size_t>(source)).count;
}

bool AcceptName(InputSource source,
                std::string_view field,
                std::string_view text) {
  const std::size_t max_bytes =
      source == InputSource::kPeer ? kMaxPeerNameBytes : kMaxNameBytes;
  if (!text.empty() && text.size() <= max_bytes && IsPlainText(text))
    return true;
  RejectedInputMonitor::Get().Record(source, field, text);
  return false;
}

}  // namespace endivecart
