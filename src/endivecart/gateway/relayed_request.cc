#include "endivecart/gateway/relayed_request.h"

#include <charconv>

namespace endivecart::gateway {

namespace {

constexpr std::string_view kRuns = "runs=";
constexpr std::string_view kRouting = ",routing=";

// Parses a text that consists of digits only.
template <class Number>
bool ParseAll(std::string_view digits, Number& number) {
  // from_chars would accept a minus sign.
  if (digits.empty() || digits.front() < '0' || digits.front() > '9')
    return false;
  const char* const end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

}  // namespace

bool MayRelayElsewhere(std::string_view reason) {
  return reason == kReasonNoConfiguration ||
         reason == kReasonOlderConfiguration || reason == kReasonUnreachable ||
         reason == kReasonNoUpstream;
}

std::string ToText(const RelayTicket& ticket) {
  return std::string(kRuns) + std::to_string(ticket.runs) +
         std::string(kRouting) + std::to_string(ticket.routing_version);
}

std::optional<RelayTicket> ParseRelayTicket(std::string_view text) {
  const std::size_t routing = text.find(kRouting);
  if (!text.starts_with(kRuns) || routing == std::string_view::npos)
    return std::nullopt;
  RelayTicket ticket;
  const std::string_view runs =
      text.substr(kRuns.size(), routing - kRuns.size());
  if (!ParseAll(runs, ticket.runs) ||
      !ParseAll(text.substr(routing + kRouting.size()),
                ticket.routing_version)) {
    return std::nullopt;
  }
  return ticket;
}

std::string ToText(const upstreams::UpstreamRun& run) {
  return run.id.str() + "/" + std::to_string(run.start_time_ms);
}

std::optional<upstreams::UpstreamRun> ParseUpstreamRun(std::string_view text) {
  const std::size_t slash = text.rfind('/');
  if (slash == std::string_view::npos)
    return std::nullopt;
  const auto id = ParseId<UpstreamId>(InputSource::kPeer, "upstream",
                                      text.substr(0, slash));
  std::uint64_t start_time_ms = 0;
  if (!id || !ParseAll(text.substr(slash + 1), start_time_ms))
    return std::nullopt;
  return upstreams::UpstreamRun{*id, start_time_ms};
}

}  // namespace endivecart::gateway
