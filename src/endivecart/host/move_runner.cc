#include "endivecart/host/move_runner.h"

#include <algorithm>
#include <utility>

namespace endivecart::host {

namespace {

constexpr Millis kTickInterval{250};
constexpr int kOrderThreads = 2;
constexpr Millis kOrderTimeout{9000};
constexpr Millis kProposalTimeout{3000};

std::int64_t UnixMillis() {
  return std::chrono::system_clock::now().time_since_epoch() / Millis(1);
}

std::string OrderJson(const moves::Order& order) {
  return "{\"fence\":" + std::to_string(order.fence) +
         ",\"action\":" + entry::JsonQuoted(order.action) +
         ",\"version\":" + entry::JsonQuoted(order.version.str()) + "}";
}

}  // namespace

MoveRunner::MoveRunner(const HostId& self,
                       ControlThread& control,
                       entry::Dispatcher& dispatcher)
    : self_(self),
      control_(control),
      dispatcher_(dispatcher),
      controller_({[this](const std::string& change_id,
                          const std::string& patch,
                          Revision revision) {
                     wire::Command command;
                     command.mutable_change()->set_change_id(change_id);
                     command.mutable_change()->set_author("moves");
                     command.mutable_change()->set_patch(patch);
                     command.mutable_change()->set_expected_revision(revision);
                     control_.Post([this, command](TimePoint now) {
                       control_.node().Propose(
                           command, now + kProposalTimeout, [](const auto&) {},
                           now);
                     });
                   },
                   [this](const moves::Order& order) {
                     std::scoped_lock lock(mutex_);
                     orders_.push_back(order);
                     changed_.notify_one();
                   }}) {
  for (int i = 0; i < kOrderThreads; ++i)
    threads_.emplace_back([this] { RunOrders(); });
}

MoveRunner::~MoveRunner() {
  {
    std::scoped_lock lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  for (std::thread& thread : threads_)
    thread.join();
}

void MoveRunner::RunOrders() {
  while (true) {
    moves::Order order;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !orders_.empty(); });
      if (stopping_)
        return;
      order = std::move(orders_.front());
      orders_.pop_front();
    }
    http::CallRequest call;
    call.method = "POST";
    call.url = order.url + "/orders";
    call.body = OrderJson(order);
    call.timeout = kOrderTimeout;
    const auto reply = http::Call(call);
    LogLine("moves.order_ended")
        .Add("upstream", order.upstream.str())
        .Add("version", order.version.str())
        .Add("status", reply ? reply->status : 0)
        .Info();
    control_.Post([this, order](TimePoint now) {
      controller_.OnOrderEnded(order.upstream, now);
    });
  }
}

VersionId MoveRunner::Choose(const configuration::Model& model,
                             const std::string& route,
                             int draw,
                             bool fresh) {
  std::scoped_lock lock(gate_mutex_);
  return gate_.Choose(model, route, draw, fresh);
}

void MoveRunner::OnReport(const entry::Placement& placement,
                          const std::string& class_name,
                          const entry::AttemptReport& report) {
  const auto configuration = dispatcher_.configuration();
  if (configuration == nullptr || (!report.ok && !report.failed))
    return;
  const auto model =
      configuration->set.models().find(placement.pieces.owner.model);
  if (model == configuration->set.models().end())
    return;
  moves::VersionOutcome outcome;
  outcome.route = class_name;
  outcome.domain = placement.domain;
  outcome.failed = report.failed || report.empty_answer;
  outcome.first_token_ratio =
      report.first_token_ms / std::max(placement.predicted_ms, 10.0);
  outcome.gap_ms = report.max_gap_ms;
  std::scoped_lock lock(gate_mutex_);
  gate_.OnOutcome(model->second, placement.version, outcome);
}

void MoveRunner::SendReports() {
  std::vector<moves::MoveReport> reports;
  {
    std::scoped_lock lock(gate_mutex_);
    reports = gate_.Reports();
  }
  const HostId leader = control_.node().LeaderHost();
  for (const moves::MoveReport& report : reports) {
    if (leader == self_) {
      controller_.OnReport(self_, report);
      continue;
    }
    wire::Envelope envelope;
    wire::MoveReportMessage* message = envelope.mutable_move_report();
    message->set_model(report.model.str());
    message->set_version(report.version.str());
    message->set_started_ms(report.started_ms);
    message->set_requests(report.requests);
    message->set_faults(report.faults);
    message->set_verdict(report.verdict);
    for (const auto& [route, counts] : report.counts) {
      wire::RouteCounts* out = message->add_counts();
      out->set_route(route);
      out->set_requests(counts.requests);
      out->set_failed(counts.failed);
      out->set_slow_first_tokens(counts.slow_first_tokens);
      out->set_slow_gaps(counts.slow_gaps);
    }
    control_.Send(leader, std::move(envelope));
  }
}

void MoveRunner::OnEnvelope(const wire::Envelope& envelope) {
  const wire::MoveReportMessage& message = envelope.move_report();
  moves::CountsBySegment counts;
  for (const wire::RouteCounts& route : message.counts()) {
    counts[route.route()] = {route.requests(), route.failed(),
                             route.slow_first_tokens(), route.slow_gaps()};
  }
  controller_.OnReport(
      HostId(envelope.from()),
      {ModelId(message.model()), VersionId(message.version()),
       message.started_ms(), message.requests(), message.faults(),
       message.verdict(), std::move(counts)});
}

std::vector<moves::KnownUpstream> MoveRunner::KnownUpstreams() const {
  std::vector<moves::KnownUpstream> known;
  for (const entry::ListedUpstream& listed : dispatcher_.ListUpstreams()) {
    known.push_back({listed.view.id, listed.url, listed.view.domain,
                     listed.view.model, listed.view.versions});
  }
  return known;
}

void MoveRunner::Tick(TimePoint now) {
  if (now < next_tick_)
    return;
  next_tick_ = now + kTickInterval;
  SendReports();
  control::ControlNode& node = control_.node();
  if (!node.IsLeader() || !node.IsFresh(now)) {
    leading_term_ = 0;
    return;
  }
  if (leading_term_ != node.Term()) {
    leading_term_ = node.Term();
    controller_.OnLeadershipGained(leading_term_, now);
  }
  controller_.Tick(*node.configuration(), KnownUpstreams(), UnixMillis(), now);
}

}  // namespace endivecart::host
