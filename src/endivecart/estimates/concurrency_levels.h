#ifndef ENDIVECART_ESTIMATES_CONCURRENCY_LEVELS_H_
#define ENDIVECART_ESTIMATES_CONCURRENCY_LEVELS_H_

#include <array>
#include <optional>

#include "endivecart/base/base.h"

namespace endivecart::estimates {

// Recent times of work by the number of requests in progress: at which number
// does more of them get no more work done?
class ConcurrencyLevels {
 public:
  // `min_samples`: fewer recent samples at a level are no evidence.
  explicit ConcurrencyLevels(double min_samples) : min_samples_(min_samples) {}

  void Add(int requests, double ms, TimePoint now);
  // Returns the number of requests from which on a higher level does not get
  // more work done; nullopt if none is known.
  std::optional<double> Sustained(TimePoint now) const;
  bool IsEmpty(TimePoint now) const;

 private:
  // Two levels for each doubling, up to 181 requests.
  static constexpr std::size_t kLevels = 16;

  struct Level {
    double requests = 0;  // mean
    double ms = 0;        // mean
    double samples = 0;   // decayed, at `at`
    TimePoint at{};
  };

  static double SamplesNow(const Level& level, TimePoint now);

  double min_samples_;
  std::array<Level, kLevels> levels_{};
};

}  // namespace endivecart::estimates

#endif  // ENDIVECART_ESTIMATES_CONCURRENCY_LEVELS_H_
