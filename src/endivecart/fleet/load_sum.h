#ifndef ENDIVECART_FLEET_LOAD_SUM_H_
#define ENDIVECART_FLEET_LOAD_SUM_H_

#include <cstdint>

#include "endivecart/transport/transport.h"

namespace endivecart::fleet {

// Outstanding work at one upstream.
struct LoadSum {
  std::int64_t requests = 0;
  std::int64_t prompt_tokens = 0;
  std::int64_t held_tokens = 0;

  static LoadSum From(const wire::UpstreamLoad& load) {
    return {load.requests(), load.prompt_tokens(), load.held_tokens()};
  }
  void Add(const LoadSum& other, std::int64_t sign) {
    requests += sign * other.requests;
    prompt_tokens += sign * other.prompt_tokens;
    held_tokens += sign * other.held_tokens;
  }
  // Returns the sum with tokens in units of `unit`, rounded up.
  LoadSum InUnitsOf(std::uint32_t unit) const {
    return {requests, (prompt_tokens + unit - 1) / unit,
            (held_tokens + unit - 1) / unit};
  }
  bool operator==(const LoadSum&) const = default;
};

}  // namespace endivecart::fleet

#endif  // ENDIVECART_FLEET_LOAD_SUM_H_
