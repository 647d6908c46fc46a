#ifndef ENDIVECART_GATEWAY_FORWARDING_H_
#define ENDIVECART_GATEWAY_FORWARDING_H_

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "endivecart/gateway/event_splitter.h"
#include "endivecart/gateway/gateway.h"

namespace endivecart::gateway {

// Internal. Whether a status promises that the request was not run, and won't
// be.
constexpr bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Internal. One accepted request: is sent to an upstream, again to others where
// that is allowed, and answered once.
class Forwarding final : public std::enable_shared_from_this<Forwarding> {
 public:
  Forwarding(Gateway& gateway,
             net::HttpExchangePtr exchange,
             CallerRequest request,
             routes::RouteTablePtr routes,  // keeps route and customer alive
             const routes::Route& route,
             const routes::Customer* customer);
  ~Forwarding();

  void Start();
  // Sends the request to another upstream, if that is allowed and its upstream
  // has fallen silent.
  void LeaveSilentUpstream();
  // Gives a final answer if none has begun.
  void AnswerForStop();
  // The request waits for room: whether it has been sent now.
  bool TryAgain();

 private:
  // What may be said of a request that has got no answer.
  enum class RunState { kNotRun, kMayHaveRun };

  void Send();
  // Waits for room at an upstream, unless that is hopeless.
  void Wait();
  void StopWaiting();
  // Marks which of them may be counted on to have room for this prompt.
  void NoteRoom(std::vector<Candidate>& candidates,
                const routes::Service* service,
                int hosts) const;
  std::vector<Candidate> FindCandidates(UpstreamCensus& census) const;
  // Whether the request, and its prompt's cache, may be in the domain.
  bool MayBeIn(const DomainId& domain) const;
  void PreferOwnRegion(std::vector<Candidate>& candidates) const;
  // The upstream for the next send, and what spoke for it.
  struct Chosen {
    UpstreamId upstream;
    double expected_ms = 0;
    int requests_there = 0;
    std::string census;
    bool took_cold_share = false;
  };
  std::optional<Chosen> ChooseUpstream();
  void StartCall(const Chosen& chosen);
  bool IsSound(const Chosen& chosen, const UpstreamRequest& request) const;
  void LogSend(const Chosen& chosen, const UpstreamRequest& request) const;
  UpstreamRequest MakeUpstreamRequest(const UpstreamId& upstream) const;
  void PlanCache(UpstreamRequest& out) const;

  void OnHead(const net::HttpResponseHead& head);
  void OnBody(std::string_view bytes);
  void OnEnd(net::CallResult end);
  void OnEvents();
  void PassOnEvent(const StreamEvent& event);
  void OnWholeAnswer();
  void OnBadAnswer(const char* reason);
  void OnNotRun(const net::HttpResponseHead& head);
  void OnBrokenRun(SendResult result, const char* reason);
  void OnDeadline();
  // Ends the request wherever it stands.
  void EndNow(const char* reason);
  void OnCallerGone();

  // Tells a move of the service how its version did.
  void ReportToMove(SendResult result);
  // Ends the send that is under way.
  void EndSend(SendResult result);
  bool MaySendAgain(bool was_run) const;
  void SendAgainOrGiveUp(const char* reason);
  void GiveUp(const char* reason);
  void Refuse(int status,
              const std::string& reason,
              std::optional<Millis> retry_after);
  void Finish(int status, const char* outcome);

  bool IsStream() const { return route_.kind == routes::RequestKind::kStream; }
  bool MayRepeat() const;
  Millis TimeLeft() const;
  std::int64_t PromptTokens() const;
  std::int64_t HeldTokens() const;
  // How long an engine takes to read the prompt's shared parts.
  Millis ReadingTime() const;
  // The customer's priority, or else the route's; 0 is the most urgent.
  int Urgency() const;
  // Who goes first where not all can.
  int Rank() const;
  // The customer if it shares its cache with no other; else empty.
  CustomerId IsolatedCustomer() const;

  Gateway& gateway_;
  net::HttpExchangePtr exchange_;
  const CallerRequest request_;
  const routes::RouteTablePtr routes_;
  const routes::Route& route_;
  const routes::Customer* const customer_;
  routes::ServiceId service_;
  double move_roll_ = 0;  // decides which version a moving service gets
  const TimePoint accepted_at_;
  TimePoint deadline_;
  std::unique_ptr<TimerSubscription> deadline_timer_;
  std::unique_ptr<TimerSubscription> wait_timer_;
  std::optional<WaitingRoom::Ticket> ticket_;
  bool is_full_ = false;   // upstreams exist, but none has room
  UpstreamCensus census_;  // of the last choice

  std::set<UpstreamId> tried_;
  int sends_ = 0;  // of which the request may have reached an upstream
  int runs_ = 0;   // of which it may have been run
  RunState run_state_ = RunState::kNotRun;
  bool finished_ = false;

  // Of the send under way:
  net::HttpCallPtr call_;
  UpstreamId upstream_;
  std::uint64_t weights_version_ = 0;
  TimePoint sent_at_;
  std::int64_t unread_tokens_ = 0;
  int requests_there_ = 0;          // when it was sent
  std::optional<UpstreamId> home_;  // where shared parts are likely cached
  net::HttpResponseHead head_;
  bool head_seen_ = false;
  bool passes_on_ = false;  // a stream's events go to the caller
  std::string body_;
  EventSplitter splitter_;

  // Of the answer to the caller:
  bool started_ = false;
  std::optional<std::uint64_t> last_event_id_;
  std::size_t events_ = 0;
  std::size_t numbered_events_ = 0;  // as many, by their ids
  TimePoint first_event_at_;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_FORWARDING_H_
