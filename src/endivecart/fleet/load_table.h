#ifndef ENDIVECART_FLEET_LOAD_TABLE_H_
#define ENDIVECART_FLEET_LOAD_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/fleet/load_sum.h"
#include "endivecart/fleet/upstream_names.h"
#include "endivecart/transport/transport.h"
#include "endivecart/upstreams/upstreams.h"

namespace endivecart::fleet {

// The sender's side of wire::FleetLoads: the outstanding work that hosts report
// for each upstream, and which upstreams have gone silent. Sums are updated
// with each report, and receivers get those that changed since their last
// answer, so that an answer costs neither for each host nor for each upstream.
class LoadTable {
 public:
  // An upstream is listed as silent, with the age of its last announcement, if
  // that is older. Hosts take any other's to be of this age, so a larger value
  // delays their trust in an upstream that has recovered.
  static constexpr Millis kSilentAfter{1000};
  // While coarse: of thousands of upstreams that announce themselves each 1.2
  // s, a third would be listed at any time otherwise.
  static constexpr Millis kCoarseSilentAfter{2000};
  // How often the list of silent upstreams is made.
  static constexpr Millis kSilentListInterval{100};
  // Names are numbered anew once so many more are unused than used.
  static constexpr std::size_t kMaxUnusedNames = 64;
  // While coarse, tokens are sent in units of kTokenUnit, rounded up, and a sum
  // only once it differs from what was sent by one of these, or by one in
  // kSlotsPerQuantum of the upstream's slots.
  static constexpr std::uint32_t kTokenUnit = 512;
  static constexpr std::int64_t kPromptQuantum = 4096;
  static constexpr std::int64_t kHeldQuantum = 16384;
  static constexpr int kSlotsPerQuantum = 5;

  // `epoch` of the names must differ from that of any earlier process on this
  // host.
  explicit LoadTable(std::uint64_t epoch) : names_(epoch) {}

  // Replaces what `host` reported before. `names_epoch` is that of the names by
  // whose number the report names upstreams; if the names have been numbered
  // anew since, the earlier report stays in force until the next one.
  void Set(const HostId& host,
           const std::vector<wire::UpstreamLoad>& loads,
           std::uint64_t names_epoch = 0);
  // Returns the sums over all hosts but `receiver`, and the names that the
  // receiver lacks. For receivers that don't read differences.
  wire::FleetLoads Encode(const HostId& receiver,
                          const KnownNames& known,
                          const upstreams::UpstreamRegistry& registry,
                          TimePoint now);
  // Returns the sums over all hosts that changed after `known_version`, and the
  // names that the receiver lacks.
  wire::FleetLoads EncodeChanges(const KnownNames& known,
                                 std::uint64_t known_version,
                                 const upstreams::UpstreamRegistry& registry,
                                 TimePoint now);
  // Returns the sum over all hosts.
  wire::UpstreamLoad TotalOf(const UpstreamId& upstream) const;
  // Numbers the names anew if most of them are of upstreams that `registry` no
  // longer knows.
  void DropUnused(const upstreams::UpstreamRegistry& registry);

  // Sets whether receivers get differences coarsely: with hundreds of hosts,
  // each request would be a change to send to all of them.
  void SetCoarse(bool coarse);

  UpstreamNames& names() { return names_; }

 private:
  struct Entry {
    LoadSum sum;
    LoadSum sent;  // the sum as of `version`
    std::uint64_t version = 0;
    std::int64_t request_quantum = 1;
    // When the upstream was last heard, if it is silent.
    std::optional<TimePoint> silent_since;
    std::uint64_t silent_version = 0;
  };
  struct Report {
    std::uint32_t number = 0;
    LoadSum load;
  };

  std::uint32_t NumberOf(const std::string& upstream);
  // Returns nullopt if the report uses numbers of other names.
  std::optional<std::vector<Report>> Resolve(
      const std::vector<wire::UpstreamLoad>& loads,
      std::uint64_t names_epoch);
  void Add(const Report& report, int sign);
  // Returns whether receivers need not be told the entry's sum.
  bool IsSentAlready(const Entry& entry) const;
  // Gives the entry a new version unless IsSentAlready().
  void UpdateVersion(Entry& entry);
  void UpdateSilent(const upstreams::UpstreamRegistry& registry, TimePoint now);
  Millis SilentAfter() const {
    return coarse_ ? kCoarseSilentAfter : kSilentAfter;
  }
  std::uint32_t HeardWithin(TimePoint now) const;
  // The same, but no more than needed: all upstreams that aren't silent were
  // heard since then.
  std::uint32_t OldestHeard(TimePoint now) const;

  UpstreamNames names_;
  std::map<HostId, std::vector<Report>> reports_;
  std::vector<Entry> entries_;  // by number
  std::uint64_t version_ = 1;
  bool coarse_ = false;
  TimePoint silent_updated_at_{};
  // As of then, the age of the upstream that was heard the longest ago, of
  // those that aren't silent.
  Millis oldest_heard_{0};
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_LOAD_TABLE_H_
