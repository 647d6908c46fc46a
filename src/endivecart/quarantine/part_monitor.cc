#include "endivecart/quarantine/part_monitor.h"

#include <algorithm>
#include <utility>

namespace endivecart::quarantine {

namespace {

// Control hosts repeat their questions while they matter.
constexpr Millis kQuestionMemory{5000};
constexpr std::size_t kMaxQuestions = 512;
// A trial without an outcome, e.g. because its caller left, may be repeated.
constexpr Millis kTrialTimeout{60000};

}  // namespace

Millis PartMonitor::TrialPause(int failed_trials) {
  Millis pause = kFirstTrial;
  for (int i = 0; i < failed_trials; ++i)
    pause *= kTrialFactor;
  return pause;
}

void PartMonitor::OnBroken(const std::string& upstream_run,
                           std::uint64_t request,
                           const PartList& parts,
                           TimePoint now) {
  if (Quarantine* quarantine = list_.Find(parts);
      quarantine != nullptr && trial_sent_at_.erase(quarantine->parts) > 0) {
    ++quarantine->failed_trials;
    quarantine->since = now;
  }
  BrokenRun run{upstream_run, request, now, {}};
  std::copy_if(parts.begin(), parts.end(), std::back_inserter(run.parts),
               [&](const auto& part) { return !sound_.IsSound(part, now); });
  if (run.parts.empty())
    return;
  runs_.push_back(std::move(run));
  if (runs_.size() > kMaxRuns)
    runs_.pop_front();
}

void PartMonitor::OnAlive(const std::string& upstream_run, TimePoint sent_at) {
  std::erase_if(runs_, [&](const BrokenRun& run) {
    return run.upstream_run == upstream_run && run.at < sent_at;
  });
}

void PartMonitor::OnAnswered(const PartList& parts, TimePoint now) {
  for (const std::string& part : parts)
    sound_.Add(part, now);
  if (!list_.all().empty())
    list_.Release(sound_, now);
}

PartAdmission PartMonitor::Admit(const PartList& parts,
                                 const HostRank& place,
                                 TimePoint now) {
  Quarantine* const quarantine = list_.Find(parts);
  if (quarantine == nullptr)
    return {};
  PartList unanswered = quarantine->parts;
  sound_.RemoveAnsweredAfter(quarantine->since, unanswered);
  if (!CheckInvariant(!unanswered.empty(), Invariant::kSoundPartNotWithheld,
                      Joined(quarantine->parts))) {
    list_.Release(sound_, now);
    return {};
  }
  quarantine->asked_at = now;
  const TimePoint trial_at =
      quarantine->since + TrialPause(quarantine->failed_trials);
  if (now < trial_at || quarantine->failed_trials >= kMaxTrials) {
    const TimePoint until = quarantine->failed_trials >= kMaxTrials
                                ? now + QuarantineList::kForgetAfter
                                : trial_at;
    return {false, false, std::chrono::duration_cast<Millis>(until - now)};
  }
  const auto sent = trial_sent_at_.find(quarantine->parts);
  const bool is_out =
      sent != trial_sent_at_.end() && now - sent->second < kTrialTimeout;
  const bool is_own_turn =
      place.hosts > 0 &&
      static_cast<int>(StableHash(Joined(quarantine->parts)) %
                       static_cast<std::uint64_t>(place.hosts)) == place.rank;
  if (is_out || !is_own_turn)
    return {false, false, kTrialTimeout};
  trial_sent_at_[quarantine->parts] = now;
  LogLine("quarantine.trial")
      .Add("parts", Joined(quarantine->parts))
      .Add("failed_trials", quarantine->failed_trials)
      .Warn();
  return {true, true, Millis(0)};
}

HostFindings PartMonitor::Findings(TimePoint now) {
  sound_.Expire(now);
  list_.Release(sound_, now);
  std::erase_if(
      runs_, [&](const BrokenRun& run) { return now - run.at > kRunMemory; });
  std::erase_if(questioned_at_, [&](const auto& entry) {
    return now - entry.second > kQuestionMemory;
  });
  HostFindings findings;
  for (const BrokenRun& run : runs_) {
    BrokenRun open = run;
    std::erase_if(open.parts, [&](const std::string& part) {
      return sound_.IsSound(part, now);
    });
    if (!open.parts.empty())
      findings.runs.push_back(std::move(open));
  }
  for (const auto& [part, at] : questioned_at_) {
    if (const auto answer = sound_.LastAnswer(part))
      findings.sound.push_back({part, *answer});
  }
  findings.quarantines = list_.all();
  return findings;
}

void PartMonitor::Apply(const Ruling& ruling, TimePoint now) {
  for (const SoundPart& sound : ruling.sound)
    sound_.Add(sound.part, sound.at);
  for (const std::string& part : ruling.questioned) {
    if (questioned_at_.size() < kMaxQuestions || questioned_at_.contains(part))
      questioned_at_[part] = now;
  }
  for (const Quarantine& quarantine : ruling.quarantines) {
    if (list_.Merge(quarantine, sound_)) {
      LogLine("quarantine.begun")
          .Add("parts", Joined(quarantine.parts))
          .Add("failed_trials", quarantine.failed_trials)
          .Warn();
    }
  }
  if (list_.Release(sound_, now)) {
    LogLine("quarantine.released")
        .Add("left", std::uint64_t{list_.all().size()})
        .Warn();
  }
}

}  // namespace endivecart::quarantine
