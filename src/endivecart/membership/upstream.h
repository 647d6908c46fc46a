#ifndef ENDIVECART_MEMBERSHIP_UPSTREAM_H_
#define ENDIVECART_MEMBERSHIP_UPSTREAM_H_

#include <cstdint>
#include <string>
#include <vector>

#include "endivecart/base/base.h"

namespace endivecart::membership {

// An upstream as its home describes it.
struct Upstream {
  UpstreamId id;
  std::string url;
  DomainId domain;
  ModelId model;
  std::vector<VersionId> versions;  // loaded and able to serve
  std::uint64_t incarnation = 0;    // changes with each start
  std::uint64_t cache_epoch = 0;    // changes when the prefix cache is lost
  int concurrency_limit = 0;        // concurrent requests during slow start
  int capacity = 0;                 // concurrent requests once warm
  int prefill_tokens_per_s = 0;
  int queued_tokens = 0;  // prompt tokens waiting for prefill, delayed
  int running = 0;        // running requests, delayed
  bool leaving = false;

  bool operator==(const Upstream&) const = default;
  bool Serves(const VersionId& version) const;
};

}  // namespace endivecart::membership

#endif  // ENDIVECART_MEMBERSHIP_UPSTREAM_H_
