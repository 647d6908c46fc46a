#ifndef ENDIVECART_MEMBERSHIP_FRESHNESS_LEASE_H_
#define ENDIVECART_MEMBERSHIP_FRESHNESS_LEASE_H_

#include "endivecart/base/base.h"

namespace endivecart::membership {

// Tracks whether this host's configuration is known to be the newest. The lease
// starts when the quorum contact that confirmed it began, on this host's own
// clock, so network delays only shorten it. Does no I/O; the caller passes the
// time.
class FreshnessLease {
 public:
  explicit FreshnessLease(Millis length) : length_(length) {}

  // Renews the lease: a quorum contact that began at `contact` confirmed that
  // this host holds every configuration committed before then.
  void Confirm(TimePoint contact) { contact_ = std::max(contact_, contact); }
  // Start of the latest confirmed quorum contact.
  TimePoint contact() const { return contact_; }
  // Returns whether the lease is valid.
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
