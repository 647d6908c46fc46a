#ifndef ENDIVECART_FLEET_REMOTE_LOADS_H_
#define ENDIVECART_FLEET_REMOTE_LOADS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/fleet/heard_upstreams.h"
#include "endivecart/fleet/load_sum.h"
#include "endivecart/fleet/upstream_names.h"
#include "endivecart/transport/transport.h"

namespace endivecart::fleet {

// This process's outstanding work at one upstream, reported to other processes.
struct LocalLoad {
  UpstreamId upstream;
  int requests = 0;
  std::int64_t prompt_tokens = 0;
  std::int64_t held_tokens = 0;

  bool operator==(const LocalLoad&) const = default;
};

// The receiver's side of wire::FleetLoads; see LoadTable.
class RemoteLoads {
 public:
  // Updates the loads. `own` is what this process reported last, which sums
  // over all hosts include. Calls `on_heard` for each named upstream with a
  // time at or after which it announced itself last. Returns false if an
  // upstream that is not silent is not known.
  bool Apply(const wire::FleetLoads& loads,
             const std::vector<LocalLoad>& own,
             TimePoint now,
             const HeardCallback& on_heard);
  // Forgets the names, which another sender numbers differently.
  void Clear();

  KnownNames known_names() const { return names_.known(); }
  // Returns the version of the sender's loads that this process has, or 0 if it
  // needs all of them.
  std::uint64_t version() const { return version_; }
  // Returns the number of the upstream in reports to the sender, or nullopt if
  // the sender doesn't read numbers.
  std::optional<std::uint32_t> NumberOf(const UpstreamId& upstream) const;
  // Returns nullptr if there is no load.
  const wire::UpstreamLoad* Find(const UpstreamId& upstream) const;

 private:
  struct Entry {
    LoadSum sum;
    std::optional<TimePoint> silent_since;
  };

  void ApplyAll(const wire::FleetLoads& loads, TimePoint now);
  void ApplyChanges(const wire::FleetLoads& loads, TimePoint now);
  void NumberNames();
  // Determines the loads of all hosts but this one.
  void Subtract(const std::vector<LocalLoad>& own);

  ReceivedNames names_;
  std::map<UpstreamId, std::uint32_t> numbers_;
  std::uint64_t version_ = 0;
  std::uint32_t token_unit_ = 1;
  std::vector<Entry> entries_;  // by number
  std::map<UpstreamId, wire::UpstreamLoad> loads_;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_REMOTE_LOADS_H_
