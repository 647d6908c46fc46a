#ifndef ENDIVECART_BASE_INVARIANT_H_
#define ENDIVECART_BASE_INVARIANT_H_

#include <array>
#include <cstdint>
#include <functional>
#include <string_view>

namespace endivecart {

// The system's safety properties, each checked at run time where the code could
// violate it.
enum class Invariant {
  kCacheBlockSealed,     // no freed or partly written block is read
  kCustomerIsolation,    // no customer gets another one's data
  kVersionIsolation,     // a request uses blocks of its version only
  kUpstreamCapacity,     // no upstream is loaded beyond its capacity
  kDomainOutGetsNoWork,  // a disabled failure domain gets no requests
  kBadVersionShare,      // a faulty version gets a small share only
  kAnswerComplete,       // a caller gets the complete answer to its own request
  kNotRunIsTrue,         // "not run" is reported only if it is certain
  kAtMostOnce,           // a non-idempotent request runs at most once
  kLeavingGetsNoWork,    // a leaving upstream gets no new requests
  kGracefulStop,         // a planned stop aborts no request
  kConfigurationMonotone,  // an accepted configuration is never reverted
  kSoundPartNotWithheld,   // a part that was answered since is not quarantined
  kQuarantinedPartGetsNoWork,  // no prompt with a quarantined part is sent
  kRelayedOnce,                // no request passes through two other hosts
  kStaysInRegion,  // no request leaves the regions to which it is restricted
  kCallerIsThere,  // no request is sent for a caller known to have left
  kFencingNumberRises,  // no call is made with a lower number than before
  kUsageReportFixed,  // a usage window is always reported with the same counts
  kConnectionBudget,  // connections hold no more than their budget
  kCount,
};

// Returns the name used in logs and metrics.
std::string_view InvariantName(Invariant invariant);

// Counts and reports violations. Checks are enabled in every build type.
// Thread-safe.
class InvariantMonitor {
 public:
  using Handler = std::function<void(Invariant, std::string_view detail)>;

  static InvariantMonitor& Get();

  // Replaces the handler of violations; a null handler restores the default,
  // which logs an error line.
  void SetHandler(Handler handler);
  void Report(Invariant invariant, std::string_view detail);
  std::uint64_t Violations(Invariant invariant) const;
  std::uint64_t TotalViolations() const;

 private:
  InvariantMonitor();
  struct State;
  State* state_;  // never destroyed: checks may run during shutdown
};

// Returns `holds`, after counting and reporting a violation if it is false.
inline bool CheckInvariant(bool holds,
                           Invariant invariant,
                           std::string_view detail) {
  if (!holds)
    InvariantMonitor::Get().Report(invariant, detail);
  return holds;
}

}  // namespace endivecart

#endif  // ENDIVECART_BASE_INVARIANT_H_
