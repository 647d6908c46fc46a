#include <boost/test/unit_test.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "endivecart/duties/duties.h"
#include "fakes.h"

namespace endivecart::duties {
namespace {

constexpr int kHosts = 3;
constexpr int kStepMillis = 20;
constexpr int kSteps = 6000;  // two minutes
constexpr int kSeeds = 40;
constexpr Millis kLease{3000};
constexpr Millis kCallTimeout{1000};

enum class Fault {
  kNone,
  kNoWait,
  kTokenReused,
  kCountsOutsideLog,
  kNoCheck,        // a former leader goes on
  kIgnoresRefusal  // as kNoCheck, also if its number is outdated
};

std::string SubjectOf(const DutyCall& call) {
  if (const auto* target = std::get_if<ScaleTarget>(&call.content))
    return target->service.str() + "/" + target->domain.str();
  return "usage";
}

// Checks what the platform must never see.
class Rules {
 public:
  explicit Rules(bool fencing_required) : fencing_required_(fencing_required) {}

  // Returns whether the platform refuses the call.
  bool OnArrival(int host, const DutyCall& call, TimePoint now) {
    const std::string subject = SubjectOf(call);
    const std::uint64_t token = call.fencing_number;
    const auto user = users_.try_emplace({subject, token}, host).first;
    Check(user->second == host, "two hosts use one token");
    const auto refused = refused_.find({subject, token});
    if (refused != refused_.end() && now > refused->second.first + kLease)
      Check(++refused->second.second <= 3, "calls go on after a refusal");
    std::uint64_t& newest = newest_[subject];
    const bool is_outdated = token < newest;
    newest = std::max(newest, token);
    if (is_outdated && fencing_required_) {
      refused_.try_emplace({subject, token}, now, 0);
      return true;
    }
    Check(!is_outdated, "the token decreases");
    CheckHolders(holders_[subject], host, now);
    return false;
  }

  void OnExecuted(const DutyCall& call) {
    if (const auto* window = std::get_if<UsageWindow>(&call.content)) {
      const auto it = reports_.try_emplace(window->number, *window).first;
      Check(it->second == *window, "two reports of a window differ");
    }
  }

  const std::set<std::string>& broken() const { return broken_; }
  std::size_t reports() const { return reports_.size(); }

 private:
  struct Holders {
    int last = -1;
    std::map<int, TimePoint> last_call;
  };

  void Check(bool holds, const std::string& rule) {
    if (!holds)
      broken_.insert(rule);
  }
  void CheckHolders(Holders& holders, int host, TimePoint now) {
    const auto before = holders.last_call.find(host);
    if (holders.last != host && before != holders.last_call.end()) {
      Check(now - before->second > kLease,
            "holders act in turn inside the lease");
    }
    holders.last = host;
    holders.last_call[host] = now;
  }

  const bool fencing_required_;
  std::map<std::pair<std::string, std::uint64_t>, int> users_;
  std::map<std::pair<std::string, std::uint64_t>, std::pair<TimePoint, int>>
      refused_;
  std::map<std::string, std::uint64_t> newest_;
  std::map<std::string, Holders> holders_;
  std::map<std::uint64_t, UsageWindow> reports_;
  std::set<std::string> broken_;
};

// Three hosts of which one at a time is the confirmed leader, which changes at
// any moment. Hosts are suspended; commits, calls and answers are slow or lost;
// the platform executes calls late.
class Run {
 public:
  Run(std::uint64_t seed, Fault fault)
      : dice_(seed), fault_(fault), rules_(dice_.Chance(0.5)) {
    DutySchedulerOptions options;
    if (fault == Fault::kNoWait)
      options.lease = options.lease_margin = Millis(0);
    for (int i = 0; i < kHosts; ++i)
      hosts_.emplace_back(options);
  }

  const Rules& Execute() {
    for (int step = 0; step < kSteps; ++step) {
      now_ += Millis(kStepMillis);
      for (auto due = events_.begin();
           due != events_.end() && due->first <= now_;
           due = events_.erase(due)) {
        due->second();
      }
      ChangeLeader();
      for (int i = 0; i < kHosts; ++i)
        Tick(i);
    }
    return rules_;
  }

 private:
  struct Host {
    explicit Host(DutySchedulerOptions options) : scheduler(options) {}
    DutyScheduler scheduler;
    std::optional<DutyCall> call;
    std::uint64_t call_id = 0;
    UsageLog own_log;  // used by a mutant only
    TimePoint suspended_until{};
  };

  std::uint64_t UnixMs() const {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<Millis>(now_.time_since_epoch()).count());
  }
  Millis Within(int millis) { return Millis(dice_.Below(millis)); }
  void At(Millis delay, std::function<void()> event) {
    events_.emplace(now_ + delay, std::move(event));
  }

  void ChangeLeader() {
    if (leader_ >= 0 && dice_.Chance(0.006)) {
      if (dice_.Chance(0.5)) {
        hosts_[static_cast<std::size_t>(leader_)].suspended_until =
            now_ + Within(8000);
      }
      leader_ = -1;
      // Others elect a leader only after the lease of the last has ended.
      elects_at_ = now_ + Millis(60) + Within(dice_.Chance(0.5) ? 100 : 2000);
    }
    if (leader_ < 0 && now_ >= elects_at_) {
      const int next = dice_.Below(kHosts);
      if (hosts_[static_cast<std::size_t>(next)].suspended_until > now_)
        return;
      leader_ = next;
      ++term_;
    }
  }

  void Tick(int index) {
    Host& host = hosts_[static_cast<std::size_t>(index)];
    if (host.suspended_until > now_)
      return;
    if (index == leader_) {
      host.scheduler.OnLeader(
          fault_ == Fault::kTokenReused ? (term_ + 1) / 2 : term_, now_);
    } else if (fault_ != Fault::kNoCheck && fault_ != Fault::kIgnoresRefusal) {
      if (host.call)
        EndCall(host, DutyOutcome::kNoAnswer);
      host.scheduler.OnLeadershipLost();
      return;
    }
    if (host.scheduler.IsHolder(now_))
      CloseWindow(index, host);
    const UsageLog& log =
        fault_ == Fault::kCountsOutsideLog ? host.own_log : log_;
    const std::vector<ScaleTarget> targets = {
        {routes::ServiceId("s"), DomainId("d"),
         1 + static_cast<int>(UnixMs() / 4000 % 3)}};
    if (const auto call =
            host.scheduler.NextCall(log, targets, UnixMs(), now_)) {
      Send(index, host, *call);
    }
  }

  void CloseWindow(int index, Host& host) {
    if (dice_.Chance(0.7))
      return;
    // Hosts know different counts.
    const UsageSource source{
        [&](std::uint64_t window) {
          return std::optional(std::map<CustomerId, std::uint64_t>{
              {CustomerId("a"), window + static_cast<std::uint64_t>(index)}});
        },
        [&](std::uint64_t) { return dice_.Chance(0.01); }};
    UsageLog& log = fault_ == Fault::kCountsOutsideLog ? host.own_log : log_;
    const auto decision =
        NextWindowToClose({}, log, source, {CustomerId("b")}, 0, UnixMs());
    if (!decision)
      return;
    wire::CloseUsageWindowCommand command;
    *command.mutable_window() = ToWire(decision->window);
    for (const auto number : host.scheduler.FinishedWindows(log))
      command.add_finished_windows(number);
    if (fault_ == Fault::kCountsOutsideLog) {
      host.own_log.Apply(command);
    } else if (dice_.Chance(0.8)) {
      // The commit may come when another process leads.
      At(Within(800), [this, command] { log_.Apply(command); });
    }
  }

  void Send(int index, Host& host, const DutyCall& call) {
    host.call = call;
    const std::uint64_t id = ++host.call_id;
    At(kCallTimeout, [this, index, id] { OnAnswer(index, id, std::nullopt); });
    if (dice_.Chance(0.05))
      return;  // lost
    At(Within(250), [this, index, id, call] {
      if (rules_.OnArrival(index, call, now_)) {
        At(Within(20),
           [=, this] { OnAnswer(index, id, DutyOutcome::kOutdated); });
      } else if (dice_.Chance(0.05)) {
        At(Within(20), [=, this] { OnAnswer(index, id, DutyOutcome::kBusy); });
      } else if (dice_.Chance(0.1)) {
        At(Within(4000), [=, this] { rules_.OnExecuted(call); });
      } else {
        rules_.OnExecuted(call);
        At(Within(dice_.Chance(0.1) ? 2000 : 20),
           [=, this] { OnAnswer(index, id, DutyOutcome::kAccepted); });
      }
    });
  }

  void OnAnswer(int index,
                std::uint64_t id,
                std::optional<DutyOutcome> outcome) {
    Host& host = hosts_[static_cast<std::size_t>(index)];
    if (!host.call || host.call_id != id)
      return;
    // A suspended process reads its answers when it is resumed.
    if (host.suspended_until > now_) {
      events_.emplace(host.suspended_until,
                      [=, this] { OnAnswer(index, id, outcome); });
      return;
    }
    EndCall(host, outcome.value_or(DutyOutcome::kNoAnswer));
  }

  void EndCall(Host& host, DutyOutcome outcome) {
    const DutyCall call = *std::exchange(host.call, std::nullopt);
    if (fault_ == Fault::kIgnoresRefusal && outcome == DutyOutcome::kOutdated)
      outcome = DutyOutcome::kBusy;
    host.scheduler.OnResult(call, outcome, now_);
  }

  soak::RandomSource dice_;
  const Fault fault_;
  Rules rules_;
  TimePoint now_{Millis(10'000'000)};
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<Host> hosts_;
  UsageLog log_;
  int leader_ = -1;
  std::uint64_t term_ = 0;
  TimePoint elects_at_{};
};

BOOST_AUTO_TEST_SUITE(duties_random_run, *boost::unit_test::label("duties"))

BOOST_AUTO_TEST_CASE(no_change_of_the_holder_breaks_a_rule_of_the_platform) {
  std::size_t reports = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Run run(seed, Fault::kNone);
      const Rules& rules = run.Execute();
      for (const std::string& rule : rules.broken())
        BOOST_TEST(false, rule);
      reports += rules.reports();
    }
  }
  // The checks are meaningful only if most of the 24 windows were reported.
  BOOST_TEST(reports > kSeeds * 16);
}

// Guards against a random run that would not find these faults.
BOOST_AUTO_TEST_CASE(each_mutant_breaks_a_rule) {
  const std::pair<Fault, std::string> mutants[] = {
      {Fault::kNoWait, "holders act in turn inside the lease"},
      {Fault::kTokenReused, "two hosts use one token"},
      {Fault::kCountsOutsideLog, "two reports of a window differ"},
      {Fault::kNoCheck, "the token decreases"},
      {Fault::kIgnoresRefusal, "calls go on after a refusal"},
  };
  for (const auto& [fault, rule] : mutants) {
    int found = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Run run(seed, fault);
      found += run.Execute().broken().contains(rule) ? 1 : 0;
    }
    BOOST_TEST(found > 0, rule << " is never broken");
    BOOST_TEST_MESSAGE(rule << ": found by " << found << " seeds");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::duties
