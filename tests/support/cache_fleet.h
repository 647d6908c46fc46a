#ifndef TESTS_SUPPORT_CACHE_FLEET_H_
#define TESTS_SUPPORT_CACHE_FLEET_H_

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "endivecart/fleet/fleet.h"
#include "endivecart/gateway/cache_view.h"
#include "support/simulated_store.h"

namespace endivecart::gateway {

constexpr Millis kPollInterval{250};
constexpr Millis kLongWait{10000};
constexpr Millis kLongTime{60000};

// What may go wrong in a run.
struct Troubles {
  bool stores_restart = false;
  // Saves may reach a restarted store though they were planned before, or by a
  // host that doesn't know of the restart yet. Some begin seconds later, and of
  // some their host never gets to know.
  bool saves_cross_restarts = false;
  bool saves_are_late = false;  // most begin after more than half of their time
  bool hosts_are_cut_off = false;  // for seconds; updates come afterwards
  bool updates_are_lost = false;
  bool answers_are_lost = false;  // to claims
  bool writers_are_slow = false;  // saves take as long as partials are kept
  bool labels_retire = false;
  bool leaders_change = false;
  bool fetches_are_slow = false;   // they end shortly before their deadline
  bool processes_restart = false;  // all at once, also within a batch of grants
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

  fleet::CachePartName NameOf(int part, int label) const {
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
    batches_ = std::make_unique<fleet::CacheSaveBatches>(*catalog_, timers_,
                                                         SaveHooks());
    batches_->OnLeadershipGained(is_complete);
  }
  void StartControlHosts(TimePoint watching_since) {
    for (auto* catalog : {&catalog_, &successor_}) {
      *catalog = std::make_shared<fleet::CacheCatalog>();
      (*catalog)->SetStores(settings_);
      (*catalog)->SetRequestLimit(kLongWait);
      (*catalog)->StartWatchingPolls(false, watching_since);
    }
    batches_ = std::make_unique<fleet::CacheSaveBatches>(*catalog_, timers_,
                                                         SaveHooks());
  }
  fleet::CacheSaveBatches::Hooks SaveHooks() {
    fleet::CacheSaveBatches::Hooks hooks;
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
    if (troubles_.processes_restart && Chance(0.2))
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
          (kLongWait + fleet::CacheSaveLedger::kMargin).count()));
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
    const fleet::CachePartName name = NameOf(part, label);
    Prompt prompt;
    prompt.parts = {{name.id, kTokens}, {"own", kTokens}};
    const CachePlan plan = hosts_[number].view.Plan(
        prompt, name.label, [](const DomainId&) { return true; },
        fleet::CacheCatalog::kFetchLimit, now_);
    if (!plan.fetch.empty() && plan.fetch[0])
      Fetch(StoreAt(*plan.fetch[0]), name, plan.fetch_until_ms);
    for (const SavePart& saved : plan.saved_parts)
      Claim(number, saved, name);
  }
  void Claim(std::size_t number,
             const SavePart& part,
             const fleet::CachePartName& name) {
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
            now_ - at <= fleet::CacheSaveLedger::kClaimWait) {
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
    OfRun(number, fleet::CacheSaveLedger::kTransferWait, [=, this] {
      std::erase_if(hosts_[number].outstanding, [&](const auto& known) {
        return known.claim() == save.claim();
      });
    });
  }
  void Save(std::size_t host,
            const SavePart& part,
            const fleet::CachePartName& name,
            std::uint64_t claim) {
    const std::size_t store = StoreAt(part.address);
    const wire::CacheSaveRecord record = RecordOf(part, claim);
    hosts_[host].outstanding.push_back(record);
    ++saves;
    const Millis write_time = troubles_.writers_are_slow && Chance(0.3)
                                  ? Between(8000, 14000)
                                  : Between(100, 1200);
    const std::uint64_t known_epoch = hosts_[host].known_epochs[store];
    const bool is_late = troubles_.saves_cross_restarts &&
                         Chance(troubles_.saves_are_late ? 0.7 : 0.2);
    const auto most = static_cast<int>(kLongWait.count());
    const Millis wait =
        is_late ? Between(troubles_.saves_are_late ? most / 2 : 400, most)
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
             const fleet::CachePartName& name,
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
  std::shared_ptr<fleet::CacheCatalog> catalog_;  // the leader's
  std::shared_ptr<fleet::CacheCatalog> successor_;
  std::uint64_t term_ = 0;
  ManualTimerService timers_;  // its time is now_
  SimulatedLog log_;
  std::unique_ptr<fleet::CacheSaveBatches> batches_;  // the leader's
  // What becomes of each claim that is granted.
  std::map<std::pair<HostId, std::uint64_t>, std::function<void()>> claims_;
  std::array<std::uint64_t, 3> listed_epochs_{};
  std::vector<Host> hosts_;
  int live_label_ = 1;
  std::multimap<TimePoint, Action> later_;
  std::mt19937_64 random_;
};

}  // namespace endivecart::gateway

#endif  // TESTS_SUPPORT_CACHE_FLEET_H_
