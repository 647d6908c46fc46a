#ifndef ENDIVECART_MEMBERSHIP_SHARE_BOOK_H_
#define ENDIVECART_MEMBERSHIP_SHARE_BOOK_H_

#include <map>
#include <string>

#include "endivecart/base/base.h"

namespace endivecart::membership {

struct ShareWish {
  int wanted = 0;  // slots, with those in use
  int in_use = 0;

  bool operator==(const ShareWish&) const = default;
};

// The lender's side of slot leases: divides each resource's slots among the
// hosts that ask, so that the slots out never add up to more than it bears.
// A pure core: the caller gives the time.
class ShareBook {
 public:
  // `lease`: how long a grant may be used to start work. `hold`: how long the
  // slots of a silent borrower are still counted after its lease, since its
  // work may go on; not longer if a report shows that it has ended.
  ShareBook(Millis lease, Millis hold);

  // Sets what the resource bears, and how much of that may not be lent because
  // other hosts own it without asking (see FixedPart).
  // `standby`: idle hosts may keep a slot while few are wanted.
  void SetCapacity(const std::string& resource,
                   int slots,
                   int reserved = 0,
                   bool standby = true);
  // No grants for this resource before `time`: an earlier home's may live.
  void BlockUntil(const std::string& resource, TimePoint time);
  // The resource itself reported how much work it does; reports lag.
  void SetRunning(const std::string& resource, int running, TimePoint now);
  void Remove(const std::string& resource);

  // Whether there are hardly enough slots to go round.
  bool IsScarce(const std::string& resource, TimePoint now) const;

  // Renews the borrower's lease and returns its slots, those in use included.
  int Ask(const std::string& resource,
          const HostId& borrower,
          const ShareWish& wish,
          TimePoint now);

  // Slots that may be in use by any borrower.
  int Outstanding(const std::string& resource, TimePoint now) const;
  Millis lease() const { return lease_; }

 private:
  struct Borrower {
    int slots = 0;
    ShareWish wish;
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

  int Counted(const Resource& resource,
              const Borrower& borrower,
              TimePoint now) const;
  int CountedWithout(const Resource& resource,
                     const HostId& without,
                     TimePoint now) const;
  int FairSlots(const Resource& resource,
                const HostId& asker,
                int wanted,
                TimePoint now) const;
  int DemandWithout(const Resource& resource,
                    const HostId& without,
                    TimePoint now) const;
  int WithStandby(const Resource& resource,
                  const HostId& asker,
                  int wanted,
                  TimePoint now) const;

  Millis lease_;
  Millis hold_;
  std::map<std::string, Resource> resources_;
};

}  // namespace endivecart::membership

#endif  // ENDIVECART_MEMBERSHIP_SHARE_BOOK_H_
