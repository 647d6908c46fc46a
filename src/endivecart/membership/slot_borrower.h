#ifndef ENDIVECART_MEMBERSHIP_SLOT_BORROWER_H_
#define ENDIVECART_MEMBERSHIP_SLOT_BORROWER_H_

#include <map>
#include <string>

#include "endivecart/base/base.h"
#include "endivecart/membership/slot_lender.h"

namespace endivecart::membership {

// The borrower's side of slot leases. A slot is acquired before a request
// starts and released when it has ended. Does no I/O; the caller passes the
// time.
class SlotBorrower {
 public:
  // Records a grant. `valid_until` is computed from the time of the request for
  // it, not of the reply.
  void SetGrant(const std::string& resource,
                int slots,
                TimePoint valid_until,
                bool scarce = false);
  // Sets the number of slots that this host may use without a lease.
  void SetOwned(const std::string& resource, int slots);
  // Drops the grant and the owned slots. Slots in use stay counted until they
  // are released.
  void Remove(const std::string& resource);

  // Acquires a slot. Returns false if none is free.
  bool TryAcquire(const std::string& resource, TimePoint now);
  // Releases a slot that TryAcquire() has acquired.
  void Release(const std::string& resource, TimePoint now);
  int Free(const std::string& resource, TimePoint now) const;
  int InUse(const std::string& resource) const;
  // Returns the slots of the last grant, even if its lease has expired.
  int Granted(const std::string& resource) const;
  // Returns the usable slots: those owned, and those granted while the lease is
  // valid.
  int Slots(const std::string& resource, TimePoint now) const;

  // Returns whether this host holds idle slots that others may wait for.
  bool ShouldReturn(const std::string& resource, TimePoint now) const;

  // Sets the number of requests that wait for this resource.
  void SetWaiting(const std::string& resource, int waiting, TimePoint now);
  // Returns the slots to request from the home: the recent peak of use and
  // waiting requests, or just the current number if slots are scarce.
  SlotDemand Demand(const std::string& resource, TimePoint now);

 private:
  struct Holding {
    int granted = 0;
    bool scarce = false;
    int owned = 0;
    int in_use = 0;
    int waiting = 0;
    int peak = 0;  // of in_use + waiting since `peak_since`
    TimePoint peak_since;
    TimePoint valid_until;
  };

  static void UpdatePeak(Holding& holding, TimePoint now);

  std::map<std::string, Holding, std::less<>> holdings_;
};

}  // namespace endivecart::membership

#endif  // ENDIVECART_MEMBERSHIP_SLOT_BORROWER_H_
