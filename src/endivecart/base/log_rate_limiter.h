#ifndef ENDIVECART_BASE_LOG_RATE_LIMITER_H_
#define ENDIVECART_BASE_LOG_RATE_LIMITER_H_

#include <cstdint>

namespace endivecart {

// Limits the log lines written per second, so that logging stays cheap under
// load. Counts the lines that it suppresses.
class LogRateLimiter {
 public:
  explicit LogRateLimiter(int lines_per_second) : limit_(lines_per_second) {}

  // Returns whether one more line may be written at `now_ms`.
  bool TryAcquire(std::int64_t now_ms);
  // Returns the number of lines suppressed in seconds that have ended, since
  // the last call.
  std::uint64_t TakeSuppressedCount(std::int64_t now_ms);

 private:
  void AdvanceTo(std::int64_t now_ms);

  const int limit_;
  std::int64_t second_ = -1;
  int written_ = 0;
  std::uint64_t suppressed_now_ = 0;
  std::uint64_t suppressed_before_ = 0;
};

}  // namespace endivecart

#endif  // ENDIVECART_BASE_LOG_RATE_LIMITER_H_
