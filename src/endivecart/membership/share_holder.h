#ifndef ENDIVECART_MEMBERSHIP_SHARE_HOLDER_H_
#define ENDIVECART_MEMBERSHIP_SHARE_HOLDER_H_

#include <map>
#include <string>

#include "endivecart/base/base.h"
#include "endivecart/membership/share_book.h"

namespace endivecart::membership {

// The borrower's side of slot leases. A slot is taken before work starts and
// given back when it has ended. A pure core: the caller gives the time.
class ShareHolder {
 public:
  // Records a grant; `valid_until` is counted from when it was asked for.
  void SetGrant(const std::string& resource,
                int slots,
                TimePoint valid_until,
                bool scarce = false);
  // Slots this host owns without any lease.
  void SetOwned(const std::string& resource, int slots);
  void Remove(const std::string& resource);

  bool TryTake(const std::string& resource, TimePoint now);
  void Give(const std::string& resource, TimePoint now);
  int Free(const std::string& resource, TimePoint now) const;
  int InUse(const std::string& resource) const;
  // Slots held by lease, whether it has run out or not.
  int Granted(const std::string& resource) const;
  int Slots(const std::string& resource, TimePoint now) const;

  // Whether idle slots are held that others may be waiting for.
  bool ShouldReturn(const std::string& resource, TimePoint now) const;

  // Notes that work waits for this resource.
  void NoteWaiting(const std::string& resource, int waiting, TimePoint now);
  // What to ask the home for: recent peak use and what waits now.
  ShareWish Wish(const std::string& resource, TimePoint now);

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

  static void NotePeak(Holding& holding, TimePoint now);

  std::map<std::string, Holding, std::less<>> holdings_;
};

}  // namespace endivecart::membership

#endif  // ENDIVECART_MEMBERSHIP_SHARE_HOLDER_H_
