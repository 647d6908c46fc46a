#ifndef ENDIVECART_GATEWAY_RELAYED_REQUEST_H_
#define ENDIVECART_GATEWAY_RELAYED_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "endivecart/upstreams/upstreams.h"

namespace endivecart::gateway {

// Field of a request that one host passes on to another, which sends it to an
// upstream. Its value is a RelayTicket. Honoured on the relay port only.
inline constexpr char kRelayedField[] = "Endivecart-Relayed";
// Field of an answer to such a request that guarantees that it was not run and
// will not be; its value is the reason.
inline constexpr char kRelayNotRunField[] = "Endivecart-Not-Run";

// Field of an answer to such a request that names the upstream that gave it, an
// UpstreamRun, if that says that it leaves.
inline constexpr char kRelayLeavingField[] = "Endivecart-Upstream-Leaving";

// Field of such a request if a host has counted it as usage already. Not part
// of the ticket: hosts of earlier releases refuse tickets with unknown parts.
inline constexpr char kUsageCountedField[] = "Endivecart-Usage-Counted";

// Reasons of which another relay may know nothing.
inline constexpr char kReasonNoConfiguration[] = "no_configuration";
inline constexpr char kReasonOlderConfiguration[] = "older_configuration";
inline constexpr char kReasonUnreachable[] = "unreachable";
inline constexpr char kReasonNoUpstream[] = "no_upstream";

// Returns whether another relay may serve a request that was refused for this
// reason.
bool MayRelayElsewhere(std::string_view reason);

// What a relay must know of a request besides what the caller sent.
struct RelayTicket {
  // Upstreams that may have run it. They count among the route's attempts.
  int runs = 0;
  // Of the configuration by which the sender accepted it. A relay with an older
  // one must not judge it.
  std::uint64_t routing_version = 0;
  // From kUsageCountedField; not in the text.
  bool usage_counted = false;

  bool operator==(const RelayTicket&) const = default;
};

std::string ToText(const RelayTicket& ticket);
// Returns nullopt if the text is malformed.
std::optional<RelayTicket> ParseRelayTicket(std::string_view text);

std::string ToText(const upstreams::UpstreamRun& run);
// Returns nullopt if the text is malformed.
std::optional<upstreams::UpstreamRun> ParseUpstreamRun(std::string_view text);

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_RELAYED_REQUEST_H_
