#ifndef ENDIVECART_CACHE_LINK_BUDGET_H_
#define ENDIVECART_CACHE_LINK_BUDGET_H_

#include <cstdint>

#include "endivecart/base/base.h"

namespace endivecart::cache {

// Bandwidth budget of this host's share of the link to a store. Imports delay a
// first token and have priority; exports and copies get the bandwidth that
// imports leave. Does no I/O and reads no clock. Not thread-safe.
class LinkBudget {
 public:
  LinkBudget(std::int64_t bytes_per_s, TimePoint now);

  // Changes the rate, because the share changed or the link is slower.
  void SetRate(std::int64_t bytes_per_s, TimePoint now);
  // Reserves bandwidth for an import. The backlog may grow without limit; later
  // imports wait for it.
  void ReserveImport(std::int64_t bytes, TimePoint now);
  // Reserves bandwidth for an export; returns false if the backlog is too long.
  bool TryReserveExport(std::int64_t bytes, TimePoint now);
  // Returns the predicted time in ms to import another `bytes`.
  double ImportMillis(std::int64_t bytes, TimePoint now) const;
  // Updates the observed rate with an import that took `millis` on the wire.
  void Observe(std::int64_t bytes, double millis);
  std::int64_t reserved_bytes() const { return reserved_bytes_; }

 private:
  double Backlog(TimePoint now) const;
  void Reserve(std::int64_t bytes, TimePoint now);

  double bytes_per_ms_;
  double observed_bytes_per_ms_;
  double backlog_bytes_ = 0;
  TimePoint updated_;
  std::int64_t reserved_bytes_ = 0;
};

}  // namespace endivecart::cache

#endif  // ENDIVECART_CACHE_LINK_BUDGET_H_
