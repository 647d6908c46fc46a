#ifndef ENDIVECART_QUARANTINE_PART_JUDGE_H_
#define ENDIVECART_QUARANTINE_PART_JUDGE_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "endivecart/quarantine/quarantine_list.h"

namespace endivecart::quarantine {

// A control host's part in the quarantine: finds the parts that crash
// upstreams, from the reports of all hosts.
//
// Each host sees only the requests that it sent, so with many hosts none of
// them sees a part crash more than one upstream. A part is quarantined if it
// was in requests that broke off in several crashes at different times, and no
// host has seen it answered lately. Sound parts in the same requests, or in
// others at the same upstreams, have been in fewer of these crashes or were
// answered. Crashes that a quarantined part explains count against no other.
//
// Any control host can judge, and none keeps anything durable: hosts repeat
// their findings and the quarantines they know with each report.
class PartJudge {
 public:
  // The number of crashes before a part is quarantined.
  static constexpr std::size_t kCrashes = 3;
  // Crashes this close in time count as one, because something else, such as a
  // loss of power, may have caused them all.
  static constexpr Millis kCommonCause{50};
  // Hosts that report this often meet the times below; those that report less
  // often get the difference in addition.
  static constexpr Millis kPollInterval{250};
  // Hosts have this long to report that they have seen a part answered.
  static constexpr Millis kQuestionTime{700};
  // Crashes are judged after this time, when all hosts have reported theirs.
  static constexpr Millis kReportTime{400};
  static constexpr Millis kInterval{200};
  static constexpr std::size_t kMaxRuns = 4096;
  static constexpr std::size_t kMaxQuestioned = 256;

  // Adds quarantines that this host knew before it restarted. Those that hosts
  // which have run on meanwhile don't know any more were released.
  void Restore(const std::vector<Quarantine>& quarantines, TimePoint now);
  void OnReport(const HostId& host,
                const HostFindings& findings,
                TimePoint now);
  // Sets how often hosts report.
  void SetPollInterval(Millis interval) {
    extra_time_ = std::max(interval - kPollInterval, Millis(0));
  }
  // Judges what was reported, at intervals of kInterval. Returns whether hosts
  // should be told at once.
  bool Judge(TimePoint now);
  // Returns what to tell the hosts.
  Ruling CurrentRuling() const;
  const std::vector<Quarantine>& quarantines() const { return list_.all(); }

 private:
  struct Evidence {
    std::set<std::size_t> crashes;  // indices of independent crashes
    std::set<std::uint64_t> requests;

    // Whether all that speaks against `other` speaks against this part too.
    bool Covers(const Evidence& other) const;
    bool operator==(const Evidence&) const = default;
  };

  void ExpireRuns(TimePoint now);
  std::vector<const BrokenRun*> AllRuns() const;
  // Returns the evidence up to a time against each part that isn't known to be
  // sound.
  std::map<std::string, Evidence> Collect(TimePoint until, TimePoint now) const;
  // Returns the parts that explain the most crashes, if those are enough: the
  // one in the fewest requests, and those that always came with it. Returns
  // none if another part is as likely.
  static PartList Convict(const std::map<std::string, Evidence>& evidence);
  bool UpdateQuestions(const std::map<std::string, Evidence>& evidence,
                       TimePoint now);
  bool WereQuestioned(const PartList& parts, TimePoint now) const;

  // Removes restored quarantines that were released meanwhile, by a report.
  void CheckRestored(const HostFindings& findings);
  void Declare(const PartList& parts, const Evidence& evidence, TimePoint now);
  // Remembers parts that were answered since a quarantine began, since hosts
  // may still hold it.
  void RememberReleased(const Quarantine& quarantine, TimePoint now);

  std::map<HostId, std::vector<BrokenRun>> runs_;
  SoundParts sound_;
  QuarantineList list_;
  std::map<std::string, TimePoint> questioned_since_;
  std::map<std::string, TimePoint> released_at_;
  std::set<PartList> restored_;
  TimePoint restored_at_{};
  std::optional<TimePoint> judged_at_;
  Millis extra_time_{0};
  bool has_new_quarantine_ = false;  // from a host
};

}  // namespace endivecart::quarantine

#endif  // ENDIVECART_QUARANTINE_PART_JUDGE_H_
