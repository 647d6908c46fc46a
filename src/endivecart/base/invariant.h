#ifndef ENDIVECART_BASE_INVARIANT_H_
#define ENDIVECART_BASE_INVARIANT_H_

#include <array>
#include <cstdint>
#include <functional>
#include <string_view>

namespace endivecart {

// The product's promises; each is checked where the program could break it.
enum class Invariant {
  kCacheBlockSealed,       // a freed or partly written block is never read
  kCustomerIsolation,      // no customer's data reaches another
  kVersionIsolation,       // a new request uses blocks of its version only
  kUpstreamCapacity,       // an upstream never gets more than it bears
  kDomainOutGetsNoWork,    // a domain taken out gets no new work
  kBadVersionShare,        // a bad version gets a small share only
  kAnswerComplete,         // a caller gets the whole answer to its own request
  kNotRunIsTrue,           // "not run" only when no upstream got a byte
  kAtMostOnce,             // a non-idempotent request runs at most once
  kLeavingGetsNoWork,      // a leaving upstream gets no new work
  kGracefulStop,           // a planned stop cuts no request
  kConfigurationMonotone,  // an accepted configuration never reverts
  kCount,
};

// Stable name for logs and metrics.
std::string_view InvariantName(Invariant invariant);

// Counts and reports violations. Checks stay on in every build.
class InvariantMonitor {
 public:
  using Handler = std::function<void(Invariant, std::string_view detail)>;

  static InvariantMonitor& Get();

  // Replaces the report function; the default logs an error line.
  void SetHandler(Handler handler);
  void Report(Invariant invariant, std::string_view detail);
  std::uint64_t Violations(Invariant invariant) const;
  std::uint64_t TotalViolations() const;

 private:
  InvariantMonitor();
  struct State;
  State* state_;  // never destroyed: checks run until the process ends
};

// Returns `holds`; a violation is counted and reported first.
inline bool CheckInvariant(bool holds,
                           Invariant invariant,
                           std::string_view detail) {
  if (!holds)
    InvariantMonitor::Get().Report(invariant, detail);
  return holds;
}

}  // namespace endivecart

#endif  // ENDIVECART_BASE_INVARIANT_H_
