// Lets a test thread wait for the answer of a task.

#ifndef AZUREPASS_TESTING_AWAIT_H_
#define AZUREPASS_TESTING_AWAIT_H_

#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <utility>

#include "azurepass/http/http.h"
#include "azurepass/task/task.h"

namespace azurepass::testing {

// Long enough that only a lost answer reaches it.
inline constexpr std::chrono::seconds kPatience{60};

// An address that fulfils a promise. Give it to one request alone.
template <class T>
std::pair<task::Address<T>, std::future<T>> Expect() {
  auto promise = std::make_shared<std::promise<T>>();
  return {
      task::Address<T>([promise](T v) { promise->set_value(std::move(v)); }),
      promise->get_future()};
}

// The value, or empty when it does not come.
template <class T>
std::optional<T> Await(std::future<T>& future) {
  if (future.wait_for(kPatience) != std::future_status::ready) return {};
  return future.get();
}

// A task that sends one HTTP request and lets the test wait for its result.
class HttpCaller {
 public:
  explicit HttpCaller(task::Loop& loop)
      : client_(loop, {}),
        traffic_mailbox_(loop,
                         [this](const task::Address<http::Traffic>& to) {
                           to.Send(client_.traffic());
                         }),
        mailbox_(loop, [this](const Call& call) {
          client_.Send(call.request, [reply = call.reply_to](http::Result r) {
            reply.Send(std::move(r));
          });
        }) {}

  std::future<http::Result> Start(http::Request request) {
    auto [reply_to, result] = Expect<http::Result>();
    mailbox_.address().Send(Call{std::move(request), reply_to});
    return std::move(result);
  }
  http::Result Send(http::Request request) {
    std::future<http::Result> result = Start(std::move(request));
    return Await(result).value_or(http::Failure{http::FailureKind::kNoAnswer,
                                                "test ran out of patience"});
  }
  http::Traffic Traffic() {
    auto [reply_to, traffic] = Expect<http::Traffic>();
    traffic_mailbox_.address().Send(reply_to);
    return Await(traffic).value_or(http::Traffic{});
  }

 private:
  struct Call {
    http::Request request;
    task::Address<http::Result> reply_to;
  };
  http::Client client_;
  task::Mailbox<task::Address<http::Traffic>> traffic_mailbox_;
  task::Mailbox<Call> mailbox_;
};

}  // namespace azurepass::testing

#endif  // AZUREPASS_TESTING_AWAIT_H_
