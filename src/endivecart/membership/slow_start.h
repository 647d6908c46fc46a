#ifndef ENDIVECART_MEMBERSHIP_SLOW_START_H_
#define ENDIVECART_MEMBERSHIP_SLOW_START_H_

#include <cstdint>

#include "endivecart/base/base.h"

namespace endivecart::membership {

// How many requests at once a fresh or cold upstream bears, by evidence: the
// number grows when requests finish without a rise in time to first token.
class SlowStart {
 public:
  explicit SlowStart(int capacity);

  // Back to the start, for a new incarnation or a cold upstream.
  void Reset(int capacity);
  // One finished request; `good` if it neither failed nor had a first token
  // much later than predicted.
  void OnFinished(bool good);

  int bears() const { return bears_; }
  bool complete() const { return bears_ >= capacity_; }

 private:
  int capacity_;
  int bears_;
  int good_ = 0;  // finished in order since the last step
  int bad_ = 0;   // failed or slow since the last step
};

}  // namespace endivecart::membership

#endif  // ENDIVECART_MEMBERSHIP_SLOW_START_H_
