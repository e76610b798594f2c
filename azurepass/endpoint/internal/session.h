// One owner's session with one worker, as a state machine without I/O: events
// and the time go in, exchanges to send and updates to pass on come out.
//
// Two channels lead to the worker. The held one is always busy: its answer
// brings events and a fresh token, and the next exchange on it renews the
// lease. The order channel is busy while there are orders. It rests while the
// held one fails, and a list of running attempts is only asked for while no
// orders are under way: then what the list lacks is either still to be sent,
// and added here, or does not run.
//
// After an exchange without an answer comes a probe, which does not hold and
// asks for the list. The second failure in a row makes the worker unreachable.
// Its lease's end is then counted from the receipt of the token that the probes
// bring, and no other token is accepted until the worker answers a probe, so
// that the end announced stays true.

#ifndef AZUREPASS_ENDPOINT_INTERNAL_SESSION_H_
#define AZUREPASS_ENDPOINT_INTERNAL_SESSION_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/endpoint/endpoint.h"
#include "azurepass/endpoint/internal/wire.h"

namespace azurepass::endpoint::internal {

enum class Channel { kHeld, kOrders };

// --- Events

struct Ordered {
  std::vector<Order> orders;
};
struct Answered {
  Channel channel = Channel::kHeld;
  ExchangeAnswer answer;
};
struct FencedBy {
  Epoch theirs;
};
struct Unanswered {
  Channel channel = Channel::kHeld;
};
// A Wake is due.
struct Woken {
  Channel channel = Channel::kHeld;
};
struct Authorized {
  MonotonicTime until;
};
// The owner has recorded all events up to this number.
struct Recorded {
  int64_t number = 0;
};
using Event = std::variant<Ordered, Answered, FencedBy, Unanswered, Woken,
                           Authorized, Recorded>;

// --- Outputs

struct Exchange {
  Channel channel = Channel::kHeld;
  ExchangeRequest request;
};
struct Wake {
  Channel channel = Channel::kHeld;
  Duration delay{0};
};
using Output = std::variant<Exchange, Wake, Update>;

class Session {
 public:
  Session(VmId vm, Epoch epoch, const Options& options,
          std::optional<MonotonicTime> authorized_until, uint64_t seed,
          MonotonicTime now);

  std::vector<Output> Start(MonotonicTime now);
  std::vector<Output> Handle(Event event, MonotonicTime now);

  // Nothing comes after Fenced.
  bool ended() const { return ended_; }

 private:
  void OnAnswered(Answered answered, MonotonicTime now);
  void OnHeldAnswer(ExchangeAnswer answer, MonotonicTime now);
  void OnOrdersAnswer(ExchangeAnswer answer, MonotonicTime now);
  void OnUnanswered(Channel channel, MonotonicTime now);
  void OnWoken(Channel channel, MonotonicTime now);

  // Puts both channels to work, as far as they may be.
  void Advance(MonotonicTime now);
  void SendHeld(MonotonicTime now);
  void SendOrders(MonotonicTime now);
  // Drops starts that were given too long ago; no order is under way.
  void DropLateStarts(MonotonicTime now);
  void TakeToken(ExchangeAnswer& answer, MonotonicTime now);
  void Report(ExchangeAnswer answer);
  // Passes on the events of number 0.
  void ReportAnswers(ExchangeAnswer& answer);
  void OnRecorded(const Recorded& recorded);
  std::vector<AttemptId> WithPendingStarts(std::vector<AttemptId> running);
  bool MaySend(MonotonicTime now) const;
  MonotonicTime LeaseUntil() const;
  Duration Backoff(int failures);

  const VmId vm_;
  const Epoch epoch_;
  const Options options_;
  std::mt19937_64 random_;
  std::optional<MonotonicTime> authorized_until_;

  bool opened_ = false;       // The worker has accepted the epoch.
  bool unreachable_ = false;  // Told, and not answered since.
  bool ended_ = false;
  std::string token_;
  // When token_ was received; before there is one, when the session began.
  MonotonicTime token_received_;
  int64_t delivered_ = 0;     // The last event passed on.
  int64_t acknowledged_ = 0;  // The last one recorded; at most delivered_.
  // The next exchange waits for the record of what was passed on, for the
  // worker would answer it at once. Past its time it goes out all the same, to
  // renew the lease.
  bool awaiting_record_ = false;
  bool record_overdue_ = false;

  // A channel is busy while an exchange is under way, waiting while a Wake is.
  bool held_busy_ = false;
  bool held_waiting_ = false;
  int held_failures_ = 0;  // In a row.
  bool orders_busy_ = false;
  bool orders_waiting_ = false;
  int orders_failures_ = 0;  // In a row; orders not taken count.
  struct PendingOrder {
    Order order;
    MonotonicTime given;
  };
  std::deque<PendingOrder> orders_;
  size_t orders_sent_ = 0;  // Of orders_, the first so many are under way.

  std::vector<Output> outputs_;  // Of the event in hand.
};

}  // namespace azurepass::endpoint::internal

#endif  // AZUREPASS_ENDPOINT_INTERNAL_SESSION_H_
