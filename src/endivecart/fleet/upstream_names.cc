#include "endivecart/fleet/upstream_names.h"

namespace endivecart::fleet {

std::uint32_t UpstreamNames::NumberOf(const std::string& upstream) {
  const auto [it, is_new] =
      numbers_.try_emplace(upstream, static_cast<std::uint32_t>(names_.size()));
  if (is_new)
    names_.push_back(upstream);
  return it->second;
}

std::optional<std::uint32_t> UpstreamNames::Find(
    const std::string& upstream) const {
  const auto it = numbers_.find(upstream);
  return it == numbers_.end() ? std::nullopt : std::optional(it->second);
}

void UpstreamNames::Restart() {
  ++epoch_;
  names_.clear();
  numbers_.clear();
}

void ReceivedNames::Add(const std::string& name) {
  names_.push_back(ParseId<UpstreamId>(InputSource::kPeer, "upstream", name)
                       .value_or(UpstreamId()));
}

void ReceivedNames::Clear() {
  epoch_ = 0;
  names_.clear();
}

}  // namespace endivecart::fleet
