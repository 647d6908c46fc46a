#include "endivecart/routing/retry_budget.h"

#include <algorithm>

namespace endivecart::routing {

void RetryBudget::OnSuccess() {
  tokens_ = std::min(kReserve, tokens_ + kPerSuccess);
}

bool RetryBudget::TryTake() {
  if (tokens_ < 1.0)
    return false;
  tokens_ -= 1.0;
  return true;
}

}  // namespace endivecart::routing
