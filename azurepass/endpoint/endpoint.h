// The workers (endpoints): what a partition's owner orders from them and what
// they report.
//
// One exchange does it all: POST /v1/exchange carries the owner's epoch, the
// lease, orders, and the number of the last event received; the answer carries
// the events since. Orders are idempotent by attempt id, events are kept by the
// worker until acknowledged, so an exchange whose answer was lost is simply
// repeated. A worker refuses an epoch lower than the highest it has seen. A
// worker whose lease lapses stops all it runs under it.
//
// An exchange holds its answer until there is an event or `hold` has passed;
// orders go out at once in an exchange of their own beside the held one.
//
// The lease. Each answer carries a token with the worker's own time in it. An
// exchange renews the lease only by the token it brings, to the token's time
// plus the lease's length, however late it arrives. So a lease never outlasts
// the receipt of the newest token that was sent, plus its length, and the owner
// knows that moment by its own clock, with a margin for clocks that run at
// different rates. Neither a delayed exchange nor a paused process can prolong
// it. For the same reason a process whose permission to own has an end (see
// Authorize) prolongs no lease beyond that end plus the lease's length.
//
// Usage: construct a Client on a task::Loop. Open starts a session with a
// worker; from then on the client renews the lease by itself and sends an
// Update for whatever happens, until Close.

#ifndef AZUREPASS_ENDPOINT_ENDPOINT_H_
#define AZUREPASS_ENDPOINT_ENDPOINT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/task/task.h"

namespace azurepass::endpoint {

// --- Updates, all of one session

// The worker accepted the epoch; `running` is all it runs, whoever ordered it,
// and the starts that are still being sent to it. What ended before is told
// first, in Events: events that a former owner acknowledged are given again, as
// far as the worker still keeps them. So an attempt that is neither running nor
// reported does not run there and will not, unless `more_events`. A worker that
// restarted opens its session anew under the same epoch; the outcome of each
// start that it was sent before follows in Events. What it begins to run later
// without an order of this session is told to stop.
//
// `more_events`: the worker keeps more ends than one answer holds. The next
// ones come once those before are acknowledged. The first Events without
// `more_events` tells the last of them.
struct SessionOpened {
  VmId vm;
  Epoch epoch;
  std::vector<AttemptId> running;
  bool more_events = false;
};
struct Events {
  VmId vm;
  Epoch epoch;
  std::vector<WorkerEvent> events;
  std::vector<Usage> usage;
  bool more_events = false;
};
// A higher epoch is at work there: this owner was deposed.
struct Fenced {
  VmId vm;
  Epoch epoch;
  Epoch theirs;
};
// No answer, twice in a row. `lease_until` is the moment by which whatever ran
// there under our lease has certainly stopped (margin included), unless
// Reachable or SessionOpened comes before. `last_answer` is when the worker
// answered last; without an answer, when the session began.
struct Unreachable {
  VmId vm;
  Epoch epoch;
  MonotonicTime lease_until;
  MonotonicTime last_answer;
};
// Another worker answers at the address: this one has ended, and all that it
// ran with it. Told once in a session. The session goes on, in case the worker
// comes back.
struct Replaced {
  VmId vm;
  Epoch epoch;
  MonotonicTime last_answer;  // As in Unreachable.
};
// Answers again after Unreachable, same epoch. The rest as in SessionOpened.
struct Reachable {
  VmId vm;
  Epoch epoch;
  std::vector<AttemptId> running;
  bool more_events = false;
};
using Update = std::variant<SessionOpened, Events, Fenced, Unreachable,
                            Reachable, Replaced>;

// --- Requests to the client

struct Open {
  WorkerSpec worker;
  Epoch epoch;
  task::Address<Update> listener;
  PartitionId partition{};  // Told to the carrier of the exchanges.
  bool renews = true;       // See SetRenewal.
};
// Whether exchanges with the worker renew its lease; they go on in any case.
// Starts, which renew it too, must not be sent while they don't.
struct SetRenewal {
  VmId vm;
  bool renews = false;
};
// To a session that is open here; otherwise dropped. Orders are repeated until
// the worker has taken them.
//
// Each start gets one outcome while its session lasts: an event of the worker,
// or kStopped with number 0 when it has not happened and will not. The second
// is said only when that is certain. An exchange without an answer may be
// carried out seconds later, also after newer ones; a start that was in one and
// is refused when sent again, or is out of date, is therefore revoked: the
// worker is told to stop the attempt, so that it starts no more, and a list
// that was asked for after that shows whether it runs, has ended, or never
// began. Until then the attempt counts as one that may run.
struct Send {
  VmId vm;
  std::vector<Order> orders;
};
// All events of that life of the worker up to this number are recorded: the
// worker may forget them. Until then it keeps them, and gives them again to a
// later owner.
struct Acknowledge {
  VmId vm;
  int64_t number = 0;
  int64_t life = 0;
};
// Starts without an outcome are revoked if the session is opened again under
// the same epoch; another epoch fences them.
struct Close {
  VmId vm;
};
// From now on nothing is sent to any worker at or after `until`, until a later
// Authorize. Without any Authorize there is no such end.
struct Authorize {
  MonotonicTime until;
};
using Request =
    std::variant<Open, Send, SetRenewal, Acknowledge, Close, Authorize>;

struct Options {
  Duration lease{15'000};  // A worker keeps running this long unrenewed.
  // Added to an unrenewed lease before it is trusted to have lapsed: for the
  // worker to stop what it runs. Slow clocks are allowed for beside it.
  Duration lease_margin{1'000};
  Duration hold{4'000};             // How long a worker holds an empty answer.
  Duration request_timeout{2'000};  // Beyond the hold.
  // A start that the worker has not taken by then is not sent any more: what
  // allowed it may have changed.
  Duration start_validity{2'000};
  Duration retry_delay{250};  // After a failure, doubled up to...
  Duration retry_delay_max{2'000};
};

// What the client did, for metrics.
struct Counters {
  int64_t exchanges = 0;    // Ended, with or without an answer.
  int64_t failures = 0;     // Without an answer.
  int64_t connections = 0;  // Opened for them.
  int64_t bytes_sent = 0;
  int64_t bytes_received = 0;
};

// --- How exchanges travel

// What an owner says to a worker in one exchange.
struct ExchangeRequest {
  Epoch epoch;
  Duration lease{0};
  // From the worker's latest answer; without one the lease is not renewed and
  // no order is taken.
  std::string token;
  int64_t acknowledged = 0;  // The last event that the worker may forget.
  Duration hold{0};
  // Asks for the list of running attempts. An exchange that neither holds nor
  // lists is answered without events.
  bool list = false;
  std::vector<Order> orders;
};
// What became of one order of an exchange.
enum class OrderOutcome {
  kSettled,  // Carried out now or before, or refused, as an event says.
  // A start that the worker never carries out from now on, because the attempt
  // has ended there or was told to stop. Its end, if it ran, is an event.
  kOver,
  kNotTaken,  // Certainly not carried out by this exchange.
  kUnknown,   // No answer: it may have been carried out, or may be later.
};
struct ExchangeAnswer {
  std::string token;
  // The orders are carried out, or were before.
  bool taken = false;
  // Of each order, where they travel apart; `taken` then says nothing. Empty:
  // all are kSettled if taken, otherwise kNotTaken.
  std::vector<OrderOutcome> outcomes;
  // The token is of a former life of the worker, which ran nothing of this one.
  bool restarted = false;
  // By number, each after `acknowledged`; those of number 0 answer orders.
  std::vector<WorkerEvent> events;
  std::vector<Usage> usage;
  std::vector<AttemptId> running;  // When asked for, or restarted.
  bool more_events = false;        // Than fitted into this answer.
};
// The worker has seen a higher epoch.
struct ExchangeFenced {
  Epoch theirs;
};
struct ExchangeFailed {
  std::string message;
  bool replaced = false;  // Another worker answered at the address.
};
using ExchangeResult =
    std::variant<ExchangeAnswer, ExchangeFenced, ExchangeFailed>;
// Carries one exchange to a worker; answered exactly once.
struct Carry {
  PartitionId partition;  // Whose jobs the orders and the answer are about.
  VmId vm;
  std::string address;
  ExchangeRequest request;
  Duration timeout{0};  // Of the whole, hold included.
  task::Address<ExchangeResult> reply_to;
};

class Client {
 public:
  // Exchanges travel over HTTP and JSON, as described above.
  Client(task::Loop& loop, Options options);
  // Exchanges are given to `carrier`, for workers that speak otherwise.
  Client(task::Loop& loop, Options options, task::Address<Carry> carrier);
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

}  // namespace azurepass::endpoint

#endif  // AZUREPASS_ENDPOINT_ENDPOINT_H_
