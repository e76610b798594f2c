// The agent: holds this member's lease, follows the store's list of members and
// claims, and gossips.
//
// The lease. Its validity is counted from the send of the request that granted
// or renewed it: the store starts counting later, so until then it stands. A
// renewal whose answer is lost therefore costs validity, never truth. For the
// same reason the next renewal is timed by the send of the one before and does
// not wait for its answer: a slow answer would use up the validity twice.
// Grants and writes of the member key are repeated as often. When the store
// says that the lease is lost, a new one is asked for; what was held under the
// old one may be somebody else's by then, which is the claims' matter, not the
// lease's.

#include <glog/logging.h>

#include <algorithm>
#include <random>
#include <set>
#include <utility>

#include "azurepass/follow/follow.h"
#include "azurepass/logging/logging.h"
#include "azurepass/membership/membership.h"

namespace azurepass::membership {
namespace {

MonotonicTime Now() { return BootClock::now(); }

// Departures remembered, to tell of a claim's holder that is gone.
constexpr size_t kDeparturesKept = 256;
// Lines about the lease in a second.
constexpr int64_t kLeaseLinesPerSecond = 4;
// A renewal is logged if less than this part of the validity was left.
constexpr int64_t kShortPart = 4;

int64_t Millis(std::chrono::nanoseconds elapsed) {
  return std::chrono::duration_cast<Duration>(elapsed).count();
}

struct LeaseAnswered {
  MonotonicTime sent;
  store::GrantReply reply;
};
struct RenewalAnswered {
  std::string lease;
  MonotonicTime sent;
  store::RenewReply reply;
};
struct KeyAnswered {
  std::string lease;
  MonotonicTime sent;
  bool leaving = false;  // As it was written.
  store::WriteReply reply;
};
struct GossipAnswered {
  entry::CallResult result;
};
using Inner = std::variant<Message, follow::Event, LeaseAnswered,
                           RenewalAnswered, KeyAnswered, GossipAnswered>;

follow::Options FollowOptionsOf(const Options& options) {
  return {std::string(kPrefix), options.watch_wait,   options.min_backoff,
          options.max_backoff,  options.page_entries, options.seed};
}

entry::MemberNews NewsOf(const MemberRecord& record) {
  entry::MemberNews news;
  news.member = record.member;
  news.address = record.address;
  news.incarnation = record.incarnation;
  news.store_contact_age = Duration::max();
  return news;
}

// The store's content below kPrefix.
class Content {
 public:
  // What is known of a member key.
  struct Listed {
    MemberRecord record;
    MonotonicTime since;  // When the key was first seen here.
  };

  void Apply(const follow::Replaced& replaced, MonotonicTime now) {
    const auto before = std::exchange(members_, {});
    const auto claims_before = std::exchange(claims_, {});
    for (const store::Entry& entry : replaced.listing.entries) {
      Put(entry, now);
    }
    for (auto& [member, listed] : members_) {
      auto found = before.find(member);
      if (found != before.end()) listed.since = found->second.since;
    }
    for (const auto& [member, listed] : before) {
      if (!members_.contains(member)) Depart(member, listed, now);
    }
    for (auto& [partition, claim] : claims_) {
      auto found = claims_before.find(partition);
      if (found != claims_before.end() &&
          found->second.version == claim.version) {
        claim.since = found->second.since;
      }
    }
    known_ = true;
  }

  void Apply(const follow::Changed& changed, MonotonicTime now) {
    for (const store::Change& change : changed.changes.changes) {
      if (change.entry) {
        Put(*change.entry, now);
        continue;
      }
      std::erase_if(members_, [&](const auto& item) {
        if (StoreKey(item.first) != change.key) return false;
        Depart(item.first, item.second, now);
        return true;
      });
      std::erase_if(claims_, [&](const auto& item) {
        return StoreKey(item.first) == change.key;
      });
    }
  }

  bool known() const { return known_; }
  const std::map<MemberId, Listed>& members() const { return members_; }
  const std::map<PartitionId, Claim>& claims() const { return claims_; }
  const std::map<MemberId, Departure>& departed() const { return departed_; }
  // Empty for a member whose key is there, or was never seen.
  std::optional<Departure> DepartureOf(const MemberId& member) const {
    const auto found = departed_.find(member);
    if (found == departed_.end()) return std::nullopt;
    return found->second;
  }

 private:
  void Depart(const MemberId& member, const Listed& listed, MonotonicTime now) {
    const bool takes = listed.record.role == Role::kScheduler;
    departed_[member] = {now, listed.record.leaving,
                         takes ? listed.record.millicores : 0};
    if (departed_.size() <= kDeparturesKept) return;
    departed_.erase(std::min_element(departed_.begin(), departed_.end(),
                                     [](const auto& a, const auto& b) {
                                       return a.second.at < b.second.at;
                                     }));
  }

  void Put(const store::Entry& entry, MonotonicTime now) {
    if (auto member = DecodeMember(entry.value);
        member && StoreKey(member->member) == entry.key) {
      const MemberId id = member->member;
      auto [at, inserted] = members_.try_emplace(id);
      if (inserted) at->second.since = now;
      at->second.record = *std::move(member);
      departed_.erase(id);
    }
    auto claim = DecodeClaim(entry.value);
    if (!claim || StoreKey(claim->partition) != entry.key) return;
    Claim& held = claims_[claim->partition];
    if (held.version > entry.version) return;
    const MonotonicTime since =
        held.version == entry.version ? held.since : now;
    held = Claim();
    held.member = claim->member;
    held.epoch = claim->epoch;
    held.version = entry.version;
    held.since = since;
  }

  bool known_ = false;
  std::map<MemberId, Listed> members_;
  std::map<PartitionId, Claim> claims_;  // Without addresses.
  // Members without a key. Invariant: at most kDeparturesKept.
  std::map<MemberId, Departure> departed_;
};

}  // namespace

class Agent::Impl {
 public:
  Impl(task::Loop& loop, Options options, MemberRecord self,
       std::vector<PartitionId> partitions, task::Address<store::Request> store,
       task::Address<entry::Call> peers)
      : options_(options),
        self_(std::move(self)),
        partitions_(std::move(partitions)),
        store_(store),
        client_(std::move(peers)),
        table_(NewsOf(self_)),
        departures_(options_.lease_ttl),
        random_(options_.seed),
        backoff_(options_.min_backoff),
        key_backoff_(options_.min_backoff),
        lease_timer_(loop),
        key_timer_(loop),
        lapse_timer_(loop),
        departure_timer_(loop),
        gossip_timer_(loop),
        mailbox_(loop, [this](Inner m) { Handle(std::move(m)); }),
        follower_(loop, FollowOptionsOf(options_), std::move(store),
                  mailbox_.address()) {
    lease_timer_.After(Duration(0), [this] { AskForLease(); });
    gossip_timer_.After(Jittered(options_.gossip_interval),
                        [this] { GossipRound(); });
  }

  task::Address<Message> address() const { return mailbox_.address(); }

 private:
  void Handle(Inner message) {
    std::visit(
        Visitor{[this](Message& m) { HandleMessage(std::move(m)); },
                [this](const follow::Event& m) { OnStoreEvent(m); },
                [this](const LeaseAnswered& m) { OnLease(m); },
                [this](const RenewalAnswered& m) { OnRenewal(m); },
                [this](const KeyAnswered& m) { OnKeyWritten(m); },
                [this](const GossipAnswered& m) { OnGossipAnswered(m); }},
        message);
  }

  void HandleMessage(Message message) {
    std::visit(
        Visitor{[this](Subscribe& m) {
                  subscribers_.push_back(std::move(m.subscriber));
                  subscribers_.back().Send(MakeView());
                  if (m.lease_failures) {
                    failure_subscribers_.push_back(std::move(m.lease_failures));
                  }
                },
                [this](const GossipReceived& m) { OnGossip(m); },
                [this](SelfChanged& m) { told_ = std::move(m); },
                [this](SetPartitions& m) {
                  partitions_ = std::move(m.partitions);
                  Publish();
                },
                [this](const GiveLeaseBack&) { OnGiveLeaseBack(); },
                [this](const Drain&) { StartDrain(); },
                [this](const Leave& m) { LeaveNow(m); }},
        message);
  }

  // --- The lease and the member key

  void AskForLease() {
    if (left_) return;
    grant_sent_ = Now();
    store_.Send(store::GrantLease{
        options_.lease_ttl, mailbox_.address().Map<store::GrantReply>(
                                [sent = grant_sent_](store::GrantReply reply) {
                                  return LeaseAnswered{sent, std::move(reply)};
                                })});
    lease_timer_.After(Jittered(options_.lease_ttl / 3),
                       [this] { AskForLease(); });
  }

  // The first lease that is granted counts; those asked for beside it go back.
  void OnLease(const LeaseAnswered& answered) {
    const auto* granted = std::get_if<store::LeaseGranted>(&answered.reply);
    const bool needed = lease_.empty() && !left_;
    if (granted == nullptr) {
      OnLeaseFailed("not_granted", {std::get<store::Error>(answered.reply),
                                    answered.sent, Now()});
      const bool latest = answered.sent == grant_sent_;
      if (needed && latest) RetryLeaseWork([this] { AskForLease(); });
      return;
    }
    if (!needed) return store_.Send(store::RevokeLease{granted->lease});
    lease_ = granted->lease;
    backoff_ = options_.min_backoff;
    departures_.OnTrouble(Now());
    LogLease("granted", answered.sent);
    OnLeaseStands(answered.sent);
    RenewAt(answered.sent + Jittered(options_.lease_ttl / 3));
    WriteKey();
  }

  void WriteKey() {
    if (lease_.empty() || left_) return;
    key_sent_ = Now();
    store_.Send(store::Put{
        StoreKey(self_.member), Encode(self_), std::nullopt, lease_,
        mailbox_.address().Map<store::WriteReply>(
            [lease = lease_, sent = key_sent_,
             leaving = self_.leaving](store::WriteReply reply) {
              return KeyAnswered{lease, sent, leaving, std::move(reply)};
            })});
    key_timer_.After(Jittered(options_.lease_ttl / 3), [this] { WriteKey(); });
  }

  void OnKeyWritten(const KeyAnswered& answered) {
    if (answered.lease != lease_) return;
    auto* error = std::get_if<store::Error>(&answered.reply);
    if (error == nullptr) {
      key_backoff_ = options_.min_backoff;
      if (answered.leaving == self_.leaving) key_timer_.Cancel();
      if (!std::exchange(key_written_, true)) Publish();
      return;
    }
    if (error->code == store::ErrorCode::kLeaseLost) {
      return OnLeaseLost(*error, answered.sent);
    }
    OnLeaseFailed("key_not_written", {*error, answered.sent, Now()});
    // Writing it again does no harm, whatever became of this write.
    const bool latest = answered.sent == key_sent_;
    if (latest && key_timer_.active())
      RetryAfter(key_timer_, key_backoff_, [this] { WriteKey(); });
  }

  void RenewAt(MonotonicTime at) {
    renewal_due_ = at;
    lease_timer_.After(
        std::max(Duration(0), std::chrono::ceil<Duration>(at - Now())),
        [this] { Renew(); });
  }

  void Renew() {
    renewal_sent_ = Now();
    renewal_late_ = std::max(renewal_sent_, renewal_due_) - renewal_due_;
    store_.Send(store::RenewLease{
        lease_, mailbox_.address().Map<store::RenewReply>(
                    [lease = lease_, sent = renewal_sent_](auto reply) {
                      return RenewalAnswered{lease, sent, std::move(reply)};
                    })});
    RenewAt(renewal_sent_ + Jittered(options_.lease_ttl / 3));
  }

  void OnRenewal(const RenewalAnswered& answered) {
    if (answered.lease != lease_) return;
    auto* error = std::get_if<store::Error>(&answered.reply);
    if (error == nullptr) {
      backoff_ = options_.min_backoff;
      const bool was_short =
          lease_valid_until_ - Now() < options_.lease_ttl / kShortPart;
      if (failures_ > 0 || was_short) LogLease("renewed", answered.sent);
      return OnLeaseStands(answered.sent);
    }
    if (error->code == store::ErrorCode::kLeaseLost) {
      return OnLeaseLost(*error, answered.sent);
    }
    OnLeaseFailed("not_renewed", {*error, answered.sent, Now()});
    // A later one is under way.
    if (answered.sent != renewal_sent_) return;
    RetryLeaseWork([this] { Renew(); });
  }

  // Answers of renewals may come out of order.
  void OnLeaseStands(MonotonicTime sent) {
    lease_valid_until_ =
        std::max(lease_valid_until_, sent + options_.lease_ttl);
    lease_renewed_ = std::max(lease_renewed_, sent);
    failures_ = 0;
    lapse_timer_.After(std::chrono::ceil<Duration>(lease_valid_until_ - Now()),
                       [this] { Publish(); });
    Publish();
  }

  void OnLeaseLost(const store::Error& error, MonotonicTime sent) {
    OnLeaseFailed("lost", {error, sent, Now()});
    ReplaceLease();
  }

  // What hangs on it is free for others even if no answer comes any more.
  void OnGiveLeaseBack() {
    if (lease_.empty() || left_) return;
    store_.Send(store::RevokeLease{lease_});
    ReplaceLease();
  }

  void ReplaceLease() {
    lease_timer_.Cancel();
    key_timer_.Cancel();
    ForgetLease();
    departures_.OnTrouble(Now());
    Publish();
    AskForLease();
  }

  void ForgetLease() {
    lease_.clear();
    lease_valid_until_ = MonotonicTime();
    key_written_ = false;
  }

  void OnLeaseFailed(std::string_view outcome, const LeaseFailed& failed) {
    ++failures_;
    departures_.OnTrouble(Now());
    LogLease(outcome, failed.sent, &failed.error);
    for (const auto& subscriber : failure_subscribers_) {
      subscriber.Send(failed);
    }
  }

  // `left_ms` is what is left of the lease's validity, negative once that is
  // over; `timer_late_ms` how late the last renewal was sent.
  void LogLease(std::string_view outcome, MonotonicTime sent,
                const store::Error* error = nullptr) {
    const MonotonicTime now = Now();
    if (!lease_lines_.Take(now)) return;
    LOG(INFO) << "event=lease outcome=" << outcome
              << " member=" << self_.member.value()
              << " left_ms=" << TextOfMillis(lease_valid_until_, now, 1)
              << " renewed_age_ms=" << TextOfMillis(lease_renewed_, now, -1)
              << " took_ms=" << Millis(now - sent)
              << " timer_late_ms=" << Millis(renewal_late_)
              << " failures=" << failures_
              << (error == nullptr
                      ? std::string()
                      : " code=" +
                            std::string(store::ErrorCodeName(error->code)) +
                            " reason=\"" + error->message + "\"")
              << logging::LeftOutText(lease_lines_.TakeLeftOut());
  }

  // The time from `now` to `at`, times `sign`.
  static std::string TextOfMillis(MonotonicTime at, MonotonicTime now,
                                  int64_t sign) {
    if (at == MonotonicTime()) return "none";
    return std::to_string(sign * Millis(at - now));
  }

  void RetryLeaseWork(std::function<void()> work) {
    renewal_due_ = Now() + RetryAfter(lease_timer_, backoff_, std::move(work));
  }

  // Returns the delay.
  Duration RetryAfter(task::Timer& timer, Duration& backoff,
                      std::function<void()> work) {
    const Duration delay = Jittered(backoff);
    timer.After(delay, std::move(work));
    backoff = std::min(2 * backoff, options_.max_backoff);
    return delay;
  }

  void StartDrain() {
    if (std::exchange(self_.leaving, true)) return;
    WriteKey();
    Publish();
  }

  void LeaveNow(const Leave& leave) {
    left_ = true;
    lease_timer_.Cancel();
    key_timer_.Cancel();
    gossip_timer_.Cancel();
    if (!lease_.empty()) store_.Send(store::RevokeLease{lease_});
    ForgetLease();
    Publish();
    leave.done.Send(Left{});
  }

  // --- The store's list

  void OnStoreEvent(const follow::Event& event) {
    const MonotonicTime now = Now();
    std::visit(
        Visitor{[&](const follow::Replaced& replaced) { Apply(replaced, now); },
                [&](const follow::Changed& changed) {
                  if (changed.changes.changes.empty()) return;
                  Apply(changed, now);
                },
                // Watches are cut at any time; renewals tell of trouble.
                [](const follow::Failed& /*failed*/) {}},
        event);
  }

  template <class Event>
  void Apply(const Event& event, MonotonicTime now) {
    const bool first = !content_.known();
    const auto before = content_.members();
    content_.Apply(event, now);
    if (first) NoteMissingHolders(now);
    NoteDepartures(before, now);
    Publish();
  }

  void NoteMissingHolders(MonotonicTime now) {
    departures_.OnTrouble(now);
    for (const auto& [partition, claim] : content_.claims()) {
      const bool there =
          claim.member.empty() || content_.members().contains(claim.member);
      if (!there) departures_.OnGone(claim.member, now);
    }
  }

  // A member that was leaving is not waited for.
  void NoteDepartures(const std::map<MemberId, Content::Listed>& before,
                      MonotonicTime now) {
    const auto& present = content_.members();
    for (const auto& [member, listed] : before) {
      const bool gone = !present.contains(member) && !listed.record.leaving;
      if (gone) departures_.OnGone(member, now);
    }
    for (const auto& [member, listed] : present) departures_.OnBack(member);
  }

  // --- Gossip

  void GossipRound() {
    table_.Beat(told_.revision, told_.store_contact_age, told_.owned);
    std::vector<MemberId> candidates;
    for (const auto& [member, listed] : content_.members()) {
      if (member != self_.member) candidates.push_back(member);
    }
    const std::vector<MemberId> peers = ChooseGossipPeers(
        std::move(candidates), options_.gossip_fanout, random_());
    for (const MemberId& peer : peers) {
      SendGossip(content_.members().at(peer).record.address);
    }
    if (SuspicionChanged()) Publish();
    gossip_timer_.After(Jittered(options_.gossip_interval),
                        [this] { GossipRound(); });
  }

  void SendGossip(const std::string& address) {
    client_.Send({address,
                  entry::Gossip{
                      table_.NewsToSend(options_.news_bound, random_(), Now())},
                  options_.gossip_timeout,
                  mailbox_.address().Map<entry::CallResult>(
                      [](entry::CallResult result) {
                        return GossipAnswered{std::move(result)};
                      })});
  }

  // The answer tells of this member alone.
  void OnGossip(const GossipReceived& received) {
    const MonotonicTime now = Now();
    table_.Merge(received.gossip.news, now);
    received.responder.Answer(
        entry::Gossip{table_.NewsToSend(1, random_(), now)});
  }

  void OnGossipAnswered(const GossipAnswered& answered) {
    auto* response = std::get_if<entry::Response>(&answered.result);
    if (response == nullptr) return;
    auto* gossip = std::get_if<entry::Gossip>(response);
    if (gossip != nullptr) table_.Merge(gossip->news, Now());
  }

  bool IsSuspected(const MemberId& member, MonotonicTime since,
                   MonotonicTime now) const {
    if (member == self_.member) return false;
    const MonotonicTime heard = table_.HeardAt(member).value_or(since);
    const auto members = static_cast<int64_t>(content_.members().size());
    return now - std::max(heard, since) >
           SuspicionAfter(options_.suspect_after, members);
  }

  bool SuspicionChanged() const {
    const MonotonicTime now = Now();
    return std::any_of(content_.members().begin(), content_.members().end(),
                       [&](const auto& item) {
                         return IsSuspected(item.first, item.second.since,
                                            now) !=
                                suspected_.contains(item.first);
                       });
  }

  // --- Subscribers

  // Those that may hold partitions; only those whose keys have been here for
  // one lease, and this one, if `settled`.
  Processors Schedulers(bool settled) const {
    const MonotonicTime now = Now();
    Processors schedulers;
    for (const auto& [member, listed] : content_.members()) {
      const bool takes =
          listed.record.role == Role::kScheduler && !listed.record.leaving;
      const bool young =
          member != self_.member && now - listed.since < options_.lease_ttl;
      if (takes && !(settled && young)) {
        schedulers[member] = listed.record.millicores;
      }
    }
    return schedulers;
  }

  // The claim of a holder that went is not left to a member that has just come:
  // that one gives the holder a lease to return, and others may come meanwhile.
  std::vector<PartitionId> Wanted() const {
    std::vector<PartitionId> wanted;
    if (self_.leaving || left_) return wanted;
    std::map<PartitionId, MemberId> held;
    std::set<PartitionId> abandoned;
    for (const auto& [partition, claim] : content_.claims()) {
      if (options_.keep_holders) held[partition] = claim.member;
      const bool gone =
          !claim.member.empty() && !content_.members().contains(claim.member);
      if (gone) abandoned.insert(partition);
    }
    const auto add = [&](bool of_abandoned) {
      for (const auto& [partition, member] :
           Assign(partitions_, Schedulers(of_abandoned), held)) {
        const bool ours = member == self_.member;
        if (ours && abandoned.contains(partition) == of_abandoned) {
          wanted.push_back(partition);
        }
      }
    };
    add(/*of_abandoned=*/false);
    if (!abandoned.empty()) add(/*of_abandoned=*/true);
    return wanted;
  }

  std::map<PartitionId, MemberId> Held() const {
    std::map<PartitionId, MemberId> held;
    for (const auto& [partition, claim] : content_.claims()) {
      held[partition] = claim.member;
    }
    return held;
  }

  // This member and the others that could take partitions up; also those that
  // are gone and may return.
  struct Candidates {
    Candidate self;
    std::vector<Candidate> others;
  };
  Candidates CandidatesNow() const {
    std::map<MemberId, int64_t> partitions;
    for (const auto& [partition, member] : Held()) ++partitions[member];
    Candidates candidates;
    candidates.self.partitions = partitions[self_.member];
    candidates.self.millicores = self_.millicores;
    for (const auto& [member, millicores] : Schedulers(/*settled=*/false)) {
      if (member == self_.member) continue;
      candidates.others.push_back({partitions[member], millicores, true,
                                   content_.members().at(member).since});
    }
    for (const auto& [member, departure] : content_.departed()) {
      if (departure.leaving || departure.millicores == 0) continue;
      candidates.others.push_back(
          {0, departure.millicores, false, departure.at});
    }
    return candidates;
  }

  // When this member may claim what `holder` has, which is gone.
  MonotonicTime FreeAt(const MemberId& holder,
                       const Candidates& candidates) const {
    const MonotonicTime free_at = departures_.FreeAt(holder);
    const auto gone_at = departures_.GoneAt(holder);
    if (!gone_at) return free_at;
    return YieldUntil(std::max(free_at, *gone_at), *gone_at, options_.lease_ttl,
                      candidates.self, candidates.others);
  }

  // Members that have been listed for so long and are heard of; this one in any
  // case.
  Processors Reliable(Duration listed) const {
    const MonotonicTime now = Now();
    Processors members = Schedulers(/*settled=*/true);
    std::erase_if(members, [&](const auto& item) {
      if (item.first == self_.member) return false;
      const MonotonicTime seen = content_.members().at(item.first).since;
      return now - seen < listed || IsSuspected(item.first, seen, now);
    });
    return members;
  }

  // Without a lease that is certain, claims may have changed unseen.
  bool MayMove() const {
    return options_.keep_holders && !self_.leaving && !left_ && key_written_ &&
           failures_ == 0 && Now() < lease_valid_until_;
  }

  // Only after a time without changes: a handover beside others, or to a member
  // that comes and goes, would leave work undone for longer than it gains.
  std::optional<PartitionId> Relocate() const {
    constexpr int kCalmLeases = 4;
    const Duration calm = kCalmLeases * options_.lease_ttl;
    if (!MayMove()) return std::nullopt;
    const MonotonicTime now = Now();
    const bool is_calm = std::all_of(
        partitions_.begin(), partitions_.end(), [&](const auto& partition) {
          const auto found = content_.claims().find(partition);
          return found != content_.claims().end() &&
                 content_.members().contains(found->second.member) &&
                 now - found->second.since >= calm;
        });
    if (!is_calm) return std::nullopt;
    const auto next = NextRelocation(Reliable(calm), Held());
    if (!next || next->from != self_.member) return std::nullopt;
    return next->partition;
  }

  std::set<PartitionId> ClaimsToLeave() const {
    if (!MayMove()) return {};
    return PartitionsToLeave(self_.member, Reliable(options_.lease_ttl),
                             Held());
  }

  View MakeView() const {
    const MonotonicTime now = Now();
    View view;
    view.known = content_.known();
    for (const auto& [member, listed] : content_.members()) {
      Member& shown = view.members[member];
      shown.record = listed.record;
      shown.suspected = IsSuspected(member, listed.since, now);
      shown.since = listed.since;
      const entry::MemberNews* news = table_.Find(member);
      if (news != nullptr) shown.news = *news;
    }
    view.claims = content_.claims();
    view.wanted = Wanted();
    const Candidates candidates = CandidatesNow();
    for (auto& [partition, claim] : view.claims) {
      auto found = view.members.find(claim.member);
      if (found != view.members.end()) {
        claim.address = found->second.record.address;
      } else {
        claim.free_at = FreeAt(claim.member, candidates);
        claim.departure = content_.DepartureOf(claim.member);
      }
    }
    view.relocate = Relocate();
    view.leave = ClaimsToLeave();
    // Without the key others may already claim what this member holds.
    if (key_written_) {
      view.lease = lease_;
      view.lease_valid_until = lease_valid_until_;
    }
    view.lease_ok = now < view.lease_valid_until;
    view.lease_renewed = lease_renewed_;
    return view;
  }

  void Publish() {
    ForgetOthers();
    const View view = MakeView();
    suspected_.clear();
    for (const auto& [member, shown] : view.members) {
      if (shown.suspected) suspected_.insert(member);
    }
    for (const auto& subscriber : subscribers_) subscriber.Send(view);
    SetDepartureTimer(view);
  }

  // Publishes again when a claim becomes free: members have settled since.
  void SetDepartureTimer(const View& view) {
    const MonotonicTime now = Now();
    std::optional<MonotonicTime> next;
    for (const auto& [partition, claim] : view.claims) {
      if (claim.free_at > now) {
        next = std::min(next.value_or(claim.free_at), claim.free_at);
      }
    }
    if (!next) return departure_timer_.Cancel();
    departure_timer_.After(std::chrono::ceil<Duration>(*next - now),
                           [this] { Publish(); });
  }

  // Drops news of members whose key is gone, so that the table stays bounded.
  void ForgetOthers() {
    for (const MemberId& member : table_.members()) {
      if (!content_.members().contains(member)) table_.Forget(member);
    }
  }

  // At random between three quarters and five quarters.
  Duration Jittered(Duration delay) {
    std::uniform_int_distribution<int64_t> spread(delay.count() * 3 / 4,
                                                  delay.count() * 5 / 4);
    return Duration(spread(random_));
  }

  const Options options_;
  MemberRecord self_;
  std::vector<PartitionId> partitions_;
  const task::Address<store::Request> store_;
  const task::Address<entry::Call> client_;
  Content content_;
  Table table_;
  Departures departures_;
  SelfChanged told_{Revision(), Duration::max(), {}};
  std::set<MemberId> suspected_;  // As subscribers were last told.
  std::mt19937_64 random_;
  Duration backoff_;          // Of grants and renewals.
  Duration key_backoff_;      // Of writes of the member key.
  std::string lease_;         // Empty: none.
  bool key_written_ = false;  // On lease_.
  MonotonicTime lease_valid_until_;
  MonotonicTime lease_renewed_;  // When the last that succeeded was sent.
  MonotonicTime grant_sent_;     // The latest.
  MonotonicTime renewal_sent_;   // The latest.
  MonotonicTime renewal_due_;
  MonotonicTime key_sent_;                    // The latest.
  std::chrono::nanoseconds renewal_late_{0};  // The last one was sent so late.
  int64_t failures_ = 0;                      // Since the last success.
  logging::LineBudget lease_lines_{kLeaseLinesPerSecond};
  bool left_ = false;
  std::vector<task::Address<View>> subscribers_;
  std::vector<task::Address<LeaseFailed>> failure_subscribers_;
  task::Timer lease_timer_;
  task::Timer key_timer_;
  task::Timer lapse_timer_;
  task::Timer departure_timer_;
  task::Timer gossip_timer_;
  task::Mailbox<Inner> mailbox_;
  follow::Follower follower_;
};

Agent::Agent(task::Loop& loop, Options options, MemberRecord self,
             std::vector<PartitionId> partitions,
             task::Address<store::Request> store,
             task::Address<entry::Call> peers)
    : impl_(std::make_shared<Impl>(loop, options, std::move(self),
                                   std::move(partitions), std::move(store),
                                   std::move(peers))) {}

Agent::~Agent() = default;

task::Address<Message> Agent::address() const { return impl_->address(); }

}  // namespace azurepass::membership
