// The stand-in worker's HTTP interface.

#include "azurepass/testing/standin/internal/worker_task.h"

#include <algorithm>

namespace azurepass::testing::internal {
namespace {

using endpoint::internal::FencedAnswer;
using endpoint::internal::kDocumentLimits;

MonotonicTime Now() { return BootClock::now(); }

// Differs between two lives on one machine, which cannot begin at one moment.
int64_t NewLife() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             Now().time_since_epoch())
      .count();
}

void AnswerFenced(const Reply& reply, Epoch epoch) {
  reply.Answer(http::kConflict, codec::Write(FencedAnswer{epoch}).dump());
}

}  // namespace

WorkerTask::WorkerTask(task::Loop& loop, WorkerSpec spec)
    : state_(std::move(spec), NewLife(), Now()),
      timer_(loop),
      server_(loop, [this](const http::ServerRequest& request,
                           const Reply& reply) { Handle(request, reply); }),
      mailbox_(loop, [this](const WorkerMessage& m) { Receive(m); }) {}

std::variant<http::Server::Bound, http::Server::Problem> WorkerTask::Listen(
    const std::string& address) {
  auto result = server_.Listen(address);
  if (const auto* bound = std::get_if<http::Server::Bound>(&result)) {
    listening_ = bound->address;
  }
  return result;
}

void WorkerTask::Receive(const WorkerMessage& message) {
  std::visit(Visitor{[this](const SetFault& set) {
                       server_.SetFault(set.rule);
                       set.done.Send({});
                     },
                     [this](const VmGone&) { Vanish(); },
                     [this](const VmReplaced&) {
                       Vanish();
                       former_histories_.push_back(state_.History());
                       state_ = WorkerState(state_.spec(), NewLife(), Now());
                       server_.Listen(listening_);
                     }},
             message);
}

void WorkerTask::Vanish() {
  const MonotonicTime now = Now();
  state_.Advance(now);
  state_.Vanish(now);
  held_.clear();
  timer_.Cancel();
  server_.Close();
}

void WorkerTask::Handle(const http::ServerRequest& request,
                        const Reply& reply) {
  state_.Advance(Now());
  if (request.path == "/v1/exchange" && request.method == "POST") {
    Exchange(request.body, reply);
  } else if (request.path == "/v1/history") {
    codec::Json history = state_.History();
    history["former"] = former_histories_;
    reply.Answer(http::kOk, history.dump());
  } else {
    reply.Answer(http::kBadRequest, "no such path");
  }
  Settle();
}

void WorkerTask::Exchange(const std::string& body, const Reply& reply) {
  auto document = codec::Try([&body] {
    return codec::Decode<ExchangeRequest>(body, kDocumentLimits);
  });
  if (const auto* error = std::get_if<codec::Error>(&document)) {
    return reply.Answer(http::kBadRequest, error->ToString());
  }
  auto& request = std::get<ExchangeRequest>(document);
  const MonotonicTime now = Now();
  state_.set_fail_tasks(std::holds_alternative<FailTasks>(server_.fault()));
  const auto outcome = state_.Admit(request, now);
  if (const auto* fenced = std::get_if<WorkerState::Fenced>(&outcome)) {
    return AnswerFenced(reply, fenced->epoch);
  }
  const auto admitted = std::get<WorkerState::Admitted>(outcome);
  const bool hold = !request.list && !admitted.restarted;
  const MonotonicTime until = hold ? now + request.hold : now;
  held_.push_back({std::move(request), admitted, until, reply});
}

void WorkerTask::Settle() {
  const MonotonicTime now = Now();
  state_.Advance(now);
  held_.remove_if([&](const Held& held) { return TryAnswer(held, now); });
  std::optional<MonotonicTime> next = state_.next_change();
  for (const Held& held : held_) {
    next = std::min(next.value_or(held.until), held.until);
  }
  if (!next) return timer_.Cancel();
  timer_.After(std::chrono::ceil<Duration>(*next - now), [this] { Settle(); });
}

bool WorkerTask::TryAnswer(const Held& held, MonotonicTime now) {
  if (held.reply.closed()) return true;
  if (held.request.epoch < state_.epoch()) {
    AnswerFenced(held.reply, state_.epoch());
    return true;
  }
  if (held.until > now && !state_.HasNews(held.request)) return false;
  const ExchangeAnswer answer = state_.Answer(held.request, held.admitted, now);
  held.reply.Answer(http::kOk, codec::Write(answer).dump());
  return true;
}

}  // namespace azurepass::testing::internal
