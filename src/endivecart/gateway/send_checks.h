#ifndef ENDIVECART_GATEWAY_SEND_CHECKS_H_
#define ENDIVECART_GATEWAY_SEND_CHECKS_H_

#include "endivecart/fleet/fleet.h"
#include "endivecart/gateway/caller_request.h"
#include "endivecart/upstreams/upstreams.h"

namespace endivecart::gateway {

// What is known of a send just before it leaves.
struct SendFacts {
  const UpstreamRequest* request = nullptr;
  const upstreams::Announcement* upstream = nullptr;
  const fleet::Decisions* decisions = nullptr;  // null: none are known
  routes::ServiceId service;
  CustomerId isolated_customer;  // empty: cache may be shared
  bool may_repeat = false;       // the request may run more than once
  bool may_have_run = false;     // an earlier send may have been run
  bool is_cold = false;          // the upstream bears little now
  bool took_cold_share = false;  // this host's share of that was taken
};

// Checks the product's promises for one send, however the upstream was chosen.
// False if one would be broken: the request must not be sent then. Violations
// are counted and logged.
bool CheckSend(const SendFacts& facts);

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_SEND_CHECKS_H_
