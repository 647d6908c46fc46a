#include "endivecart/quarantine/part_judge.h"

#include <algorithm>
#include <utility>

#include "endivecart/quarantine/part_monitor.h"

namespace endivecart::quarantine {

namespace {

// Parts that always came together are quarantined together, up to this many.
constexpr std::size_t kMaxTogether = 8;
constexpr Millis kReleaseMemory{10000};
// A part within the one that was in most crashes is the likelier cause if it
// was in this share of them.
constexpr double kShareOfCrashes = 0.6;

}  // namespace

bool PartJudge::Evidence::Covers(const Evidence& other) const {
  return std::includes(crashes.begin(), crashes.end(), other.crashes.begin(),
                       other.crashes.end()) &&
         std::includes(requests.begin(), requests.end(), other.requests.begin(),
                       other.requests.end());
}

void PartJudge::RememberReleased(const Quarantine& quarantine, TimePoint now) {
  for (const std::string& part : quarantine.parts) {
    const auto at = sound_.LastAnswer(part);
    if (at && *at > quarantine.since)
      released_at_[part] = now;
  }
}

void PartJudge::Restore(const std::vector<Quarantine>& quarantines,
                        TimePoint now) {
  restored_at_ = now;
  for (const Quarantine& quarantine : quarantines) {
    list_.Merge(quarantine, sound_);
    restored_.insert(quarantine.parts);
  }
}

void PartJudge::CheckRestored(const HostFindings& findings) {
  if (findings.following_since == TimePoint{} ||
      findings.following_since >= restored_at_) {
    return;
  }
  std::erase_if(restored_, [&](const PartList& parts) {
    const bool is_known = std::any_of(
        findings.quarantines.begin(), findings.quarantines.end(),
        [&](const Quarantine& known) { return known.parts == parts; });
    if (!is_known) {
      LogLine("quarantine.outdated").Add("parts", Joined(parts)).Warn();
      list_.Remove(parts);
    }
    return true;
  });
}

void PartJudge::OnReport(const HostId& host,
                         const HostFindings& findings,
                         TimePoint now) {
  for (const SoundPart& sound : findings.sound)
    sound_.Add(sound.part, sound.at);
  CheckRestored(findings);
  for (const Quarantine& quarantine : findings.quarantines) {
    RememberReleased(quarantine, now);
    has_new_quarantine_ |= list_.Merge(quarantine, sound_);
  }
  if (findings.runs.empty()) {
    runs_.erase(host);
    return;
  }
  std::vector<BrokenRun>& runs = runs_[host];
  runs = findings.runs;
  if (runs.size() > PartMonitor::kMaxRuns)
    runs.resize(PartMonitor::kMaxRuns);
  ExpireRuns(now);
}

void PartJudge::ExpireRuns(TimePoint now) {
  for (auto& [host, runs] : runs_) {
    std::erase_if(runs, [&](const BrokenRun& run) {
      return now - run.at > PartMonitor::kRunMemory;
    });
  }
  std::erase_if(runs_, [](const auto& entry) { return entry.second.empty(); });
}

std::vector<const BrokenRun*> PartJudge::AllRuns() const {
  std::vector<const BrokenRun*> all;
  for (const auto& [host, runs] : runs_) {
    for (const BrokenRun& run : runs)
      all.push_back(&run);
  }
  std::sort(all.begin(), all.end(),
            [](const auto* a, const auto* b) { return a->at < b->at; });
  if (all.size() > kMaxRuns)
    all.erase(all.begin(), all.end() - static_cast<std::ptrdiff_t>(kMaxRuns));
  return all;
}

std::map<std::string, PartJudge::Evidence> PartJudge::Collect(
    TimePoint until,
    TimePoint now) const {
  auto runs = AllRuns();
  std::erase_if(runs, [until](const auto* run) { return run->at > until; });
  // Numbers crashes in order of time; those close to each other get the same.
  std::map<std::string, std::size_t> crash_of;
  std::size_t crashes = 0;
  TimePoint began{};
  for (const BrokenRun* run : runs) {
    if (crash_of.contains(run->upstream_run))
      continue;
    if (crashes == 0 || run->at - began > kCommonCause) {
      ++crashes;
      began = run->at;
    }
    crash_of.emplace(run->upstream_run, crashes);
  }
  std::set<std::size_t> explained;
  for (const BrokenRun* run : runs) {
    if (list_.Withholds(run->parts))
      explained.insert(crash_of.at(run->upstream_run));
  }
  std::set<std::string> quarantined;
  for (const Quarantine& quarantine : list_.all())
    quarantined.insert(quarantine.parts.begin(), quarantine.parts.end());
  std::map<std::string, Evidence> evidence;
  for (const BrokenRun* run : runs) {
    const std::size_t crash = crash_of.at(run->upstream_run);
    for (const std::string& part : run->parts) {
      if (sound_.IsSound(part, now) ||
          (explained.contains(crash) && !quarantined.contains(part))) {
        continue;
      }
      evidence[part].crashes.insert(crash);
      evidence[part].requests.insert(run->request);
    }
  }
  return evidence;
}

PartList PartJudge::Convict(const std::map<std::string, Evidence>& evidence) {
  // A request that was sent again after each crash may be unlucky.
  const auto is_repeated = [](const Evidence& e) {
    return e.requests.size() >= 2;
  };
  const Evidence* most = nullptr;
  for (const auto& [part, against] : evidence) {
    if (is_repeated(against) &&
        (most == nullptr || against.crashes.size() > most->crashes.size())) {
      most = &against;
    }
  }
  if (most == nullptr || most->crashes.size() < kCrashes)
    return {};
  // The report of a host that sent the crashing request may be missing.
  const double enough =
      kShareOfCrashes * static_cast<double>(most->crashes.size());
  const Evidence* core = most;
  for (const auto& [part, against] : evidence) {
    if (static_cast<double>(against.crashes.size()) >= enough &&
        is_repeated(against) && core->Covers(against))
      core = &against;
  }
  PartList parts;
  for (const auto& [part, against] : evidence) {
    const bool is_covering = against.Covers(*core);
    if (!is_covering && is_repeated(against) &&
        against.crashes.size() >= most->crashes.size())
      return {};  // as likely; the next crash will tell
    if (is_covering && parts.size() < kMaxTogether)
      parts.push_back(part);
  }
  return parts;
}

bool PartJudge::UpdateQuestions(const std::map<std::string, Evidence>& evidence,
                                TimePoint now) {
  // Most parts were in one crash by chance; the next may make these suspect.
  const auto is_candidate = [](const Evidence& against) {
    return against.crashes.size() + 1 >= kCrashes;
  };
  std::erase_if(questioned_since_, [&](const auto& entry) {
    const auto it = evidence.find(entry.first);
    return it == evidence.end() || !is_candidate(it->second);
  });
  bool is_new = false;
  for (const auto& [part, against] : evidence) {
    if (questioned_since_.size() >= kMaxQuestioned)
      break;
    if (is_candidate(against))
      is_new |= questioned_since_.try_emplace(part, now).second;
  }
  return is_new;
}

bool PartJudge::WereQuestioned(const PartList& parts, TimePoint now) const {
  return std::all_of(parts.begin(), parts.end(), [&](const auto& part) {
    const auto it = questioned_since_.find(part);
    return it != questioned_since_.end() &&
           now - it->second >= kQuestionTime + extra_time_;
  });
}

bool PartJudge::Judge(TimePoint now) {
  const bool is_idle = runs_.empty() && list_.all().empty() &&
                       questioned_since_.empty() && released_at_.empty();
  if (is_idle || (judged_at_ && now - *judged_at_ < kInterval))
    return false;
  judged_at_ = now;
  ExpireRuns(now);
  sound_.Expire(now);
  for (const Quarantine& quarantine : list_.all())
    RememberReleased(quarantine, now);
  std::erase_if(released_at_, [&](const auto& entry) {
    return now - entry.second > kReleaseMemory;
  });
  bool tell = list_.Release(sound_, now);
  tell |= std::exchange(has_new_quarantine_, false);
  tell |= UpdateQuestions(Collect(now, now), now);
  auto evidence = Collect(now - kReportTime - extra_time_, now);
  for (std::size_t i = 0; i < QuarantineList::kMaxQuarantines; ++i) {
    const PartList parts = Convict(evidence);
    if (parts.empty())
      break;
    const bool is_known = list_.Withholds(parts);
    if (!is_known && !WereQuestioned(parts, now))
      break;
    if (!is_known) {
      Declare(parts, evidence.at(parts.front()), now);
      tell = true;
      evidence = Collect(now - kReportTime - extra_time_, now);
    }
    for (const std::string& part : parts)
      evidence.erase(part);
  }
  return tell;
}

void PartJudge::Declare(const PartList& parts,
                        const Evidence& evidence,
                        TimePoint now) {
  LogLine("quarantine.declared")
      .Add("parts", Joined(parts))
      .Add("crashes", std::uint64_t{evidence.crashes.size()})
      .Add("requests", std::uint64_t{evidence.requests.size()})
      .Warn();
  list_.Merge({parts, now, 0, now}, sound_);
}

Ruling PartJudge::CurrentRuling() const {
  Ruling ruling;
  ruling.quarantines = list_.all();
  for (const auto& [part, since] : questioned_since_)
    ruling.questioned.push_back(part);
  for (const Quarantine& quarantine : ruling.quarantines) {
    ruling.questioned.insert(ruling.questioned.end(), quarantine.parts.begin(),
                             quarantine.parts.end());
  }
  for (const auto& [part, at] : released_at_) {
    if (const auto answer = sound_.LastAnswer(part))
      ruling.sound.push_back({part, *answer});
  }
  return ruling;
}

}  // namespace endivecart::quarantine
