#ifndef ENDIVECART_BASE_LOG_BUDGET_H_
#define ENDIVECART_BASE_LOG_BUDGET_H_

#include <cstdint>

namespace endivecart {

// Bounds the lines that a process writes in each second, so that logs cost
// little just when there is most to do. What is left out is counted.
class LogBudget {
 public:
  explicit LogBudget(int lines_per_second) : limit_(lines_per_second) {}

  // Whether one more line may be written at this time.
  bool Take(std::int64_t now_ms);
  // Lines left out in seconds that have ended, since the last call.
  std::uint64_t TakeLeftOut(std::int64_t now_ms);

 private:
  void MoveOn(std::int64_t now_ms);

  const int limit_;
  std::int64_t second_ = -1;
  int written_ = 0;
  std::uint64_t left_out_now_ = 0;
  std::uint64_t left_out_before_ = 0;
};

}  // namespace endivecart

#endif  // ENDIVECART_BASE_LOG_BUDGET_H_
