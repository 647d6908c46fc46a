#ifndef ENDIVECART_ADMISSION_TOKEN_BUCKET_H_
#define ENDIVECART_ADMISSION_TOKEN_BUCKET_H_

#include "endivecart/base/base.h"

namespace endivecart::admission {

// Rate limit with a burst. Does no I/O; the caller passes the time.
class TokenBucket {
 public:
  TokenBucket() = default;

  // Sets the rate and the burst. Tokens in excess of the burst are discarded.
  void Configure(double per_second, double burst, TimePoint now);
  // Takes one token. Returns false if none is available.
  bool TryTake(TimePoint now);
  // Returns the time until the next token; 0 if one is available.
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
