#ifndef ENDIVECART_GATEWAY_FORWARDING_H_
#define ENDIVECART_GATEWAY_FORWARDING_H_

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "endivecart/gateway/cache_sources.h"
#include "endivecart/gateway/event_splitter.h"
#include "endivecart/gateway/gateway.h"
#include "endivecart/gateway/relayed_request.h"
#include "endivecart/gateway/send_evidence.h"
#include "endivecart/gateway/send_invariants.h"

namespace endivecart::gateway {

// Internal. Returns whether a status guarantees to the caller that the request
// was not run and will not be.
constexpr bool GuaranteesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Internal. One accepted request: sends it to an upstream, retries at others
// where that is allowed, and answers the caller exactly once.
class Forwarding final : public std::enable_shared_from_this<Forwarding> {
 public:
  Forwarding(Gateway& gateway,
             net::HttpExchangePtr exchange,
             CallerRequest request,
             routes::RouteTablePtr routes,  // keeps route and customer alive
             const routes::Route& route,
             const routes::Customer* customer,
             std::optional<RelayTicket> ticket_from_relay);
  ~Forwarding();

  void Start();
  // Retries at another upstream if the current one is silent and a retry is
  // allowed.
  void FailOverFromSilentUpstream();
  // Retries through another host if this one is cut off from the current
  // upstream and a retry is allowed.
  void FailOverFromCutLink();
  // Sends to another upstream if this one wants nothing for a while and no byte
  // has been sent to it yet.
  void LeaveWaitingUpstream(const UpstreamId& upstream);
  // Reports an outstanding send, in case that all upstreams are silent.
  void ReportWaiting() const;
  // Records the speed of a running request for its version as soon as it is
  // known: a slow stream may last until its time limit.
  void RecordSpeedOfRun();
  // Sends a final answer if none has begun.
  void AnswerForShutdown();
  bool IsOn(const routes::Route& route) const {
    return route_.name == route.name;
  }
  // Returns how long ago the request was accepted.
  Millis Age() const;
  // Logs how far the request is, because the process exits.
  void LogCutByStop() const;
  const routes::ServiceId& service() const { return service_; }
  std::int64_t PromptTokens() const;
  // Returns when a request that is no stream was sent to an upstream, if its
  // answer will tell whether it is to be counted as usage.
  std::optional<TimePoint> UncountedSince() const;
  // Tries to send a queued request. Returns whether it was sent.
  bool TryDispatch();

 private:
  // When callers may return if nothing better is known.
  static constexpr Millis kDefaultRetryAfter{300};

  // Whether a request without an answer may have been run by an upstream.
  enum class RunState { kNotRun, kMayHaveRun };

  void Send();
  // Returns whether the caller's connection is still open; otherwise ends the
  // request. To be called before each send: on a busy host the caller may have
  // left long before the loop gets to know.
  bool KeepForCaller();
  // Returns whether the request may be sent, as far as its parts tell;
  // otherwise ends it.
  bool AdmitParts();
  // Claims the right to save those of the prompt's parts that no store holds.
  // Returns whether it was claimed; the request is then sent once the leader
  // has answered, or has not in time.
  bool ClaimSaves();
  // Removes the saves that were not permitted.
  void KeepPermittedSaves(CachePlan& plan) const;
  // Records whether the request carries saves; otherwise gives the permits
  // back.
  void MarkSavesSent(const UpstreamRequest& request);
  // Records the end of a send that may have carried saves.
  void EndSaves(SendResult result);
  void ReleaseSaves();
  // Queues the request until an upstream has capacity or the maximum wait is
  // over.
  void Wait();
  void StopWaiting();
  // Returns how long the request may be queued from now on.
  Millis MaxWait() const;
  // Sets `has_capacity` of each candidate for this prompt, by its free memory
  // and a random draw with the probability of CapacityEstimator.
  void MarkCapacity(std::vector<Candidate>& candidates,
                    const routes::Service* service,
                    int hosts) const;
  std::vector<Candidate> FindCandidates(UpstreamCounts& counts) const;
  // Returns whether the request and the cache of its prompt may be in `domain`.
  bool IsAllowedIn(const DomainId& domain) const;
  void PreferOwnRegion(std::vector<Candidate>& candidates) const;
  // The upstream for the next send, and the state on which the choice was
  // based.
  struct Chosen {
    UpstreamId upstream;
    double expected_ms = 0;
    int requests_there = 0;
    std::string counts;
    bool has_cold_start_permit = false;
    bool has_limit_permit = false;
    bool has_room = false;
  };
  // Removes candidates that are brittle and have no room for another request.
  // Returns whether there were any.
  bool KeepWithinRoom(std::vector<Candidate>& candidates) const;
  // Acquires what the rates of a limited or cold upstream require.
  bool AcquirePermits(const UpstreamId& id,
                      bool is_cold,
                      const routes::Service* service,
                      const HostRank& rank);
  std::optional<Chosen> ChooseUpstream();
  void StartCall(const Chosen& chosen);
  // Resets the state of the current send for another.
  void ResetSend();
  net::HttpCallPtr StartCallTo(const settings::Endpoint& address,
                               const net::HttpRequest& request,
                               net::CallOptions options);
  // Returns the event after which the next send resumes the stream; empty: from
  // the start.
  std::string LastEventIdToSend() const;

  // Returns another host that can send this request to an upstream, if this one
  // is cut off from the service. A request that came through another host goes
  // through no second one.
  std::optional<quarantine::RelayHost> ChooseRelay() const;
  void StartRelayedCall(const quarantine::RelayHost& relay);
  void OnRelayEnd(net::CallResult end, SendEffect effect);
  void OnRelayNotRun();
  bool SatisfiesInvariants(const Chosen& chosen,
                           const UpstreamRequest& request) const;
  bool SatisfiesInvariants(const quarantine::RelayHost& relay) const;
  // Adds the parts by the kind of their source.
  void AddSources(const UpstreamRequest& request, LogLine& line) const;
  // Returns the kind of each part's source, for logs and metrics.
  std::vector<std::string_view> SourceKinds(
      const UpstreamRequest& request) const;
  void LogSend(const Chosen& chosen, const UpstreamRequest& request) const;
  UpstreamRequest MakeUpstreamRequest(const UpstreamId& upstream);
  void PlanCache(UpstreamRequest& out);
  // Plans to fetch each part from the source from which it is expected first.
  void ChooseSources(CachePlan& plan);
  // Returns nullopt if the engine's link is not known.
  std::optional<FetchTask> MakeFetchTask(const CachePlan& plan) const;
  std::vector<CacheSource> StoresWith(
      const std::vector<CacheHolder>& holders) const;
  // Returns those of the engines that may hold a part.
  std::vector<CacheSource> EnginesWith(
      std::uint64_t part,
      const std::vector<const Candidate*>& engines,
      const routes::EngineLimits& limits) const;
  // Returns the candidates that may hold parts of the prompt and from which
  // these may be fetched.
  std::vector<const Candidate*> FetchableEngines() const;
  estimates::EngineRun RunOf(const UpstreamId& engine) const;
  bool MayFetchFrom(const Candidate& engine) const;
  CacheLink LinkOf(const UpstreamId& engine,
                   const routes::EngineLimits& limits) const;
  // Returns the state of each source in the request, for the invariants.
  std::vector<FetchContext> FetchContexts(const UpstreamRequest& request) const;
  // Records the planned transfers of the current send.
  void RecordFetches(const UpstreamRequest& request);
  // Learns from the time of the first event where the parts were.
  void LearnFromFirstEvent();
  std::uint64_t CacheKeyOf(std::size_t part) const;
  CachePlan PlanForLabel(const std::string& label) const;

  // Counts the request for its customer, unless it is known to have been
  // counted by this host or another one. `began_at`: when the upstream began.
  void CountUsage(TimePoint began_at);
  // Records that the upstream has sent data.
  void RecordData();
  void OnHead(const net::HttpResponseHead& head);
  // Returns whether an answer with this head can go on with the one that the
  // caller has begun to receive.
  bool ContinuesAnswer(const net::HttpResponseHead& head) const;
  // Returns the head of the current answer as the caller gets it.
  net::HttpResponseHead HeadForCaller() const;
  // Records what an upstream's answer says besides the answer itself.
  void RecordMetadata(const AnswerMetadata& metadata);
  // Records what another host says of the upstream whose answer it passes on.
  void RecordRelayedLeaving(const net::HttpResponseHead& head);
  void OnBody(std::string_view bytes);
  void OnEnd(net::CallResult end);
  // Handles an answer that is complete, as far as its connection tells.
  void OnAnswerEnd(SendEffect effect);
  void OnEvents();
  void ForwardEvent(const StreamEvent& event);
  void OnCompleteAnswer(SendEffect effect);
  void OnBadAnswer(const char* reason);
  void OnNotRun(const net::HttpResponseHead& head);
  void OnFailedRun(SendResult result, const char* reason);
  // Ends a send that an upstream may have run without a usable answer.
  void EndFailedRun(SendResult result, const char* reason);
  void OnDeadline();
  // Ends the request in whatever state it is.
  void EndNow(const char* reason);
  void OnCallerGone();
  // Logs what was going on for a caller that has left. A send just before means
  // that the caller had left when its request was read.
  void LogCallerGone() const;

  // Record how long the upstream took for the first event, for `events` that
  // came together, and for a complete answer that is no stream.
  void RecordFirstEventTime();
  void RecordStepTime(std::size_t events);
  void RecordAnswerTime();
  // Records a run that ended with its connection as evidence against its parts.
  void RecordBrokenRun();
  // Records a complete answer as evidence for them.
  void RecordAnswered();
  // Records the outcome for the software version if the service is being moved.
  void RecordMoveOutcome(SendResult result);
  void AddMoveOutcome(bool failed);
  RunSpeed CurrentSpeed() const;
  // Ends the current send.
  void EndSend(SendResult result);
  // Ends the current call, if there is one. Returns what it has done.
  SendEffect EndCall(net::CallResult end);
  // Returns whether the request may be sent once more, and if so takes a retry
  // from the limiter. `effect`: of the last send.
  bool MayRetry(SendEffect effect) const;
  // Continues after a send that has certainly not been run.
  void RetryOrGiveUp(const char* reason, SendEffect effect);
  void GiveUp(const char* reason);
  void Refuse(int status,
              const std::string& reason,
              std::optional<Millis> retry_after);
  void Finish(int status, const char* outcome);

  bool IsStream() const { return route_.kind == routes::RequestKind::kStream; }
  bool MayRepeat() const;
  // Whether any send, the current one included, may have been run.
  bool MayHaveRun() const {
    return run_state_ == RunState::kMayHaveRun ||
           effect_ == SendEffect::kMayHaveRun;
  }
  Millis TimeLeft() const;
  std::int64_t HeldTokens() const;
  // Estimated time to prefill the prompt's shared parts.
  Millis PrefillTime() const;
  // The customer's priority, or the route's if it has none; 0 is the most
  // urgent.
  int Urgency() const;
  // Order in the queue; see RankOf().
  int Rank() const;
  // Returns with whom the request may share cache by the configuration that is
  // in force now, which may be a later one than that of the request.
  fleet::CacheScope CacheScopeNow() const;

  Gateway& gateway_;
  net::HttpExchangePtr exchange_;
  const CallerRequest request_;
  const routes::RouteTablePtr routes_;
  const routes::Route& route_;
  const routes::Customer* const customer_;
  // Of the request as a whole.
  const quarantine::PartList request_keys_;
  // These keys, and the shared parts of the prompt.
  const quarantine::PartList parts_;
  routes::ServiceId service_;
  double move_draw_ = 0;  // in [0, 1); selects the version during a move
  const TimePoint accepted_at_;
  bool caller_was_there_ = false;  // when looked at for the next send
  TimePoint deadline_;
  std::unique_ptr<TimerSubscription> deadline_timer_;
  std::unique_ptr<TimerSubscription> wait_timer_;
  std::optional<RequestQueue::Ticket> ticket_;
  bool is_full_ = false;            // upstreams exist, but none has capacity
  UpstreamCounts upstream_counts_;  // at the last choice
  // Of the limited upstreams at the last choice; nullopt if there was none.
  std::optional<Millis> time_to_permit_;

  // If it came through another host.
  const std::optional<RelayTicket> ticket_from_relay_;
  std::set<UpstreamId> tried_;
  std::set<HostId> tried_relays_;
  bool is_trial_ = false;  // of a quarantined part
  bool has_claimed_saves_ = false;
  SavePermits save_permits_;
  bool saves_were_sent_ = false;  // a send that is not known to have failed
  int sends_ = 0;  // including those that did not reach an upstream
  int runs_ = 0;   // sends that an upstream may have run
  RunState run_state_ = RunState::kNotRun;
  bool finished_ = false;
  bool usage_counted_ = false;  // by any host

  // State of the current send:
  net::HttpCallPtr call_;
  // What it has done, as far as is certain; kMayHaveRun from its start on.
  SendEffect effect_ = SendEffect::kNotReached;
  std::uint64_t connection_ = 0;  // see net::HttpCall::connection_number()
  UpstreamId upstream_;
  std::uint64_t upstream_started_ms_ = 0;  // of the upstream; see UpstreamRun
  std::optional<HostId> relay_;            // instead of an upstream
  TimePoint data_at_{};                    // last data
  std::uint64_t weights_version_ = 0;
  TimePoint sent_at_;
  std::optional<TimePoint> first_event_of_send_at_;
  std::size_t events_of_send_ = 0;
  TimePoint last_event_at_;
  bool outcome_recorded_ = false;  // for the version of the current send
  std::int64_t pending_prefill_tokens_ = 0;
  // To be prefilled there until the first event, of all hosts, when the prompt
  // was placed.
  std::int64_t tokens_before_first_event_ = 0;
  // Another reason than the upstream's speed may delay the first event.
  bool may_wait_for_cache_ = false;
  // When the last event came; nullopt: none yet, or reading was paused since.
  std::optional<TimePoint> last_step_at_;
  int requests_there_ = 0;             // at sending time
  std::optional<UpstreamId> home_;     // likely caches the shared parts
  std::vector<Candidate> candidates_;  // from which the upstream was chosen
  std::string cache_label_;
  std::optional<FetchTask> fetch_task_;  // if sources were chosen by it
  std::vector<PlannedFetch> fetches_;
  // The upstream, if its answer says that it leaves.
  std::optional<upstreams::UpstreamRun> leaving_;
  net::HttpResponseHead head_;
  bool head_received_ = false;
  bool on_used_connection_ = false;  // one that had served another request
  bool forwards_events_ = false;     // events of a stream go to the caller
  std::string body_;
  EventSplitter splitter_;

  // State of the answer to the caller:
  bool started_ = false;
  net::HttpResponseHead answer_head_;  // of the upstream that began it
  std::optional<std::uint64_t> last_event_id_;
  std::size_t events_ = 0;
  std::size_t numbered_events_ = 0;  // expected number, by their ids
  TimePoint first_event_at_;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_FORWARDING_H_
