#ifndef TESTS_SUPPORT_GATEWAY_FLEET_H_
#define TESTS_SUPPORT_GATEWAY_FLEET_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "endivecart/gateway/gateway.h"
#include "support/loop_fixture.h"
#include "support/plain_dialect.h"
#include "support/raw_proxy.h"

namespace tests {

// Several gateways that follow one control host, in one event loop. Messages
// between them are passed as function calls; upstreams are loopback servers.
class GatewayFleet : public LoopFixture {
 public:
  // One incarnation of an upstream.
  struct Upstream {
    explicit Upstream(endivecart::net::EventLoop& loop) : server(loop) {}

    endivecart::UpstreamId id;
    std::string version;
    RawUpstream server;
    bool ended = false;
    std::vector<std::string> requests;  // as received
  };
  using Handler =
      std::function<void(Upstream&, RawUpstream::Connection&, std::string)>;

  // With `has_links`, each host reaches each upstream through a proxy; see
  // CutLinks().
  // With `counts_usage`, the control host tells hosts the time and wants to
  // know the usage.
  GatewayFleet(int hosts,
               int upstreams,
               bool has_links = false,
               bool counts_usage = false);

  // Starts another upstream, of the service "s" for prompts or "plain" for
  // other requests, and announces it.
  Upstream& StartUpstream(const std::string& version = "v1",
                          const std::string& service = "s");
  // Sets the decisions in force on all hosts.
  void SetDecisions(const endivecart::fleet::Decisions& decisions);
  endivecart::gateway::Gateway& gateway(std::size_t host) {
    return *hosts_.at(host)->gateway;
  }
  // Ends an upstream as a crash does: it closes all connections, refuses
  // others and says nothing.
  static void Crash(Upstream& upstream);
  // Cuts the host with this number off from all upstreams.
  void CutLinks(std::size_t host, RawProxy::Cut cut);
  void RestoreLinks(std::size_t host);
  // Sends a prompt with these parts to the host with this number. The answer,
  // if any, is discarded.
  void SendPrompt(int host, const std::string& parts);
  // Sends a request that may be repeated and isn't a prompt. Its path, which
  // must begin with "/plain/", is the key of its answer.
  // Those below "/plain/billed/" need the key "k" of customer "c".
  void SendPlain(int host,
                 const std::string& path,
                 const std::string& fields = "");
  // Sends such a request to the first host as another one would pass it on.
  void SendRelayed(const std::string& path, const std::string& fields);
  // Closes the connections of all callers that have no complete answer yet.
  void LeaveAll();
  // Answers the request with a short body.
  static void AnswerPlain(RawUpstream::Connection& connection,
                          const std::string& request);
  // Answers the request with an empty stream of one event.
  static void Answer(RawUpstream::Connection& connection,
                     const std::string& request,
                     const std::string& extra_fields = "");
  // Returns the value of a header field of a request or answer.
  static std::string Field(const std::string& message, const std::string& name);

  // Called with each complete request that reaches an upstream.
  Handler on_request;
  std::vector<std::unique_ptr<Upstream>> upstreams;
  // Whether the control host tells others what one host learned from answers.
  bool shares_leaving = true;
  int upstream_slots = 64;  // that further upstreams announce
  // Status lines of the answers that callers received, by prompt parts or path.
  std::map<std::string, std::vector<std::string>> answers;

 private:
  struct Host {
    endivecart::HostId id;
    std::unique_ptr<endivecart::net::HttpClient> client;
    std::unique_ptr<endivecart::MetricsRegistry> metrics;
    std::unique_ptr<endivecart::gateway::Gateway> gateway;
    std::unique_ptr<endivecart::fleet::FleetFollower> follower;
    std::unique_ptr<endivecart::net::HttpServer> server;
    std::unique_ptr<endivecart::net::HttpServer> relay;
    std::map<int, std::unique_ptr<RawProxy>> links;  // by the upstream's port
    std::optional<RawProxy::Cut> cut;
  };
  struct PendingCall {
    std::unique_ptr<RawCaller> caller;
    std::string key;  // in `answers`
  };

  // Sends the fields after the id.
  void SendRequest(int port,
                   const std::string& path,
                   const std::string& fields,
                   const std::string& key);
  endivecart::fleet::FleetFeed::Hooks FeedHooks();
  // Replaces the upstreams' addresses by those of the host's proxies.
  void UseLinks(Host& host, endivecart::wire::FleetUpdate& update);
  void AddHost(int number);
  void CollectAnswers();

  const bool has_links_;
  const bool counts_usage_;
  endivecart::upstreams::UpstreamRegistry registry_;
  endivecart::fleet::FleetFeed feed_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<PendingCall> calls_;
  std::vector<std::unique_ptr<endivecart::TimerSubscription>> timers_;
  int started_upstreams_ = 0;
  int sent_requests_ = 0;
};

}  // namespace tests

#endif  // TESTS_SUPPORT_GATEWAY_FLEET_H_
