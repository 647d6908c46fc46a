#ifndef ENDIVECART_GATEWAY_SERVER_LOAD_H_
#define ENDIVECART_GATEWAY_SERVER_LOAD_H_

#include <optional>

#include "endivecart/base/base.h"

namespace endivecart::gateway {

// The load that an upstream reported along with an answer: requests of all
// hosts.
struct ServerLoad {
  int running = 0;
  int waiting = 0;  // for a slot
  int slots = 0;
  // How long work takes there at this moment; 100: as usual.
  std::optional<int> work_percent;

  bool operator==(const ServerLoad&) const = default;
};

// Returns whether the numbers can describe one server.
bool IsPlausible(const ServerLoad& load);

// A report with what has happened here since.
struct ReportedLoad {
  ServerLoad load;
  Millis age{0};
  int own_at_report = 0;  // this host's requests there, when it arrived
  int own_now = 0;

  bool operator==(const ReportedLoad&) const = default;
};

// A report is not used once it is older than this: it describes a queue that
// has been served meanwhile.
inline constexpr Millis kServerLoadLifetime{1000};

// Returns the estimated number of requests at an upstream. `known` is the sum
// of what all hosts have under way there, which lags by a poll interval. The
// report counts in full when it arrives and not at all at the end of its
// lifetime. Never less than this host's own requests.
//
// A stale report doesn't make all hosts choose the same upstream: each has
// another report, of its own last answer, and adds what it sent since.
int EstimateRequests(int known, const ReportedLoad& report);

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_SERVER_LOAD_H_
