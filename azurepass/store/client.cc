// The store client: messages in, HTTP calls out, within a budget.
//
// Each request becomes a Call, which knows how to ask and how to answer. A Call
// waits in one of two lines, for writes and for reads, until its token bucket
// lets it go; renewals of leases go to the front, because a late one loses the
// lease. What waits longer than the request timeout is answered kUnavailable,
// which is true: it was never sent.
//
// What a failure means:
//   not sent, budget spent, 429, 503     kUnavailable: certainly no effect
//   sent and not answered, other 5xx,    kOutcomeUnknown for what writes,
//   an answer that cannot be read        kUnavailable for what only reads
//   404 for a lease                      kLeaseLost
//   410                                  kCompacted
//   other 4xx                            kRejected

#include <algorithm>
#include <deque>
#include <functional>

#include "azurepass/http/http.h"
#include "azurepass/store/internal/token_bucket.h"
#include "azurepass/store/internal/wire.h"
#include "azurepass/store/store.h"

namespace azurepass::store {
namespace {

using internal::EntryDocument;
using internal::TokenBucket;

// Of the budget of a second, so much may go out at once.
constexpr double kBurstSeconds = 0.2;
// Watches hold a connection each, beside the calls in flight.
constexpr int kConnections = 64;

enum class Kind { kRead, kWrite };

// An answer that arrived: either the body to read, or the error it stands for.
using Answer = std::variant<http::Response, Error>;

struct Call {
  Kind kind = Kind::kRead;
  bool urgent = false;  // To the front of the line.
  bool watch = false;
  http::Request request;
  MonotonicTime give_up;  // If not sent by then.
  std::function<void(Answer)> answer;
};

Error ErrorOfFailure(const http::Failure& failure, Kind kind) {
  const bool unknown =
      failure.kind == http::FailureKind::kNoAnswer && kind == Kind::kWrite;
  return {unknown ? ErrorCode::kOutcomeUnknown : ErrorCode::kUnavailable,
          failure.message};
}

Error ErrorOfStatus(const http::Response& response, Kind kind) {
  const std::string message = "status " + std::to_string(response.status);
  if (response.status == http::kServiceUnavailable ||
      response.status == http::kTooManyRequests) {
    return {ErrorCode::kUnavailable, message};
  }
  if (response.status == http::kNotFound) {
    return {ErrorCode::kLeaseLost, message};
  }
  if (response.status == http::kGone) return {ErrorCode::kCompacted, message};
  if (response.status >= 400 && response.status < 500) {
    return {ErrorCode::kRejected, message};
  }
  return ErrorOfFailure({http::FailureKind::kNoAnswer, message}, kind);
}

// Reads the body of a 200 as Document and passes what `convert` makes of it on.
template <class Document, class Reply, class Convert>
void Finish(const Answer& answer, Kind kind,
            const task::Address<Reply>& reply_to, Convert convert) {
  if (const auto* error = std::get_if<Error>(&answer)) {
    return reply_to.Send(*error);
  }
  const auto& response = std::get<http::Response>(answer);
  if (response.status != http::kOk) {
    return reply_to.Send(ErrorOfStatus(response, kind));
  }
  auto document = codec::Try([&response] {
    return codec::Decode<Document>(response.body, internal::kDocumentLimits);
  });
  if (const auto* error = std::get_if<codec::Error>(&document)) {
    return reply_to.Send(ErrorOfFailure(
        {http::FailureKind::kNoAnswer, error->ToString()}, kind));
  }
  reply_to.Send(Reply(convert(std::get<Document>(std::move(document)))));
}

// The same for a conditional write, whose 409 holds what is there.
void FinishWrite(const Answer& answer, const task::Address<WriteReply>& to) {
  const auto* response = std::get_if<http::Response>(&answer);
  if (response != nullptr && response->status == http::kConflict) {
    http::Response conflict{http::kOk, response->body};
    return Finish<EntryDocument, WriteReply>(
        conflict, Kind::kWrite, to,
        [](EntryDocument d) { return Conflict{std::move(d.entry)}; });
  }
  Finish<internal::WrittenDocument, WriteReply>(
      answer, Kind::kWrite, to,
      [](internal::WrittenDocument d) { return Written{d.version}; });
}

std::string ExpectedQuery(const std::optional<Version>& expected) {
  return expected ? "?expected=" + std::to_string(*expected) : "";
}

std::string KeyTarget(const std::string& key) {
  return "/v1/kv/" + http::EscapePath(key);
}

// True for UTF-8 without zero bytes, which is all that JSON carries unharmed.
bool IsText(const std::string& value) {
  return g_utf8_validate(value.data(), std::ssize(value), nullptr) != FALSE;
}

// --- One function a request: how to ask and how to answer

Call MakeCall(const Get& get) {
  Call call;
  call.request = {"GET", "", KeyTarget(get.key), "", Duration(0)};
  call.answer = [to = get.reply_to](const Answer& answer) {
    Finish<EntryDocument, GetReply>(
        answer, Kind::kRead, to, [](EntryDocument document) {
          return Value{std::move(document.entry), document.revision};
        });
  };
  return call;
}

Call MakeCall(const List& list) {
  Call call;
  call.request = {"GET", "",
                  "/v1/range?prefix=" + http::EscapeQuery(list.prefix) +
                      "&from=" + http::EscapeQuery(list.from) +
                      "&limit=" + std::to_string(list.limit),
                  "", Duration(0)};
  call.answer = [to = list.reply_to](const Answer& answer) {
    Finish<Listing, ListReply>(answer, Kind::kRead, to,
                               [](Listing l) { return l; });
  };
  return call;
}

Call MakeCall(Put put) {
  Call call;
  call.kind = Kind::kWrite;
  call.request = {"PUT", "", KeyTarget(put.key), "", Duration(0)};
  call.request.body =
      codec::Write(internal::PutDocument{std::move(put.value), put.expected,
                                         std::move(put.lease)})
          .dump();
  call.answer = [to = put.reply_to](const Answer& answer) {
    FinishWrite(answer, to);
  };
  return call;
}

Call MakeCall(const Delete& remove) {
  Call call;
  call.kind = Kind::kWrite;
  call.request = {"DELETE", "",
                  KeyTarget(remove.key) + ExpectedQuery(remove.expected), "",
                  Duration(0)};
  call.answer = [to = remove.reply_to](const Answer& answer) {
    FinishWrite(answer, to);
  };
  return call;
}

Call MakeCall(const GrantLease& grant) {
  Call call;
  call.kind = Kind::kWrite;
  call.request = {"POST", "", "/v1/leases",
                  codec::Write(internal::GrantDocument{grant.ttl}).dump(),
                  Duration(0)};
  call.answer = [to = grant.reply_to](const Answer& answer) {
    Finish<internal::LeaseDocument, GrantReply>(
        answer, Kind::kWrite, to, [](internal::LeaseDocument document) {
          return LeaseGranted{std::move(document.lease)};
        });
  };
  return call;
}

Call MakeCall(const RenewLease& renew) {
  Call call;
  call.kind = Kind::kWrite;
  call.urgent = true;
  call.request = {"POST", "",
                  "/v1/leases/" + http::EscapePath(renew.lease) + "/renew", "",
                  Duration(0)};
  call.answer = [to = renew.reply_to](const Answer& answer) {
    Finish<internal::LeaseDocument, RenewReply>(
        answer, Kind::kWrite, to,
        [](const internal::LeaseDocument&) { return LeaseRenewed{}; });
  };
  return call;
}

Call MakeCall(const RevokeLease& revoke) {
  Call call;
  call.kind = Kind::kWrite;
  call.request = {"DELETE", "", "/v1/leases/" + http::EscapePath(revoke.lease),
                  "", Duration(0)};
  call.answer = [](const Answer&) {};
  return call;
}

Call MakeCall(const Watch& watch) {
  Call call;
  call.watch = true;
  call.request = {"GET", "",
                  "/v1/watch?prefix=" + http::EscapeQuery(watch.prefix) +
                      "&after=" + std::to_string(watch.after.value) +
                      "&wait_ms=" + std::to_string(watch.wait.count()),
                  "", watch.wait};
  call.answer = [to = watch.reply_to](const Answer& answer) {
    Finish<Changes, WatchReply>(answer, Kind::kRead, to,
                                [](Changes c) { return c; });
  };
  return call;
}

}  // namespace

std::string_view ErrorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kOutcomeUnknown:
      return "outcome_unknown";
    case ErrorCode::kLeaseLost:
      return "lease_lost";
    case ErrorCode::kCompacted:
      return "compacted";
    case ErrorCode::kRejected:
      return "rejected";
  }
  return "unknown";
}

class Client::Impl {
 public:
  Impl(task::Loop& loop, Options options)
      : options_(std::move(options)),
        http_(loop, {kConnections}),
        writes_(loop, options_.writes_per_second),
        reads_(loop, options_.reads_per_second),
        mailbox_(loop, [this](Request r) { Handle(std::move(r)); }),
        counters_mailbox_(loop, [this](const task::Address<Counters>& to) {
          to.Send(counters_);
        }) {}

  task::Address<Request> address() const { return mailbox_.address(); }
  task::Address<task::Address<Counters>> counters() const {
    return counters_mailbox_.address();
  }

 private:
  // Calls that wait for their budget, in the order of their turn.
  struct Line {
    Line(task::Loop& loop, double rate)
        : bucket(rate, std::max(1.0, rate * kBurstSeconds), BootClock::now()),
          timer(loop) {}
    std::deque<Call> calls;
    TokenBucket bucket;
    task::Timer timer;
  };

  void Handle(Request request);
  Line& LineOf(Kind kind) { return kind == Kind::kWrite ? writes_ : reads_; }
  void Enqueue(Call call);
  void Drain(Line& line);
  void Expire(Line& line, MonotonicTime now);
  void Send(Call call);
  void Refuse(const Call& call, std::string message);

  Options options_;
  Counters counters_;
  http::Client http_;
  Line writes_;
  Line reads_;
  task::Mailbox<Request> mailbox_;
  task::Mailbox<task::Address<Counters>> counters_mailbox_;
};

void Client::Impl::Handle(Request request) {
  const auto* put = std::get_if<Put>(&request);
  if (put != nullptr && !IsText(put->value)) {
    return put->reply_to.Send(
        Error{ErrorCode::kRejected, "the value is not UTF-8 text"});
  }
  Call call = std::visit(
      [](auto&& r) { return MakeCall(std::forward<decltype(r)>(r)); },
      std::move(request));
  call.request.address = options_.address;
  call.request.timeout += options_.request_timeout;
  call.give_up = BootClock::now() + options_.request_timeout;
  Enqueue(std::move(call));
}

void Client::Impl::Enqueue(Call call) {
  Line& line = LineOf(call.kind);
  if (std::ssize(line.calls) >= options_.queue_bound) {
    return Refuse(call, "the queue for the store is full");
  }
  if (call.urgent) {
    line.calls.push_front(std::move(call));
  } else {
    line.calls.push_back(std::move(call));
  }
  Drain(line);
}

void Client::Impl::Drain(Line& line) {
  const MonotonicTime now = BootClock::now();
  Expire(line, now);
  while (!line.calls.empty() && line.bucket.TryTake(now)) {
    Call call = std::move(line.calls.front());
    line.calls.pop_front();
    Send(std::move(call));
  }
  if (line.calls.empty()) return line.timer.Cancel();
  ++counters_.queued;
  if (line.timer.active()) return;
  const Duration until_give_up =
      std::chrono::ceil<Duration>(line.calls.front().give_up - now);
  line.timer.After(std::min(line.bucket.Wait(now), until_give_up),
                   [this, &line] { Drain(line); });
}

// All wait equally long and urgent ones stand in front, so that those to give
// up are found at the front, give or take a few urgent ones.
void Client::Impl::Expire(Line& line, MonotonicTime now) {
  while (!line.calls.empty() && line.calls.front().give_up <= now) {
    const Call call = std::move(line.calls.front());
    line.calls.pop_front();
    Refuse(call, "the budget for the store is spent");
  }
}

void Client::Impl::Refuse(const Call& call, std::string message) {
  ++counters_.errors;
  call.answer(Error{ErrorCode::kUnavailable, std::move(message)});
}

void Client::Impl::Send(Call call) {
  ++(call.watch                  ? counters_.watches
     : call.kind == Kind::kWrite ? counters_.writes
                                 : counters_.reads);
  const http::Request request = std::move(call.request);
  http_.Send(request, [this, kind = call.kind,
                       answer = std::move(call.answer)](http::Result result) {
    if (auto* response = std::get_if<http::Response>(&result)) {
      return answer(std::move(*response));
    }
    ++counters_.errors;
    answer(ErrorOfFailure(std::get<http::Failure>(result), kind));
  });
}

Client::Client(task::Loop& loop, Options options)
    : impl_(std::make_shared<Impl>(loop, std::move(options))) {}

Client::~Client() = default;

task::Address<Request> Client::address() const { return impl_->address(); }

task::Address<task::Address<Counters>> Client::counters() const {
  return impl_->counters();
}

}  // namespace azurepass::store
