#include "endivecart/fleet/save_grant_log.h"

namespace endivecart::fleet {

void SaveGrantLog::OnEntry(std::uint64_t term) {
  if (term == newest_term_)
    return;
  previous_term_ = newest_term_;
  newest_term_ = term;
}

bool SaveGrantLog::IsComplete() const {
  return logged_term_ != 0 &&
         (logged_term_ == newest_term_ || logged_term_ == previous_term_);
}

void SaveGrantLog::Apply(const wire::GrantSavesCommand& command) {
  if (command.replaces_all()) {
    saves_.clear();
  } else if (!IsComplete()) {
    // This member has lost grants, for instance in a snapshot of an earlier
    // release, and learns all of them from a command that replaces them.
    saves_.clear();
    return;
  }
  logged_term_ = newest_term_;
  for (const wire::LoggedSave& ended : command.ended()) {
    const auto it = saves_.find({ended.key(), ended.store()});
    if (it != saves_.end() &&
        it->second.claim ==
            CacheSaveLedger::Claim{HostId(ended.host()), ended.claim()}) {
      saves_.erase(it);
    }
  }
  for (const wire::LoggedSave& save : command.grants()) {
    saves_.insert_or_assign(
        CacheSaveLedger::Part{save.key(), save.store()},
        Entry{{HostId(save.host()), save.claim()}, Millis(save.ends_in_ms())});
  }
}

std::vector<SaveGrantLog::Save> SaveGrantLog::Saves() const {
  std::vector<Save> saves;
  saves.reserve(saves_.size());
  for (const auto& [part, entry] : saves_)
    saves.push_back({part, entry.claim, entry.ends_in});
  return saves;
}

wire::SaveGrantState SaveGrantLog::ToWire() const {
  wire::SaveGrantState state;
  state.set_logged_term(logged_term_);
  state.set_newest_term(newest_term_);
  state.set_previous_term(previous_term_);
  for (const auto& [part, entry] : saves_)
    *state.add_grants() = fleet::ToWire(Save{part, entry.claim, entry.ends_in});
  return state;
}

SaveGrantLog SaveGrantLog::FromWire(const wire::SaveGrantState& state) {
  SaveGrantLog log;
  log.logged_term_ = state.logged_term();
  log.newest_term_ = state.newest_term();
  log.previous_term_ = state.previous_term();
  for (const wire::LoggedSave& save : state.grants()) {
    log.saves_[{save.key(), save.store()}] = {
        {HostId(save.host()), save.claim()}, Millis(save.ends_in_ms())};
  }
  return log;
}

wire::LoggedSave ToWire(const SaveGrantLog::Save& save) {
  wire::LoggedSave logged;
  logged.set_key(save.part.key);
  logged.set_store(save.part.store);
  logged.set_host(save.claim.host.str());
  logged.set_claim(save.claim.number);
  logged.set_ends_in_ms(static_cast<std::uint32_t>(save.ends_in.count()));
  return logged;
}

}  // namespace endivecart::fleet
