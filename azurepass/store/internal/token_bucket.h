// A token bucket: how many calls may start now, at a rate over time.
//
// The bucket holds up to `burst` tokens and gains `rate` a second. Time is
// passed in.

#ifndef AZUREPASS_STORE_INTERNAL_TOKEN_BUCKET_H_
#define AZUREPASS_STORE_INTERNAL_TOKEN_BUCKET_H_

#include "azurepass/core/core.h"

namespace azurepass::store::internal {

class TokenBucket {
 public:
  // Starts full. `rate` in tokens a second, above 0; `burst` at least 1.
  TokenBucket(double rate, double burst, MonotonicTime now);

  // Takes one token if there is one.
  bool TryTake(MonotonicTime now);

  // How long until there is a token; 0 when there is one.
  Duration Wait(MonotonicTime now);

 private:
  void Refill(MonotonicTime now);

  double rate_;
  double burst_;
  double tokens_;  // 0 <= tokens_ <= burst_.
  MonotonicTime refilled_;
};

}  // namespace azurepass::store::internal

#endif  // AZUREPASS_STORE_INTERNAL_TOKEN_BUCKET_H_
