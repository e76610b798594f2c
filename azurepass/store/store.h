// The platform's configuration store, as the rest of azurepass sees it: a task
// that owns the HTTP session and answers messages.
//
// The store keeps string values (UTF-8) under string keys. Each write raises a
// global revision; a value's version is the revision that wrote it. A write may
// be conditional on the version found (0: the key must be absent). A key may
// hang on a lease and disappears with it. A watch is one held request that
// answers with what changed below a prefix after a revision.
//
// An answer can get lost after the write took effect. The client does not
// guess: it reports kOutcomeUnknown, and whoever asked settles the matter by
// reading back.
//
// Usage: construct a Client on a task::Loop with its options, send it Requests
// through Client::address(). Every request is answered exactly once, to the
// `reply_to` it carries, after Options::request_timeout in the queue and as
// much again on the wire at the latest (a watch: its `wait` longer).

#ifndef AZUREPASS_STORE_STORE_H_
#define AZUREPASS_STORE_STORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/task/task.h"

namespace azurepass::store {

// The version of a value; kAbsent stands for "no such key".
using Version = int64_t;
inline constexpr Version kAbsent = 0;

// The least key above `key`, from which the next page of a listing is read.
// Keys hold no control characters, and the store takes no zero byte.
inline std::string KeyAfter(const std::string& key) { return key + '\x01'; }

struct Entry {
  std::string key;
  std::string value;
  Version version = kAbsent;
};

enum class ErrorCode {
  kUnavailable,     // Certainly without effect: refused, or budget spent.
  kOutcomeUnknown,  // A write that may or may not have happened.
  kLeaseLost,       // The lease does not exist any more.
  kCompacted,       // The watch's revision is too old: read everything again.
  kRejected,        // The store called the request malformed.
};

// For logs: "unavailable", "lease_lost", ...
std::string_view ErrorCodeName(ErrorCode code);

struct Error {
  ErrorCode code = ErrorCode::kUnavailable;
  std::string message;
};

// --- Answers

struct Value {
  std::optional<Entry> entry;  // Empty when the key is absent.
  Revision revision;
};
struct Listing {
  std::vector<Entry> entries;  // By key.
  Revision revision;
  // Nothing follows, though there may be more entries than were asked for.
  bool complete = false;
};
struct Written {
  Version version = kAbsent;
};
// The condition did not hold; `current` is what is there now.
struct Conflict {
  std::optional<Entry> current;
};
struct LeaseGranted {
  std::string lease;
};
struct LeaseRenewed {};
struct Change {
  std::string key;
  std::optional<Entry> entry;  // Empty when the key was removed.
};
// Everything that changed up to `revision`; possibly nothing.
struct Changes {
  std::vector<Change> changes;
  Revision revision;
  // Prefixes below which `changes` has all that there is: other keys there were
  // removed, at `revision` at the latest.
  std::vector<std::string> complete_below{};
};

using GetReply = std::variant<Value, Error>;
using ListReply = std::variant<Listing, Error>;
using WriteReply = std::variant<Written, Conflict, Error>;
using GrantReply = std::variant<LeaseGranted, Error>;
using RenewReply = std::variant<LeaseRenewed, Error>;
using WatchReply = std::variant<Changes, Error>;

// Whether nothing follows a page of which `limit` entries were asked for.
inline bool IsLastPage(const Listing& page, int64_t limit) {
  return page.complete || static_cast<int64_t>(page.entries.size()) < limit;
}

// --- Requests

// A part of an answer has come, and more is to follow.
struct Progress {
  int64_t received = 0;  // Bytes so far.
};

struct Get {
  std::string key;
  task::Address<GetReply> reply_to;
  task::Address<Progress> progress_to{};  // May be left out.
};
// All keys that start with `prefix`, from `from` on, at most `limit` of them.
struct List {
  std::string prefix;
  std::string from;
  int64_t limit = 1'000;
  task::Address<ListReply> reply_to;
  task::Address<Progress> progress_to{};  // May be left out.
};
// Writes if the key's version is `expected` (always, when that is empty).
struct Put {
  std::string key;
  std::string value;
  std::optional<Version> expected;
  std::string lease;  // Empty: the value stays.
  task::Address<WriteReply> reply_to;
};
struct Delete {
  std::string key;
  std::optional<Version> expected;
  task::Address<WriteReply> reply_to;
};
struct GrantLease {
  Duration ttl{0};
  task::Address<GrantReply> reply_to;
};
struct RenewLease {
  std::string lease;
  task::Address<RenewReply> reply_to;
};
struct RevokeLease {
  std::string lease;
};
// Answers as soon as something below `prefix` has a revision above `after`, or
// with an empty Changes once `wait` has passed.
struct Watch {
  std::string prefix;
  Revision after;
  Duration wait{0};
  task::Address<WatchReply> reply_to;
};
using Request = std::variant<Get, List, Put, Delete, GrantLease, RenewLease,
                             RevokeLease, Watch>;

// Calls a second that this process may make, by kind, and how long one may
// take. A call over the budget waits its turn in a queue of `queue_bound`;
// beyond that it is answered kUnavailable.
struct Options {
  std::string address;  // "IP:PORT".
  Duration request_timeout{2'000};
  double writes_per_second = 100;
  double reads_per_second = 100;
  int64_t queue_bound = 1'000;
};

// What the client did, for metrics.
struct Counters {
  int64_t writes = 0;   // Sent; those to leases among them.
  int64_t reads = 0;    // Sent.
  int64_t watches = 0;  // Sent.
  int64_t errors = 0;   // Unanswered, or refused here for want of budget.
  int64_t queued = 0;   // Times that a line had to wait for its budget.
};

// The task that owns the connection to the store.
class Client {
 public:
  Client(task::Loop& loop, Options options);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  task::Address<Request> address() const;
  // Send it an address to get the counters.
  task::Address<task::Address<Counters>> counters() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// When a call is made a second time: after so many times what an answer took
// of late, within these bounds. Each further one waits twice as long.
struct HedgeOptions {
  Duration least{60};
  Duration most{500};
  double factor = 4;
};

// Stands between those who ask and the store, and asks again when an answer is
// overdue and none of it has come; see hedge.cc for why that is safe. Watches,
// leases that are asked for or given back, deletions and writes without a
// condition pass unchanged.
class Hedge {
 public:
  Hedge(task::Loop& loop, HedgeOptions options, task::Address<Request> store);
  ~Hedge();
  Hedge(const Hedge&) = delete;
  Hedge& operator=(const Hedge&) = delete;

  task::Address<Request> address() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace azurepass::store

#endif  // AZUREPASS_STORE_STORE_H_
