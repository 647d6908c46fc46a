#include "endivecart/base/invariant.h"

#include <atomic>
#include <mutex>
#include <utility>

#include "endivecart/base/log.h"

namespace endivecart {

namespace {

constexpr std::size_t kInvariants = static_cast<std::size_t>(Invariant::kCount);

constexpr std::array<std::string_view, kInvariants> kNames = {
    "cache_block_sealed",
    "customer_isolation",
    "version_isolation",
    "upstream_capacity",
    "domain_out_gets_no_work",
    "bad_version_share",
    "answer_complete",
    "not_run_is_true",
    "at_most_once",
    "leaving_gets_no_work",
    "graceful_stop",
    "configuration_monotone",
    "sound_part_not_withheld",
    "quarantined_part_gets_no_work",
    "relayed_once",
    "stays_in_region",
    "caller_is_there",
    "fencing_number_rises",
    "usage_report_fixed",
    "connection_budget"};

void LogViolation(Invariant invariant, std::string_view detail) {
  LogLine("invariant")
      .Add("name", InvariantName(invariant))
      .Add("detail", detail)
      .Error();
}

}  // namespace

struct InvariantMonitor::State {
  std::array<std::atomic<std::uint64_t>, kInvariants> counts{};
  std::mutex mutex;
  Handler handler = LogViolation;
};

std::string_view InvariantName(Invariant invariant) {
  return kNames.at(static_cast<std::size_t>(invariant));
}

InvariantMonitor::InvariantMonitor() : state_(new State) {}

InvariantMonitor& InvariantMonitor::Get() {
  static InvariantMonitor monitor;
  return monitor;
}

void InvariantMonitor::SetHandler(Handler handler) {
  std::scoped_lock lock(state_->mutex);
  state_->handler = handler ? std::move(handler) : LogViolation;
}

void InvariantMonitor::Report(Invariant invariant, std::string_view detail) {
  ++state_->counts.at(static_cast<std::size_t>(invariant));
  Handler handler;
  {
    std::scoped_lock lock(state_->mutex);
    handler = state_->handler;
  }
  handler(invariant, detail);
}

std::uint64_t InvariantMonitor::Violations(Invariant invariant) const {
  return state_->counts.at(static_cast<std::size_t>(invariant));
}

std::uint64_t InvariantMonitor::TotalViolations() const {
  std::uint64_t total = 0;
  for (const auto& count : state_->counts)
    total += count;
  return total;
}

}  // namespace endivecart
