#ifndef ENDIVECART_QUARANTINE_PART_MONITOR_H_
#define ENDIVECART_QUARANTINE_PART_MONITOR_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "endivecart/quarantine/quarantine_list.h"

namespace endivecart::quarantine {

// Whether a prompt may be sent.
struct PartAdmission {
  bool allowed = true;
  bool is_trial = false;  // of a quarantined part, to see if it is still needed
  Millis retry_after{0};  // if not allowed

  bool operator==(const PartAdmission&) const = default;
};

// One host's part in the quarantine: collects evidence, and withholds prompts
// with parts that control hosts have quarantined.
//
// A quarantine ends as soon as a prompt with the part is answered, e.g. one
// that was sent before it began, or if nobody has asked for it for a long time.
// After a while one host, the same by the view of all, sends one prompt as a
// trial, so that a sound part that was quarantined returns.
class PartMonitor {
 public:
  static constexpr std::size_t kMaxRuns = 64;
  static constexpr Millis kRunMemory{60000};
  // The first trial comes this long after the quarantine began, each further
  // one after kTrialFactor times the pause before.
  static constexpr Millis kFirstTrial{120000};
  static constexpr int kTrialFactor = 10;
  static constexpr int kMaxTrials = 2;

  // Records that a run ended with its connection.
  void OnBroken(const std::string& upstream_run,
                std::uint64_t request,
                const PartList& parts,
                TimePoint now);
  // Records the beginning of an answer of a run that was sent at `sent_at`: the
  // upstream hasn't crashed since what broke off before.
  void OnAlive(const std::string& upstream_run, TimePoint sent_at);
  // Records a complete answer.
  void OnAnswered(const PartList& parts, TimePoint now);
  // Decides whether to send a prompt now. A trial that is allowed counts as
  // sent.
  PartAdmission Admit(const PartList& parts,
                      const HostRank& place,
                      TimePoint now);
  // Returns whether the parts are quarantined, for checking sends.
  bool IsQuarantined(const PartList& parts) const {
    return list_.Withholds(parts);
  }
  HostFindings Findings(TimePoint now);
  void Apply(const Ruling& ruling, TimePoint now);
  std::size_t quarantines() const { return list_.all().size(); }

 private:
  static Millis TrialPause(int failed_trials);

  std::deque<BrokenRun> runs_;
  SoundParts sound_;
  QuarantineList list_;
  std::map<std::string, TimePoint> questioned_at_;
  std::map<PartList, TimePoint> trial_sent_at_;
};

}  // namespace endivecart::quarantine

#endif  // ENDIVECART_QUARANTINE_PART_MONITOR_H_
