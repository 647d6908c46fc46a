#include "endivecart/duties/duty_scheduler.h"

#include <algorithm>
#include <cmath>

namespace endivecart::duties {

namespace {

// The rest of the platform's rate is left to calls that arrive closer together
// than they were sent.
constexpr double kRateShare = 0.8;
constexpr Millis kMinRetryDelay{100};
constexpr Millis kMaxRetryDelay{2000};
// Of two calls about the same service and domain.
constexpr Millis kScaleInterval{1000};
// How long after a call without an answer the platform may still execute it.
constexpr Millis kLateExecution{5000};

}  // namespace

DutyScheduler::DutyScheduler(DutySchedulerOptions options)
    : options_(options) {}

void DutyScheduler::OnLeader(std::uint64_t term, TimePoint now) {
  // If confirmation is lost and regained within one term, no other process was
  // leader in between.
  is_leader_ = true;
  if (term == term_)
    return;
  CheckInvariant(term > term_, Invariant::kFencingNumberRises,
                 "the fencing number decreases");
  term_ = term;
  holder_from_ = now + options_.lease + options_.lease_margin;
  usage_is_outdated_ = false;
  usage_retries_.clear();
  scale_.clear();
}

void DutyScheduler::OnLeadershipLost() {
  is_leader_ = false;
}

bool DutyScheduler::IsHolder(TimePoint now) const {
  return is_leader_ && now >= holder_from_;
}

bool DutyScheduler::HasRate(TimePoint now) {
  const double rate = options_.calls_per_s * kRateShare;
  const double calls = std::max(1.0, std::floor(rate));
  const auto period = std::chrono::duration_cast<TimePoint::duration>(
      std::chrono::duration<double>(calls / rate));
  while (!sent_at_.empty() && now - sent_at_.front() >= period)
    sent_at_.pop_front();
  return static_cast<double>(sent_at_.size()) < calls;
}

std::optional<DutyCall> DutyScheduler::NextCall(
    const UsageLog& log,
    const std::vector<ScaleTarget>& targets,
    std::optional<std::uint64_t> unix_ms,
    TimePoint now) {
  if (!IsHolder(now) || in_progress_ || now < paused_until_ || !HasRate(now))
    return std::nullopt;
  auto call = NextUsageCall(log, unix_ms, now);
  if (!call)
    call = NextScaleCall(targets, now);
  if (!call)
    return std::nullopt;
  in_progress_ = true;
  sent_at_.push_back(now);
  return call;
}

std::optional<DutyCall> DutyScheduler::NextUsageCall(
    const UsageLog& log,
    std::optional<std::uint64_t> unix_ms,
    TimePoint now) {
  const auto is_kept = [&](std::uint64_t number) {
    return log.windows().contains(number);
  };
  std::erase_if(finished_, [&](auto number) { return !is_kept(number); });
  std::erase_if(reported_, [&](const auto& e) { return !is_kept(e.first); });
  std::erase_if(usage_retries_,
                [&](const auto& e) { return !is_kept(e.first); });
  if (usage_is_outdated_)
    return std::nullopt;
  for (const auto& [number, closed] : log.windows()) {
    if (closed.is_finished || finished_.contains(number))
      continue;
    const std::uint64_t drop_at =
        options_.timing.EndOf(number) +
        static_cast<std::uint64_t>(kMaxReportAge.count());
    if (unix_ms && *unix_ms > drop_at) {
      LogLine("duties.report_dropped").Add("window", number).Warn();
      finished_.insert(number);
      continue;
    }
    if (now < usage_retries_[number].not_before)
      continue;
    const auto [reported, is_first] =
        reported_.try_emplace(number, closed.window);
    if (!CheckInvariant(is_first || reported->second == closed.window,
                        Invariant::kUsageReportFixed,
                        "the counts of a reported window changed")) {
      finished_.insert(number);
      continue;
    }
    return DutyCall{term_, closed.window};
  }
  return std::nullopt;
}

DutyScheduler::ScaleState& DutyScheduler::StateOf(const ScaleTarget& target) {
  const auto [it, is_new] =
      scale_.try_emplace(ScaleSubject{target.service, target.domain});
  // The former holder's last call may be late too.
  if (is_new)
    it->second.repeat_at = holder_from_ + kLateExecution;
  return it->second;
}

std::optional<DutyCall> DutyScheduler::NextScaleCall(
    const std::vector<ScaleTarget>& targets,
    TimePoint now) {
  const ScaleTarget* next = nullptr;
  ScaleState* next_state = nullptr;
  for (const ScaleTarget& target : targets) {
    ScaleState& state = StateOf(target);
    const bool is_due = state.acknowledged != target.servers ||
                        (state.repeat_at && now >= *state.repeat_at);
    if (!is_due || state.is_outdated || now < state.retries.not_before ||
        now < state.sent_at + kScaleInterval) {
      continue;
    }
    if (next_state == nullptr || state.sent_at < next_state->sent_at) {
      next = &target;
      next_state = &state;
    }
  }
  if (next == nullptr)
    return std::nullopt;
  next_state->sent_at = now;
  return DutyCall{term_, *next};
}

void DutyScheduler::OnResult(const DutyCall& call,
                             DutyOutcome outcome,
                             TimePoint now) {
  in_progress_ = false;
  if (const auto* window = std::get_if<UsageWindow>(&call.content)) {
    if (outcome == DutyOutcome::kAccepted)
      finished_.insert(window->number);
    if (call.fencing_number == term_)
      OnUsageResult(*window, outcome, now);
  } else if (call.fencing_number == term_) {
    OnScaleResult(std::get<ScaleTarget>(call.content), outcome, now);
  }
}

void DutyScheduler::Delay(Retries& retries,
                          DutyOutcome outcome,
                          TimePoint now) {
  const int doublings = std::min(retries.failures++, 5);
  retries.not_before =
      now + (outcome == DutyOutcome::kRefused
                 ? kMaxRetryDelay
                 : std::min(kMinRetryDelay * (1 << doublings), kMaxRetryDelay));
  paused_until_ = now + kMinRetryDelay;
}

void DutyScheduler::OnUsageResult(const UsageWindow& window,
                                  DutyOutcome outcome,
                                  TimePoint now) {
  if (outcome == DutyOutcome::kAccepted) {
    usage_retries_.erase(window.number);
  } else if (outcome == DutyOutcome::kOutdated) {
    usage_is_outdated_ = true;
  } else {
    Delay(usage_retries_[window.number], outcome, now);
  }
}

void DutyScheduler::OnScaleResult(const ScaleTarget& target,
                                  DutyOutcome outcome,
                                  TimePoint now) {
  ScaleState& state = StateOf(target);
  if (outcome == DutyOutcome::kAccepted) {
    state.acknowledged = target.servers;
    state.retries = {};
    if (state.repeat_at && state.sent_at >= *state.repeat_at)
      state.repeat_at.reset();
  } else if (outcome == DutyOutcome::kOutdated) {
    state.is_outdated = true;
  } else {
    // An older number may be the one in effect.
    if (outcome == DutyOutcome::kNoAnswer) {
      state.acknowledged.reset();
      state.repeat_at = now + kLateExecution;
    }
    Delay(state.retries, outcome, now);
  }
}

std::vector<std::uint64_t> DutyScheduler::FinishedWindows(
    const UsageLog& log) const {
  std::vector<std::uint64_t> finished;
  for (const std::uint64_t number : finished_) {
    const auto it = log.windows().find(number);
    if (it != log.windows().end() && !it->second.is_finished)
      finished.push_back(number);
  }
  return finished;
}

}  // namespace endivecart::duties
