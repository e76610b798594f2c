// The session's transitions.

#include "azurepass/endpoint/internal/session.h"

#include <algorithm>
#include <utility>

namespace azurepass::endpoint::internal {
namespace {

constexpr size_t kMaxOrdersPerExchange = 500;
constexpr int kFailuresToUnreachable = 2;
// A hold is at most this part of the lease, so that a renewal or two may fail.
constexpr int kHoldsPerLease = 3;
constexpr int kMaxDoublings = 16;

}  // namespace

Session::Session(VmId vm, Epoch epoch, const Options& options,
                 std::optional<MonotonicTime> authorized_until, uint64_t seed,
                 MonotonicTime now)
    : vm_(std::move(vm)),
      epoch_(epoch),
      options_(options),
      random_(seed),
      authorized_until_(authorized_until),
      token_received_(now) {}

std::vector<Output> Session::Start(MonotonicTime now) {
  Advance(now);
  return std::exchange(outputs_, {});
}

std::vector<Output> Session::Handle(Event event, MonotonicTime now) {
  if (ended_) return {};
  std::visit(
      Visitor{
          [&](Ordered& ordered) {
            for (Order& order : ordered.orders) {
              orders_.push_back({std::move(order), now});
            }
          },
          [&](Answered& answered) { OnAnswered(std::move(answered), now); },
          [&](const FencedBy& fenced) {
            ended_ = true;
            outputs_.emplace_back(Update(Fenced{vm_, epoch_, fenced.theirs}));
          },
          [&](const Unanswered& unanswered) {
            OnUnanswered(unanswered.channel, now);
          },
          [&](const Woken& woken) { OnWoken(woken.channel, now); },
          [&](const Authorized& authorized) {
            authorized_until_ = authorized.until;
          },
          [&](const Recorded& recorded) { OnRecorded(recorded); }},
      event);
  Advance(now);
  return std::exchange(outputs_, {});
}

void Session::OnAnswered(Answered answered, MonotonicTime now) {
  if (answered.channel == Channel::kHeld) {
    OnHeldAnswer(std::move(answered.answer), now);
  } else {
    OnOrdersAnswer(std::move(answered.answer), now);
  }
}

void Session::OnHeldAnswer(ExchangeAnswer answer, MonotonicTime now) {
  held_busy_ = false;
  held_failures_ = 0;
  TakeToken(answer, now);
  if (answer.restarted) {
    opened_ = false;
    delivered_ = 0;
    acknowledged_ = 0;
    orders_.clear();
    orders_sent_ = 0;
  }
  Report(std::move(answer));
}

// An order channel that meets a restarted worker leaves it to the held channel
// to find out, and keeps the old token for that.
void Session::OnOrdersAnswer(ExchangeAnswer answer, MonotonicTime now) {
  orders_busy_ = false;
  const size_t sent = std::exchange(orders_sent_, 0);
  if (answer.taken) {
    orders_failures_ = 0;
    orders_.erase(orders_.begin(),
                  orders_.begin() + static_cast<std::ptrdiff_t>(sent));
  }
  if (!answer.restarted && held_failures_ == 0) TakeToken(answer, now);
  ReportAnswers(answer);
  if (answer.taken || sent == 0) return;
  // Most likely the token was too old; the answer brought a new one.
  if (++orders_failures_ == 1) return;
  orders_waiting_ = true;
  outputs_.emplace_back(Wake{Channel::kOrders, Backoff(orders_failures_)});
}

void Session::OnUnanswered(Channel channel, MonotonicTime /*now*/) {
  if (channel == Channel::kOrders) {
    orders_busy_ = false;
    orders_sent_ = 0;
    orders_waiting_ = true;
    outputs_.emplace_back(Wake{channel, Backoff(++orders_failures_)});
    return;
  }
  held_busy_ = false;
  held_waiting_ = true;
  outputs_.emplace_back(Wake{channel, Backoff(++held_failures_)});
  if (held_failures_ < kFailuresToUnreachable || unreachable_) return;
  unreachable_ = true;
  outputs_.emplace_back(Update(Unreachable{vm_, epoch_, LeaseUntil()}));
}

void Session::OnRecorded(const Recorded& recorded) {
  if (recorded.number > delivered_) return;  // Of the worker's former life.
  acknowledged_ = std::max(acknowledged_, recorded.number);
  if (awaiting_record_ && acknowledged_ == delivered_) {
    awaiting_record_ = false;
    held_waiting_ = false;
  }
}

void Session::OnWoken(Channel channel, MonotonicTime /*now*/) {
  if (channel == Channel::kHeld && std::exchange(awaiting_record_, false)) {
    record_overdue_ = true;
  }
  (channel == Channel::kHeld ? held_waiting_ : orders_waiting_) = false;
}

void Session::Advance(MonotonicTime now) {
  if (ended_ || !MaySend(now)) return;
  SendOrders(now);
  SendHeld(now);
}

void Session::SendHeld(MonotonicTime /*now*/) {
  if (held_busy_ || held_waiting_) return;
  ExchangeRequest request;
  request.epoch = epoch_;
  request.lease = options_.lease;
  request.token = token_;
  request.acknowledged = acknowledged_;
  const bool unrecorded = delivered_ > acknowledged_;
  if (opened_ && held_failures_ == 0 && unrecorded &&
      !std::exchange(record_overdue_, false)) {
    awaiting_record_ = true;
    held_waiting_ = true;
    outputs_.emplace_back(
        Wake{Channel::kHeld, options_.lease / kHoldsPerLease});
    return;
  }
  if (!opened_ || held_failures_ > 0) {
    if (orders_busy_) return;
    request.list = true;
  } else if (unrecorded) {
    request.list = true;
  } else {
    request.hold = std::min(options_.hold, options_.lease / kHoldsPerLease);
  }
  held_busy_ = true;
  outputs_.emplace_back(Exchange{Channel::kHeld, std::move(request)});
}

void Session::DropLateStarts(MonotonicTime now) {
  std::erase_if(orders_, [&](const PendingOrder& pending) {
    return std::holds_alternative<StartTask>(pending.order) &&
           now - pending.given > options_.start_validity;
  });
}

void Session::SendOrders(MonotonicTime now) {
  if (orders_busy_) return;
  DropLateStarts(now);
  if (orders_waiting_ || orders_.empty()) return;
  if (!opened_ || held_failures_ > 0) return;
  orders_sent_ = std::min(orders_.size(), kMaxOrdersPerExchange);
  ExchangeRequest request;
  request.epoch = epoch_;
  request.lease = options_.lease;
  request.token = token_;
  for (size_t i = 0; i < orders_sent_; ++i) {
    request.orders.push_back(orders_[i].order);
  }
  orders_busy_ = true;
  outputs_.emplace_back(Exchange{Channel::kOrders, std::move(request)});
}

void Session::TakeToken(ExchangeAnswer& answer, MonotonicTime now) {
  token_ = std::move(answer.token);
  token_received_ = now;
}

void Session::ReportAnswers(ExchangeAnswer& answer) {
  Events events{vm_, epoch_, {}, {}};
  for (WorkerEvent& event : answer.events) {
    if (event.number == 0) events.events.push_back(std::move(event));
  }
  if (!events.events.empty()) outputs_.emplace_back(Update(std::move(events)));
}

void Session::Report(ExchangeAnswer answer) {
  Events events{vm_, epoch_, {}, std::move(answer.usage)};
  for (WorkerEvent& event : answer.events) {
    if (event.number <= delivered_) continue;
    delivered_ = event.number;
    events.events.push_back(std::move(event));
  }
  if (!events.events.empty() || !events.usage.empty()) {
    outputs_.emplace_back(Update(std::move(events)));
  }
  const bool was_unreachable = std::exchange(unreachable_, false);
  if (!std::exchange(opened_, true)) {
    outputs_.emplace_back(Update(SessionOpened{
        vm_, epoch_, WithPendingStarts(std::move(answer.running))}));
  } else if (was_unreachable) {
    outputs_.emplace_back(Update(
        Reachable{vm_, epoch_, WithPendingStarts(std::move(answer.running))}));
  }
}

std::vector<AttemptId> Session::WithPendingStarts(
    std::vector<AttemptId> running) {
  for (const PendingOrder& pending : orders_) {
    const auto* start = std::get_if<StartTask>(&pending.order);
    if (start != nullptr) running.push_back(start->attempt);
  }
  std::sort(running.begin(), running.end());
  running.erase(std::unique(running.begin(), running.end()), running.end());
  return running;
}

bool Session::MaySend(MonotonicTime now) const {
  return !authorized_until_ || now < *authorized_until_;
}

MonotonicTime Session::LeaseUntil() const {
  return token_received_ + options_.lease + options_.lease_margin;
}

// Between half and the whole of the doubled delay.
Duration Session::Backoff(int failures) {
  const int doublings = std::min(failures - 1, kMaxDoublings);
  const Duration whole = std::min(options_.retry_delay * (1 << doublings),
                                  options_.retry_delay_max);
  const auto half = whole.count() / 2;
  return Duration(
      half + std::uniform_int_distribution<Duration::rep>(0, half)(random_));
}

}  // namespace azurepass::endpoint::internal
