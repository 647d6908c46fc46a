#ifndef ENDIVECART_GATEWAY_SEND_INVARIANTS_H_
#define ENDIVECART_GATEWAY_SEND_INVARIANTS_H_

#include "endivecart/fleet/fleet.h"
#include "endivecart/gateway/caller_request.h"
#include "endivecart/upstreams/upstreams.h"

namespace endivecart::gateway {

// The state of a place from which a part is to be fetched.
struct FetchContext {
  bool is_known = false;  // as a store or as an engine
  bool is_store = false;
  bool is_complete = false;  // a store that has the part under the label
  bool may_hold = false;     // the prompt's cache may be in its domain
  // Of an engine:
  bool is_ready = false;
  bool is_cold = false;
  bool is_silent = false;
  std::uint64_t weights_version = 0;

  bool operator==(const FetchContext&) const = default;
};

// The state of a send just before it is started.
struct SendContext {
  const UpstreamRequest* request = nullptr;
  const upstreams::Announcement* upstream = nullptr;
  const fleet::Decisions* decisions = nullptr;  // null if unknown
  routes::ServiceId service;
  fleet::CacheScope cache_scope;       // with whom cache may be shared
  bool may_repeat = false;             // the request may run more than once
  bool may_have_run = false;           // an earlier send may have been run
  bool is_cold = false;                // the upstream has just started
  bool has_cold_start_permit = false;  // from ColdStartLimiter
  bool is_limited = false;             // the upstream named a limit
  bool has_limit_permit = false;       // from LimitMonitor
  bool is_brittle = false;             // the upstream says so
  bool has_room = false;               // by LimitMonitor
  bool is_waiting = false;             // the upstream told this host to wait
  bool is_quarantined = false;         // a part of the prompt crashes upstreams
  bool is_trial = false;              // the one request that may be sent anyway
  bool caller_was_there = false;      // its connection was open just now
  std::vector<FetchContext> fetches;  // one for each part with a source
  std::size_t permitted_saves = 0;    // parts that the leader lets it save
};

// Checks the system's invariants for one send, independently of how the
// upstream was chosen. Returns false if one would be violated; the request must
// then not be sent. Violations are counted and logged.
bool CheckSendInvariants(const SendContext& context);

// The state of a request just before another host gets it.
struct RelayContext {
  const CallerRequest* request = nullptr;
  bool was_relayed = false;       // it came through another host
  bool may_be_there = true;       // the host is in an allowed region
  bool may_repeat = false;        // the request may run more than once
  bool may_have_run = false;      // an earlier send may have been run
  bool is_quarantined = false;    // a part of the prompt crashes upstreams
  bool is_trial = false;          // may be sent anyway
  bool caller_was_there = false;  // its connection was open just now
};

// The same for a request that another host is to send to an upstream.
bool CheckRelayInvariants(const RelayContext& context);

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_SEND_INVARIANTS_H_
