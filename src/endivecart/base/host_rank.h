#ifndef ENDIVECART_BASE_HOST_RANK_H_
#define ENDIVECART_BASE_HOST_RANK_H_

namespace endivecart {

// The number of hosts that serve callers, and the position of one among them,
// by which hosts divide something among themselves. 0 hosts: unknown.
struct HostRank {
  int hosts = 0;
  int rank = 0;

  bool operator==(const HostRank&) const = default;
};

}  // namespace endivecart

#endif  // ENDIVECART_BASE_HOST_RANK_H_
