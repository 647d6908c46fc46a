#ifndef ENDIVECART_QUARANTINE_REACH_H_
#define ENDIVECART_QUARANTINE_REACH_H_

#include <string>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::quarantine {

// What one host knows of its way to the upstreams of one service.
struct ServiceReach {
  std::string service;
  bool is_cut_off = false;  // it can't connect to any
  TimePoint answered_at{};  // last data from any of them

  bool operator==(const ServiceReach&) const = default;
};

// What a host reports to control hosts. Replaces its earlier report.
struct HostReach {
  DomainId domain;
  // Where other hosts may send it requests; 0: it takes none.
  int relay_port = 0;
  int requests = 0;  // in progress
  std::vector<ServiceReach> services;

  bool operator==(const HostReach&) const = default;
};

// A host to which requests may be relayed.
struct RelayHost {
  HostId host;
  HostReach reach;

  bool operator==(const RelayHost&) const = default;
};

}  // namespace endivecart::quarantine

#endif  // ENDIVECART_QUARANTINE_REACH_H_
