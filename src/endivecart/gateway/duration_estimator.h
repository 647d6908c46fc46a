#ifndef ENDIVECART_GATEWAY_DURATION_ESTIMATOR_H_
#define ENDIVECART_GATEWAY_DURATION_ESTIMATOR_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "endivecart/base/base.h"

namespace endivecart::gateway {

// Estimates how long the slower requests of a route take, from its answers so
// far: their maximum, which decays with the number of answers.
class DurationEstimator {
 public:
  void Add(const std::string& route, Millis duration);
  // Returns nullopt if the route has had no answer.
  std::optional<Millis> Longest(const std::string& route) const;
  // Forgets the routes for which `exists` returns false.
  void KeepOnly(const std::function<bool(const std::string&)>& exists);

 private:
  std::map<std::string, Millis> longest_;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_DURATION_ESTIMATOR_H_
