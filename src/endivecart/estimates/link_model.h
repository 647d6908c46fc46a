#ifndef ENDIVECART_ESTIMATES_LINK_MODEL_H_
#define ENDIVECART_ESTIMATES_LINK_MODEL_H_

#include <map>
#include <string>

#include "endivecart/base/base.h"

namespace endivecart::estimates {

// The hosts that fetch through a group of links, and the number of the links.
struct LinkSharing {
  int hosts = 1;
  int links = 1;

  bool operator==(const LinkSharing&) const = default;
};

// Models the lines at links, on which transfers run one after another. A host
// knows only the transfers that it planned itself. How many others wait there
// is estimated from the share of time for which its own ones occupy all links
// of the group, times the number of hosts, and from first events that came
// late.
class LinkModel {
 public:
  // Returns the expected wait before a transfer on this link begins.
  double WaitMs(const std::string& link,
                const LinkSharing& sharing,
                TimePoint now) const;
  // Records a transfer that this host has planned.
  void AddTransfer(const std::string& link, double transfer_ms, TimePoint now);
  // Records the use of any link of the group that other hosts use as well.
  void AddSharedUse(double transfer_ms, TimePoint now);
  // Records how long a transfer seems to have waited for its link.
  void AddObservedWait(const std::string& link, double wait_ms, TimePoint now);
  // Forgets links that were not used lately.
  void Expire(TimePoint now);

 private:
  struct Link {
    TimePoint busy_until{};  // by this host's own transfers
    double observed_ms = 0;  // mean wait
    TimePoint observed_at{};
  };
  // Recent transfers of this host on shared links, decaying.
  struct SharedUse {
    double sum_ms = 0;
    double squares_ms2 = 0;
    TimePoint at{};
  };

  double OthersWaitMs(const LinkSharing& sharing, TimePoint now) const;

  SharedUse shared_;
  std::map<std::string, Link> links_;
};

}  // namespace endivecart::estimates

#endif  // ENDIVECART_ESTIMATES_LINK_MODEL_H_
