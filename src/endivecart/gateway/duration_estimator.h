#ifndef ENDIVECART_GATEWAY_DURATION_ESTIMATOR_H_
#define ENDIVECART_GATEWAY_DURATION_ESTIMATOR_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "endivecart/base/base.h"

namespace endivecart::gateway {

// How long an answer took.
struct AnswerTiming {
  Millis duration{0};
  // Of a stream; `first_event` is part of `duration`.
  Millis first_event{0};
  std::size_t events = 0;

  bool operator==(const AnswerTiming&) const = default;
};

// Estimates how long the slower requests of a route take, from its answers so
// far: maxima, which decay with the number of answers. They are no bound: the
// next request may take longer.
class DurationEstimator {
 public:
  void Add(const std::string& route, const AnswerTiming& timing);
  // Returns nullopt if the route has had no answer. `max_events`: how many
  // events the answer may have; 0 if that isn't known.
  std::optional<Millis> Longest(const std::string& route,
                                std::int64_t max_events) const;
  // Forgets the routes for which `exists` returns false.
  void KeepOnly(const std::function<bool(const std::string&)>& exists);

 private:
  struct Maxima {
    double duration_ms = 0;
    double first_event_ms = 0;
    double ms_per_event = 0;
  };

  std::map<std::string, Maxima> maxima_;
};

}  // namespace endivecart::gateway

#endif  // ENDIVECART_GATEWAY_DURATION_ESTIMATOR_H_
