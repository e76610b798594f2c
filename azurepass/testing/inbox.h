// Messages that tasks send to a test, taken one by one by the test's thread.

#ifndef AZUREPASS_TESTING_INBOX_H_
#define AZUREPASS_TESTING_INBOX_H_

#include <doctest/doctest.h>
#include <glib.h>

#include <memory>
#include <optional>
#include <utility>

#include "azurepass/task/task.h"

namespace azurepass::testing {

// Longer than anything a passing test waits for.
inline constexpr Duration kLong{20'000};

// Must outlive the loops of those that send to it.
template <class T>
class Inbox {
 public:
  Inbox() : queue_(g_async_queue_new()) {}
  ~Inbox() {
    while (auto* left = g_async_queue_try_pop(queue_)) {
      delete static_cast<T*>(left);
    }
    g_async_queue_unref(queue_);
  }
  Inbox(const Inbox&) = delete;
  Inbox& operator=(const Inbox&) = delete;

  task::Address<T> address() {
    return task::Address<T>([queue = queue_](T message) {
      g_async_queue_push(queue, new T(std::move(message)));
    });
  }
  std::optional<T> TakeWithin(Duration limit) {
    const guint64 limit_us = std::chrono::microseconds(limit).count();
    std::unique_ptr<T> message(
        static_cast<T*>(g_async_queue_timeout_pop(queue_, limit_us)));
    if (message == nullptr) return std::nullopt;
    return std::move(*message);
  }
  T Take() {
    std::optional<T> message = TakeWithin(kLong);
    REQUIRE(message.has_value());
    return *std::move(message);
  }
  // The first message that satisfies `wanted`; those before it are dropped.
  template <class Wanted>
  T TakeUntil(Wanted wanted) {
    T message = Take();
    while (!wanted(message)) message = Take();
    return message;
  }

 private:
  GAsyncQueue* queue_;
};

}  // namespace azurepass::testing

#endif  // AZUREPASS_TESTING_INBOX_H_
