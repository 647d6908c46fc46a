#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <random>

#include "endivecart/fleet/fleet.h"
#include "endivecart/gateway/cache_view.h"

namespace endivecart::gateway {
namespace {

using fleet::CacheCatalog;
using fleet::CacheEvent;
using fleet::CacheList;
using fleet::CachePartName;
using fleet::CacheSaveBatches;
using fleet::CacheSaveLedger;

constexpr Millis kStep{10};
constexpr Millis kPollInterval{250};
constexpr std::int64_t kTokens = 100;
constexpr Millis kLongWait{10000};
constexpr Millis kLongTime{60000};

// What may go wrong in a run.
struct Troubles {
  bool stores_restart = false;
  // Saves may reach a restarted store though they were planned before, or by a
  // host that doesn't know of the restart yet. Some begin seconds later, and of
  // some their host never gets to know.
  bool saves_cross_restarts = false;
  bool hosts_are_cut_off = false;  // for seconds; updates come afterwards
  bool updates_are_lost = false;
  bool answers_are_lost = false;  // to claims
  bool writers_are_slow = false;  // saves take as long as partials are kept
  bool labels_retire = false;
  bool leaders_change = false;
  bool fetches_are_slow = false;   // they end shortly before their deadline
  bool processes_restart = false;  // all at once, also within a batch of grants
};

// A store as the platform's: it frees and forgets nothing by itself, and tells
// complete parts from those that are being written.
class SimulatedStore {
 public:
  struct Part {
    TimePoint complete_at{};
    std::uint64_t writing = 0;  // a number for each save
  };

  const Part* Find(const CachePartName& name) const {
    const auto it = parts_.find(name);
    return it == parts_.end() ? nullptr : &it->second;
  }
  static bool IsComplete(const Part& part, TimePoint now) {
    return part.complete_at <= now;
  }
  void Save(const CachePartName& name, TimePoint complete_at) {
    parts_.try_emplace(name, Part{complete_at, ++writings_});
  }
  // Records events of parts that are now complete.
  void Step(TimePoint now) {
    for (const auto& [name, part] : parts_) {
      if (part.complete_at > now - kStep && part.complete_at <= now)
        events_.push_back({true, name, kTokens});
    }
  }
  void Free(const std::vector<CachePartName>& names) {
    for (const CachePartName& name : names) {
      if (parts_.erase(name) > 0)
        events_.push_back({false, name, kTokens});
    }
  }
  void Restart() {
    ++epoch_;
    parts_.clear();
    events_.clear();
  }
  CacheList List(TimePoint now) const {
    CacheList list;
    list.epoch = epoch_;
    list.next = events_.size();
    for (const auto& [name, part] : parts_)
      (IsComplete(part, now) ? list.complete : list.partial)
          .emplace_back(name, kTokens);
    return list;
  }
  fleet::CacheEvents EventsSince(std::uint64_t since, TimePoint now) const {
    fleet::CacheEvents events;
    events.epoch = epoch_;
    events.next = events_.size();
    events.clock_ms = ClockOf(now);
    for (std::size_t i = since; i < events_.size(); ++i)
      events.events.push_back(events_[i]);
    return events;
  }
  static std::uint64_t ClockOf(TimePoint now) {
    return static_cast<std::uint64_t>(
               std::chrono::duration_cast<Millis>(now.time_since_epoch())
                   .count()) +
           5000;
  }
  std::uint64_t epoch() const { return epoch_; }

 private:
  std::uint64_t epoch_ = 1;
  std::uint64_t writings_ = 0;
  std::map<CachePartName, Part> parts_;
  std::vector<CacheEvent> events_;
};

// The saves that the replicated log records. A change of leader may keep the
// commands that were under way or lose them.
class SimulatedLog {
 public:
  using Done = std::function<void(bool)>;

  std::size_t Propose(const wire::GrantSavesCommand& command, Done done) {
    pending_.emplace_back(command, std::move(done));
    return ++proposed_;
  }
  // Decides the commands up to this one, unless a new leader came first.
  void Decide(std::size_t last) {
    while (!pending_.empty() && proposed_ - pending_.size() < last) {
      const auto [command, done] = std::move(pending_.front());
      pending_.pop_front();
      grants_.Apply(command);
      done(true);
    }
  }
  void BeginTerm(std::uint64_t term, std::size_t kept) {
    for (std::size_t i = 0; i < std::min(kept, pending_.size()); ++i)
      grants_.Apply(pending_[i].first);
    pending_.clear();
    grants_.OnEntry(term);
  }
  const fleet::SaveGrantLog& grants() const { return grants_; }

 private:
  fleet::SaveGrantLog grants_;
  std::size_t proposed_ = 0;
  std::deque<std::pair<wire::GrantSavesCommand, Done>> pending_;
};

// A catalogue, stores and hosts that fetch and save parts, on a manual clock.
// Counts fetches that meet a part which is incomplete, or freed meanwhile.
class CacheFleet {
 public:
  // `parts` are stored at the beginning; requests ask for `requested` ones.
  CacheFleet(std::size_t hosts,
             int parts,
             std::size_t requested,
             const Troubles& troubles,
             int seed)
      : troubles_(troubles),
        requested_(requested),
        hosts_(hosts),
        random_(static_cast<std::uint64_t>(seed)) {
    for (int i = 0; i < 3; ++i) {
      routes::CacheStore settings;
      settings.address = {"10.0.0." + std::to_string(i + 1), 80};
      settings.cache_tokens = 100'000'000;
      settings_.push_back(settings);
    }
    for (int i = 0; i < parts; ++i) {
      const int part = parts > 10000 ? i : 9999 - i;
      stores_[static_cast<std::size_t>(i % 3)].Save(NameOf(part, live_label_),
                                                    now_ - kStep);
    }
    timers_.Advance(
        std::chrono::duration_cast<Millis>(now_.time_since_epoch()));
    for (Host& host : hosts_)
      host.run = random_();
    StartControlHosts(now_ - kLongTime);
    NewLeader();
  }

  void Run(Millis time) {
    for (Millis passed{0}; passed < time; passed += kStep) {
      now_ += kStep;
      timers_.Advance(kStep);
      for (SimulatedStore& store : stores_)
        store.Step(now_);
      RunLater();
      if (now_.time_since_epoch() % Millis(4000) == Millis(0))
        Disturb();
      LeadStep();
      for (std::size_t host = 0; host < hosts_.size(); ++host)
        HostStep(host);
    }
  }

  int bad_fetches = 0;
  int fetches = 0;
  int fetches_without_deadline = 0;
  int saves = 0;

  // Kills all processes but the stores and the servers, which still carry out
  // what they were sent.
  void RestartProcesses() {
    StartControlHosts(now_);
    for (Host& host : hosts_) {
      host = Host();
      host.run = random_();
    }
    NewLeader();
  }

 private:
  struct Host {
    CacheView view;
    TimePoint poll_due{};
    bool is_polling = false;
    std::uint64_t poll_number = 0;
    TimePoint cut_until{};
    std::array<std::uint64_t, 3> known_epochs{};  // of the stores
    std::vector<wire::CacheSaveRecord> outstanding;
    std::uint64_t run = 0;
    std::uint64_t claims = 0;
  };
  // Runs the action unless the host's process was restarted meanwhile.
  void OfRun(std::size_t number, Millis delay, std::function<void()> action) {
    After(delay,
          [this, number, run = hosts_[number].run, action = std::move(action)] {
            if (hosts_[number].run == run)
              action();
          });
  }
  using Action = std::function<void()>;

  CachePartName NameOf(int part, int label) const {
    return {"m." + std::to_string(label), "p" + std::to_string(part)};
  }
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  Millis Between(int low, int high) {
    return Millis(std::uniform_int_distribution<int>(low, high)(random_));
  }
  void After(Millis delay, Action action) {
    later_.emplace(now_ + delay, std::move(action));
  }
  void RunLater() {
    while (!later_.empty() && later_.begin()->first <= now_) {
      const Action action = std::move(later_.begin()->second);
      later_.erase(later_.begin());
      action();
    }
  }
  std::size_t StoreAt(const settings::Endpoint& address) const {
    return static_cast<std::size_t>(
        std::find_if(settings_.begin(), settings_.end(),
                     [&](const auto& s) { return s.address == address; }) -
        settings_.begin());
  }

  // Two control hosts lead in turn.
  void NewLeader() {
    catalog_->OnLeadershipLost();
    batches_->OnLeadershipLost();
    std::swap(catalog_, successor_);
    ++term_;
    log_.BeginTerm(term_, random_() % 2);
    const bool is_complete = log_.grants().IsComplete();
    const auto logged = log_.grants().Saves();
    catalog_->OnLeadershipGained(term_, now_, term_ > 1,
                                 is_complete ? &logged : nullptr);
    batches_ =
        std::make_unique<CacheSaveBatches>(*catalog_, timers_, SaveHooks());
    batches_->OnLeadershipGained(is_complete);
  }
  void StartControlHosts(TimePoint watching_since) {
    for (auto* catalog : {&catalog_, &successor_}) {
      *catalog = std::make_shared<CacheCatalog>();
      (*catalog)->SetStores(settings_);
      (*catalog)->SetRequestLimit(kLongWait);
      (*catalog)->StartWatchingPolls(false, watching_since);
    }
    batches_ =
        std::make_unique<CacheSaveBatches>(*catalog_, timers_, SaveHooks());
  }
  CacheSaveBatches::Hooks SaveHooks() {
    CacheSaveBatches::Hooks hooks;
    hooks.propose = [this](const wire::FleetCommand& command, auto done) {
      const auto number = log_.Propose(command.grant_saves(), std::move(done));
      After(Between(2, 20), [this, number, term = term_] {
        if (term == term_)
          log_.Decide(number);
      });
    };
    hooks.answer = [this](const HostId& host,
                          const wire::CacheSaveGrant& grant) {
      const auto it = claims_.find({host, grant.number()});
      if (it == claims_.end())
        return;
      if (grant.parts_size() > 0 &&
          (!troubles_.answers_are_lost || Chance(0.9)))
        it->second();
      claims_.erase(it);
    };
    return hooks;
  }
  void Disturb() {
    if (troubles_.stores_restart)
      stores_[random_() % stores_.size()].Restart();
    if (troubles_.labels_retire)
      ++live_label_;
    if (troubles_.processes_restart && Chance(0.4))
      RestartProcesses();
    else if (troubles_.leaders_change && Chance(0.5))
      NewLeader();
    for (Host& host : hosts_) {
      if (troubles_.hosts_are_cut_off && Chance(0.3))
        host.cut_until = now_ + Between(2000, 6000);
    }
  }
  void LeadStep() {
    batches_->Tick();
    for (const fleet::CacheRead& read : catalog_->NextReads(now_)) {
      After(Between(10, 50), [this, read, catalog = catalog_, term = term_] {
        SimulatedStore& store = stores_[StoreAt(read.store)];
        const TimePoint read_at = now_;
        if (read.is_list) {
          After(Between(10, 200), [=, this, list = store.List(read_at)] {
            if (term != term_)
              return;
            catalog->OnList(read.store, list, now_);
            listed_epochs_[StoreAt(read.store)] = list.epoch;
          });
        } else {
          After(Between(10, 800),
                [=, this, events = store.EventsSince(read.since, read_at)] {
                  if (term != term_)
                    return;
                  catalog->OnEvents(read.store, events, now_);
                });
        }
      });
    }
    if (now_.time_since_epoch() % Millis(1000) == Millis(0)) {
      const std::string live = "m." + std::to_string(live_label_);
      catalog_->Retire([&](const std::string& label) { return label == live; },
                       now_);
    }
    for (const fleet::CacheFree& order : catalog_->NextFrees(now_)) {
      After(Between(5, 150), [this, order] {
        SimulatedStore& store = stores_[StoreAt(order.store)];
        if (order.epoch == store.epoch() &&
            SimulatedStore::ClockOf(now_) <= order.until_ms) {
          store.Free(order.parts);
        }
      });
    }
  }

  void HostStep(std::size_t number) {
    Host& host = hosts_[number];
    if (now_ >= host.poll_due && !host.is_polling)
      Poll(number);
    if (Chance(0.2))
      Request(number);
  }
  void Poll(std::size_t number) {
    Host& host = hosts_[number];
    host.poll_due = now_ + kPollInterval;
    host.is_polling = true;
    const std::uint64_t poll = ++host.poll_number;
    // A poll without an answer is given up.
    OfRun(number, Millis(1000), [this, number, poll] {
      if (hosts_[number].poll_number == poll)
        hosts_[number].is_polling = false;
    });
    const TimePoint asked_at = now_;
    if (now_ < host.cut_until)
      return;
    OfRun(number, Between(2, 10),
          [this, number, poll, asked_at, message = PollOf(number)] {
            catalog_->OnPoll(HostOf(number), message, now_);
            successor_->OnPoll(HostOf(number), message, now_);
            const auto update =
                catalog_->UpdateSince(hosts_[number].view.position(), now_);
            if (!update || (troubles_.updates_are_lost && Chance(0.2)))
              return;
            OfRun(number, Between(2, 20),
                  [=, this, update = *update, epochs = listed_epochs_] {
                    Deliver(number, update, asked_at, poll);
                    hosts_[number].known_epochs = epochs;
                  });
          });
  }
  wire::FleetPoll PollOf(std::size_t number) {
    Host& host = hosts_[number];
    wire::FleetPoll poll;
    poll.set_incarnation(host.run);
    poll.set_cache_term(host.view.position().term);
    poll.set_wants_loads(true);
    for (wire::CacheSaveRecord save : host.outstanding) {
      save.set_ends_in_ms(static_cast<std::uint32_t>(
          (kLongWait + CacheSaveLedger::kMargin).count()));
      *poll.add_saves() = save;
    }
    return poll;
  }
  // What is under way when a host is cut off arrives some time later.
  void Deliver(std::size_t number,
               const wire::CacheUpdate& update,
               TimePoint asked_at,
               std::uint64_t poll) {
    const TimePoint cut_until = hosts_[number].cut_until;
    if (now_ < cut_until) {
      const auto left = std::chrono::duration_cast<Millis>(cut_until - now_);
      OfRun(number, left + Between(0, 1000),
            [=, this] { Apply(hosts_[number], update, asked_at, poll); });
    } else {
      Apply(hosts_[number], update, asked_at, poll);
    }
  }
  void Apply(Host& host,
             const wire::CacheUpdate& update,
             TimePoint asked_at,
             std::uint64_t poll) {
    if (host.poll_number == poll)
      host.is_polling = false;
    host.view.Apply(update, host.poll_number == poll ? asked_at : TimePoint{},
                    now_);
  }

  void Request(std::size_t number) {
    // Some requests still run on former weights.
    int label = live_label_;
    while (label > 1 && live_label_ - label < 2 && Chance(0.3))
      --label;
    // The last ones by name: a catalogue lists and removes these last.
    const int part = 9999 - static_cast<int>(random_() % requested_);
    const CachePartName name = NameOf(part, label);
    Prompt prompt;
    prompt.parts = {{name.id, kTokens}, {"own", kTokens}};
    const CachePlan plan = hosts_[number].view.Plan(
        prompt, name.label, [](const DomainId&) { return true; },
        CacheCatalog::kFetchLimit, now_);
    if (!plan.fetch.empty() && plan.fetch[0])
      Fetch(StoreAt(*plan.fetch[0]), name, plan.fetch_until_ms);
    for (const SavePart& saved : plan.saved_parts)
      Claim(number, saved, name);
  }
  void Claim(std::size_t number,
             const SavePart& part,
             const CachePartName& name) {
    if (now_ < hosts_[number].cut_until)
      return;
    wire::CacheSaveClaim claim;
    claim.set_term(hosts_[number].view.position().term);
    claim.set_number(hosts_[number].run + ++hosts_[number].claims);
    claim.set_lifetime_ms(static_cast<std::uint32_t>(kLongWait.count()));
    claim.add_parts()->set_key(part.key);
    claim.mutable_parts(0)->set_store(part.store);
    claims_[{HostOf(number), claim.number()}] = [=, this, at = now_] {
      OfRun(number, Between(1, 20), [=, this] {
        if (hosts_[number].view.position().term == claim.term() &&
            now_ - at <= CacheSaveLedger::kClaimWait) {
          Save(number, part, name, claim.number());
        } else {
          Release(number, RecordOf(part, claim.number()), false);
        }
      });
    };
    OfRun(number, Between(1, 20),
          [=, this] { batches_->OnClaim(HostOf(number), claim); });
  }
  static wire::CacheSaveRecord RecordOf(const SavePart& part,
                                        std::uint64_t claim) {
    wire::CacheSaveRecord record;
    record.set_key(part.key);
    record.set_store(fleet::CacheStoreKey(part.address));
    record.set_claim(claim);
    return record;
  }
  static HostId HostOf(std::size_t number) {
    return HostId("host-" + std::to_string(number));
  }
  void Release(std::size_t number,
               const wire::CacheSaveRecord& save,
               bool was_sent = true) {
    wire::CacheSaveRelease release;
    *release.add_saves() = save;
    release.set_was_sent(was_sent);
    catalog_->OnSaveRelease(HostOf(number), release, now_);
    OfRun(number, CacheSaveLedger::kTransferWait, [=, this] {
      std::erase_if(hosts_[number].outstanding, [&](const auto& known) {
        return known.claim() == save.claim();
      });
    });
  }
  void Save(std::size_t host,
            const SavePart& part,
            const CachePartName& name,
            std::uint64_t claim) {
    const std::size_t store = StoreAt(part.address);
    const wire::CacheSaveRecord record = RecordOf(part, claim);
    hosts_[host].outstanding.push_back(record);
    ++saves;
    const Millis write_time = troubles_.writers_are_slow && Chance(0.3)
                                  ? Between(8000, 14000)
                                  : Between(100, 1200);
    const std::uint64_t known_epoch = hosts_[host].known_epochs[store];
    const bool is_late = troubles_.saves_cross_restarts && Chance(0.2);
    const Millis wait = is_late
                            ? Between(400, static_cast<int>(kLongWait.count()))
                            : Between(20, 400);
    if (!troubles_.saves_cross_restarts || Chance(0.8))
      OfRun(host, wait + Between(10, 1000),
            [=, this] { Release(host, record); });
    After(wait, [=, this] {
      if (troubles_.saves_cross_restarts ||
          stores_[store].epoch() == known_epoch) {
        stores_[store].Save(name, now_ + write_time);
      }
    });
  }
  // A fetch begins at some time and ends before its deadline, else it is thrown
  // away.
  void Fetch(std::size_t store,
             const CachePartName& name,
             std::optional<std::uint64_t> until_ms) {
    ++fetches;
    // Without a deadline, it lasts as long as its prompt waits.
    fetches_without_deadline += until_ms ? 0 : 1;
    const Millis left =
        until_ms ? Millis(*until_ms) - Millis(SimulatedStore::ClockOf(now_))
                 : kLongWait;
    if (left <= kStep)
      return;
    const auto most = static_cast<int>(left.count());
    const Millis start = troubles_.fetches_are_slow
                             ? Between(most / 2, most - 1)
                             : Between(1, std::min(most - 1, 100));
    After(start, [=, this] {
      const auto* part = stores_[store].Find(name);
      if (part == nullptr)
        return;  // a miss
      if (!SimulatedStore::IsComplete(*part, now_)) {
        ++bad_fetches;
        return;
      }
      const std::uint64_t writing = part->writing;
      const std::uint64_t epoch = stores_[store].epoch();
      After(left - start, [=, this] {
        if (stores_[store].epoch() != epoch)
          return;  // restarted: the transfer has broken off
        const auto* at_end = stores_[store].Find(name);
        bad_fetches += at_end == nullptr || at_end->writing != writing ? 1 : 0;
      });
    });
  }

  const Troubles troubles_;
  const std::size_t requested_;
  TimePoint now_ = TimePoint(Millis(1'000'000));
  std::vector<routes::CacheStore> settings_;
  std::array<SimulatedStore, 3> stores_;
  std::shared_ptr<CacheCatalog> catalog_;  // the leader's
  std::shared_ptr<CacheCatalog> successor_;
  std::uint64_t term_ = 0;
  ManualTimerService timers_;  // its time is now_
  SimulatedLog log_;
  std::unique_ptr<CacheSaveBatches> batches_;  // the leader's
  // What becomes of each claim that is granted.
  std::map<std::pair<HostId, std::uint64_t>, std::function<void()>> claims_;
  std::array<std::uint64_t, 3> listed_epochs_{};
  std::vector<Host> hosts_;
  int live_label_ = 1;
  std::multimap<TimePoint, Action> later_;
  std::mt19937_64 random_;
};

constexpr Millis kRunTime{24000};

}  // namespace

BOOST_AUTO_TEST_SUITE(gateway_cache_protocol,
                      *boost::unit_test::label("gateway"))

BOOST_DATA_TEST_CASE(parts_are_fetched_and_saved_without_trouble,
                     boost::unit_test::data::make({1, 6, 30}),
                     hosts) {
  CacheFleet fleet(static_cast<std::size_t>(hosts), 600, 600, {}, 1);
  fleet.Run(kRunTime);
  BOOST_TEST(fleet.bad_fetches == 0);
  BOOST_TEST(fleet.fetches > 100 * hosts);
}

// Guards against MIXED: a new leader published the stores' parts before it knew
// the servers' clock, and fetches had no deadline until it did.
BOOST_DATA_TEST_CASE(fetches_after_a_change_of_leader_have_deadlines,
                     boost::unit_test::data::make({1, 2, 3}),
                     seed) {
  Troubles troubles;
  troubles.leaders_change = true;
  troubles.labels_retire = true;
  troubles.fetches_are_slow = true;
  CacheFleet fleet(30, 600, 600, troubles, seed);
  fleet.Run(kRunTime);
  BOOST_TEST_MESSAGE("fetches " << fleet.fetches << ", without deadline "
                                << fleet.fetches_without_deadline << ", bad "
                                << fleet.bad_fetches);
  BOOST_TEST(fleet.fetches_without_deadline == 0);
  BOOST_TEST(fleet.bad_fetches == 0);
  BOOST_TEST(fleet.fetches > 1000);
}

// Guards against MIXED: a host that was still catching up with the removals of
// a restarted store fetched parts that were just being written there again.
BOOST_DATA_TEST_CASE(hosts_that_lag_behind_a_restart_fetch_no_incomplete_part,
                     boost::unit_test::data::make({1, 2, 3}),
                     seed) {
  Troubles troubles;
  troubles.stores_restart = true;
  troubles.updates_are_lost = true;
  CacheFleet fleet(6, 30000, 40, troubles, seed);
  fleet.Run(kRunTime);
  BOOST_TEST_MESSAGE("fetches " << fleet.fetches << ", bad "
                                << fleet.bad_fetches);
  BOOST_TEST(fleet.bad_fetches == 0);
  BOOST_TEST(fleet.fetches > 1000);
}

// Guards against MIXED: a save that was planned before a store restarted, or by
// a host that didn't know of it, met fetches of the part that was there before.
BOOST_DATA_TEST_CASE(saves_that_cross_a_restart_meet_no_fetch,
                     boost::unit_test::data::make({1, 2, 3}),
                     seed) {
  Troubles troubles;
  troubles.stores_restart = true;
  troubles.updates_are_lost = true;
  troubles.saves_cross_restarts = true;
  CacheFleet fleet(6, 30000, 40, troubles, seed);
  fleet.Run(kRunTime);
  BOOST_TEST(fleet.bad_fetches == 0);
}

// Guards against MIXED: an update that was held up for seconds made what the
// host knew look fresh.
BOOST_DATA_TEST_CASE(updates_that_are_held_up_prove_nothing,
                     boost::unit_test::data::make({1, 2, 3}),
                     seed) {
  Troubles troubles;
  troubles.labels_retire = true;
  troubles.hosts_are_cut_off = true;
  CacheFleet fleet(30, 300, 60, troubles, seed);
  fleet.Run(kRunTime);
  BOOST_TEST_MESSAGE("fetches " << fleet.fetches << ", bad "
                                << fleet.bad_fetches);
  BOOST_TEST(fleet.bad_fetches == 0);
  BOOST_TEST(fleet.fetches > 1000);
}

// Guards against MIXED: parts were saved to a restarted store while fetches
// that had been planned before could still begin.
BOOST_DATA_TEST_CASE(a_restarted_store_is_written_after_the_last_old_fetch,
                     boost::unit_test::data::make({1, 2, 3}),
                     seed) {
  Troubles troubles;
  troubles.stores_restart = true;
  troubles.fetches_are_slow = true;
  troubles.updates_are_lost = true;
  CacheFleet fleet(30, 600, 60, troubles, seed);
  fleet.Run(kRunTime);
  BOOST_TEST_MESSAGE("fetches " << fleet.fetches << ", bad "
                                << fleet.bad_fetches);
  BOOST_TEST(fleet.bad_fetches == 0);
  BOOST_TEST(fleet.fetches > 1000);
}

Troubles MixOfTroubles(int seed) {
  Troubles troubles;
  troubles.stores_restart = seed % 2 == 0;
  troubles.labels_retire = true;
  troubles.hosts_are_cut_off = seed % 3 != 0;
  troubles.writers_are_slow = seed % 4 == 0;
  troubles.leaders_change = true;
  troubles.updates_are_lost = true;
  troubles.fetches_are_slow = seed % 5 < 3;
  return troubles;
}

BOOST_DATA_TEST_CASE(no_mix_of_troubles_leads_to_a_bad_fetch,
                     boost::unit_test::data::xrange(1, 11) *
                         boost::unit_test::data::make({3, 30}),
                     seed,
                     hosts) {
  CacheFleet fleet(static_cast<std::size_t>(hosts), 5000, 100,
                   MixOfTroubles(seed), seed);
  fleet.Run(kRunTime);
  BOOST_TEST(fleet.bad_fetches == 0);
}

BOOST_DATA_TEST_CASE(no_mix_with_saves_that_cross_restarts_leads_to_one,
                     boost::unit_test::data::xrange(1, 11) *
                         boost::unit_test::data::make({3, 30}),
                     seed,
                     hosts) {
  Troubles troubles = MixOfTroubles(seed);
  troubles.saves_cross_restarts = true;
  CacheFleet fleet(static_cast<std::size_t>(hosts), 5000, 100, troubles, seed);
  fleet.Run(kRunTime);
  BOOST_TEST(fleet.bad_fetches == 0);
}

// Guards against MIXED: the next leader doesn't know what was granted before
// all processes restarted.
BOOST_DATA_TEST_CASE(no_restart_of_all_processes_leads_to_a_bad_fetch,
                     boost::unit_test::data::xrange(1, 11) *
                         boost::unit_test::data::make({3, 30}),
                     seed,
                     hosts) {
  Troubles troubles = MixOfTroubles(seed);
  troubles.saves_cross_restarts = true;
  troubles.processes_restart = true;
  troubles.answers_are_lost = seed % 2 == 1;
  CacheFleet fleet(static_cast<std::size_t>(hosts), 5000, 100, troubles, seed);
  fleet.Run(2 * kRunTime);
  BOOST_TEST_MESSAGE("fetches " << fleet.fetches << ", saves " << fleet.saves
                                << ", bad " << fleet.bad_fetches);
  BOOST_TEST(fleet.bad_fetches == 0);
}

// Guards against the loss of the cache on days on which all processes restart:
// nothing was saved for the longest request.
BOOST_AUTO_TEST_CASE(saves_go_on_after_a_restart_of_all_processes) {
  Troubles troubles;
  troubles.saves_cross_restarts = true;
  CacheFleet fleet(6, 0, 600, troubles, 1);
  fleet.Run(kRunTime);
  const int before = fleet.saves;
  BOOST_TEST(before > 0);
  fleet.RestartProcesses();
  // The next leader waits for a store's former fetches in any case.
  fleet.Run(CacheCatalog::kFreeDelay + Millis(1500));
  BOOST_TEST(fleet.saves > before);
  BOOST_TEST(fleet.bad_fetches == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace endivecart::gateway
