#ifndef ENDIVECART_DUTIES_DUTY_SCHEDULER_H_
#define ENDIVECART_DUTIES_DUTY_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "endivecart/duties/window_closer.h"

namespace endivecart::duties {

struct DutySchedulerOptions {
  // A new holder waits for both, so that it never acts within the lease of the
  // former one, nor while a call of that one may still arrive.
  Millis lease{3000};
  Millis lease_margin{300};
  double calls_per_s = 50;  // that the platform accepts
  UsageTiming timing;

  bool operator==(const DutySchedulerOptions&) const = default;
};

// Decides which call to send to the platform and when. The confirmed leader of
// the replicated log holds all duties; its term is the fencing number. There is
// at most one call in progress.
class DutyScheduler {
 public:
  explicit DutyScheduler(DutySchedulerOptions options);

  // Must be called right before NextCall() with the current leadership, as
  // confirmed by a clock that counts suspended time.
  void OnLeader(std::uint64_t term, TimePoint now);
  void OnLeadershipLost();

  // Whether this process holds the duties and has waited long enough.
  bool IsHolder(TimePoint now) const;
  // Returns the call to send now; usage reports come first. OnResult() must be
  // called for it before another one is returned. `unix_ms` is the true time,
  // if known.
  std::optional<DutyCall> NextCall(const UsageLog& log,
                                   const std::vector<ScaleTarget>& targets,
                                   std::optional<std::uint64_t> unix_ms,
                                   TimePoint now);
  void OnResult(const DutyCall& call, DutyOutcome outcome, TimePoint now);

  // Returns the windows that are finished, but not yet so in the log.
  std::vector<std::uint64_t> FinishedWindows(const UsageLog& log) const;

 private:
  using ScaleSubject = std::pair<routes::ServiceId, DomainId>;

  struct Retries {
    int failures = 0;
    TimePoint not_before{};
  };
  struct ScaleState {
    Retries retries;
    std::optional<int> acknowledged;
    TimePoint sent_at{};
    // A call may be executed after newer ones until then, so the number is sent
    // once more.
    std::optional<TimePoint> repeat_at;
    bool is_outdated = false;
  };

  std::optional<DutyCall> NextUsageCall(const UsageLog& log,
                                        std::optional<std::uint64_t> unix_ms,
                                        TimePoint now);
  std::optional<DutyCall> NextScaleCall(const std::vector<ScaleTarget>& targets,
                                        TimePoint now);
  void OnUsageResult(const UsageWindow& window,
                     DutyOutcome outcome,
                     TimePoint now);
  void OnScaleResult(const ScaleTarget& target,
                     DutyOutcome outcome,
                     TimePoint now);
  void Delay(Retries& retries, DutyOutcome outcome, TimePoint now);
  bool HasRate(TimePoint now);
  ScaleState& StateOf(const ScaleTarget& target);

  const DutySchedulerOptions options_;
  bool is_leader_ = false;
  std::uint64_t term_ = 0;
  TimePoint holder_from_{};
  bool in_progress_ = false;
  TimePoint paused_until_{};
  std::deque<TimePoint> sent_at_;  // within the rate's period
  bool usage_is_outdated_ = false;
  std::map<std::uint64_t, Retries> usage_retries_;
  std::set<std::uint64_t> finished_;
  // What this process reported for the windows that the log keeps.
  std::map<std::uint64_t, UsageWindow> reported_;
  std::map<ScaleSubject, ScaleState> scale_;
};

}  // namespace endivecart::duties

#endif  // ENDIVECART_DUTIES_DUTY_SCHEDULER_H_
