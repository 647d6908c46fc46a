// Claiming the right to save the parts of a prompt.

#include <algorithm>
#include <utility>

#include "endivecart/gateway/forwarding.h"

namespace endivecart::gateway {

bool Forwarding::ClaimSaves() {
  if (has_claimed_saves_ || !request_.prompt)
    return false;
  const auto weights = gateway_.last_weights_.find(request_.prompt->model);
  if (weights == gateway_.last_weights_.end())
    return false;
  const CachePlan plan = PlanForLabel(fleet::CacheLabel(
      request_.prompt->model, weights->second, CacheScopeNow()));
  if (plan.saved_parts.empty())
    return false;
  has_claimed_saves_ = gateway_.save_claims_.Claim(
      gateway_.cache_.position().term, plan.saved_parts, TimeLeft(),
      [weak = weak_from_this()](const SavePermits& permits) {
        const auto self = weak.lock();
        if (!self || self->finished_)
          return false;
        self->save_permits_ = permits;
        self->Send();
        return true;
      });
  return has_claimed_saves_;
}

void Forwarding::KeepPermittedSaves(CachePlan& plan) const {
  const auto is_permitted = [this](const SavePart& part) {
    return std::any_of(save_permits_.parts.begin(), save_permits_.parts.end(),
                       [&](const SavePart& permitted) {
                         return permitted.key == part.key &&
                                permitted.address == part.address;
                       });
  };
  for (const SavePart& part : plan.saved_parts) {
    if (!is_permitted(part))
      plan.save[part.index].reset();
  }
  std::erase_if(plan.saved_parts,
                [&](const SavePart& part) { return !is_permitted(part); });
  if (plan.saved_parts.empty())
    plan.save.clear();
}

void Forwarding::MarkSavesSent(const UpstreamRequest& request) {
  const auto is_used = [&](const SavePart& part) {
    return std::find(request.save_cache_to.begin(), request.save_cache_to.end(),
                     part.address) != request.save_cache_to.end();
  };
  saves_were_sent_ = std::any_of(save_permits_.parts.begin(),
                                 save_permits_.parts.end(), is_used);
  if (!saves_were_sent_)
    ReleaseSaves();
}

void Forwarding::EndSaves(SendResult result) {
  if (!saves_were_sent_)
    return;
  if (result == SendResult::kRefused || result == SendResult::kUnreachable) {
    saves_were_sent_ = false;  // the next send may use them
  } else if (result == SendResult::kAnswered) {
    ReleaseSaves();
  } else {
    // The upstream may still get to them: the leader waits until it can't.
    save_permits_ = {};
  }
}

void Forwarding::ReleaseSaves() {
  gateway_.save_claims_.Release(std::exchange(save_permits_, {}),
                                std::exchange(saves_were_sent_, false));
}

}  // namespace endivecart::gateway
