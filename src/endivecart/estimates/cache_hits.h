#ifndef ENDIVECART_ESTIMATES_CACHE_HITS_H_
#define ENDIVECART_ESTIMATES_CACHE_HITS_H_

#include <array>
#include <map>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/routes/routes.h"

namespace endivecart::estimates {

// What a host knows of an engine's cached parts of a prompt.
enum class CacheOdds {
  kSentBefore,  // this host has sent such a prompt there lately
  kHome,        // hosts prefer to send such prompts there
  kOther,
};

// Learns how often an engine has the shared parts of a prompt in its memory.
// Engines do not report that, and evict parts as they need memory; a first
// event that comes as early as without these parts shows that it had them.
class CacheHits {
 public:
  // Records that a prompt with these shared parts was sent to the engine.
  void RecordSent(const std::string& key,
                  const UpstreamId& upstream,
                  TimePoint now);
  // Returns the engines to which such a prompt was sent lately.
  std::vector<UpstreamId> SentTo(const std::string& key, TimePoint now) const;

  // Returns the share of prompts that find their shared parts.
  double Rate(const routes::ServiceId& service, CacheOdds odds) const;
  // Returns whether a first event after `observed_ms` is more likely a hit,
  // with the times that were predicted for a hit and a miss.
  static bool IsHit(double observed_ms, double hit_ms, double miss_ms);
  // Records a first event. One that does not tell hit from miss is ignored.
  void Add(const routes::ServiceId& service,
           CacheOdds odds,
           double observed_ms,
           double hit_ms,
           double miss_ms);
  void Expire(TimePoint now);

 private:
  using Rates = std::array<double, 3>;
  static constexpr Rates kInitialRates{0.8, 0.5, 0.02};

  std::map<routes::ServiceId, Rates> rates_;
  std::map<std::string, std::map<UpstreamId, TimePoint>> sent_;
};

}  // namespace endivecart::estimates

#endif  // ENDIVECART_ESTIMATES_CACHE_HITS_H_
