#ifndef ENDIVECART_ENTRY_UPSTREAM_TABLE_H_
#define ENDIVECART_ENTRY_UPSTREAM_TABLE_H_

#include <span>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/configuration/configuration.h"
#include "endivecart/entry/placement.h"
#include "endivecart/membership/membership.h"
#include "endivecart/routing/routing.h"

namespace endivecart::entry {

// Internal. All upstreams that are known to this host, as views for decisions,
// with this host's own observations of them. Not thread-safe.
class UpstreamTable {
 public:
  // Replaces the upstreams of `home` by the complete list `upstreams`.
  void Update(const HostId& home,
              const std::vector<membership::Upstream>& upstreams,
              membership::SlotBorrower& slots);
  void SetConfiguration(const configuration::ConfigurationSet& set);
  // Updates free slots and breakers; leases expire without an event.
  void Refresh(const membership::SlotBorrower& slots, TimePoint now);
  void RefreshOne(std::size_t index,
                  const membership::SlotBorrower& slots,
                  TimePoint now);

  std::span<const routing::UpstreamView> views() const { return views_; }
  const membership::Upstream& upstream(std::size_t index) const {
    return rows_[index].upstream;
  }
  std::optional<std::size_t> Find(const UpstreamId& id) const;
  std::vector<membership::ResourceDemand> Demands(
      membership::SlotBorrower& slots,
      TimePoint now,
      bool include_idle) const;
  std::vector<membership::UpstreamEvidence> TakeEvidence(const HostId& home);

  // Records an attempt on the upstream that must recompute `tokens` tokens.
  void OnPlaced(std::size_t index, int tokens, TimePoint now);
  // Records the end of an attempt's prefill, with or without a first token.
  void OnPrefillEnded(const UpstreamId& id, int tokens);
  void OnFirstToken(const Placement& placement, double first_token_ms);
  void OnFinished(const Placement& placement,
                  const AttemptReport& report,
                  TimePoint now);

 private:
  struct Row {
    membership::Upstream upstream;
    HostId home;
    routing::Breaker breaker;
    int local_queued_tokens = 0;  // placed by this host, prefill not ended
    double correction_ms = 0;
    membership::UpstreamEvidence evidence;
  };

  void RefreshQueue(std::size_t index);
  routing::UpstreamView BaseView(const Row& row) const;

  configuration::ConfigurationSet set_;
  std::vector<Row> rows_;
  std::vector<routing::UpstreamView> views_;  // same order as rows_
};

}  // namespace endivecart::entry

#endif  // ENDIVECART_ENTRY_UPSTREAM_TABLE_H_
