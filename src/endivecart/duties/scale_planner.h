#ifndef ENDIVECART_DUTIES_SCALE_PLANNER_H_
#define ENDIVECART_DUTIES_SCALE_PLANNER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "endivecart/base/base.h"
#include "endivecart/routes/routes.h"

namespace endivecart::duties {

// A service's servers in one failure domain, and their work for all hosts.
struct DomainServers {
  DomainId domain;
  int ready = 0;
  int booting = 0;
  int leaving = 0;
  bool is_out = false;             // the operators have taken the domain out
  bool is_reporting = true;        // false: the domain is partitioned
  double memory_share = 0;         // in use, of all ready servers' memory
  std::int64_t prompt_tokens = 0;  // of prompts not answered yet
  int requests = 0;

  bool operator==(const DomainServers&) const = default;
};

struct ScaledService {
  routes::ServiceId service;
  routes::Scaling scaling;
  // Requests that one server runs at once, and prompt tokens that it prefills
  // without delaying answers; 0 if unknown.
  int requests_per_server = 0;
  std::int64_t prompt_tokens_per_server = 0;
  // At hosts, for lack of capacity.
  int waiting_requests = 0;
  std::int64_t waiting_prompt_tokens = 0;
  // All domains in which the service runs, including lost ones.
  std::vector<DomainServers> domains;

  bool operator==(const ScaledService&) const = default;
};

struct ScaleInputs {
  std::vector<ScaledService> services;

  bool operator==(const ScaleInputs&) const = default;
};

// The number of servers that a service should have in a domain.
struct ScaleTarget {
  routes::ServiceId service;
  DomainId domain;
  int servers = 0;
  std::string reason;

  bool operator==(const ScaleTarget&) const = default;
};

// Plans the number of servers of each service and failure domain, some seconds
// ahead of the demand, since servers take time to boot. Enough for the loss of
// any one domain. Scales up at once and down slowly.
class ScalePlanner {
 public:
  // The trend is that of the demand in this time.
  static constexpr Millis kTrendTime{5000};
  // Inputs after a longer gap say nothing about the time before. The planner
  // then starts anew, as after a change of leader.
  static constexpr Millis kMaxSampleGap{5000};
  // Servers are used to this share while all domains serve, and to the other
  // one if one of them has just been lost.
  static constexpr double kTargetUse = 0.7;
  static constexpr double kTargetUseAfterLoss = 0.9;
  // A server must have been unneeded for this many boot times.
  static constexpr int kScaleDownBootTimes = 3;

  // Returns the targets of all services and domains for which there is one. To
  // be called about every 250 ms by the leader. There is no target in the first
  // boot time, nor for domains that don't report or were taken out.
  std::vector<ScaleTarget> Plan(const ScaleInputs& inputs, TimePoint now);
  // Discards all state; to be called when this process begins to lead.
  void Reset() { services_.clear(); }

 private:
  struct Sample {
    TimePoint at;
    double demand = 0;
  };
  struct Need {
    TimePoint at;
    int servers = 0;
  };
  struct Domain {
    int servers = 0;  // the current target
    TimePoint started_at;
    TimePoint changed_at;
    // Needs of the time after which servers may be removed, without those that
    // are followed by a higher one: the first is the highest.
    std::deque<Need> needs;
  };
  struct Service {
    TimePoint started_at;
    std::deque<Sample> demand;
    std::map<DomainId, Domain> domains;
  };
  struct Forecast {
    double demand = 0;    // in fully used servers
    double expected = 0;  // after the boot time
    int needed = 0;       // servers in each usable domain
    std::string reason;
  };

  static double RecentDemand(const std::deque<Sample>& demand);
  static double GrowthPerSecond(const std::deque<Sample>& demand);
  static Forecast Predict(const ScaledService& service,
                          const std::deque<Sample>& demand);
  static void UpdateTarget(Domain& state,
                           const routes::Scaling& scaling,
                           int needed,
                           TimePoint now);

  static ScaleTarget UpdateDomain(Service& state,
                                  const ScaledService& service,
                                  const DomainServers& domain,
                                  const Forecast& forecast,
                                  TimePoint now);

  std::map<routes::ServiceId, Service> services_;
};

// Returns the current demand in fully used servers.
double DemandOf(const ScaledService& service);

}  // namespace endivecart::duties

#endif  // ENDIVECART_DUTIES_SCALE_PLANNER_H_
