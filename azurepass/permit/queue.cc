// Keeps the requests of this VM in order of arrival until the service can take
// them.
//
// The service decides the calls of one VM one after another, and goes on with a
// call whose caller has given up. Calls that are made at once, for this VM's
// owners and for others, would therefore spend its time on answers that nobody
// waits for, at the expense of those behind them.

#include <algorithm>
#include <list>
#include <utility>

#include "azurepass/permit/permit.h"

namespace azurepass::permit {
namespace {

// One that is decided, and the next one, so that the service never waits.
constexpr int kMaxCalls = 2;

}  // namespace

class Queue::Impl {
 public:
  Impl(task::Loop& loop, task::Address<ServiceRequest> service)
      : service_(std::move(service)),
        deadline_timer_(loop),
        mailbox_(loop, [this](Inbox m) { Handle(std::move(m)); }) {}

  task::Address<ServiceRequest> address() const { return mailbox_.address(); }

 private:
  struct Completed {
    task::Address<Result> reply_to;
    Result result;
  };
  struct Waiting {
    ServiceRequest request;
    MonotonicTime deadline;
  };
  using Inbox = std::variant<ServiceRequest, Completed>;

  void Handle(Inbox message) {
    std::visit(Visitor{[this](ServiceRequest& request) {
                         const MonotonicTime deadline =
                             BootClock::now() + request.timeout;
                         waiting_.push_back({std::move(request), deadline});
                       },
                       [this](Completed& completed) {
                         --calls_;
                         completed.reply_to.Send(std::move(completed.result));
                       }},
               message);
    Advance();
  }

  void Advance() {
    RefuseExpired();
    while (calls_ < kMaxCalls && !waiting_.empty()) {
      Waiting next = std::move(waiting_.front());
      waiting_.pop_front();
      Call(std::move(next));
    }
    SetTimer();
  }

  void RefuseExpired() {
    const MonotonicTime now = BootClock::now();
    waiting_.remove_if([now](const Waiting& waiting) {
      if (now < waiting.deadline) return false;
      waiting.request.reply_to.Send(Failed{"not sent before its deadline"});
      return true;
    });
  }

  void Call(Waiting next) {
    ++calls_;
    ServiceRequest& request = next.request;
    request.timeout =
        std::chrono::ceil<Duration>(next.deadline - BootClock::now());
    request.reply_to =
        mailbox_.address().Map<Result>([to = request.reply_to](Result result) {
          return Inbox(Completed{to, std::move(result)});
        });
    service_.Send(std::move(request));
  }

  void SetTimer() {
    const auto first = std::min_element(
        waiting_.begin(), waiting_.end(),
        [](const auto& a, const auto& b) { return a.deadline < b.deadline; });
    if (first == waiting_.end()) return deadline_timer_.Cancel();
    deadline_timer_.After(
        std::max(Duration(0), std::chrono::ceil<Duration>(first->deadline -
                                                          BootClock::now())),
        [this] { Advance(); });
  }

  const task::Address<ServiceRequest> service_;
  std::list<Waiting> waiting_;  // In order of arrival.
  int calls_ = 0;               // That the service has not answered.
  task::Timer deadline_timer_;
  task::Mailbox<Inbox> mailbox_;
};

Queue::Queue(task::Loop& loop, task::Address<ServiceRequest> service)
    : impl_(std::make_shared<Impl>(loop, std::move(service))) {}
Queue::~Queue() = default;

task::Address<ServiceRequest> Queue::address() const {
  return impl_->address();
}

}  // namespace azurepass::permit
