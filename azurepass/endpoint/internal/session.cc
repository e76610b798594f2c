// The session's transitions.

#include "azurepass/endpoint/internal/session.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace azurepass::endpoint::internal {
namespace {

constexpr size_t kMaxOrdersPerExchange = 500;
constexpr int kFailuresToUnreachable = 2;
// A hold is at most this part of the lease, so that a renewal or two may fail.
constexpr int kHoldsPerLease = 3;
constexpr int kMaxDoublings = 16;
// Asks for no more than the worker's token already gives; the least that an
// exchange may ask for.
constexpr Duration kNoLease{1};
// A worker's clock may run slow by one part of this many.
constexpr int kClockDrift = 50;

const AttemptId& AttemptOf(const Order& order) {
  return std::visit([](const auto& o) -> const AttemptId& { return o.attempt; },
                    order);
}

bool IsStart(const Order& order) {
  return std::holds_alternative<StartTask>(order);
}

OrderOutcome OutcomeOf(const ExchangeAnswer& answer, size_t index) {
  if (index < answer.outcomes.size()) return answer.outcomes[index];
  return answer.taken ? OrderOutcome::kSettled : OrderOutcome::kNotTaken;
}

// What the worker says to an order itself, in place of an event it keeps.
bool IsRefusal(const WorkerEvent& event) {
  return event.number == 0 && event.kind != WorkerEventKind::kStarted;
}

bool Lists(const ExchangeAnswer& answer, const AttemptId& attempt) {
  return std::find(answer.running.begin(), answer.running.end(), attempt) !=
         answer.running.end();
}

bool Tells(const ExchangeAnswer& answer, const AttemptId& attempt) {
  return std::any_of(
      answer.events.begin(), answer.events.end(),
      [&](const WorkerEvent& event) { return event.attempt == attempt; });
}

bool TellsEnd(const ExchangeAnswer& answer, const AttemptId& attempt) {
  return std::any_of(answer.events.begin(), answer.events.end(),
                     [&](const WorkerEvent& event) {
                       return event.attempt == attempt &&
                              event.kind != WorkerEventKind::kStarted;
                     });
}

}  // namespace

Session::Session(VmId vm, Epoch epoch, const Options& options,
                 std::optional<MonotonicTime> authorized_until, uint64_t seed,
                 const Former& former, MonotonicTime now, bool renews)
    : vm_(std::move(vm)),
      epoch_(epoch),
      options_(options),
      random_(seed),
      authorized_until_(authorized_until),
      renews_(renews),
      token_received_(now),
      life_(former.life + 1) {
  for (const DoubtfulStart& start : former.doubtful) {
    if (start.ran) {
      running_[start.attempt] = true;
    } else {
      Revoke(start.attempt, now, now);
    }
  }
}

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
          [&](const Unanswered& unanswered) { OnUnanswered(unanswered, now); },
          [&](const Woken& woken) { OnWoken(woken.channel, now); },
          [&](const Authorized& authorized) {
            authorized_until_ = authorized.until;
          },
          [&](const RenewalSet& set) { renews_ = set.renews; },
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
    OnRestart(now);
    // A start may have been carried out there after the list was made.
    if (!held_alone_) return;
  }
  DropSeenStarts(answer, now);
  ExchangeAnswer lists;
  lists.events = answer.events;
  lists.running = answer.running;
  lists.more_events = answer.more_events;
  Report(std::move(answer), now);
  SettleRevoked(lists, now);
  RevokeUnknown(lists, now);
}

// What was sent may have met the new life already, which then carries it out
// like any other order.
void Session::OnRestart(MonotonicTime now) {
  opened_ = false;
  more_events_ = false;
  ++life_;
  delivered_ = 0;
  acknowledged_ = 0;
  const std::deque<PendingOrder> former = std::exchange(orders_, {});
  const size_t sent = std::exchange(orders_sent_, 0);
  for (auto& [attempt, revoked] : revoked_) {
    revoked.stage = RevokeStage::kStopping;
    orders_.push_back({StopTask{attempt, StopKind::kStop}, now});
  }
  for (size_t i = 0; i < former.size(); ++i) {
    const PendingOrder& pending = former[i];
    if (!IsStart(pending.order)) continue;
    const bool open = pending.doubtful || i < sent;
    if (pending.seen) {
      const auto runs = running_.find(AttemptOf(pending.order));
      if (runs != running_.end()) runs->second = runs->second || open;
    } else if (open) {
      Revoke(AttemptOf(pending.order), pending.given, now);
    } else {
      ReportNotStarted(AttemptOf(pending.order), pending.given,
                       "the worker restarted before it was sent", now);
    }
  }
}

// An order channel that meets a restarted worker leaves it to the held channel
// to find out, and keeps the old token for that.
void Session::OnOrdersAnswer(ExchangeAnswer answer, MonotonicTime now) {
  orders_busy_ = false;
  if (!answer.restarted && held_failures_ == 0) TakeToken(answer, now);
  const size_t sent = std::exchange(orders_sent_, 0);
  const auto end = orders_.begin() + static_cast<std::ptrdiff_t>(sent);
  std::vector<PendingOrder> done(std::make_move_iterator(orders_.begin()),
                                 std::make_move_iterator(end));
  orders_.erase(orders_.begin(), end);
  std::vector<PendingOrder> kept;
  bool unknown = false;
  for (size_t i = 0; i < sent; ++i) {
    const OrderOutcome outcome = OutcomeOf(answer, i);
    unknown = unknown || outcome == OrderOutcome::kUnknown;
    if (outcome == OrderOutcome::kNotTaken ||
        outcome == OrderOutcome::kUnknown) {
      if (outcome == OrderOutcome::kUnknown) NoteUnanswered(done[i], now);
      kept.push_back(std::move(done[i]));
    } else {
      OnSettled(done[i], outcome, answer, now);
    }
  }
  ReportAnswers(answer);
  orders_.insert(orders_.begin(), std::make_move_iterator(kept.begin()),
                 std::make_move_iterator(kept.end()));
  if (kept.empty()) {
    if (sent > 0) orders_failures_ = 0;
    return;
  }
  // Most likely the token was too old; the answer brought a new one.
  if (++orders_failures_ == 1 && !unknown) return;
  orders_waiting_ = true;
  outputs_.emplace_back(Wake{Channel::kOrders, Backoff(orders_failures_)});
}

// Another sending of the start was carried out, or may be.
bool Session::WithholdRefusal(const PendingOrder& pending,
                              ExchangeAnswer& answer) {
  if (!pending.doubtful && !pending.seen) return false;
  return std::erase_if(answer.events, [&](const WorkerEvent& event) {
           return IsRefusal(event) && event.attempt == AttemptOf(pending.order);
         }) > 0;
}

void Session::OnSettled(const PendingOrder& pending, OrderOutcome outcome,
                        ExchangeAnswer& answer, MonotonicTime now) {
  const AttemptId& attempt = AttemptOf(pending.order);
  if (std::holds_alternative<StopTask>(pending.order)) {
    const auto found = revoked_.find(attempt);
    if (found != revoked_.end() &&
        found->second.stage == RevokeStage::kStopping) {
      found->second.stage = RevokeStage::kStopped;
    }
  } else if (!IsStart(pending.order)) {
    return;
  } else if (outcome == OrderOutcome::kOver) {
    if (!pending.seen) {
      revoked_[attempt] = {pending.given, RevokeStage::kStopped};
    }
  } else if (WithholdRefusal(pending, answer)) {
    Note(attempt, StartStep::kRefused, pending.given, now);
    if (!pending.seen) Revoke(attempt, pending.given, now);
  } else if (!pending.seen) {
    running_[attempt] = pending.doubtful;  // Unless it is refused.
  }
}

void Session::OnUnanswered(const Unanswered& unanswered, MonotonicTime now) {
  if (unanswered.replaced && !std::exchange(replaced_, true)) {
    outputs_.emplace_back(Update(Replaced{vm_, epoch_, token_received_}));
  }
  if (unanswered.channel == Channel::kOrders) {
    orders_busy_ = false;
    const size_t sent = std::exchange(orders_sent_, 0);
    for (size_t i = 0; i < sent; ++i) NoteUnanswered(orders_[i], now);
    orders_waiting_ = true;
    outputs_.emplace_back(Wake{Channel::kOrders, Backoff(++orders_failures_)});
    return;
  }
  held_busy_ = false;
  held_waiting_ = true;
  for (auto& [attempt, revoked] : revoked_) {
    if (revoked.stage == RevokeStage::kListing) {
      revoked.stage = RevokeStage::kStopped;
    }
  }
  outputs_.emplace_back(Wake{Channel::kHeld, Backoff(++held_failures_)});
  if (held_failures_ < kFailuresToUnreachable || unreachable_) return;
  unreachable_ = true;
  outputs_.emplace_back(
      Update(Unreachable{vm_, epoch_, LeaseUntil(), token_received_}));
}

void Session::OnRecorded(const Recorded& recorded) {
  if (recorded.life != life_ || recorded.number > delivered_) return;
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
  request.lease = Lease();
  request.token = token_;
  request.acknowledged = held_failures_ > 0 ? 0 : acknowledged_;
  const bool unrecorded = delivered_ > acknowledged_;
  if (opened_ && held_failures_ == 0 && unrecorded &&
      !std::exchange(record_overdue_, false)) {
    awaiting_record_ = true;
    held_waiting_ = true;
    outputs_.emplace_back(
        Wake{Channel::kHeld, options_.lease / kHoldsPerLease});
    return;
  }
  const bool to_list =
      std::any_of(revoked_.begin(), revoked_.end(), [](const auto& entry) {
        return entry.second.stage == RevokeStage::kStopped;
      });
  held_alone_ = !opened_ || held_failures_ > 0;
  if (held_alone_) {
    if (orders_busy_) return;
    request.list = true;
  } else if (unrecorded || to_list || more_events_) {
    request.list = true;
  } else {
    request.hold = std::min(options_.hold, options_.lease / kHoldsPerLease);
  }
  if (request.list) {
    for (auto& [attempt, revoked] : revoked_) {
      if (revoked.stage == RevokeStage::kStopped) {
        revoked.stage = RevokeStage::kListing;
      }
    }
  }
  held_busy_ = true;
  outputs_.emplace_back(Exchange{Channel::kHeld, std::move(request)});
}

void Session::DropLateStarts(MonotonicTime now) {
  const auto is_late = [&](const PendingOrder& pending) {
    return IsStart(pending.order) &&
           now - pending.given > options_.start_validity;
  };
  std::erase_if(orders_,
                [](const PendingOrder& pending) { return pending.seen; });
  if (std::none_of(orders_.begin(), orders_.end(), is_late)) return;
  for (PendingOrder& pending : std::exchange(orders_, {})) {
    if (!is_late(pending)) {
      orders_.push_back(std::move(pending));
    } else if (pending.doubtful) {
      Revoke(AttemptOf(pending.order), pending.given, now);
    } else {
      ReportNotStarted(AttemptOf(pending.order), pending.given,
                       "not sent in time", now);
    }
  }
}

// A start that was sent again to a new life of its worker would run anew.
void Session::DropSeenStarts(const ExchangeAnswer& answer, MonotonicTime now) {
  std::erase_if(revoked_, [&](const auto& entry) {
    return TellsEnd(answer, entry.first);
  });
  for (PendingOrder& pending : orders_) {
    if (!IsStart(pending.order) || pending.seen) continue;
    const AttemptId& attempt = AttemptOf(pending.order);
    const bool runs = Lists(answer, attempt);
    const bool told = Tells(answer, attempt);
    pending.seen = runs || told;
    if (runs && !told) {
      Note(attempt, StartStep::kRuns, pending.given, now);
      ReportAnswer(attempt, WorkerEventKind::kStarted, "");
    }
    if (pending.seen && !TellsEnd(answer, attempt)) {
      running_[attempt] = pending.doubtful;
    }
  }
}

void Session::NoteUnanswered(PendingOrder& pending, MonotonicTime now) {
  if (!IsStart(pending.order)) return;
  pending.doubtful = true;
  const auto runs = running_.find(AttemptOf(pending.order));
  if (runs != running_.end()) runs->second = true;
  Note(AttemptOf(pending.order), StartStep::kUnanswered, pending.given, now);
}

void Session::Revoke(const AttemptId& attempt, MonotonicTime given,
                     MonotonicTime now) {
  if (!revoked_.try_emplace(attempt, Revoked{given}).second) return;
  orders_.push_back({StopTask{attempt, StopKind::kStop}, now});
  Note(attempt, StartStep::kRevoked, given, now);
}

void Session::SettleRevoked(const ExchangeAnswer& answer, MonotonicTime now) {
  for (auto it = revoked_.begin(); it != revoked_.end();) {
    const AttemptId attempt = it->first;
    const Revoked revoked = it->second;
    if (revoked.stage != RevokeStage::kListing) {
      ++it;
      continue;
    }
    if (answer.more_events) {  // Its end may be among them.
      it->second.stage = RevokeStage::kStopped;
      ++it;
      continue;
    }
    it = revoked_.erase(it);
    if (Lists(answer, attempt)) {
      Note(attempt, StartStep::kRuns, revoked.given, now);
      ReportAnswer(attempt, WorkerEventKind::kStarted, "");
      running_[attempt] = true;
    } else if (!TellsEnd(answer, attempt)) {
      ReportNotStarted(attempt, revoked.given, "revoked", now);
    }
  }
}

void Session::ReportNotStarted(const AttemptId& attempt, MonotonicTime given,
                               const std::string& reason, MonotonicTime now) {
  Note(attempt, StartStep::kNotStarted, given, now);
  ReportAnswer(attempt, WorkerEventKind::kStopped, "not started: " + reason);
}

void Session::ReportAnswer(const AttemptId& attempt, WorkerEventKind kind,
                           std::string detail) {
  WorkerEvent event;
  event.attempt = attempt;
  event.kind = kind;
  event.detail = std::move(detail);
  event.life = life_;
  Follow(event);
  outputs_.emplace_back(
      Update(Events{vm_, epoch_, {std::move(event)}, {}, more_events_}));
}

void Session::Note(const AttemptId& attempt, StartStep step,
                   MonotonicTime given, MonotonicTime now) {
  outputs_.emplace_back(StartNoted{
      attempt, step, std::chrono::duration_cast<Duration>(now - given)});
}

void Session::SendOrders(MonotonicTime now) {
  if (orders_busy_) return;
  DropLateStarts(now);
  if (orders_waiting_ || orders_.empty()) return;
  if (!opened_ || held_failures_ > 0) return;
  orders_sent_ = std::min(orders_.size(), kMaxOrdersPerExchange);
  ExchangeRequest request;
  request.epoch = epoch_;
  request.lease = Lease();
  request.token = token_;
  for (size_t i = 0; i < orders_sent_; ++i) {
    request.orders.push_back(orders_[i].order);
  }
  orders_busy_ = true;
  outputs_.emplace_back(Exchange{Channel::kOrders, std::move(request)});
}

void Session::TakeToken(ExchangeAnswer& answer, MonotonicTime now) {
  if (answer.token.empty()) return;
  token_ = std::move(answer.token);
  token_received_ = now;
}

void Session::ReportAnswers(ExchangeAnswer& answer) {
  Events events{vm_, epoch_, {}, {}, more_events_};
  for (WorkerEvent& event : answer.events) {
    if (event.number != 0) continue;
    if (IsRefusal(event) && revoked_.contains(event.attempt)) continue;
    event.life = life_;
    if (IsRefusal(event)) Follow(event);
    events.events.push_back(std::move(event));
  }
  if (!events.events.empty()) outputs_.emplace_back(Update(std::move(events)));
}

void Session::Follow(const WorkerEvent& event) {
  if (event.kind == WorkerEventKind::kStarted) {
    running_.try_emplace(event.attempt, false);
  } else {
    running_.erase(event.attempt);
  }
}

void Session::AdoptListed(const ExchangeAnswer& answer, MonotonicTime now) {
  const std::map<AttemptId, bool> former = std::exchange(running_, {});
  for (const AttemptId& attempt : answer.running) running_[attempt] = false;
  for (const auto& [attempt, doubtful] : former) {
    if (!doubtful) continue;
    if (Lists(answer, attempt)) {
      running_[attempt] = true;
    } else {
      Revoke(attempt, now, now);
    }
  }
}

void Session::RevokeUnknown(const ExchangeAnswer& answer, MonotonicTime now) {
  for (const AttemptId& attempt : answer.running) {
    const bool ordered = std::any_of(
        orders_.begin(), orders_.end(), [&](const PendingOrder& pending) {
          return IsStart(pending.order) && AttemptOf(pending.order) == attempt;
        });
    if (!ordered && !running_.contains(attempt)) Revoke(attempt, now, now);
  }
}

void Session::Report(ExchangeAnswer answer, MonotonicTime now) {
  const bool had_more = std::exchange(more_events_, answer.more_events);
  Events events{vm_, epoch_, {}, std::move(answer.usage), more_events_};
  for (WorkerEvent& event : answer.events) {
    if (event.number <= delivered_) continue;
    delivered_ = event.number;
    event.life = life_;
    Follow(event);
    events.events.push_back(std::move(event));
  }
  const bool is_last = had_more && !more_events_;
  if (!events.events.empty() || !events.usage.empty() || is_last) {
    outputs_.emplace_back(Update(std::move(events)));
  }
  const bool was_unreachable = std::exchange(unreachable_, false);
  if (!std::exchange(opened_, true)) {
    AdoptListed(answer, now);
    outputs_.emplace_back(Update(
        SessionOpened{vm_, epoch_, WithPendingStarts(std::move(answer.running)),
                      more_events_}));
  } else if (was_unreachable) {
    std::erase_if(running_, [&](const auto& entry) {
      return !Lists(answer, entry.first);
    });
    for (const AttemptId& attempt : answer.running) {
      running_.try_emplace(attempt, false);
    }
    outputs_.emplace_back(Update(
        Reachable{vm_, epoch_, WithPendingStarts(std::move(answer.running)),
                  more_events_}));
  }
}

std::vector<AttemptId> Session::WithPendingStarts(
    std::vector<AttemptId> running) {
  for (const PendingOrder& pending : orders_) {
    if (IsStart(pending.order) && !pending.seen) {
      running.push_back(AttemptOf(pending.order));
    }
  }
  for (const auto& [attempt, revoked] : revoked_) running.push_back(attempt);
  std::sort(running.begin(), running.end());
  running.erase(std::unique(running.begin(), running.end()), running.end());
  return running;
}

std::vector<DoubtfulStart> Session::Doubtful() const {
  std::map<AttemptId, bool> doubtful;  // Whether it ran.
  for (size_t i = 0; i < orders_.size(); ++i) {
    const PendingOrder& pending = orders_[i];
    const bool sent = pending.doubtful || i < orders_sent_;
    if (!IsStart(pending.order) || !sent) continue;
    const AttemptId& attempt = AttemptOf(pending.order);
    if (!pending.seen) {
      doubtful[attempt] = false;
    } else if (running_.contains(attempt)) {
      doubtful[attempt] = true;
    }
  }
  for (const auto& [attempt, open] : running_) {
    if (open) doubtful[attempt] = true;
  }
  for (const auto& [attempt, revoked] : revoked_) doubtful[attempt] = false;
  std::vector<DoubtfulStart> starts;
  starts.reserve(doubtful.size());
  for (const auto& [attempt, ran] : doubtful) starts.push_back({attempt, ran});
  return starts;
}

bool Session::MaySend(MonotonicTime now) const {
  return !authorized_until_ || now < *authorized_until_;
}

Duration Session::Lease() const { return renews_ ? options_.lease : kNoLease; }

MonotonicTime Session::LeaseUntil() const {
  return token_received_ + options_.lease + options_.lease / kClockDrift +
         options_.lease_margin;
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
