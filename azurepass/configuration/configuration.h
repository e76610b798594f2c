// The operators' configuration as one process holds it, and whether it may
// rely on it. Three layers, from pure to running:
//
//   Register   applies what the store or a peer says; never goes back.
//   Freshness  decides whether the revision held is certainly current.
//   Keeper     the task: watches the store, asks peers, tells subscribers.
//
// Usage:
//
//   configuration::Keeper keeper(loop, options, store.address(),
//                                client.address());
//   keeper.address().Send(Subscribe{mailbox.address()});    // -> Updates
//   keeper.address().Send(PeersChanged{...});               // From membership.
//   keeper.address().Send(AnswerPull{request, responder});  // From entry.
//
// A subscriber keeps the latest Update and asks Update::MayStart(now) at each
// start. The permission ends by itself at `valid_until`, also in a process
// that was paused and has not yet handled any message since.
//
// Why a verdict is safe. Every confirmation is counted from the moment at
// which the request that brought it was sent, on this process's monotonic
// clock: whatever happened to the answer on its way (a slow store, a paused
// peer, a paused reader), the confirmed state is at least as new as that. A
// peer's answer carries the age of its own contact, counted in the same way,
// and the ages add up. Pushed gossip has no such bound and confirms nothing.

#ifndef AZUREPASS_CONFIGURATION_CONFIGURATION_H_
#define AZUREPASS_CONFIGURATION_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/entry/entry.h"
#include "azurepass/store/store.h"
#include "azurepass/task/task.h"

namespace azurepass::configuration {

// ---------------------------------------------------------------------------
// Keys in the store

inline constexpr std::string_view kPrefix = "config/";

// "config/contracts/TEAM", "config/keys/ID", "config/zones/ZONE",
// "config/queues/QUEUE" and "config/services/SERVICE". The value
// is the record's JSON; the version inside it is ignored, the store's counts.
std::string StoreKey(const TeamId& team);
std::string StoreKey(const KeyId& key);
std::string StoreKey(const ZoneId& zone);
std::string StoreKey(const QueueId& queue);
std::string StoreKey(const ServiceId& service);

// ---------------------------------------------------------------------------
// Keys of callers

// SHA-256 of a secret, in lower-case hexadecimal.
std::string HashSecret(std::string_view secret);

// The record of the key whose secret was presented; empty when there is none
// or it is withdrawn.
std::optional<KeyRecord> FindKey(const Configuration& configuration,
                                 std::string_view secret);

// ---------------------------------------------------------------------------
// Queues

// The queue with the longest path prefix that `path` begins with, among those
// of `host`; null when there is none.
const QueueRecord* FindQueue(const Configuration& configuration,
                             std::string_view host, std::string_view path);

// ---------------------------------------------------------------------------
// Register

// The configuration held. Invariant: the revision only grows, and no record
// is replaced by one of a lower version.
class Register {
 public:
  Register();

  // Takes in the whole of what is below kPrefix. `listing.revision` is that of
  // the first page when there were several. Returns whether anything changed.
  bool Replace(const store::Listing& listing);
  // Takes in changes after revision cursor(). Returns whether anything changed.
  bool Apply(const store::Changes& changes);
  // Takes in a peer's answer to PullConfiguration{revision()}.
  bool Adopt(const entry::ConfigurationPulled& pulled);

  // Adds queues of earlier configurations that this process may not have seen.
  void Recall(const std::vector<FormerQueue>& queues);

  // Answers a peer: nothing but the revision when it holds the same records or
  // wants no content; only what changed since `pull.after` when that is exact;
  // the whole otherwise.
  entry::ConfigurationPulled Answer(const entry::PullConfiguration& pull) const;
  // SHA-256 of the keys and versions of all records: the same records have the
  // same digest in every process, whenever they were read.
  const std::string& digest() const { return digest_; }

  std::shared_ptr<const Configuration> configuration() const {
    return configuration_;
  }
  // Of the newest change taken in; kept in the configuration too.
  Revision revision() const { return configuration_->revision; }
  // All changes up to here are taken in; watch after it.
  Revision cursor() const { return cursor_; }
  // Values that could not be read; the record before stays in force.
  int64_t unreadable() const { return unreadable_; }

 private:
  // Puts the configuration in force, with its digest. Adds to its former queues
  // those of the configuration before.
  void Hold(std::shared_ptr<Configuration> configuration);

  std::shared_ptr<const Configuration> configuration_;
  std::string digest_;
  Revision cursor_;
  Revision last_removal_;  // No record was removed after it.
  int64_t unreadable_ = 0;
};

// ---------------------------------------------------------------------------
// Freshness

// The store confirmed the revision held, `age` ago.
struct Confirmed {
  Duration age{0};
};
// A peer in contact with the store holds nothing newer.
struct ConfirmedByPeer {
  Duration age{0};
  MemberId peer;
};
// Every other member answered that it has no contact either, or is gone, and
// holds nothing newer. `age` is that of the oldest answer.
struct OutageEvident {
  Duration age{0};
  int64_t witnesses = 0;
};
// None of these: changes may be in force that are not known here.
struct Stale {
  std::string reason;  // For a refusal's sentence.
};
using Verdict = std::variant<Confirmed, ConfirmedByPeer, OutageEvident, Stale>;

bool MayStart(const Verdict& verdict);
std::string ToString(const Verdict& verdict);

// What another member answered to a pull.
struct PeerAnswer {
  MemberId member;
  Revision revision;
  Duration store_contact_age{0};  // As it said.
  bool in_contact = false;        // Its latest request to the store succeeded.
};

// Another member, as the member list and the VM list show it.
struct Peer {
  MemberId member;
  std::string address;  // "IP:PORT" of its entry server.
  bool gone = false;    // Its VM is missing from the VM list.
};

// The rule of freshness; pure. Times are this process's monotonic ones.
//
// In each permitted case there is a moment t, less than max_age ago, at which
// no change had been accepted that is not held here:
//   * the store answered a request that was sent at t;
//   * a peer that holds nothing newer was itself confirmed as of t;
//   * every other member, asked at t or later, had no contact and nothing
//     newer. Changes are accepted by members only, so nobody had one to know.
//     A member whose VM is gone counts by what it last said, if it said so
//     after this one lost contact; that it found the store again, accepted a
//     change and vanished before it could tell is the case not covered.
// A change accepted after t is in force here, or starts have stopped here,
// within max_age of its acceptance. That is the whole promise.
class Freshness {
 public:
  // Beyond `contact_limit` without a confirmation the store counts as lost.
  Freshness(Duration max_age, Duration contact_limit)
      : max_age_(max_age), contact_limit_(contact_limit) {}

  // The store answered a request sent at `sent`, and the answer is taken in.
  void OnStoreConfirmed(MonotonicTime sent);
  // A request to the store failed.
  void OnStoreFailed();
  // A peer answered a pull sent at `sent`; what it held is taken in.
  void OnPeerAnswered(const PeerAnswer& answer, MonotonicTime sent);
  // All other members, as of some contact with the store.
  void SetPeers(std::vector<Peer> peers);
  // No process listens at a peer's address, tried at `sent`: the peer counts as
  // gone for max_age from then.
  void OnPeerRefused(const MemberId& peer, MonotonicTime sent);
  // A change of this revision is known to be accepted.
  void OnAccepted(Revision revision);

  struct Decision {
    Verdict verdict;
    MonotonicTime valid_until;  // Without further events; `now` when stale.
  };
  // Whether `held` is current at `now`.
  Decision Decide(Revision held, MonotonicTime now) const;
  // Until when it is evident, whatever the verdict, that no other member has
  // contact with the store; empty when it is not.
  std::optional<MonotonicTime> OthersCutUntil(MonotonicTime now) const;

  // Whether the store's latest answer is good and recent.
  bool in_contact(MonotonicTime now) const;
  // Since the store last confirmed; Duration::max() when it never did.
  Duration store_contact_age(MonotonicTime now) const;
  // The newest change known to be accepted.
  Revision accepted() const { return accepted_; }

 private:
  struct Witness {
    MonotonicTime sent;
    bool in_contact = false;
    std::optional<MonotonicTime> confirmed_at;  // There, on our clock.
  };
  std::optional<Decision> DecideByStore(MonotonicTime now) const;
  std::optional<Decision> DecideByPeers(MonotonicTime now) const;
  std::optional<Decision> DecideByOutage(MonotonicTime now) const;

  Duration max_age_;
  Duration contact_limit_;
  std::optional<MonotonicTime> confirmed_at_;
  bool last_request_failed_ = false;
  Revision accepted_;
  std::optional<std::vector<Peer>> peers_;     // Empty until known.
  std::map<MemberId, Witness> witnesses_;      // The newest answer of each.
  std::map<MemberId, MonotonicTime> refused_;  // Not answered since.
};

// ---------------------------------------------------------------------------
// Keeper

inline constexpr Duration kMaxAge{3'000};
// In an outage all members ask all: not each answer makes an update.
inline constexpr Duration kDenialStep{250};

struct Options {
  MemberId member;                // This process.
  Duration max_age = kMaxAge;     // Of a confirmation that permits starts.
  Duration contact_limit{2'000};  // Unconfirmed for longer: no contact.
  Duration watch_wait{500};       // One held request; well below both.
  Duration peer_interval{500};    // Between rounds of asking peers.
  Duration peer_timeout{1'000};
  // Of an answer with records, of which one is under way at a time.
  Duration content_timeout{5'000};
  Duration min_backoff{100};  // After a failed request, jittered.
  Duration max_backoff{1'000};
  // Until queues that the store's archive lacks are recorded there.
  Duration queue_record_delay{2'000};
  int64_t peer_fanout = 3;       // Peers asked for a confirmation.
  int64_t max_witnesses = 64;    // Peers asked for evidence of an outage.
  int64_t page_entries = 1'000;  // Of a listing.
  uint64_t seed = 1;             // Of jitter and of the choice of peers.
};

// What subscribers get, first when they subscribe and then on each change of
// the configuration, the verdict, valid_until, others_cut_until or
// contact_denied.
struct Update {
  std::shared_ptr<const Configuration> configuration;
  Verdict verdict;
  MonotonicTime valid_until;      // The verdict holds no longer than this.
  Duration store_contact_age{0};  // Duration::max(): never.
  // All changes of the store up to here are in `configuration`, whose own
  // revision may be lower.
  Revision complete_through{};
  // See Freshness::OthersCutUntil: before it nobody else can have changed
  // anything in the store.
  std::optional<MonotonicTime> others_cut_until;
  // When this process last told another that it had no contact with the store,
  // or up to kDenialStep later.
  std::optional<MonotonicTime> contact_denied{};

  bool MayStart(MonotonicTime now) const {
    return configuration::MayStart(verdict) && now < valid_until;
  }
};

struct Subscribe {
  task::Address<Update> subscriber;
};
// All other members, read from the store at least once.
struct PeersChanged {
  std::vector<Peer> peers;
};
// A peer asks.
struct AnswerPull {
  entry::PullConfiguration request;
  entry::Responder responder;
};
// The store accepted a change that this process wrote.
struct ChangeAccepted {
  Revision revision;
};
using Message =
    std::variant<Subscribe, PeersChanged, AnswerPull, ChangeAccepted>;

class Keeper {
 public:
  Keeper(task::Loop& loop, Options options, task::Address<store::Request> store,
         task::Address<entry::Call> peers);
  ~Keeper();
  Keeper(const Keeper&) = delete;
  Keeper& operator=(const Keeper&) = delete;

  task::Address<Message> address() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace azurepass::configuration

#endif  // AZUREPASS_CONFIGURATION_CONFIGURATION_H_
