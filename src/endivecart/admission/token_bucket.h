#ifndef ENDIVECART_ADMISSION_TOKEN_BUCKET_H_
#define ENDIVECART_ADMISSION_TOKEN_BUCKET_H_

#include "endivecart/base/base.h"

namespace endivecart::admission {

// Rate limit with a burst. A pure core: the caller gives the time.
class TokenBucket {
 public:
  TokenBucket() = default;

  // Sets the rate and the burst; tokens at hand above the burst are lost.
  void Configure(double per_second, double burst, TimePoint now);
  bool TryTake(TimePoint now);
  // Time until the next token.
  Millis WaitFor(TimePoint now) const;

 private:
  double TokensAt(TimePoint now) const;

  double per_second_ = 0;
  double burst_ = 0;
  double tokens_ = 0;
  TimePoint updated_;
  bool configured_ = false;
};

}  // namespace endivecart::admission

#endif  // ENDIVECART_ADMISSION_TOKEN_BUCKET_H_
