#ifndef ENDIVECART_MEMBERSHIP_FRESHNESS_LEASE_H_
#define ENDIVECART_MEMBERSHIP_FRESHNESS_LEASE_H_

#include "endivecart/base/base.h"

namespace endivecart::membership {

// Whether this host knows that its configuration is the newest one. The lease
// counts from the start of the quorum contact that confirmed it, on this
// host's own clock, so delays on the way only shorten it. A pure core.
class FreshnessLease {
 public:
  explicit FreshnessLease(Millis length) : length_(length) {}

  // Contact with the quorum began at `contact`, at the latest, and this host
  // holds every configuration committed before then.
  void Confirm(TimePoint contact) { contact_ = std::max(contact_, contact); }
  // When the known quorum contact began.
  TimePoint contact() const { return contact_; }
  bool Holds(TimePoint now) const {
    return contact_ != TimePoint{} && now < contact_ + length_;
  }
  Millis length() const { return length_; }

 private:
  Millis length_;
  TimePoint contact_{};
};

}  // namespace endivecart::membership

#endif  // ENDIVECART_MEMBERSHIP_FRESHNESS_LEASE_H_
