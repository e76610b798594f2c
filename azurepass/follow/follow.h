// Follows all that lies below a prefix of the store: a listing first, page by
// page, then one held watch after another, for ever. It is the half that every
// reader of the store shares; what the content means is the listener's matter.
//
// Usage: construct a Follower on a task::Loop with an address for Events. Each
// Event carries the moment at which its request was sent: the content is at
// least as new as that.
//
// A listing of several pages has the first page's revision; what was written
// while the later pages were read is reported again by the next watch, so the
// listener compares versions. After an error the next request follows a
// jittered backoff, so that the return of a store meets no herd.

#ifndef AZUREPASS_FOLLOW_FOLLOW_H_
#define AZUREPASS_FOLLOW_FOLLOW_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "azurepass/core/core.h"
#include "azurepass/store/store.h"
#include "azurepass/task/task.h"

namespace azurepass::follow {

struct Options {
  std::string prefix;
  Duration watch_wait{500};   // One held request.
  Duration min_backoff{100};  // After the first error.
  Duration max_backoff{1'000};
  int64_t page_entries = 1'000;  // Of a listing.
  uint64_t seed = 1;             // Of the jitter.
  // Between two requests, also when the first one found changes: those that
  // come often are then told together.
  Duration min_interval{0};
};

// The whole content; what is not in it is gone.
struct Replaced {
  store::Listing listing;
  MonotonicTime sent;  // Of the first page.
};
// What changed since the event before; possibly nothing.
struct Changed {
  store::Changes changes;
  MonotonicTime sent;
};
// The store did not answer, or said no. It is asked again.
struct Failed {
  store::Error error;
};
using Event = std::variant<Replaced, Changed, Failed>;

class Follower {
 public:
  Follower(task::Loop& loop, Options options,
           task::Address<store::Request> store, task::Address<Event> listener);
  ~Follower();
  Follower(const Follower&) = delete;
  Follower& operator=(const Follower&) = delete;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace azurepass::follow

#endif  // AZUREPASS_FOLLOW_FOLLOW_H_
