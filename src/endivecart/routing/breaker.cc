#include "endivecart/routing/breaker.h"

#include <algorithm>

namespace endivecart::routing {

namespace {

constexpr int kFailuresToOpen = 3;
constexpr Millis kInitialOpenTime{500};
constexpr int kMaxDoublings = 5;
constexpr Millis kProbeTimeout{5000};

}  // namespace

bool Breaker::IsOpen(TimePoint now) const {
  if (failures_ < kFailuresToOpen)
    return false;
  if (now < open_until_)
    return true;
  // Half-open: one probe at a time.
  return probing_ && now < probe_started_ + kProbeTimeout;
}

void Breaker::OnStart(TimePoint now) {
  if (failures_ < kFailuresToOpen)
    return;
  probing_ = true;
  probe_started_ = now;
}

void Breaker::OnSuccess() {
  *this = Breaker();
}

void Breaker::OnFailure(TimePoint now) {
  ++failures_;
  probing_ = false;
  if (failures_ < kFailuresToOpen)
    return;
  open_until_ =
      now + kInitialOpenTime * (1 << std::min(openings_, kMaxDoublings));
  ++openings_;
}

}  // namespace endivecart::routing
