// Spreads requests over the VMs by the decision time outstanding at each.
//
// Cheap requests, which are those of small and urgent work, go before expensive
// ones and fill up the backlogs. Without a limit, expensive requests would wait
// until a VM has no backlog, that is until there are few requests. An expensive
// request therefore yields to cheaper ones for a time in proportion to its
// cost, and bounded. Then it is sent next, to the first VM whose backlog, not
// counting this request, is within the bound.
//
// Requests for tasks that were interrupted go before all others, in the order
// of their arrival. They may cost a second each, so no more of them are
// outstanding at a time than half of the VMs, and other work goes on at the
// rest.
//
// Several brokers share the VMs, and none sees the backlogs that the others
// cause. Failures show them: internal/backlog_limit.h. A short request that
// meets another broker's long one waits for all of it. Therefore some VMs, the
// same ones for all brokers, are reserved for short requests (size-based
// assignment); short requests use the other VMs only when the reserved ones are
// full.

#include <glog/logging.h>

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "azurepass/permit/internal/backlog_limit.h"
#include "azurepass/permit/internal/cost_order.h"
#include "azurepass/permit/internal/outlier_ejection.h"
#include "azurepass/permit/permit.h"

namespace azurepass::permit {
namespace {

// The key of this VM among the targets; the key of a peer is its address.
constexpr char kLocal[] = "";

// Ejections end at the latest after this time, so that a VM that is back is
// found within seconds.
constexpr Duration kMaxEjection{4'000};

constexpr int64_t kPercent = 100;

}  // namespace

class Broker::Impl {
 public:
  Impl(task::Loop& loop, Options options, task::Address<ServiceRequest> service,
       task::Address<entry::Call> peers)
      : options_(options),
        service_(std::move(service)),
        peers_(std::move(peers)),
        ejection_(options.ejection, kMaxEjection),
        failed_timer_(loop),
        ejection_timer_(loop),
        mailbox_(loop, [this](Inbox m) { Handle(std::move(m)); }) {
    targets_.try_emplace(kLocal, options_.max_backlog);
  }

  task::Address<Message> address() const { return mailbox_.address(); }

 private:
  // A VM whose calls reach the service. Invariant: `backlog` is the sum of the
  // costs of the requests that were sent there and are neither answered nor
  // released from failed_.
  struct Target {
    explicit Target(Duration max_backlog) : limit(max_backlog) {}

    Duration backlog{0};
    internal::BacklogLimit limit;  // Of `backlog`.
    // Breaks ties between equal backlogs; the lowest comes first. Several
    // brokers share the VMs and do not see each other's requests, so each
    // broker uses a different order.
    uint64_t order = 0;
    // Takes short requests only.
    bool reserved = false;
    // No longer a member; erased once all its requests are answered.
    bool removed = false;
  };
  using Targets = std::map<std::string, Target>;
  // Never 0, which is the order of this VM.
  uint64_t TieBreakOrderOf(const std::string& name) const {
    return std::hash<std::string>()(name + '/' +
                                    std::to_string(options_.seed)) |
           1;
  }
  struct Completed {
    std::string target;
    Duration cost{0};
    bool restart = false;
    MonotonicTime sent_at;
    JobId job;
    task::Address<Result> reply_to;
    Result result;
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
                [this](const Withdraw& withdraw) { OnWithdraw(withdraw); },
                [this](const metrics::Scrape& scrape) { Report(scrape); },
                [this](const PeersChanged& changed) {
                  for (auto& [address, target] : targets_) {
                    target.removed = address != kLocal;
                  }
                  for (const std::string& address : changed.addresses) {
                    Target& target =
                        targets_.try_emplace(address, options_.max_backlog)
                            .first->second;
                    target.removed = false;
                    target.order = TieBreakOrderOf(address);
                  }
                  ReserveTargets();
                  RemoveIdleTargets();
                }},
        message);
  }

  void OnCompleted(Completed& completed) {
    --outstanding_;
    if (completed.restart) --outstanding_restarts_;
    const bool has_failed = std::holds_alternative<Failed>(completed.result);
    ++(has_failed ? counts_.failed : counts_.issued);
    const auto target = targets_.find(completed.target);
    if (target != targets_.end() && has_failed) {
      target->second.limit.OnFailure(completed.sent_at, BootClock::now());
    } else if (target != targets_.end()) {
      target->second.limit.OnSuccess();
    }
    if (const auto* failed = std::get_if<Failed>(&completed.result)) {
      LOG(WARNING) << "event=permits_failed job=" << completed.job.value()
                   << " by=" << completed.target << " reason=\""
                   << failed->message << "\"";
      if (!failed->answered) Eject(completed);
    } else {
      ejection_.OnSuccess(completed.target);
    }
    if (has_failed) {
      failed_.emplace(BootClock::now() + completed.cost,
                      FailedRequest{completed.target, completed.cost});
      ReleaseFailed();
    } else {
      Release(completed.target, completed.cost);
    }
    completed.reply_to.Send(std::move(completed.result));
  }

  void Eject(const Completed& failed) {
    const MonotonicTime now = BootClock::now();
    const MonotonicTime before = ejection_.EjectedUntil(failed.target);
    ejection_.OnFailure(failed.target, failed.sent_at, now);
    const MonotonicTime until = ejection_.EjectedUntil(failed.target);
    if (until == before) return;
    LOG(WARNING) << "event=permit_vm_ejected vm=" << failed.target << " for_ms="
                 << std::chrono::ceil<Duration>(until - now).count();
  }

  // Reserves the VMs whose addresses have the lowest hashes. The hash does not
  // depend on the broker, so all brokers reserve the same VMs. The own address
  // of this VM is not known here, and it is never reserved.
  void ReserveTargets() {
    if (options_.short_cost <= Duration(0)) return;
    std::vector<std::pair<size_t, Target*>> members;
    for (auto& [address, target] : targets_) {
      target.reserved = false;
      if (address == kLocal || target.removed) continue;
      members.emplace_back(std::hash<std::string>()(address), &target);
    }
    std::sort(members.begin(), members.end());
    const int64_t reserved =
        std::ssize(members) * options_.reserved_percent / kPercent;
    for (int64_t i = 0; i < reserved; ++i) members[i].second->reserved = true;
  }

  void Release(const std::string& target, Duration cost) {
    // A VM that left may be erased by now if its requests cost nothing.
    const auto found = targets_.find(target);
    if (found != targets_.end()) found->second.backlog -= cost;
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
    std::erase_if(targets_, [this](const auto& item) {
      const bool idle =
          item.second.removed && item.second.backlog <= Duration(0);
      if (idle) ejection_.Remove(item.first);
      return idle;
    });
  }

  bool IsShort(Duration cost) const { return cost <= options_.short_cost; }

  void Enqueue(Request request) {
    const int64_t serial = ++last_serial_;
    ++counts_.taken;
    if (request.restart) {
      restarts_.Add(serial, Duration(0), 0, Duration(0), BootClock::now());
      waiting_.emplace(serial, std::move(request));
      return;
    }
    // An owner that is replaced before all of its requests are decided would
    // leave out the same steps as its predecessor if requests of equal cost
    // were in the same order for all brokers.
    (IsShort(request.cost) ? short_ : long_)
        .Add(serial, request.cost, TieBreakOrderOf(request.job.value()),
             options_.max_yield, BootClock::now());
    waiting_.emplace(serial, std::move(request));
  }

  void OnWithdraw(const Withdraw& withdraw) {
    for (auto it = waiting_.begin(); it != waiting_.end();) {
      if (it->second.job != withdraw.job) {
        ++it;
        continue;
      }
      for (internal::CostOrder* order : {&restarts_, &short_, &long_}) {
        order->Remove(it->first);
      }
      it->second.reply_to.Send(Failed{"withdrawn"});
      it = waiting_.erase(it);
      ++counts_.withdrawn;
    }
  }

  void Report(const metrics::Scrape& scrape) const {
    metrics::Text text;
    text.Counter("azurepass_permit_requests_total",
                 "Requests taken from owners.", counts_.taken);
    text.Counter("azurepass_permit_issued_total", "Requests decided.",
                 counts_.issued);
    text.Counter("azurepass_permit_failed_total", "Requests without an answer.",
                 counts_.failed);
    text.Counter("azurepass_permit_withdrawn_total",
                 "Requests withdrawn before they were sent.",
                 counts_.withdrawn);
    text.Gauge("azurepass_permit_outstanding", "Requests sent, not answered.",
               static_cast<double>(outstanding_));
    text.Gauge("azurepass_permit_outstanding_restarts",
               "Those of them that interrupted tasks wait for.",
               static_cast<double>(outstanding_restarts_));
    text.Gauge("azurepass_permit_waiting", "Requests not sent yet.",
               static_cast<double>(waiting_.size()));
    Duration limits{0};
    for (const auto& [name, target] : targets_)
      limits += target.limit.current();
    text.Gauge("azurepass_permit_backlog_limit_seconds",
               "Decision time that may be outstanding, over all VMs.",
               std::chrono::duration<double>(limits).count());
    scrape.reply_to.Send({text.Take(), std::nullopt});
  }

  // Sends waiting requests while a VM has room for them. While requests wait,
  // others are outstanding or in failed_, and the end of each leads here.
  void SendWaiting() {
    const auto most_restarts = (std::ssize(targets_) + 1) / 2;
    while (outstanding_restarts_ < most_restarts && SendNext(restarts_)) {
    }
    while (SendNext(short_)) {
    }
    while (SendNext(long_)) {
    }
    RetryAfterEjection();
  }

  // Sends the next request in this order. Returns false if there is none, or if
  // no VM has room for it.
  bool SendNext(internal::CostOrder& waiting) {
    if (waiting.empty()) return false;
    const MonotonicTime now = BootClock::now();
    const internal::CostOrder::Head head = waiting.Next(now);
    const auto found = waiting_.find(head.serial);
    const Duration cost = found->second.cost;
    const Targets::iterator chosen = TargetFor(cost, now);
    if (chosen == targets_.end()) return false;
    Target& target = chosen->second;
    const Duration limit = target.limit.current();
    const bool full = head.overdue ? target.backlog > limit
                                   : target.backlog > Duration(0) &&
                                         target.backlog + cost > limit;
    if (full) return false;
    Request request = std::move(found->second);
    waiting.Remove(head.serial);
    waiting_.erase(found);
    target.backlog += cost;
    ++outstanding_;
    if (request.restart) ++outstanding_restarts_;
    ejection_.OnSent(chosen->first, now);
    // Another broker may have sent the VM a request like this one.
    const Duration timeout = target.backlog + cost + options_.slack;
    SendTo(chosen->first, timeout, std::move(request));
    return true;
  }

  // Returns the VM that a request of this cost is sent to.
  Targets::iterator TargetFor(Duration cost, MonotonicTime now) {
    if (IsShort(cost)) {
      const auto reserved = LeastLoaded(
          now, [](const Target& target) { return target.reserved; });
      if (reserved != targets_.end() &&
          reserved->second.backlog + cost <= options_.max_backlog) {
        return reserved;
      }
      return LeastLoaded(now, [](const Target&) { return true; });
    }
    const auto found =
        LeastLoaded(now, [](const Target& target) { return !target.reserved; });
    // Only reserved VMs are left.
    if (found == targets_.end()) {
      return LeastLoaded(now, [](const Target&) { return true; });
    }
    return found;
  }

  template <class Admits>
  Targets::iterator LeastLoaded(MonotonicTime now, Admits admits) {
    const auto rank = [](const Target& target) {
      return std::tuple(target.removed, target.backlog, target.order);
    };
    auto least = targets_.end();
    for (auto it = targets_.begin(); it != targets_.end(); ++it) {
      if (!admits(it->second) || !ejection_.IsUsable(it->first, now)) continue;
      if (least == targets_.end() || rank(it->second) < rank(least->second)) {
        least = it;
      }
    }
    return least;
  }

  // With all VMs ejected, no answer leads to the next attempt.
  void RetryAfterEjection() {
    if (waiting_.empty()) return ejection_timer_.Cancel();
    std::optional<MonotonicTime> first;
    const MonotonicTime now = BootClock::now();
    for (const auto& [name, target] : targets_) {
      const MonotonicTime until = ejection_.EjectedUntil(name);
      if (until > now && (!first || until < *first)) first = until;
    }
    if (!first) return ejection_timer_.Cancel();
    ejection_timer_.After(std::chrono::ceil<Duration>(*first - now),
                          [this] { SendWaiting(); });
  }

  void SendTo(const std::string& target, Duration timeout, Request request) {
    const auto completed = [target, cost = request.cost,
                            restart = request.restart,
                            sent_at = BootClock::now(), job = request.job,
                            to = request.reply_to](Result result) {
      return Inbox(Completed{target, cost, restart, sent_at, job, to,
                             std::move(result)});
    };
    const Duration told_cost =
        options_.short_cost > Duration(0) ? request.cost : Duration(0);
    if (target == kLocal) {
      service_.Send({request.job, std::move(request.workers), timeout,
                     mailbox_.address().Map<Result>(completed), told_cost});
      return;
    }
    peers_.Send({target,
                 entry::RelayPermits{request.job, std::move(request.workers),
                                     told_cost},
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
    return Failed{refusal != nullptr ? refusal->message : "another answer",
                  true};
  }

  const Options options_;
  const task::Address<ServiceRequest> service_;
  const task::Address<entry::Call> peers_;
  Targets targets_;
  internal::OutlierEjection ejection_;
  // Invariant: each waiting request is in one of restarts_, short_ and long_.
  std::map<int64_t, Request> waiting_;
  internal::CostOrder restarts_;  // In the order of arrival.
  internal::CostOrder short_;
  internal::CostOrder long_;
  int64_t last_serial_ = 0;
  std::multimap<MonotonicTime, FailedRequest> failed_;  // By their release.
  // Sent and not completed; restarts among them.
  int64_t outstanding_ = 0;
  int64_t outstanding_restarts_ = 0;
  struct Counts {
    int64_t taken = 0;
    int64_t issued = 0;
    int64_t failed = 0;
    int64_t withdrawn = 0;  // Before they were sent.
  };
  Counts counts_;
  task::Timer failed_timer_;
  task::Timer ejection_timer_;
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
