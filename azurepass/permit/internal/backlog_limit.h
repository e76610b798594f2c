// The backlog that one broker allows itself at one VM: additive increase,
// multiplicative decrease. Knows no clock; the caller passes the time.
//
// The load it answers: several brokers use the same VMs, and none sees what the
// others have outstanding there. Together they can have more than the service
// decides before the requests time out. It decides them all the same, for
// nobody, and the repeated requests add to that. Failures are the only sign of
// it, so each broker asks for less until they cease.

#ifndef AZUREPASS_PERMIT_INTERNAL_BACKLOG_LIMIT_H_
#define AZUREPASS_PERMIT_INTERNAL_BACKLOG_LIMIT_H_

#include <algorithm>

#include "azurepass/core/core.h"

namespace azurepass::permit::internal {

class BacklogLimit {
 public:
  explicit BacklogLimit(Duration max) : max_(max), current_(max) {}

  // A VM without a backlog takes a request whatever the limit is.
  Duration current() const { return current_; }

  void OnSuccess() { current_ = std::min(max_, current_ + max_ / kIncreases); }

  // Requests that were sent before the latest decrease tell nothing new.
  void OnFailure(MonotonicTime sent_at, MonotonicTime now) {
    if (sent_at < decreased_at_) return;
    decreased_at_ = now;
    current_ /= kDecrease;
  }

 private:
  // From nothing to the maximum in this many successes.
  static constexpr int kIncreases = 16;
  static constexpr int kDecrease = 2;

  Duration max_;
  Duration current_;  // Invariant: between 0 and max_.
  MonotonicTime decreased_at_{};
};

}  // namespace azurepass::permit::internal

#endif  // AZUREPASS_PERMIT_INTERNAL_BACKLOG_LIMIT_H_
