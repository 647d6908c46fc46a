#ifndef ENDIVECART_MEMBERSHIP_SLOT_LENDER_H_
#define ENDIVECART_MEMBERSHIP_SLOT_LENDER_H_

#include <map>
#include <string>

#include "endivecart/base/base.h"

namespace endivecart::membership {

// Slots of one resource that a host asks for.
struct SlotDemand {
  int wanted = 0;  // slots, including those in use
  int in_use = 0;

  bool operator==(const SlotDemand&) const = default;
};

// The lender's side of slot leases: divides each resource's slots among the
// requesting hosts, so that the granted slots never exceed its capacity. Does
// no I/O; the caller passes the time.
class SlotLender {
 public:
  // `lease`: how long a grant may be used to start work. `hold`: how long the
  // slots of an unresponsive borrower still count as used after its lease has
  // expired, since its requests may still be running. A report from the
  // resource that shows otherwise ends the hold early.
  SlotLender(Millis lease, Millis hold);

  // Sets the resource's capacity. `reserved` slots of it are not lent, because
  // other hosts may use them without a lease (see FixedShare). `standby`: idle
  // hosts may keep one slot while demand is low.
  void SetCapacity(const std::string& resource,
                   int slots,
                   int reserved = 0,
                   bool standby = true);
  // Grants nothing for this resource before `time`, because grants of its
  // previous home may still be valid.
  void BlockUntil(const std::string& resource, TimePoint time);
  // Records the number of running requests that the resource itself reported.
  // Reports are delayed.
  void SetRunning(const std::string& resource, int running, TimePoint now);
  void Remove(const std::string& resource);

  // Returns whether demand exceeds the lendable slots, or there is at most one
  // slot per borrower.
  bool IsScarce(const std::string& resource, TimePoint now) const;

  // Renews the borrower's lease and returns its slots, including those in use.
  int Renew(const std::string& resource,
            const HostId& borrower,
            const SlotDemand& demand,
            TimePoint now);

  // Returns the number of slots that any borrower may be using.
  int Outstanding(const std::string& resource, TimePoint now) const;
  Millis lease() const { return lease_; }

 private:
  struct Borrower {
    int slots = 0;
    SlotDemand demand;
    TimePoint expires;
  };
  struct Resource {
    int capacity = 0;
    int reserved = 0;
    bool standby = true;
    TimePoint blocked_until;
    int running = 0;
    TimePoint running_at{};
    std::map<HostId, Borrower> borrowers;
  };

  int CountedSlots(const Resource& resource,
                   const Borrower& borrower,
                   TimePoint now) const;
  int CountedSlotsExcept(const Resource& resource,
                         const HostId& excluded,
                         TimePoint now) const;
  int FairSlots(const Resource& resource,
                const HostId& borrower,
                int wanted,
                TimePoint now) const;
  int DemandExcept(const Resource& resource,
                   const HostId& excluded,
                   TimePoint now) const;
  int WantedWithStandby(const Resource& resource,
                        const HostId& borrower,
                        int wanted,
                        TimePoint now) const;

  Millis lease_;
  Millis hold_;
  std::map<std::string, Resource> resources_;
};

}  // namespace endivecart::membership

#endif  // ENDIVECART_MEMBERSHIP_SLOT_LENDER_H_
