#include "endivecart/moves/move_controller.h"

#include <algorithm>

namespace endivecart::moves {

namespace {

using configuration::Rollout;
using configuration::RolloutState;

// An upstream that does not check fencing numbers may still execute an order of
// the previous leader. A new leader waits until that leader's lease has expired
// and its last order has ended.
constexpr Millis kPreviousLeaderLease{1200};
constexpr Millis kMaxOrderDuration{10000};
constexpr Millis kMaxAnnouncementDelay{3000};

std::uint64_t TotalRequests(const std::map<HostId, MoveReport>& reports) {
  std::uint64_t total = 0;
  for (const auto& [host, report] : reports)
    total += report.requests;
  return total;
}

// Returns the first verdict of a host, or the verdict on the pooled outcomes.
std::string FirstVerdict(const std::map<HostId, MoveReport>& reports,
                         const PooledJudge& pooled) {
  for (const auto& [host, report] : reports) {
    if (!report.verdict.empty())
      return host.str() + ": " + report.verdict;
  }
  return pooled.verdict();
}

// Returns `text` as a JSON string, with quotes and backslashes replaced by
// apostrophes. `text` must not contain control characters.
std::string Quoted(const std::string& text) {
  std::string out = "\"";
  for (const char c : text)
    out += c == '"' || c == '\\' ? '\'' : c;
  return out + "\"";
}

std::string RolloutPatch(const ModelId& model, const std::string& fields) {
  return "\"rollouts\":{" + Quoted(model.str()) + ":{" + fields + "}}";
}

std::string PromotePatch(const ModelId& model, const VersionId& version) {
  return "\"models\":{" + Quoted(model.str()) +
         ":{\"version\":" + Quoted(version.str()) + "}}";
}

std::string PatchFor(const MoveStep& step, const configuration::Model& model) {
  const Rollout& rollout = *model.rollout;
  switch (step.kind) {
    case MoveStepKind::kRaiseShare:
      return "{" +
             RolloutPatch(model.id, "\"share_permille\":" +
                                        std::to_string(step.share_permille)) +
             "}";
    case MoveStepKind::kFinish:
      return "{" +
             RolloutPatch(
                 model.id,
                 "\"state\":\"done\",\"reason\":" + Quoted(step.reason) +
                     ",\"previous\":" + Quoted(model.version.str())) +
             "," + PromotePatch(model.id, rollout.version) + "}";
    case MoveStepKind::kRollBack:
      return "{" +
             RolloutPatch(model.id,
                          "\"state\":\"taken-back\",\"share_permille\":0,"
                          "\"reason\":" +
                              Quoted(step.reason)) +
             "}";
    case MoveStepKind::kWait:
      break;
  }
  return {};
}

}  // namespace

void MoveController::OnLeadershipGained(std::uint64_t fence, TimePoint now) {
  fence_ = fence;
  leader_since_ = now;
  states_.clear();
  recent_orders_.clear();
}

void MoveController::OnReport(const HostId& host, const MoveReport& report) {
  const auto it = states_.find(report.model);
  if (it == states_.end() || it->second.started_ms != report.started_ms)
    return;
  it->second.reports[host] = report;
  it->second.judge.OnCounts(host, report.counts);
}

void MoveController::OnOrderEnded(const UpstreamId& upstream, TimePoint now) {
  recent_orders_[upstream] = now + kMaxAnnouncementDelay;
}

MoveController::MoveState& MoveController::RefreshState(
    const configuration::Model& model,
    std::int64_t unix_ms) {
  MoveState& state = states_[model.id];
  if (state.started_ms != model.rollout->started_ms) {
    state = {};
    state.started_ms = model.rollout->started_ms;
  }
  if (state.share_permille != model.rollout->share_permille) {
    state.share_permille = model.rollout->share_permille;
    state.share_since_ms = unix_ms;
  }
  return state;
}

MoveView MoveController::BuildView(
    const configuration::ConfigurationSnapshot& configuration,
    const configuration::Model& model,
    const std::vector<KnownUpstream>& upstreams,
    const MoveState& state,
    std::int64_t unix_ms) const {
  MoveView view;
  view.rollout = *model.rollout;
  view.requests = TotalRequests(state.reports);
  view.verdict = FirstVerdict(state.reports, state.judge);
  view.now_ms = unix_ms;
  view.share_since_ms = state.share_since_ms;
  for (const KnownUpstream& upstream : upstreams) {
    if (upstream.model != model.id)
      continue;
    MoveUpstream entry;
    entry.id = upstream.id;
    entry.domain = upstream.domain;
    entry.has_new =
        std::find(upstream.versions.begin(), upstream.versions.end(),
                  model.rollout->version) != upstream.versions.end();
    entry.loading = !entry.has_new && recent_orders_.contains(upstream.id);
    entry.usable = !configuration.set.DomainIsOut(upstream.domain) &&
                   !configuration.set.UpstreamIsLeaving(upstream.id);
    view.upstreams.push_back(entry);
  }
  std::sort(view.upstreams.begin(), view.upstreams.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  return view;
}

void MoveController::SendLoadOrders(
    const configuration::ConfigurationSnapshot& configuration,
    const MoveStep& step,
    const VersionId& version,
    const std::vector<KnownUpstream>& upstreams,
    TimePoint now) {
  for (const KnownUpstream& upstream : upstreams) {
    if (std::find(step.load.begin(), step.load.end(), upstream.id) ==
        step.load.end()) {
      continue;
    }
    const auto rule = configuration.set.upstreams().find(upstream.id);
    const bool checks_fencing_number =
        rule != configuration.set.upstreams().end() &&
        rule->second.checks_fencing;
    if (!checks_fencing_number &&
        now < leader_since_ + kPreviousLeaderLease + kMaxOrderDuration)
      continue;
    recent_orders_[upstream.id] = now + kMaxOrderDuration;
    LogLine("moves.order")
        .Add("upstream", upstream.id.str())
        .Add("version", version.str())
        .Add("fence", fence_)
        .Info();
    hooks_.send_order({upstream.id, upstream.url, "load", version, fence_});
  }
}

void MoveController::Propose(
    const configuration::ConfigurationSnapshot& configuration,
    const configuration::Model& model,
    const std::string& patch) {
  // A repeated proposal of a step has the same id, so that it is applied once.
  hooks_.propose(
      "move-" + model.id.str() + "-" + std::to_string(configuration.revision),
      patch, configuration.revision);
}

void MoveController::RunMove(
    const configuration::ConfigurationSnapshot& configuration,
    const configuration::Model& model,
    const std::vector<KnownUpstream>& upstreams,
    std::int64_t unix_ms,
    TimePoint now) {
  const MoveState& state = RefreshState(model, unix_ms);
  const MoveView view =
      BuildView(configuration, model, upstreams, state, unix_ms);
  const MoveStep step = PlanStep(view);
  SendLoadOrders(configuration, step, model.rollout->version, upstreams, now);
  if (step.kind == MoveStepKind::kWait)
    return;
  LogLine("moves.step")
      .Add("model", model.id.str())
      .Add("version", model.rollout->version.str())
      .Add("kind", static_cast<int>(step.kind))
      .Add("share_permille", step.share_permille)
      .Add("requests", view.requests)
      .Add("reason", step.reason)
      .Info();
  Propose(configuration, model, PatchFor(step, model));
}

void MoveController::CheckPromoted(
    const configuration::ConfigurationSnapshot& configuration,
    const configuration::Model& model) {
  const auto state = states_.find(model.id);
  if (state == states_.end() || model.rollout->previous.empty() ||
      state->second.started_ms != model.rollout->started_ms) {
    return;
  }
  MoveStep step;
  step.kind = MoveStepKind::kRollBack;
  step.reason = FirstVerdict(state->second.reports, state->second.judge);
  if (step.reason.empty())
    return;
  step.reason = "after promotion, " + step.reason;
  const std::string rollout = PatchFor(step, model);
  Propose(configuration, model,
          rollout.substr(0, rollout.size() - 1) + "," +
              PromotePatch(model.id, model.rollout->previous) + "}");
}

void MoveController::Tick(
    const configuration::ConfigurationSnapshot& configuration,
    const std::vector<KnownUpstream>& upstreams,
    std::int64_t unix_ms,
    TimePoint now) {
  std::erase_if(recent_orders_,
                [&](const auto& entry) { return entry.second <= now; });
  for (const auto& [id, model] : configuration.set.models()) {
    if (!model.rollout)
      continue;
    if (model.rollout->state == RolloutState::kRunning) {
      RunMove(configuration, model, upstreams, unix_ms, now);
    } else if (model.rollout->state == RolloutState::kDone) {
      RefreshState(model, unix_ms);
      CheckPromoted(configuration, model);
    }
  }
}

}  // namespace endivecart::moves
