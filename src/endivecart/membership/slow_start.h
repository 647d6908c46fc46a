#ifndef ENDIVECART_MEMBERSHIP_SLOW_START_H_
#define ENDIVECART_MEMBERSHIP_SLOW_START_H_

#include <cstdint>

#include "endivecart/base/base.h"

namespace endivecart::membership {

// Concurrency limit of a new or cold upstream. It grows while requests finish
// without an increase in time to first token, and shrinks when they fail or are
// slow.
class SlowStart {
 public:
  explicit SlowStart(int capacity);

  // Restarts, for a new incarnation or a cold upstream.
  void Reset(int capacity);
  // Records a finished request; `good` if it did not fail and its first token
  // was not much later than predicted.
  void OnFinished(bool good);

  int limit() const { return limit_; }
  bool complete() const { return limit_ >= capacity_; }

 private:
  int capacity_;
  int limit_;
  int good_ = 0;  // finished well since the last step
  int bad_ = 0;   // failed or slow since the last step
};

}  // namespace endivecart::membership

#endif  // ENDIVECART_MEMBERSHIP_SLOW_START_H_
