#include "endivecart/gateway/send_evidence.h"

namespace endivecart::gateway {

std::string_view SendEffectName(SendEffect effect) {
  switch (effect) {
    case SendEffect::kNotReached:
      return "not_reached";
    case SendEffect::kRefused:
      return "refused";
    case SendEffect::kMayHaveRun:
      return "may_have_run";
  }
  return "";
}

SendEffect EffectOf(const SendEvidence& evidence, const RequestId& id) {
  if (!evidence.bytes_sent)
    return SendEffect::kNotReached;
  const bool is_refusal = evidence.end == net::CallResult::kComplete &&
                          evidence.states_not_run && evidence.answered == id &&
                          evidence.has_own_id;
  return is_refusal ? SendEffect::kRefused : SendEffect::kMayHaveRun;
}

}  // namespace endivecart::gateway
