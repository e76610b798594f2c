// Spreads requests over the VMs by the decision time outstanding at each.
//
// Cheap requests, which are those of small and urgent work, go before expensive
// ones and fill up the backlogs. Without a limit, expensive requests would wait
// until a VM has no backlog, that is until there are few requests. An expensive
// request therefore yields to cheaper ones for a time in proportion to its
// cost, and bounded. Then it is sent next, to the first VM whose backlog, not
// counting this request, is within the bound.

#include <glog/logging.h>

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "azurepass/permit/permit.h"

namespace azurepass::permit {
namespace {

// The key of this VM among the targets; the key of a peer is its address.
constexpr char kLocal[] = "";

// A request yields to cheaper ones for this multiple of its cost, up to
// Options::max_yield.
constexpr int kYieldFactor = 2;

}  // namespace

class Broker::Impl {
 public:
  Impl(task::Loop& loop, Options options, task::Address<ServiceRequest> service,
       task::Address<entry::Call> peers)
      : options_(options),
        service_(std::move(service)),
        peers_(std::move(peers)),
        failed_timer_(loop),
        mailbox_(loop, [this](Inbox m) { Handle(std::move(m)); }) {
    targets_[kLocal];
  }

  task::Address<Message> address() const { return mailbox_.address(); }

 private:
  // A VM whose calls reach the service. Invariant: `backlog` is the sum of the
  // costs of the requests that were sent there and are neither answered nor
  // released from failed_.
  struct Target {
    Duration backlog{0};
    // Breaks ties between equal backlogs; the lowest comes first. Several
    // brokers share the VMs and do not see each other's requests, so each
    // broker uses a different order.
    uint64_t order = 0;
    // No longer a member; erased once all its requests are answered.
    bool removed = false;
  };
  // Never 0, which is the order of this VM.
  uint64_t TieBreakOrderOf(const std::string& name) const {
    return std::hash<std::string>()(name + '/' +
                                    std::to_string(options_.seed)) |
           1;
  }
  struct Completed {
    std::string target;
    Duration cost{0};
    JobId job;
    task::Address<Result> reply_to;
    Result result;
  };
  // By cost. Requests of equal cost are in an order that differs between
  // brokers: an owner that is replaced before all of its requests are decided
  // would otherwise leave out the same steps as its predecessor.
  using Place = std::tuple<Duration, uint64_t, int64_t>;
  Place PlaceOf(const Request& request, int64_t serial) const {
    return {request.cost, TieBreakOrderOf(request.job.value()), serial};
  }
  struct WaitingRequest {
    Request request;
    MonotonicTime yield_deadline;  // Yields to cheaper requests until then.
  };
  // Its cost counts in the target's backlog for as long again.
  struct FailedRequest {
    std::string target;
    Duration cost{0};
  };
  using Inbox = std::variant<Message, Completed>;

  void Handle(Inbox message) {
    std::visit(Visitor{[this](Message& m) { OnMessage(std::move(m)); },
                       [this](Completed& c) { OnCompleted(c); }},
               message);
    SendWaiting();
  }

  void OnMessage(Message message) {
    std::visit(
        Visitor{[this](Request& request) { Enqueue(std::move(request)); },
                [this](const PeersChanged& changed) {
                  for (auto& [address, target] : targets_) {
                    target.removed = address != kLocal;
                  }
                  for (const std::string& address : changed.addresses) {
                    Target& target = targets_[address];
                    target.removed = false;
                    target.order = TieBreakOrderOf(address);
                  }
                  RemoveIdleTargets();
                }},
        message);
  }

  void OnCompleted(Completed& completed) {
    if (const auto* failed = std::get_if<Failed>(&completed.result)) {
      LOG(WARNING) << "event=permits_failed job=" << completed.job.value()
                   << " by=" << completed.target << " reason=\""
                   << failed->message << "\"";
    }
    if (std::holds_alternative<Failed>(completed.result)) {
      failed_.emplace(BootClock::now() + completed.cost,
                      FailedRequest{completed.target, completed.cost});
      ReleaseFailed();
    } else {
      Release(completed.target, completed.cost);
    }
    completed.reply_to.Send(std::move(completed.result));
  }

  void Release(const std::string& target, Duration cost) {
    targets_[target].backlog -= cost;
    RemoveIdleTargets();
  }

  // The service may still decide a request that has failed, and requests of
  // other brokers may have been before it.
  void ReleaseFailed() {
    const MonotonicTime now = BootClock::now();
    while (!failed_.empty() && failed_.begin()->first <= now) {
      const FailedRequest failed = failed_.begin()->second;
      failed_.erase(failed_.begin());
      Release(failed.target, failed.cost);
    }
    if (failed_.empty()) return;
    failed_timer_.After(
        std::chrono::ceil<Duration>(failed_.begin()->first - now), [this] {
          ReleaseFailed();
          SendWaiting();
        });
  }

  void RemoveIdleTargets() {
    std::erase_if(targets_, [](const auto& item) {
      return item.second.removed && item.second.backlog <= Duration(0);
    });
  }

  void Enqueue(Request request) {
    const int64_t serial = ++last_serial_;
    const MonotonicTime yield_deadline =
        BootClock::now() +
        std::min(kYieldFactor * request.cost, options_.max_yield);
    by_cost_.insert(PlaceOf(request, serial));
    by_yield_deadline_.emplace(yield_deadline, serial);
    waiting_.emplace(serial,
                     WaitingRequest{std::move(request), yield_deadline});
  }

  // Sends waiting requests while a VM has room for them. While requests wait,
  // others are outstanding or in failed_, and the end of each leads here.
  void SendWaiting() {
    while (!waiting_.empty()) {
      const auto least_loaded = std::min_element(
          targets_.begin(), targets_.end(), [](const auto& a, const auto& b) {
            return std::tuple(a.second.removed, a.second.backlog,
                              a.second.order) < std::tuple(b.second.removed,
                                                           b.second.backlog,
                                                           b.second.order);
          });
      Target& target = least_loaded->second;
      const auto [yield_deadline, oldest] = *by_yield_deadline_.begin();
      const bool overdue = yield_deadline <= BootClock::now();
      const auto& [cost, order, cheapest] = *by_cost_.begin();
      const bool full = overdue
                            ? target.backlog > options_.max_backlog
                            : target.backlog > Duration(0) &&
                                  target.backlog + cost > options_.max_backlog;
      if (full) return;
      Request request = Dequeue(overdue ? oldest : cheapest);
      target.backlog += request.cost;
      // Another broker may have sent the VM a request like this one.
      const Duration timeout = target.backlog + request.cost + options_.slack;
      SendTo(least_loaded->first, timeout, std::move(request));
    }
  }

  Request Dequeue(int64_t serial) {
    const auto found = waiting_.find(serial);
    Request request = std::move(found->second.request);
    by_cost_.erase(PlaceOf(request, serial));
    by_yield_deadline_.erase({found->second.yield_deadline, serial});
    waiting_.erase(found);
    return request;
  }

  void SendTo(const std::string& target, Duration timeout, Request request) {
    const auto completed = [target, cost = request.cost, job = request.job,
                            to = request.reply_to](Result result) {
      return Inbox(Completed{target, cost, job, to, std::move(result)});
    };
    if (target == kLocal) {
      service_.Send({request.job, std::move(request.workers), timeout,
                     mailbox_.address().Map<Result>(completed)});
      return;
    }
    peers_.Send({target,
                 entry::RelayPermits{request.job, std::move(request.workers)},
                 timeout,
                 mailbox_.address().Map<entry::CallResult>(
                     [completed](entry::CallResult result) {
                       return completed(ResultOf(result));
                     })});
  }

  static Result ResultOf(entry::CallResult& result) {
    if (const auto* failure = std::get_if<entry::Failure>(&result)) {
      return Failed{failure->message};
    }
    auto& response = std::get<entry::Response>(result);
    if (auto* relayed = std::get_if<entry::PermitsRelayed>(&response)) {
      return Issued{std::move(relayed->permits), relayed->validity};
    }
    const auto* refusal = std::get_if<Refusal>(&response);
    return Failed{refusal != nullptr ? refusal->message : "another answer"};
  }

  const Options options_;
  const task::Address<ServiceRequest> service_;
  const task::Address<entry::Call> peers_;
  std::map<std::string, Target> targets_;
  // Invariant: each waiting request is in both by_cost_ and by_yield_deadline_.
  std::map<int64_t, WaitingRequest> waiting_;
  std::set<Place> by_cost_;
  std::set<std::pair<MonotonicTime, int64_t>> by_yield_deadline_;
  int64_t last_serial_ = 0;
  std::multimap<MonotonicTime, FailedRequest> failed_;  // By their release.
  task::Timer failed_timer_;
  task::Mailbox<Inbox> mailbox_;
};

Broker::Broker(task::Loop& loop, Options options,
               task::Address<ServiceRequest> service,
               task::Address<entry::Call> peers)
    : impl_(std::make_shared<Impl>(loop, options, std::move(service),
                                   std::move(peers))) {}
Broker::~Broker() = default;

task::Address<Message> Broker::address() const { return impl_->address(); }

}  // namespace azurepass::permit
