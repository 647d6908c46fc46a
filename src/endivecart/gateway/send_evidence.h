#ifndef ENDIVECART_GATEWAY_SEND_EVIDENCE_H_
#define ENDIVECART_GATEWAY_SEND_EVIDENCE_H_

#include <string_view>

#include "endivecart/base/base.h"
#include "endivecart/net/net.h"

namespace endivecart::gateway {

// What a send has done to an upstream.
enum class SendEffect {
  kNotReached,  // certain: no upstream has received any of it
  kRefused,     // certain: it was not run and will not be
  kMayHaveRun,
};

std::string_view SendEffectName(SendEffect effect);

// What is known of a send when it ends, whether to an upstream or to another
// host.
struct SendEvidence {
  net::CallResult end = net::CallResult::kBroken;
  bool bytes_sent = false;  // any byte of the request may have left this host
  RequestId answered;       // the id in the answer; empty if it has none
  bool has_own_id = false;  // see net::HttpCall::has_own_id()
  bool states_not_run = false;  // the answer says so

  bool operator==(const SendEvidence&) const = default;
};

// Returns the effect of a send of the request `id`. A refusal is certain only
// as the complete answer to this very send: if the connection had carried the
// request before, it may be a copy of the refusal then, while the request runs.
SendEffect EffectOf(const SendEvidence& evidence, const RequestId& id);

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_SEND_EVIDENCE_H_
