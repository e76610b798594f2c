// One owner's session with one worker, as a state machine without I/O: events
// and the time go in, exchanges to send and updates to pass on come out.
//
// Two channels lead to the worker. The held one is always busy: its answer
// brings events and a fresh token, and the next exchange on it renews the
// lease. The order channel is busy while there are orders. It rests while the
// held one fails, and a list of running attempts is only asked for while no
// orders are under way: then what the list lacks is either still to be sent or
// may still be carried out, and added here, or does not run.
//
// A start that was in an exchange without an answer is doubtful: the worker may
// carry it out later, after it refused a newer sending of it. Nothing but a
// positive answer settles it at once. Otherwise it is revoked: a stop of the
// attempt is sent until the worker takes it, after which that worker starts the
// attempt no more; then the held channel asks for a list. What that list shows
// as running ends with an event; for what it lacks the session reports that it
// did not start. Where the worker itself says that a start is over, the list
// alone decides.
//
// After an exchange without an answer comes a probe, which does not hold and
// asks for the list. The second failure in a row makes the worker unreachable.
// Its lease's end is then counted from the receipt of the token that the probes
// bring, and no other token is accepted until the worker answers a probe, so
// that the end announced stays true.
//
// A worker that restarts under its id begins a new life, in which it numbers
// its events anew and knows of no stop. Calls of the former life without an
// answer may be carried out in it. So a start that had such a call is followed
// beyond a positive answer: if the list with which the new life opens lacks it,
// it is revoked there before anything is said of it. What a worker lists later
// without an order of this session is revoked, too.

#ifndef AZUREPASS_ENDPOINT_INTERNAL_SESSION_H_
#define AZUREPASS_ENDPOINT_INTERNAL_SESSION_H_

#include <cstdint>
#include <deque>
#include <map>
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
  bool replaced = false;  // Another worker answered at the address.
};
// A Wake is due.
struct Woken {
  Channel channel = Channel::kHeld;
};
struct Authorized {
  MonotonicTime until;
};
struct RenewalSet {
  bool renews = false;
};
// The owner has recorded all events of that life up to this number.
struct Recorded {
  int64_t number = 0;
  int64_t life = 0;
};
using Event = std::variant<Ordered, Answered, FencedBy, Unanswered, Woken,
                           Authorized, RenewalSet, Recorded>;

// --- Outputs

struct Exchange {
  Channel channel = Channel::kHeld;
  ExchangeRequest request;
};
struct Wake {
  Channel channel = Channel::kHeld;
  Duration delay{0};
};
// For the log: a start that was not simply answered.
enum class StartStep { kUnanswered, kRefused, kRevoked, kRuns, kNotStarted };
struct StartNoted {
  AttemptId attempt;
  StartStep step = StartStep::kUnanswered;
  Duration age{0};  // Since the owner ordered it.
};
using Output = std::variant<Exchange, Wake, Update, StartNoted>;

// A start that may be carried out though nothing is heard of it.
struct DoubtfulStart {
  AttemptId attempt;
  // Another sending of it was: it may begin anew in a new life alone.
  bool ran = false;

  friend bool operator==(const DoubtfulStart&, const DoubtfulStart&) = default;
};
// What a session takes over from former ones with its worker.
struct Former {
  int64_t life = 0;                       // The last one that they counted.
  std::vector<DoubtfulStart> doubtful{};  // Of the same epoch.
};

class Session {
 public:
  Session(VmId vm, Epoch epoch, const Options& options,
          std::optional<MonotonicTime> authorized_until, uint64_t seed,
          const Former& former, MonotonicTime now, bool renews = true);

  std::vector<Output> Start(MonotonicTime now);
  std::vector<Output> Handle(Event event, MonotonicTime now);

  // Nothing comes after Fenced.
  bool ended() const { return ended_; }
  Epoch epoch() const { return epoch_; }
  // The worker's life, by our count; it grows with each restart.
  int64_t life() const { return life_; }
  std::vector<DoubtfulStart> Doubtful() const;

 private:
  struct PendingOrder {
    Order order;
    MonotonicTime given;
    bool doubtful = false;  // Was in an exchange without an answer.
    // A start whose attempt the worker has listed or reported: not sent again.
    bool seen = false;
  };

  void OnAnswered(Answered answered, MonotonicTime now);
  void OnHeldAnswer(ExchangeAnswer answer, MonotonicTime now);
  void OnOrdersAnswer(ExchangeAnswer answer, MonotonicTime now);
  void OnUnanswered(const Unanswered& unanswered, MonotonicTime now);
  void OnWoken(Channel channel, MonotonicTime now);

  // Puts both channels to work, as far as they may be.
  void Advance(MonotonicTime now);
  void SendHeld(MonotonicTime now);
  void SendOrders(MonotonicTime now);
  // Gives up starts that were given too long ago; no order is under way.
  void DropLateStarts(MonotonicTime now);
  // Marks starts that the answer shows to have been carried out.
  void DropSeenStarts(const ExchangeAnswer& answer, MonotonicTime now);
  // The worker has begun a new life: orders for the former one are void.
  void OnRestart(MonotonicTime now);
  void TakeToken(ExchangeAnswer& answer, MonotonicTime now);
  void Report(ExchangeAnswer answer, MonotonicTime now);
  // By the list with which the session opens: what else this life may run.
  void AdoptListed(const ExchangeAnswer& answer, MonotonicTime now);
  void RevokeUnknown(const ExchangeAnswer& answer, MonotonicTime now);
  // Keeps running_ by an event that is passed on.
  void Follow(const WorkerEvent& event);
  // Passes on the events of number 0, except refusals of doubtful starts.
  void ReportAnswers(ExchangeAnswer& answer);
  void OnSettled(const PendingOrder& pending, OrderOutcome outcome,
                 ExchangeAnswer& answer, MonotonicTime now);
  // Takes the refusal out of the answer if it is no outcome of the start.
  static bool WithholdRefusal(const PendingOrder& pending,
                              ExchangeAnswer& answer);
  void NoteUnanswered(PendingOrder& pending, MonotonicTime now);
  void Revoke(const AttemptId& attempt, MonotonicTime given, MonotonicTime now);
  // By a list that was asked for after the stops were taken.
  void SettleRevoked(const ExchangeAnswer& answer, MonotonicTime now);
  void ReportNotStarted(const AttemptId& attempt, MonotonicTime given,
                        const std::string& reason, MonotonicTime now);
  void ReportAnswer(const AttemptId& attempt, WorkerEventKind kind,
                    std::string detail);
  void Note(const AttemptId& attempt, StartStep step, MonotonicTime given,
            MonotonicTime now);
  void OnRecorded(const Recorded& recorded);
  // Adds what may still be carried out.
  std::vector<AttemptId> WithPendingStarts(std::vector<AttemptId> running);
  bool MaySend(MonotonicTime now) const;
  // That an exchange asks for.
  Duration Lease() const;
  MonotonicTime LeaseUntil() const;
  Duration Backoff(int failures);

  const VmId vm_;
  const Epoch epoch_;
  const Options options_;
  std::mt19937_64 random_;
  std::optional<MonotonicTime> authorized_until_;
  bool renews_;

  bool opened_ = false;       // The worker has accepted the epoch.
  bool unreachable_ = false;  // Told, and not answered since.
  bool replaced_ = false;     // Told.
  bool ended_ = false;
  std::string token_;
  // When token_ was received; before there is one, when the session began.
  MonotonicTime token_received_;
  int64_t life_ = 0;
  int64_t delivered_ = 0;     // The last event of this life passed on.
  int64_t acknowledged_ = 0;  // The last one recorded; at most delivered_.
  // The next exchange waits for the record of what was passed on, for the
  // worker would answer it at once. Past its time it goes out all the same, to
  // renew the lease.
  bool awaiting_record_ = false;
  bool record_overdue_ = false;
  // The worker keeps more events of this life than its last list held. They are
  // asked for at once when those before are recorded.
  bool more_events_ = false;

  // A channel is busy while an exchange is under way, waiting while a Wake is.
  bool held_busy_ = false;
  bool held_waiting_ = false;
  int held_failures_ = 0;  // In a row.
  // No order is under way beside the held exchange, so that its list counts.
  bool held_alone_ = false;
  bool orders_busy_ = false;
  bool orders_waiting_ = false;
  int orders_failures_ = 0;  // In a row; orders not taken count.
  std::deque<PendingOrder> orders_;
  size_t orders_sent_ = 0;  // Of orders_, the first so many are under way.

  // Starts that are given up though the worker may have carried them out, or
  // may do so until it has taken the stop. No start of them is in orders_; the
  // stop is, until it is taken.
  enum class RevokeStage { kStopping, kStopped, kListing };
  struct Revoked {
    MonotonicTime given;
    RevokeStage stage = RevokeStage::kStopping;
  };
  std::map<AttemptId, Revoked> revoked_;

  // What may run there by what was passed on, and whether a sending of its
  // start had no answer. No end of it was passed on.
  std::map<AttemptId, bool> running_;

  std::vector<Output> outputs_;  // Of the event in hand.
};

}  // namespace azurepass::endpoint::internal

#endif  // AZUREPASS_ENDPOINT_INTERNAL_SESSION_H_
