// Steps of kStep. In each, an operator may change a zone through some member
// that reaches the store; each member wants to start one task in a zone picked
// at random, if it thinks that the zone is in service; then each member sends
// and receives what a Keeper would.
//
// The store's content is a list of changes, so that "what a member holds" is
// the number of changes it has seen.

#include "azurepass/configuration/testing/simulation.h"

#include <algorithm>
#include <optional>
#include <random>

namespace azurepass::configuration::testing {
namespace {

constexpr Duration kStep{50};
constexpr Duration kWatchWait{500};
constexpr Duration kPeerInterval{500};
constexpr Duration kContactLimit{2'000};
constexpr int64_t kZones = 3;
constexpr MonotonicTime kStart{std::chrono::hours(1)};

struct Change {
  int64_t zone = 0;
  bool in_service = true;
  MonotonicTime accepted;
};

struct Answer {
  Revision through;
  MonotonicTime arrives;
};

struct MemberState {
  Freshness freshness{kMaxAge, kContactLimit};
  Revision held;
  std::optional<MonotonicTime> watch_sent;  // Empty: none is waiting.
  std::optional<Answer> answer;             // To that watch, on its way.
  MonotonicTime next_ask;
  Freshness::Decision told;  // What the decision task last heard.
};

bool Contains(const std::vector<int64_t>& members, int64_t member) {
  return std::find(members.begin(), members.end(), member) != members.end();
}

class Run {
 public:
  Run(const Scenario& scenario, const StartRule& rule)
      : scenario_(scenario),
        rule_(rule),
        random_(scenario.seed),
        now_(kStart),
        members_(scenario.members) {
    for (int64_t i = 0; i < scenario.members; ++i) {
      std::vector<Peer> peers;
      for (int64_t j = 0; j < scenario.members; ++j) {
        if (j != i) peers.push_back({NameOf(j), "", false});
      }
      members_[i].freshness.SetPeers(std::move(peers));
      members_[i].told = {Stale{}, now_};
    }
  }

  Outcome Finish() {
    while (now_ < kStart + scenario_.length) {
      MaybeChange();
      for (int64_t i = 0; i < scenario_.members; ++i) Work(i);
      for (int64_t i = 0; i < scenario_.members; ++i) ServeMember(i);
      now_ += kStep;
    }
    return outcome_;
  }

 private:
  static MemberId NameOf(int64_t member) {
    return MemberId(std::to_string(member));
  }

  template <class Affects>
  bool IsHit(Affects affects) const {
    return std::any_of(scenario_.faults.begin(), scenario_.faults.end(),
                       [&](const Fault& fault) {
                         return now_ >= kStart + fault.from &&
                                now_ < kStart + fault.until &&
                                std::visit(affects, fault.kind);
                       });
  }
  bool IsFrozen(int64_t member) const {
    return IsHit(
        Visitor{[&](const Frozen& f) { return Contains(f.members, member); },
                [](const auto&) { return false; }});
  }
  bool ReachesStore(int64_t member) const {
    return !IsFrozen(member) &&
           !IsHit(Visitor{
               [](const StoreDown&) { return true; },
               [](const Frozen&) { return false; },
               [](const SlowAnswers&) { return false; },
               [&](const auto& cut) { return Contains(cut.members, member); }});
  }
  Duration AnswerDelay() const {
    Duration delay{0};
    IsHit(Visitor{[&](const SlowAnswers& slow) {
                    delay = std::max(delay, slow.delay);
                    return false;
                  },
                  [](const auto&) { return false; }});
    return delay;
  }
  bool Reach(int64_t a, int64_t b) const {
    return !IsFrozen(a) && !IsFrozen(b) &&
           !IsHit(Visitor{[&](const CutOff& cut) {
                            return Contains(cut.members, a) ||
                                   Contains(cut.members, b);
                          },
                          [&](const Split& split) {
                            return Contains(split.members, a) !=
                                   Contains(split.members, b);
                          },
                          [](const auto&) { return false; }});
  }

  int64_t Pick(int64_t count) {
    return std::uniform_int_distribution<int64_t>(0, count - 1)(random_);
  }
  Revision Newest() const {
    return Revision{static_cast<int64_t>(changes_.size())};
  }

  // An operator's change, through a member that reaches the store.
  void MaybeChange() {
    if (Pick(scenario_.change_interval / kStep) != 0) return;
    const int64_t member = Pick(scenario_.members);
    const int64_t zone = Pick(kZones);
    if (!ReachesStore(member)) return;
    changes_.push_back({zone, !InService(zone, Newest()), now_});
    members_[member].freshness.OnAccepted(Newest());
    ++outcome_.changes;
  }

  bool InService(int64_t zone, Revision held) const {
    for (int64_t i = held.value - 1; i >= 0; --i) {
      if (changes_[i].zone == zone) return changes_[i].in_service;
    }
    return true;
  }

  // What a member's keeper does in one step.
  void ServeMember(int64_t index) {
    if (IsFrozen(index)) return;
    MemberState& member = members_[index];
    WatchStore(index, member);
    if (member.freshness.in_contact(now_) || now_ < member.next_ask) return;
    member.next_ask = now_ + kPeerInterval;
    for (int64_t peer = 0; peer < scenario_.members; ++peer) {
      if (peer != index && Reach(index, peer)) Ask(member, peer);
    }
  }

  void WatchStore(int64_t index, MemberState& member) {
    if (!ReachesStore(index)) {
      if (member.watch_sent) member.freshness.OnStoreFailed();
      member.watch_sent.reset();
      member.answer.reset();
      return;
    }
    if (!member.watch_sent) member.watch_sent = now_;
    const bool due = now_ >= *member.watch_sent + kWatchWait;
    if (!member.answer && (due || member.held < Newest())) {
      member.answer = Answer{Newest(), now_ + AnswerDelay()};
    }
    if (!member.answer || now_ < member.answer->arrives) return;
    member.held = std::max(member.held, member.answer->through);
    member.freshness.OnStoreConfirmed(*member.watch_sent);
    member.answer.reset();
    member.watch_sent = now_;
  }

  void Ask(MemberState& member, int64_t peer) {
    MemberState& asked = members_[peer];
    const bool behind = asked.held < asked.freshness.accepted();
    const Duration age =
        behind ? Duration::max() : asked.freshness.store_contact_age(now_);
    member.held = std::max(member.held, asked.held);
    member.freshness.OnPeerAnswered(
        {NameOf(peer), asked.held, age,
         behind || asked.freshness.in_contact(now_)},
        now_);
  }

  // A thawed member decides before it has heard anything new.
  void Work(int64_t index) {
    MemberState& member = members_[index];
    const int64_t zone = Pick(kZones);
    const bool in_service = InService(zone, Newest());
    if (in_service) ++outcome_.wanted;
    if (IsFrozen(index)) return;
    const bool may_start = MayStartNow(member) && InService(zone, member.held);
    member.told = member.freshness.Decide(member.held, now_);
    if (!may_start) return;
    if (in_service) ++outcome_.started;
    if (!in_service) CountLate(zone);
  }

  bool MayStartNow(const MemberState& member) const {
    const bool valid = now_ < member.told.valid_until;
    return std::visit(
        Visitor{[](const BlindContinuation&) { return true; },
                [&](const AlwaysStop&) {
                  return valid &&
                         std::holds_alternative<Confirmed>(member.told.verdict);
                },
                [&](const FreshnessRule&) {
                  return valid && MayStart(member.told.verdict);
                }},
        rule_);
  }

  void CountLate(int64_t zone) {
    auto taken_out =
        std::find_if(changes_.rbegin(), changes_.rend(),
                     [zone](const Change& c) { return c.zone == zone; });
    const auto late =
        std::chrono::duration_cast<Duration>(now_ - taken_out->accepted);
    outcome_.latest = std::max(outcome_.latest, late);
    if (late > kMaxAge) ++outcome_.violations;
  }

  const Scenario& scenario_;
  const StartRule& rule_;
  std::mt19937_64 random_;
  MonotonicTime now_;
  std::vector<MemberState> members_;
  std::vector<Change> changes_;  // Revision r is the r-th.
  Outcome outcome_;
};

}  // namespace

Outcome Simulate(const Scenario& scenario, const StartRule& rule) {
  return Run(scenario, rule).Finish();
}

}  // namespace azurepass::configuration::testing
