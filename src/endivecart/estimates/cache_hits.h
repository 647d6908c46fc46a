#ifndef ENDIVECART_ESTIMATES_CACHE_HITS_H_
#define ENDIVECART_ESTIMATES_CACHE_HITS_H_

#include <array>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/routes/routes.h"

namespace endivecart::estimates {

// What a host knows of whether an engine has a part in its memory. Engines
// evict the parts that were not used for the longest time.
enum class CacheEvidence {
  kUsedNow,     // a prompt of this host used it there within a second
  kUsedLately,  // within four
  kUsedBefore,  // within sixteen
  kHome,        // hosts prefer to send such prompts there
  kNone,
  kCount,
};

// One incarnation of an engine.
struct EngineRun {
  UpstreamId engine;
  std::uint64_t start_time_ms = 0;

  auto operator<=>(const EngineRun&) const = default;
};

// Learns how often an engine has a part in its memory. Engines do not report
// that; a first event that comes as early as without the part's prefill shows
// that it was there.
class CacheHits {
 public:
  // Records that a prompt with this part gave its first event, so that the part
  // is in the engine's memory.
  void RecordUse(std::uint64_t part, const EngineRun& run, TimePoint now);
  // Returns the engines on which the part was used lately or now.
  std::vector<EngineRun> UsersOf(std::uint64_t part, TimePoint now) const;
  CacheEvidence EvidenceFor(std::uint64_t part,
                            const EngineRun& run,
                            bool is_home,
                            TimePoint now) const;

  // Returns the probability that the engine has the part.
  double Rate(const routes::ServiceId& service,
              CacheEvidence evidence,
              TimePoint now) const;
  // Records a first event. `hit_ms` and `miss_ms` are the times that were
  // expected with and without the part; one that does not tell them apart is
  // ignored.
  void Add(const routes::ServiceId& service,
           CacheEvidence evidence,
           double observed_ms,
           double hit_ms,
           double miss_ms,
           TimePoint now);
  void Expire(TimePoint now);

 private:
  struct Rated {
    double rate = 0;
    TimePoint at{};
  };
  using Rates =
      std::array<Rated, static_cast<std::size_t>(CacheEvidence::kCount)>;

  std::map<routes::ServiceId, Rates> rates_;
  // Time of the last use, by part and run.
  std::unordered_map<std::uint64_t, std::map<EngineRun, TimePoint>> used_;
};

}  // namespace endivecart::estimates

#endif  // ENDIVECART_ESTIMATES_CACHE_HITS_H_
