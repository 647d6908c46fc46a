#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <vector>

#include "endivecart/fleet/fleet.h"

namespace endivecart::fleet {
namespace {

const ModelId kModel("m");
constexpr Millis kGrace{8000};

TimePoint At(int millis) {
  return TimePoint(Millis(100000000 + millis));
}

std::string Name(std::uint64_t version, std::uint64_t named_ms) {
  wire::FleetCommand command;
  command.mutable_name_weights()->set_model(kModel.str());
  command.mutable_name_weights()->set_version(version);
  command.mutable_name_weights()->set_named_ms(named_ms);
  return command.SerializeAsString();
}

// Control hosts with one log, and hosts that serve callers, any of which can
// restart. Messages arrive at once.
class RestartingFleet {
 public:
  explicit RestartingFleet(int hosts, int control_hosts = 2)
      : feeds_(control_hosts), hosts_(hosts) {
    for (int i = 0; i < control_hosts; ++i)
      RestartControlHost(i);
    for (int i = 0; i < hosts; ++i)
      RestartHost(i);
  }

  void NameWeights(std::uint64_t version) {
    log_.Apply(Name(version, stamps_ ? unix_ms_ : 0), ++index_);
    named_[version] = now_;
    for (auto& feed : feeds_)
      feed->PushDecisions(log_.decisions());
  }
  void RestartHost(int i) {
    Host& host = hosts_[i];
    host.follower.reset();
    host.ages = WeightsAges();
    FleetFollowerOptions options;
    options.self = HostId("e" + std::to_string(i));
    options.serves_callers = true;
    options.contacts = {HostId("v0"), HostId("v1")};
    FleetFollower::Hooks hooks;
    hooks.send = [this, i](const HostId& to, const wire::Envelope& envelope) {
      const auto control = static_cast<std::size_t>(to.str().back() - '0');
      if (control < feeds_.size() && feeds_[control])
        feeds_[control]->OnPoll(HostId("e" + std::to_string(i)),
                                envelope.fleet_poll());
    };
    hooks.on_control_hosts = [](const std::vector<HostId>&) {};
    hooks.on_weights_ages = [this, i](const wire::FleetUpdate& update) {
      hosts_[i].ages.Merge(update, now_);
    };
    hooks.on_decisions = [this, i](const DecisionsPtr& decisions) {
      for (const auto& [model, version] : decisions->weights)
        hosts_[i].ages.Record(model, version, now_);
    };
    hooks.on_announcement = [](const upstreams::Announcement&, TimePoint) {};
    hooks.local_loads = [] { return std::vector<LocalLoad>(); };
    hooks.move_reports = [] { return std::vector<wire::ServiceMoveReport>(); };
    hooks.now = [this] { return now_; };
    host.follower = std::make_unique<FleetFollower>(options, std::move(hooks));
  }
  void RestartControlHost(int i) {
    FleetFeed::Hooks hooks;
    hooks.send = [this, i](const HostId& to, wire::Envelope envelope) {
      if (!tells_ages_)
        envelope.mutable_fleet_news()->clear_weights_ages();
      const auto host = static_cast<std::size_t>(std::stoi(to.str().substr(1)));
      if (hosts_[host].follower)
        hosts_[host].follower->OnUpdate(HostId("v" + std::to_string(i)),
                                        envelope.fleet_news());
    };
    hooks.now = [this] { return now_; };
    hooks.voter_hosts = [] {
      return std::vector<HostId>{HostId("v0"), HostId("v1")};
    };
    hooks.leader_host = [] { return HostId("v0"); };
    hooks.on_move_report = [](const HostId&, const wire::ServiceMoveReport&) {};
    hooks.quiesced = [] { return std::vector<UpstreamId>(); };
    hooks.cache_update = [](const CachePosition&) {
      return std::optional<wire::CacheUpdate>();
    };
    hooks.unix_ms = [this] { return unix_ms_ + control_clock_ahead_ms_; };
    ++incarnation_;
    feeds_[i] =
        std::make_unique<FleetFeed>(incarnation_, &roster_, std::move(hooks));
    feeds_[i]->SetLoadedIndex(index_);
    feeds_[i]->PushDecisions(Decisions());
    feeds_[i]->PushDecisions(log_.decisions());
  }
  // The other control host's ages, as its answers to this one have them.
  void JoinControlHosts() {
    wire::FleetUpdate update;
    for (const auto& [version, named_at] : named_) {
      auto& record = *update.add_weights_ages();
      record.set_model(kModel.str());
      record.set_version(version);
      record.set_age_ms(static_cast<std::uint32_t>(
          std::chrono::duration_cast<Millis>(now_ - named_at).count()));
    }
    for (auto& feed : feeds_)
      feed->MergeWeightsAges(update);
  }
  void Advance(int millis) {
    now_ += Millis(millis);
    unix_ms_ += static_cast<std::uint64_t>(millis);
    for (Host& host : hosts_)
      host.follower->Tick();
  }
  // The version that the deadline of the decisions demands.
  std::uint64_t Demanded() const {
    std::uint64_t newest = 0;
    for (const auto& [version, named_at] : named_) {
      if (now_ - named_at >= kGrace)
        newest = std::max(newest, version);
    }
    return newest;
  }
  std::uint64_t MinWeights(int host) const {
    return hosts_[host].ages.NewestNamedBefore(kModel, kGrace, now_);
  }
  int HostsBelowDemand() const {
    int below = 0;
    for (std::size_t i = 0; i < hosts_.size(); ++i)
      below += MinWeights(static_cast<int>(i)) < Demanded() ? 1 : 0;
    return below;
  }
  std::size_t hosts() const { return hosts_.size(); }

  void JumpTimeOfDay(int millis) {
    unix_ms_ += static_cast<std::uint64_t>(static_cast<std::int64_t>(millis));
  }
  // Of the control hosts' clocks, before that of the host that proposes.
  void SetControlClockAhead(std::uint64_t millis) {
    control_clock_ahead_ms_ = millis;
  }
  void SetStamps(bool stamps) { stamps_ = stamps; }
  void SetTellsAges(bool tells_ages) { tells_ages_ = tells_ages; }

 private:
  struct Host {
    WeightsAges ages;
    std::unique_ptr<FleetFollower> follower;
  };

  TimePoint now_ = At(0);
  std::uint64_t unix_ms_ = 1790000000000;
  std::uint64_t control_clock_ahead_ms_ = 0;
  bool stamps_ = true;
  bool tells_ages_ = true;
  std::uint64_t index_ = 0;
  std::uint64_t incarnation_ = 0;
  DecisionLog log_;
  upstreams::UpstreamRegistry roster_;
  std::map<std::uint64_t, TimePoint> named_;
  std::vector<std::unique_ptr<FleetFeed>> feeds_;
  std::vector<Host> hosts_;
};

BOOST_AUTO_TEST_SUITE(fleet_weights_ages, *boost::unit_test::label("fleet"))

// Guards against prompts on replaced weights at a host that has restarted,
// whose grace for older weights started again with each restart.
BOOST_AUTO_TEST_CASE(a_host_that_starts_learns_how_old_a_decision_is) {
  RestartingFleet fleet(1);
  fleet.Advance(10);
  fleet.NameWeights(2);
  fleet.Advance(5000);
  fleet.NameWeights(3);
  fleet.Advance(3000);
  fleet.RestartHost(0);
  fleet.Advance(10);
  // Version 3 isn't due yet. That version 2 was named before it counts too.
  BOOST_TEST(fleet.MinWeights(0) == 2u);
  fleet.Advance(4990);
  BOOST_TEST(fleet.MinWeights(0) == 3u);
}

// Guards against the same with any number of hosts, when versions follow each
// other within the grace and hosts and control hosts restart at any time.
BOOST_AUTO_TEST_CASE(no_restart_makes_a_decision_younger) {
  for (const int hosts : {1, 6, 300}) {
    std::mt19937 random(11);
    RestartingFleet fleet(hosts);
    fleet.Advance(50);
    std::uint64_t version = 1;
    int below = 0;
    for (int step = 0; step < 600; ++step) {
      if (random() % 50 == 0)
        fleet.NameWeights(++version);
      if (random() % 40 == 0)
        fleet.RestartControlHost(static_cast<int>(random() % 2));
      if (random() % 5 == 0)
        fleet.RestartHost(static_cast<int>(random() % fleet.hosts()));
      fleet.Advance(50);
      below += fleet.HostsBelowDemand();
    }
    BOOST_TEST(version > 5u);
    BOOST_TEST(below == 0);
  }
}

// Guards against a young age after all processes restart while the time of day
// is set back: any control host that ran through tells the age.
BOOST_AUTO_TEST_CASE(the_oldest_age_that_any_control_host_knows_counts) {
  RestartingFleet fleet(1);
  fleet.NameWeights(2);
  fleet.Advance(7000);
  fleet.JumpTimeOfDay(-7000);
  fleet.RestartControlHost(0);
  fleet.RestartControlHost(1);
  fleet.RestartHost(0);
  fleet.Advance(1000);
  BOOST_TEST(fleet.MinWeights(0) == 0u);
  fleet.JoinControlHosts();
  fleet.Advance(1000);
  BOOST_TEST(fleet.MinWeights(0) == 2u);
}

// Guards against upstreams that are given up too early since the time of day
// jumps or differs between control hosts.
BOOST_AUTO_TEST_CASE(the_time_of_day_does_not_age_a_decision_in_operation) {
  RestartingFleet fleet(1);
  fleet.JumpTimeOfDay(5000);
  fleet.NameWeights(2);
  fleet.JumpTimeOfDay(60000);
  fleet.Advance(7000);
  fleet.RestartHost(0);
  fleet.Advance(500);
  BOOST_TEST(fleet.MinWeights(0) == 0u);
  fleet.Advance(500);
  BOOST_TEST(fleet.MinWeights(0) == 2u);
}

// Guards against a decision that is old at once: control hosts that had just
// started took its age from clocks that differ.
BOOST_AUTO_TEST_CASE(
    a_new_decision_is_young_at_control_hosts_that_just_started) {
  RestartingFleet fleet(1);
  fleet.NameWeights(2);
  fleet.Advance(9000);
  fleet.RestartControlHost(0);
  fleet.RestartControlHost(1);
  fleet.SetControlClockAhead(8000);
  fleet.NameWeights(3);
  fleet.Advance(1000);
  BOOST_TEST(fleet.MinWeights(0) == 2u);
  fleet.Advance(7000);
  BOOST_TEST(fleet.MinWeights(0) == 3u);
}

// Guards against a log or a control host of an earlier release being refused.
BOOST_AUTO_TEST_CASE(
    without_an_age_a_decision_counts_from_when_it_was_learned) {
  for (const bool is_old_log : {false, true}) {
    RestartingFleet fleet(1);
    fleet.SetStamps(!is_old_log);
    fleet.SetTellsAges(is_old_log);
    fleet.NameWeights(2);
    fleet.Advance(20000);
    if (is_old_log) {
      fleet.RestartControlHost(0);
      fleet.RestartControlHost(1);
    }
    fleet.RestartHost(0);
    fleet.Advance(10);
    BOOST_TEST(fleet.MinWeights(0) == 0u);
    fleet.Advance(7990);
    fleet.Advance(10);
    BOOST_TEST(fleet.MinWeights(0) == 2u);
  }
}

BOOST_AUTO_TEST_CASE(an_age_is_never_made_younger) {
  WeightsAges ages;
  ages.Record(kModel, 2, At(0));
  ages.Record(kModel, 2, At(5000));
  BOOST_TEST(ages.NewestNamedBefore(kModel, kGrace, At(8000)) == 2u);
  ages.Record(kModel, 2, At(-5000));
  BOOST_TEST(ages.NewestNamedBefore(kModel, kGrace, At(3000)) == 2u);
}

// Guards against messages that grow with each version ever named.
BOOST_AUTO_TEST_CASE(versions_replaced_long_ago_are_forgotten) {
  WeightsAges ages;
  const int retention = static_cast<int>(WeightsAges::kRetention.count());
  for (int i = 0; i < 100; ++i)
    ages.Record(kModel, static_cast<std::uint64_t>(i) + 1, At(i * retention));
  wire::FleetUpdate update;
  ages.AppendTo(update, At(99 * retention));
  BOOST_TEST(update.weights_ages_size() == 2);
  BOOST_TEST(ages.NewestNamedBefore(kModel, kGrace, At(99 * retention)) == 99u);
}

// Guards against a log that keeps each version ever named, and against a
// snapshot of an earlier release being refused.
BOOST_AUTO_TEST_CASE(the_log_keeps_when_the_last_versions_were_named) {
  DecisionLog log;
  for (std::uint64_t i = 1; i <= 40; ++i)
    BOOST_TEST(log.Apply(Name(i, 1000 * i), i));
  BOOST_TEST(!log.Apply(Name(40, 99000), 41));
  const auto& named = log.decisions().weights_named_ms.at(kModel);
  BOOST_TEST(named.size() == Decisions::kNamedVersions);
  BOOST_TEST(named.at(40) == 40000u);
  DecisionLog restored;
  BOOST_TEST(restored.Restore(log.Snapshot()));
  BOOST_CHECK(restored.decisions() == log.decisions());

  wire::FleetDecisions earlier;
  BOOST_TEST(earlier.ParseFromString(log.Snapshot()));
  earlier.clear_weights_named();
  BOOST_TEST(restored.Restore(earlier.SerializeAsString()));
  BOOST_TEST(restored.decisions().weights.at(kModel) == 40u);
  BOOST_TEST(restored.decisions().weights_named_ms.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace endivecart::fleet
