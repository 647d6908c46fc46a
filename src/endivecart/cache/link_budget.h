#ifndef ENDIVECART_CACHE_LINK_BUDGET_H_
#define ENDIVECART_CACHE_LINK_BUDGET_H_

#include <cstdint>

#include "endivecart/base/base.h"

namespace endivecart::cache {

// This host's part of a store link. Imports for a first token come before
// exports and copies, which only get what imports leave. A pure core.
class LinkBudget {
 public:
  LinkBudget(std::int64_t bytes_per_s, TimePoint now);

  // Changes the rate: the share changed, or the link proved slower.
  void SetRate(std::int64_t bytes_per_s, TimePoint now);
  // Books an import; it may run into debt, which later ones wait for.
  void BookImport(std::int64_t bytes, TimePoint now);
  // Books an export if the link is idle enough; false if it must wait.
  bool TryBookExport(std::int64_t bytes, TimePoint now);
  // Predicted time until `bytes` more have been imported.
  double ImportMillis(std::int64_t bytes, TimePoint now) const;
  // Learns from an import that took `millis` on the wire.
  void Observe(std::int64_t bytes, double millis);
  std::int64_t booked_bytes() const { return booked_bytes_; }

 private:
  double Backlog(TimePoint now) const;
  void Book(std::int64_t bytes, TimePoint now);

  double bytes_per_ms_;
  double observed_bytes_per_ms_;
  double backlog_bytes_ = 0;
  TimePoint updated_;
  std::int64_t booked_bytes_ = 0;
};

}  // namespace endivecart::cache

#endif  // ENDIVECART_CACHE_LINK_BUDGET_H_
