#ifndef BENCH_FLEET_LOAD_H_
#define BENCH_FLEET_LOAD_H_

#include <string>
#include <vector>

namespace bench {

// Soft state of a fleet: what its entry hosts and upstreams send to control
// hosts.
struct FleetLoad {
  std::vector<std::string> control_hosts;  // IP addresses
  int operator_port = 0;
  int peer_port = 0;
  int hosts = 300;  // entry hosts
  int upstreams = 3000;
  int limits = 0;  // upstreams whose limits each entry host has seen
  double seconds = 10;
};

// Sends the polls of simulated entry hosts and the announcements of simulated
// upstreams to running control hosts, and prints what came back. The processor
// time of the control hosts is measured outside; see scripts/fleet-load.
int RunFleetLoad(const FleetLoad& load);

}  // namespace bench

#endif  // BENCH_FLEET_LOAD_H_
