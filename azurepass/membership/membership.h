// Which processes of ours there are, who owns which partition, and which
// partitions this one should own. Three sources, none of which is a
// coordination service of our own:
//
//   * the store: a key for each member on the member's lease, a key for each
//     claim; the list of members that counts for ownership;
//   * gossip: heartbeats with a fixed fan-out, for what changes too often or
//     matters too little for the store (revision, contact age, owned);
//   * the local monotonic clock: a member not heard of for long is suspected.
//
// Usage:
//
//   membership::Agent agent(loop, options, self, partitions,
//                           store.address(), client.address());
//   agent.address().Send(Subscribe{mailbox.address()});      // -> Views
//   agent.address().Send(GossipReceived{gossip, responder}); // From entry.
//   agent.address().Send(SelfChanged{...});                  // What to tell.
//   agent.address().Send(GiveLeaseBack{});                   // For another.
//   agent.address().Send(Drain{});                           // Leaving soon.
//   agent.address().Send(Leave{done});                       // Leaving now.
//
// Safety does not hang on anything here: the journal fences owners. The lease
// only says when somebody else may try.

#ifndef AZUREPASS_MEMBERSHIP_MEMBERSHIP_H_
#define AZUREPASS_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/entry/entry.h"
#include "azurepass/store/store.h"
#include "azurepass/task/task.h"

namespace azurepass::membership {

// ---------------------------------------------------------------------------
// What the store holds

inline constexpr std::string_view kPrefix = "cluster/";

inline constexpr int64_t kWholeProcessor = 1'000;  // Thousandths.

enum class Role { kFrontend, kScheduler };

// "cluster/members/MEMBER", on the member's lease.
struct MemberRecord {
  MemberId member;
  std::string address;      // "IP:PORT" of its entry server.
  int64_t incarnation = 0;  // Grows with every start of the process.
  Role role = Role::kScheduler;
  ZoneId zone;
  VmId vm;               // Of the entry VM, as the VM list names it.
  bool leaving = false;  // Should hold no partition any more.
  // Thousandths of a processor that its VM gives it, at least 1.
  int64_t millicores = kWholeProcessor;
  bool operator==(const MemberRecord&) const = default;
};

// "cluster/claims/PARTITION", without a lease. Taken over by a conditional
// write of the next epoch once the holder's member key is gone.
struct ClaimRecord {
  PartitionId partition;
  MemberId member;  // Empty: given back.
  Epoch epoch;
  bool operator==(const ClaimRecord&) const = default;
};

std::string StoreKey(const MemberId& member);
std::string StoreKey(const PartitionId& partition);
std::string Encode(const MemberRecord& record);
std::string Encode(const ClaimRecord& record);
// Empty when the text is not such a record.
std::optional<MemberRecord> DecodeMember(std::string_view text);
std::optional<ClaimRecord> DecodeClaim(std::string_view text);

// ---------------------------------------------------------------------------
// Pure parts

// What is heard of the members, and how long ago.
class Table {
 public:
  explicit Table(entry::MemberNews self);

  // Takes in news; a higher (incarnation, heartbeat) wins. News of this member
  // itself is ignored.
  void Merge(const std::vector<entry::MemberNews>& news, MonotonicTime now);
  // Raises this member's heartbeat and replaces what it says of itself.
  void Beat(Revision revision, Duration store_contact_age,
            std::vector<PartitionId> owned);
  // Drops a member.
  void Forget(const MemberId& member);

  // News of this member, in full, and the short form of at most `bound` - 1
  // others: those that were passed on least often since they came, ties broken
  // by `random`.
  std::vector<entry::MemberNews> NewsToSend(int64_t bound, uint64_t random,
                                            MonotonicTime now);

  // When the member's heartbeat last grew; empty when never heard of.
  std::optional<MonotonicTime> HeardAt(const MemberId& member) const;
  // All members heard of.
  std::vector<MemberId> members() const;
  const entry::MemberNews* Find(const MemberId& member) const;

 private:
  struct Heard {
    entry::MemberNews news;
    MonotonicTime at;    // When it came.
    int64_t passed = 0;  // Times it was passed on since.
  };
  entry::MemberNews self_;
  std::map<MemberId, Heard> heard_;  // Never holds self_.
};

// When claims of members whose keys went are free. A member that has just
// started, or had trouble with the store itself, can't tell whether another one
// died or lost its lease in the same outage and will be back. So it gives those
// whose keys went since then the time of one lease. Otherwise a claim is free
// as soon as the key is gone.
class Departures {
 public:
  explicit Departures(Duration lease_ttl) : lease_ttl_(lease_ttl) {}

  // This member started, lost its lease or got one, or any request for one or
  // for its renewal failed.
  void OnTrouble(MonotonicTime now) { trouble_at_ = now; }
  void OnGone(const MemberId& member, MonotonicTime now);
  void OnBack(const MemberId& member) { gone_.erase(member); }

  MonotonicTime FreeAt(const MemberId& member) const;
  // When its key went, if that is at most two leases ago.
  std::optional<MonotonicTime> GoneAt(const MemberId& member) const;

 private:
  const Duration lease_ttl_;
  MonotonicTime trouble_at_;
  std::map<MemberId, MonotonicTime> gone_;  // Within the last two leases.
};

// A member that could take a partition up.
struct Candidate {
  int64_t partitions = 0;  // That it holds.
  int64_t millicores = kWholeProcessor;
  bool present = true;  // Its key is in the store.
  // When the key was first seen; if it is not there, when it went.
  MonotonicTime since{};
};

// Whether `self`, with one more partition, would have more than `times` the
// load that `other` would have with it.
bool HasMoreRoom(const Candidate& other, const Candidate& self, int64_t times);

// When `self` may claim what belonged to a member whose key went at `gone_at`,
// and is free to all at `free_at`. It leaves the claim to those with twice the
// room which have just come, until they may claim themselves; and to larger
// ones with that room which went at about the same time, for half a lease, if
// they are given time to return. Always within two leases after `gone_at`.
MonotonicTime YieldUntil(MonotonicTime free_at, MonotonicTime gone_at,
                         Duration lease_ttl, const Candidate& self,
                         const std::vector<Candidate>& others);

// Picks `fanout` different ones of `candidates`; the random bits decide.
std::vector<MemberId> ChooseGossipPeers(std::vector<MemberId> candidates,
                                        int64_t fanout, uint64_t random);

// By member: the processors that it has, in thousandths.
using Processors = std::map<MemberId, int64_t>;

// Rendezvous hashing with bounded load. Partitions that one of `members` holds
// stay there. The others go where (partitions held + 1) / processors is the
// lowest, and among those alike to the member with the highest hash of the
// pair. With equal members and nothing held, nobody holds more than one
// partition above any other. A pure function of sets: all who see the same ones
// agree.
std::map<PartitionId, MemberId> Assign(
    std::vector<PartitionId> partitions, const Processors& members,
    const std::map<PartitionId, MemberId>& held = {});

// The next partition that should move, with all owners at work: from the holder
// with the highest load, if a larger member would have less than a third of
// that. One at a time for all members; empty if there is none.
struct Relocation {
  PartitionId partition;
  MemberId from;
  bool operator==(const Relocation&) const = default;
};
std::optional<Relocation> NextRelocation(
    const Processors& members, const std::map<PartitionId, MemberId>& held);

// Those partitions of `holder` that it should not claim again after it has lost
// them: a larger member would have less than half of its load with them.
std::set<PartitionId> PartitionsToLeave(
    const MemberId& holder, const Processors& members,
    const std::map<PartitionId, MemberId>& held);

// Bounded news of n members come round in a time that grows with n. The silence
// that raises suspicion: `base` up to kSuspicionMembers, in proportion above.
inline constexpr int64_t kSuspicionMembers = 8;
Duration SuspicionAfter(Duration base, int64_t members);

// ---------------------------------------------------------------------------
// The agent

struct Options {
  Duration lease_ttl{3'000};
  Duration watch_wait{1'000};
  int64_t page_entries = 1'000;  // Of a listing.
  Duration gossip_interval{1'000};
  Duration gossip_timeout{1'000};
  Duration suspect_after{5'000};  // Of silence; see SuspicionAfter.
  Duration min_backoff{100};      // After a failed request, jittered.
  Duration max_backoff{1'000};
  int64_t gossip_fanout = 3;
  int64_t news_bound = 8;  // Members told of in one message.
  uint64_t seed = 1;       // Of jitter and of the choice of peers.
  // Partitions stay with a holder that lives; else they are dealt out anew with
  // each change of the members.
  bool keep_holders = false;
};

struct Member {
  MemberRecord record;
  bool suspected = false;  // Not heard of for SuspicionAfter().
  std::optional<entry::MemberNews> news;
  MonotonicTime since{};  // When its member key was first seen here.
};

// A member key's end, as it was seen here.
struct Departure {
  MonotonicTime at;
  bool leaving = false;    // The member had said that it would leave.
  int64_t millicores = 0;  // It had; 0 if it held no partitions.
};

// Who holds a partition, as the store last showed it.
struct Claim {
  MemberId member;      // Empty: nobody.
  std::string address;  // Empty: the holder's member key is gone.
  Epoch epoch;
  store::Version version = store::kAbsent;  // For the conditional write.
  // When others may take it if the holder's member key is still gone by then.
  MonotonicTime free_at{};
  MonotonicTime since{};  // When this version was first seen here.
  // Of the holder, if its member key was seen here before it went.
  std::optional<Departure> departure{};
};

// Sent to subscribers when they subscribe and on each change.
struct View {
  bool known = false;                  // The store was read at least once.
  std::map<MemberId, Member> members;  // With a member key; this one included.
  std::map<PartitionId, Claim> claims;
  std::vector<PartitionId> wanted;  // Partitions this member should hold.
  // That this member should hand over if it holds it.
  std::optional<PartitionId> relocate{};
  // Claims of this member that it should give back if it doesn't hold them.
  std::set<PartitionId> leave{};
  bool lease_ok = false;  // The lease stands as far as is known.
  // Counted from the send of the last renewal that succeeded: before it the
  // store cannot have dropped the lease.
  MonotonicTime lease_valid_until;
  // The lease itself. As long as it is the same one, this member's key has been
  // in the store without a gap.
  std::string lease;  // Empty: none.
  // When that renewal was sent; kept when the lease is lost.
  MonotonicTime lease_renewed{};
};

// A grant or renewal of the lease failed.
struct LeaseFailed {
  store::Error error;
  MonotonicTime sent;
  MonotonicTime answered;
};

struct Subscribe {
  task::Address<View> subscriber;
  task::Address<LeaseFailed> lease_failures{};  // May be left out.
};
// A peer's exchange.
struct GossipReceived {
  entry::Gossip gossip;
  entry::Responder responder;
};
// What this member tells of itself.
struct SelfChanged {
  Revision revision;
  Duration store_contact_age{0};
  std::vector<PartitionId> owned;
};
// The partitions to be dealt out, from now on.
struct SetPartitions {
  std::vector<PartitionId> partitions;
};
// Gives the lease back, so that others may claim what this member holds, and
// asks for another one.
struct GiveLeaseBack {};
// Asks others to want what this member holds; the lease stays.
struct Drain {};
// Gives the lease back; `done` is told when that was tried.
struct Left {};
struct Leave {
  task::Address<Left> done;
};
using Message = std::variant<Subscribe, GossipReceived, SelfChanged,
                             SetPartitions, GiveLeaseBack, Drain, Leave>;

class Agent {
 public:
  Agent(task::Loop& loop, Options options, MemberRecord self,
        std::vector<PartitionId> partitions,
        task::Address<store::Request> store, task::Address<entry::Call> peers);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  task::Address<Message> address() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace azurepass::membership

#endif  // AZUREPASS_MEMBERSHIP_MEMBERSHIP_H_
