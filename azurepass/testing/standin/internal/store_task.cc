// The stand-in store's HTTP interface.

#include "azurepass/testing/standin/internal/store_task.h"

#include <algorithm>
#include <charconv>

#include "azurepass/store/internal/wire.h"

namespace azurepass::testing::internal {
namespace {

constexpr std::string_view kKeyPath = "/v1/kv/";
constexpr std::string_view kLeasePath = "/v1/leases/";
constexpr std::string_view kRenewSuffix = "/renew";
// A listing stops before it holds more than this many bytes of values.
constexpr int64_t kMaxLimit = 10'000;
constexpr Duration kMaxHold{60'000};

MonotonicTime Now() { return BootClock::now(); }

// A whole number of a query, or empty.
std::optional<int64_t> Number(const std::string& text) {
  int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, problem] = std::from_chars(text.data(), end, value);
  if (problem != std::errc() || stop != end) return {};
  return value;
}

template <class Document>
void Ok(const Reply& reply, const Document& document) {
  reply.Answer(http::kOk, codec::Write(document).dump());
}

void Conflicted(const Reply& reply, const store::Conflict& conflict,
                Revision revision) {
  reply.Answer(http::kConflict, codec::Write(store::internal::EntryDocument{
                                                 conflict.current, revision})
                                    .dump());
}

// Decodes a body, or answers 400.
template <class Document>
std::optional<Document> Decode(const std::string& body, const Reply& reply) {
  auto document = codec::Try([&body] {
    return codec::Decode<Document>(body, store::internal::kDocumentLimits);
  });
  if (const auto* error = std::get_if<codec::Error>(&document)) {
    reply.Answer(http::kBadRequest, error->ToString());
    return {};
  }
  return std::get<Document>(std::move(document));
}

}  // namespace

StoreTask::StoreTask(task::Loop& loop, int64_t history_bound)
    : data_(history_bound),
      timer_(loop),
      server_(loop, [this](const http::ServerRequest& request,
                           const Reply& reply) { Handle(request, reply); }),
      mailbox_(loop, [this](const SetFault& set) {
        server_.SetFault(set.rule);
        set.done.Send({});
      }) {}

void StoreTask::Handle(const http::ServerRequest& request, const Reply& reply) {
  data_.Expire(Now());
  if (request.path.starts_with(kKeyPath)) {
    HandleKey(request, reply);
  } else if (request.path.starts_with("/v1/leases")) {
    HandleLease(request, reply);
  } else if (request.path == "/v1/range") {
    Range(request, reply);
  } else if (request.path == "/v1/watch") {
    Watch(request, reply);
  } else if (request.path == "/v1/stats") {
    Stats(reply);
  } else {
    reply.Answer(http::kBadRequest, "no such path");
  }
  Settle();
}

void StoreTask::HandleKey(const http::ServerRequest& request,
                          const Reply& reply) {
  const std::string key = request.path.substr(kKeyPath.size());
  if (key.empty()) return reply.Answer(http::kBadRequest, "no key");
  if (request.method == "GET") return Get(key, reply);
  if (request.method == "PUT") return Put(key, request.body, reply);
  if (request.method == "DELETE") return Delete(key, request, reply);
  reply.Answer(http::kBadRequest, "no such method");
}

void StoreTask::Get(const std::string& key, const Reply& reply) {
  Count("get");
  const store::Value value = data_.Get(key);
  Ok(reply, store::internal::EntryDocument{value.entry, value.revision});
}

void StoreTask::Put(const std::string& key, const std::string& body,
                    const Reply& reply) {
  Count("put");
  auto put = Decode<store::internal::PutDocument>(body, reply);
  if (!put) return;
  if (put->value.size() > store::internal::kMaxValueBytes) {
    return reply.Answer(http::kTooLarge, "value over 1 MiB");
  }
  std::visit(Visitor{[&](const store::Written& written) {
                       Ok(reply,
                          store::internal::WrittenDocument{written.version});
                     },
                     [&](const store::Conflict& conflict) {
                       Conflicted(reply, conflict, data_.revision());
                     },
                     [&](const StoreData::NoSuchLease&) {
                       reply.Answer(http::kNotFound, "no such lease");
                     }},
             data_.Put(key, std::move(put->value), put->expected, put->lease));
}

void StoreTask::Delete(const std::string& key,
                       const http::ServerRequest& request, const Reply& reply) {
  Count("delete");
  std::optional<store::Version> expected;
  if (request.query.contains("expected")) {
    expected = Number(request.Query("expected"));
    if (!expected) return reply.Answer(http::kBadRequest, "expected");
  }
  std::visit(Visitor{[&](const store::Written& written) {
                       Ok(reply,
                          store::internal::WrittenDocument{written.version});
                     },
                     [&](const store::Conflict& conflict) {
                       Conflicted(reply, conflict, data_.revision());
                     }},
             data_.Delete(key, expected));
}

void StoreTask::HandleLease(const http::ServerRequest& request,
                            const Reply& reply) {
  if (request.path == "/v1/leases") {
    Count("grant");
    const auto grant =
        Decode<store::internal::GrantDocument>(request.body, reply);
    if (!grant) return;
    return Ok(reply,
              store::internal::LeaseDocument{data_.Grant(grant->ttl, Now())});
  }
  std::string lease = request.path.substr(kLeasePath.size());
  if (request.method == "DELETE") {
    Count("revoke");
    data_.Revoke(lease);
    return Ok(reply, store::internal::LeaseDocument{lease});
  }
  Count("renew");
  if (lease.ends_with(kRenewSuffix)) {
    lease.resize(lease.size() - kRenewSuffix.size());
  }
  if (!data_.Renew(lease, Now())) {
    return reply.Answer(http::kNotFound, "no such lease");
  }
  Ok(reply, store::internal::LeaseDocument{lease});
}

void StoreTask::Range(const http::ServerRequest& request, const Reply& reply) {
  Count("range");
  const std::optional<int64_t> limit = Number(request.Query("limit"));
  if (!limit || *limit < 1 || *limit > kMaxLimit) {
    return reply.Answer(http::kBadRequest, "limit");
  }
  Ok(reply, data_.List(request.Query("prefix"), request.Query("from"), *limit));
}

void StoreTask::Watch(const http::ServerRequest& request, const Reply& reply) {
  Count("watch");
  const std::optional<int64_t> after = Number(request.Query("after"));
  const std::optional<int64_t> wait = Number(request.Query("wait_ms"));
  if (!after || !wait || *wait < 0) {
    return reply.Answer(http::kBadRequest, "after or wait_ms");
  }
  const MonotonicTime until = Now() + std::min(Duration(*wait), kMaxHold);
  watches_.push_back({request.Query("prefix"), Revision{*after}, until, reply});
}

void StoreTask::Stats(const Reply& reply) const {
  codec::Json stats = {{"revision", data_.revision().value},
                       {"watches_held", watches_.size()},
                       {"calls", calls_}};
  reply.Answer(http::kOk, stats.dump());
}

void StoreTask::Settle() {
  const MonotonicTime now = Now();
  data_.Expire(now);
  watches_.remove_if(
      [&](const HeldWatch& watch) { return TryAnswer(watch, now); });
  std::optional<MonotonicTime> next = data_.next_expiry();
  for (const HeldWatch& watch : watches_) {
    next = std::min(next.value_or(watch.until), watch.until);
  }
  if (!next) return timer_.Cancel();
  timer_.After(std::chrono::ceil<Duration>(*next - now), [this] { Settle(); });
}

bool StoreTask::TryAnswer(const HeldWatch& watch, MonotonicTime now) const {
  if (watch.reply.closed()) return true;
  const auto changes = data_.ChangesAfter(watch.prefix, watch.after);
  if (!changes) {
    watch.reply.Answer(http::kGone, "compacted");
    return true;
  }
  if (changes->changes.empty() && watch.until > now) return false;
  Ok(watch.reply, *changes);
  return true;
}

}  // namespace azurepass::testing::internal
