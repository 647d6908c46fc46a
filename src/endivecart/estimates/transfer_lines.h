#ifndef ENDIVECART_ESTIMATES_TRANSFER_LINES_H_
#define ENDIVECART_ESTIMATES_TRANSFER_LINES_H_

#include <map>
#include <string>

#include "endivecart/base/base.h"

namespace endivecart::estimates {

// A group of links that are used alike, such as those of all stores.
struct LinkGroup {
  std::string name;
  int hosts = 1;  // that plan transfers on them
  int links = 1;

  bool operator==(const LinkGroup&) const = default;
};

// Estimates the queues at links, on which transfers run one after another. A
// host knows only the transfers that it planned itself. Those of the other
// hosts are taken to use the links as much; waits that late first events showed
// correct this.
class TransferLines {
 public:
  // Returns the expected wait before a transfer on this link begins.
  double WaitMs(const std::string& link,
                const LinkGroup& group,
                TimePoint now) const;
  // Records a transfer that this host has planned.
  void Add(const std::string& link,
           const LinkGroup& group,
           double transfer_ms,
           TimePoint now);
  // Records how long a transfer seems to have waited for its link.
  void AddObservedWait(const std::string& link, double wait_ms, TimePoint now);
  // Removes links that were not used lately.
  void Expire(TimePoint now);

 private:
  // Recent transfers; each counts less the older it is.
  struct Use {
    double count = 0;
    double sum_ms = 0;
    double squares_ms2 = 0;
    TimePoint at{};

    Use At(TimePoint now) const;
    void Add(double transfer_ms, TimePoint now);
  };
  struct Link {
    Use use;
    TimePoint busy_until{};  // by this host's own transfers
    double observed_ms = 0;
    double observed_weight = 0;  // relative to the model; below 1
    TimePoint observed_at{};
  };

  // Returns the expected wait for the other hosts' transfers.
  double OthersWaitMs(const Use& link,
                      const LinkGroup& group,
                      TimePoint now) const;

  std::map<std::string, Use> groups_;
  std::map<std::string, Link> links_;
};

}  // namespace endivecart::estimates

#endif  // ENDIVECART_ESTIMATES_TRANSFER_LINES_H_
