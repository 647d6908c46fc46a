#ifndef ENDIVECART_QUARANTINE_FINDINGS_H_
#define ENDIVECART_QUARANTINE_FINDINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::quarantine {

// What a request may have in common with others: ids of shared prompt parts, or
// their digests if they are long, and the keys of the request as a whole. See
// PartKeys() and RequestKeys().
using PartList = std::vector<std::string>;

// Returns the keys by which parts are compared, sorted and unique. Takes at
// most the first kMaxPartsPerPrompt.
PartList PartKeys(const std::vector<std::string>& ids);
inline constexpr std::size_t kMaxPartsPerPrompt = 64;

// By what requests of any kind count as alike.
struct RequestIdentity {
  std::string_view method;
  std::string_view host;
  std::string_view target;    // path with query
  std::string_view customer;  // empty if unknown
  std::string_view body;

  bool operator==(const RequestIdentity&) const = default;
};

// Returns the keys by which whole requests are compared, the narrowest first:
// one of all that identifies the request and, if it has a query, one of all but
// that, since each caller may send another query. Contain a colon, which ids of
// parts don't.
PartList RequestKeys(const RequestIdentity& identity);

// Returns the parts joined by commas, for logs.
std::string Joined(const PartList& parts);

// A run of a prompt whose connection ended before its answer did.
struct BrokenRun {
  std::string upstream_run;   // one incarnation of one upstream
  std::uint64_t request = 0;  // distinguishes requests
  TimePoint at{};
  PartList parts;  // those that the host hasn't seen answered lately

  bool operator==(const BrokenRun&) const = default;
};

// When a prompt with the part was answered last.
struct SoundPart {
  std::string part;
  TimePoint at{};

  bool operator==(const SoundPart&) const = default;
};

// Prompts that contain all of `parts` are not sent. More than one part if those
// observed so far always came together.
struct Quarantine {
  PartList parts;  // sorted
  TimePoint since{};
  int failed_trials = 0;  // since it was first declared
  TimePoint asked_at{};   // last request for it at any host

  bool operator==(const Quarantine&) const = default;
};

// What one host reports to control hosts. Replaces its earlier report.
struct HostFindings {
  std::vector<BrokenRun> runs;
  std::vector<SoundPart> sound;  // among those that control hosts ask about
  std::vector<Quarantine> quarantines;
  // First contact with a control host; TimePoint{} if unknown. The host knows
  // the quarantines that have been declared since.
  TimePoint following_since{};

  bool operator==(const HostFindings&) const = default;
};

// What a control host tells all hosts.
struct Ruling {
  std::vector<Quarantine> quarantines;
  std::vector<SoundPart> sound;
  PartList questioned;  // which of these have hosts seen answered?

  bool operator==(const Ruling&) const = default;
};

}  // namespace endivecart::quarantine

#endif  // ENDIVECART_QUARANTINE_FINDINGS_H_
