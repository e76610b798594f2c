// Keeps the requests of this VM until the service can take them.
//
// The service decides the calls of one VM one after another, and goes on with a
// call whose caller has given up. Calls that are made at once, for this VM's
// owners and for others, would therefore spend its time on answers that nobody
// waits for, at the expense of those behind them.
//
// For the same reason a short request, which is one of urgent work, must not be
// with the service behind a long one: the service doesn't change the order.

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "azurepass/permit/internal/cost_order.h"
#include "azurepass/permit/permit.h"

namespace azurepass::permit {
namespace {

// One that is decided, and the next one, so that the service never waits.
constexpr int kMaxCalls = 2;

}  // namespace

class Queue::Impl {
 public:
  Impl(task::Loop& loop, QueueOptions options,
       task::Address<ServiceRequest> service)
      : options_(options),
        service_(std::move(service)),
        deadline_timer_(loop),
        mailbox_(loop, [this](Inbox m) { Handle(std::move(m)); }) {}

  task::Address<ServiceRequest> address() const { return mailbox_.address(); }

 private:
  struct Completed {
    Duration cost{0};
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
                         Enqueue(std::move(request));
                       },
                       [this](Completed& completed) {
                         --calls_;
                         if (!IsShort(completed.cost)) --long_calls_;
                         completed.reply_to.Send(std::move(completed.result));
                       }},
               message);
    Advance();
  }

  bool IsShort(Duration cost) const {
    return options_.short_cost <= Duration(0) || cost <= options_.short_cost;
  }

  void Enqueue(ServiceRequest request) {
    const MonotonicTime now = BootClock::now();
    const int64_t serial = ++last_serial_;
    const bool ordered = options_.short_cost > Duration(0);
    order_.Add(serial, ordered ? request.cost : Duration(0), 0,
               options_.max_yield, now);
    const MonotonicTime deadline = now + request.timeout;
    deadlines_.emplace(deadline, serial);
    waiting_.emplace(serial, Waiting{std::move(request), deadline});
  }

  void Advance() {
    RefuseExpired();
    while (calls_ < kMaxCalls && long_calls_ == 0 && !waiting_.empty()) {
      Call(Take(order_.Next(BootClock::now()).serial));
    }
    SetTimer();
  }

  Waiting Take(int64_t serial) {
    const auto found = waiting_.find(serial);
    Waiting taken = std::move(found->second);
    order_.Remove(serial);
    deadlines_.erase({taken.deadline, serial});
    waiting_.erase(found);
    return taken;
  }

  void RefuseExpired() {
    const MonotonicTime now = BootClock::now();
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
      const Waiting expired = Take(deadlines_.begin()->second);
      expired.request.reply_to.Send(
          Failed{"not sent before its deadline", true});
    }
  }

  void Call(Waiting next) {
    ServiceRequest& request = next.request;
    ++calls_;
    if (!IsShort(request.cost)) ++long_calls_;
    request.timeout =
        std::chrono::ceil<Duration>(next.deadline - BootClock::now());
    request.reply_to = mailbox_.address().Map<Result>(
        [cost = request.cost, to = request.reply_to](Result result) {
          return Inbox(Completed{cost, to, std::move(result)});
        });
    service_.Send(std::move(request));
  }

  void SetTimer() {
    if (deadlines_.empty()) return deadline_timer_.Cancel();
    deadline_timer_.After(std::max(Duration(0), std::chrono::ceil<Duration>(
                                                    deadlines_.begin()->first -
                                                    BootClock::now())),
                          [this] { Advance(); });
  }

  const QueueOptions options_;
  const task::Address<ServiceRequest> service_;
  // Invariant: the three containers hold the same requests.
  std::map<int64_t, Waiting> waiting_;
  internal::CostOrder order_;
  std::set<std::pair<MonotonicTime, int64_t>> deadlines_;
  int64_t last_serial_ = 0;
  int calls_ = 0;       // That the service has not answered.
  int long_calls_ = 0;  // Those of them that are not short.
  task::Timer deadline_timer_;
  task::Mailbox<Inbox> mailbox_;
};

Queue::Queue(task::Loop& loop, QueueOptions options,
             task::Address<ServiceRequest> service)
    : impl_(std::make_shared<Impl>(loop, options, std::move(service))) {}
Queue::~Queue() = default;

task::Address<ServiceRequest> Queue::address() const {
  return impl_->address();
}

}  // namespace azurepass::permit
