// Asks the store again, and again, when an answer is overdue, without giving
// the first call up: what answers first counts (Dean and Barroso, "The Tail at
// Scale", CACM 2013).
//
// Only calls are repeated that may run twice. Reads and renewals are; so is a
// write on the condition of a version, of which at most one can take effect:
// the other one finds the condition broken. When it finds our own value there,
// it was the first one that wrote it, and that is a success. Were the value
// overwritten since, the conflict is told as it is, as a late answer would be.
//
// An answer of which a part has come is not asked for again: a second one would
// only share the link with the first. How long it takes says nothing of when
// others are overdue; its first part does.
//
// A failure is told once no call is under way any more; "unknown" outweighs
// "unavailable", because one of the calls may have had its effect.

#include <algorithm>
#include <map>
#include <set>
#include <type_traits>
#include <utility>

#include "azurepass/store/store.h"

namespace azurepass::store {
namespace {

MonotonicTime Now() { return BootClock::now(); }

// Weight of a new time in the average.
constexpr double kNewest = 0.2;

// Calls made for one request, each after twice the time of the one before: a
// third of all answers may be lost, and an outage is not asked for long.
constexpr int kMostTries = 5;

const Error* ErrorIn(const GetReply& reply) {
  return std::get_if<Error>(&reply);
}
const Error* ErrorIn(const ListReply& reply) {
  return std::get_if<Error>(&reply);
}
const Error* ErrorIn(const WriteReply& reply) {
  return std::get_if<Error>(&reply);
}
const Error* ErrorIn(const RenewReply& reply) {
  return std::get_if<Error>(&reply);
}

bool TellsNothing(const Error& error) {
  return error.code == ErrorCode::kUnavailable ||
         error.code == ErrorCode::kOutcomeUnknown;
}

}  // namespace

class Hedge::Impl {
 public:
  Impl(task::Loop& loop, HedgeOptions options, task::Address<Request> store)
      : options_(options),
        store_(std::move(store)),
        timer_(loop),
        mailbox_(loop, [this](Inbox m) { Handle(m); }) {}

  task::Address<Request> address() const {
    return mailbox_.address().Map<Request>(
        [](Request request) { return Inbox(std::move(request)); });
  }

 private:
  using Reply = std::variant<GetReply, ListReply, WriteReply, RenewReply>;
  struct Answered {
    int64_t id = 0;
    MonotonicTime sent;
    Reply reply;
  };
  struct Progressed {
    int64_t id = 0;
    MonotonicTime sent;
    Progress progress;
  };
  using Inbox = std::variant<Request, Answered, Progressed>;
  struct Open {
    Request request;
    int tries = 0;
    int under_way = 0;
    bool answering = false;        // A part of an answer has come.
    MonotonicTime due;             // When it is asked again.
    std::optional<Error> failure;  // The weightiest so far.
  };

  void Handle(Inbox& message) {
    std::visit(Visitor{[this](Request& request) {
                         std::visit([this](auto& r) { On(std::move(r)); },
                                    request);
                       },
                       [this](Answered& answered) { OnAnswered(answered); },
                       [this](const Progressed& p) { OnProgressed(p); }},
               message);
  }

  void On(Get get) { Begin(std::move(get)); }
  void On(List list) { Begin(std::move(list)); }
  void On(RenewLease renew) { Begin(std::move(renew)); }
  void On(Put put) {
    if (!put.expected) return store_.Send(std::move(put));
    Begin(std::move(put));
  }
  template <class Other>
  void On(Other other) {
    store_.Send(std::move(other));
  }

  template <class R>
  void Begin(R request) {
    const int64_t id = ++last_id_;
    Open& open = open_[id];
    open.request = std::move(request);
    Send(id, open);
    due_.insert({open.due, id});
    Arm();
  }

  void Send(int64_t id, Open& open) {
    ++open.tries;
    ++open.under_way;
    const MonotonicTime now = Now();
    open.due = now + Delay() * (1 << (open.tries - 1));
    std::visit(
        Visitor{[&](const Get& r) { ForwardRead<GetReply>(id, now, r); },
                [&](const List& r) { ForwardRead<ListReply>(id, now, r); },
                [&](const Put& r) { Forward<WriteReply>(id, now, r); },
                [&](const RenewLease& r) { Forward<RenewReply>(id, now, r); },
                [](const auto&) {}},
        open.request);
  }

  template <class ReplyType, class R>
  void Forward(int64_t id, MonotonicTime sent, R request) {
    request.reply_to =
        mailbox_.address().template Map<ReplyType>([id, sent](ReplyType reply) {
          return Inbox(Answered{id, sent, Reply(std::move(reply))});
        });
    store_.Send(std::move(request));
  }

  template <class ReplyType, class R>
  void ForwardRead(int64_t id, MonotonicTime sent, R request) {
    request.progress_to =
        mailbox_.address().template Map<Progress>([id, sent](Progress part) {
          return Inbox(Progressed{id, sent, part});
        });
    Forward<ReplyType>(id, sent, std::move(request));
  }

  void OnProgressed(const Progressed& progressed) {
    const auto found = open_.find(progressed.id);
    if (found == open_.end()) return;
    Open& open = found->second;
    if (!std::exchange(open.answering, true)) {
      Learn(progressed.sent);
      due_.erase({open.due, progressed.id});
      Arm();
    }
    std::visit(
        Visitor{[&](const Get& r) { r.progress_to.Send(progressed.progress); },
                [&](const List& r) { r.progress_to.Send(progressed.progress); },
                [](const auto&) {}},
        open.request);
  }

  void OnAnswered(Answered& answered) {
    const auto found = open_.find(answered.id);
    if (found == open_.end()) return;  // Another call was answered first.
    Open& open = found->second;
    --open.under_way;
    const Error* error = std::visit(
        [](const auto& reply) { return ErrorIn(reply); }, answered.reply);
    if (error == nullptr || !TellsNothing(*error)) {
      if (!open.answering) Learn(answered.sent);
      Settle(open, answered.reply);
      return Finish(answered.id, answered.reply);
    }
    if (!open.failure || error->code == ErrorCode::kOutcomeUnknown) {
      open.failure = *error;
    }
    if (open.under_way > 0) return;
    std::visit([&](auto& reply) { reply = *open.failure; }, answered.reply);
    Finish(answered.id, answered.reply);
  }

  // A repeated write that finds its own value.
  static void Settle(const Open& open, Reply& reply) {
    const auto* put = std::get_if<Put>(&open.request);
    auto* written = std::get_if<WriteReply>(&reply);
    if (put == nullptr || written == nullptr || open.tries < 2) return;
    const auto* conflict = std::get_if<Conflict>(written);
    if (conflict == nullptr || !conflict->current ||
        conflict->current->value != put->value) {
      return;
    }
    *written = Written{conflict->current->version};
  }

  void Finish(int64_t id, Reply& reply) {
    auto node = open_.extract(id);
    Open& open = node.mapped();
    due_.erase({open.due, id});
    std::visit(Visitor{[&](Get& r) { Answer(r, reply); },
                       [&](List& r) { Answer(r, reply); },
                       [&](Put& r) { Answer(r, reply); },
                       [&](RenewLease& r) { Answer(r, reply); }, [](auto&) {}},
               open.request);
  }
  template <class R>
  static void Answer(R& request, Reply& reply) {
    using Expected = std::conditional_t<
        std::is_same_v<R, Get>, GetReply,
        std::conditional_t<std::is_same_v<R, List>, ListReply,
                           std::conditional_t<std::is_same_v<R, Put>,
                                              WriteReply, RenewReply>>>;
    if (auto* expected = std::get_if<Expected>(&reply)) {
      request.reply_to.Send(std::move(*expected));
    }
  }

  void Arm() {
    if (due_.empty()) return timer_.Cancel();
    if (timer_.active() && armed_ == due_.begin()->first) return;
    armed_ = due_.begin()->first;
    timer_.After(
        std::max(Duration(0), std::chrono::ceil<Duration>(armed_ - Now())),
        [this] { OnTimer(); });
  }

  void OnTimer() {
    const MonotonicTime now = Now();
    while (!due_.empty() && due_.begin()->first <= now) {
      const int64_t id = due_.begin()->second;
      due_.erase(due_.begin());
      Open& open = open_.at(id);
      if (open.tries >= kMostTries) continue;
      Send(id, open);
      due_.insert({open.due, id});
    }
    Arm();
  }

  Duration Delay() const {
    const auto delay =
        Duration(static_cast<int64_t>(options_.factor * average_.count()) + 1);
    return std::clamp(delay, options_.least, options_.most);
  }
  void Learn(MonotonicTime sent) {
    const std::chrono::duration<double, std::milli> taken = Now() - sent;
    average_ += kNewest * (taken - average_);
  }

  const HedgeOptions options_;
  const task::Address<Request> store_;
  std::map<int64_t, Open> open_;
  std::set<std::pair<MonotonicTime, int64_t>> due_;
  int64_t last_id_ = 0;
  std::chrono::duration<double, std::milli> average_{0};  // Of an answer.
  MonotonicTime armed_;
  task::Timer timer_;
  task::Mailbox<Inbox> mailbox_;
};

Hedge::Hedge(task::Loop& loop, HedgeOptions options,
             task::Address<Request> store)
    : impl_(std::make_shared<Impl>(loop, options, std::move(store))) {}
Hedge::~Hedge() = default;

task::Address<Request> Hedge::address() const { return impl_->address(); }

}  // namespace azurepass::store
