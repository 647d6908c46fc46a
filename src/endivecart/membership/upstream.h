#ifndef ENDIVECART_MEMBERSHIP_UPSTREAM_H_
#define ENDIVECART_MEMBERSHIP_UPSTREAM_H_

#include <cstdint>
#include <string>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::membership {

// One upstream as its home host describes it.
struct Upstream {
  UpstreamId id;
  std::string url;
  DomainId domain;
  ModelId model;
  std::vector<VersionId> versions;  // loaded, able to serve
  std::uint64_t incarnation = 0;    // changes with each start
  std::uint64_t cache_epoch = 0;    // changes when its prefix cache is lost
  int bears = 0;                    // requests at once that it bears now
  int capacity = 0;                 // requests at once that it bears once warm
  int prefill_tokens_per_s = 0;
  int queued_tokens = 0;  // prompt tokens waiting for prefill, lagging
  int running = 0;        // requests at work there, lagging
  bool leaving = false;

  bool operator==(const Upstream&) const = default;
  bool Serves(const VersionId& version) const;
};

}  // namespace endivecart::membership

#endif  // ENDIVECART_MEMBERSHIP_UPSTREAM_H_
