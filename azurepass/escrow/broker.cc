// The task that maintains the ledger entries of a process's partitions.
//
// At most one write of a ledger is in flight. A conflict returns the current
// ledger, and the decision is made again from that. If the outcome of a write
// is unknown, the ledger is read again; its entry shows whether the write took
// effect.
//
// Calls to the store are rare while the limit is ample. The ledger is read
// often for a partition that lacks something, and also for one that has a
// surplus while little is free. What other partitions lack is given back soon.
//
// Giving back takes two steps, because the owner of the partition is another
// task. First the owner is sent a lower target. Once its Demands return the
// sequence of that grant, the ledger is written, with a grant that is not lower
// than the bound in these Demands. Until then the grant in the ledger stays as
// it was.

#include <algorithm>
#include <chrono>
#include <limits>

#include "azurepass/codec/codec.h"
#include "azurepass/escrow/escrow.h"

namespace azurepass::codec {
namespace {
constexpr int64_t kMaxCount = 1'000;  // Of turns and starts in an entry.
}  // namespace

template <>
struct Format<std::pair<PartitionId, escrow::LedgerEntry>> {
  static std::pair<PartitionId, escrow::LedgerEntry> Read(
      ObjectReader& reader) {
    std::pair<PartitionId, escrow::LedgerEntry> entry;
    entry.first = reader.Name<PartitionId>("partition");
    entry.second.granted = reader.Object<Resources>("granted");
    entry.second.wanted = reader.Object<Resources>("wanted");
    // Values written before turns were introduced lack these fields.
    entry.second.in_use = reader.Object<Resources>("held", Resources());
    entry.second.unit = reader.Object<Resources>("unit", Resources());
    entry.second.turn =
        reader.Int("turn", 0, std::numeric_limits<int64_t>::max() / 2, 0);
    entry.second.turns_passed = reader.Int("turns_passed", 0, kMaxCount, 0);
    entry.second.starts_awaited = reader.Int("starts_awaited", 0, kMaxCount, 0);
    return entry;
  }
  static Json Write(const std::pair<PartitionId, escrow::LedgerEntry>& value) {
    Json entry = {{"partition", value.first.value()},
                  {"granted", codec::Write(value.second.granted)},
                  {"wanted", codec::Write(value.second.wanted)},
                  {"held", codec::Write(value.second.in_use)},
                  {"unit", codec::Write(value.second.unit)},
                  {"turn", value.second.turn}};
    // Left out while they are 0, so that versions without them can read it.
    if (value.second.turns_passed > 0) {
      entry["turns_passed"] = value.second.turns_passed;
      entry["starts_awaited"] = value.second.starts_awaited;
    }
    return entry;
  }
};

template <>
struct Format<escrow::Ledger> {
  static escrow::Ledger Read(ObjectReader& reader) {
    escrow::Ledger ledger;
    for (auto& entry :
         reader.Objects<std::pair<PartitionId, escrow::LedgerEntry>>("lines")) {
      ledger.entries.insert(std::move(entry));
    }
    return ledger;
  }
  static Json Write(const escrow::Ledger& value) {
    Json entries = Json::array();
    for (const auto& entry : value.entries) {
      entries.push_back(
          codec::Write(std::pair<PartitionId, escrow::LedgerEntry>(entry)));
    }
    return {{"lines", entries}};
  }
};

}  // namespace azurepass::codec

namespace azurepass::escrow {
namespace {

using Clock = BootClock;

struct LedgerRead {
  TeamId team;
  store::GetReply reply;
};
struct LedgerWritten {
  TeamId team;
  Ledger ledger;
  store::WriteReply reply;
};
using Inbox = std::variant<Message, LedgerRead, LedgerWritten>;

// The partition whose turn it is, and since when the amount that it can reach
// has not changed.
struct TurnState {
  std::optional<PartitionId> partition;
  int64_t number = 0;
  Resources reachable;
  MonotonicTime since;
};

// This process's view of one team's ledger.
struct LedgerState {
  Ledger ledger;
  store::Version version = store::kAbsent;
  bool loaded = false;
  bool busy = false;  // A read or write is in flight.
  // A write whose outcome is not known yet. As it may be in the store already,
  // the owner gets no more than it grants.
  std::optional<Ledger> pending;
  MonotonicTime read_at;
  MonotonicTime tried_at;    // The latest write.
  MonotonicTime written_at;  // The latest write that met no conflict.
  TurnState turn;
};

// The allowance of one team in one partition that was last sent to the owner.
struct SentAllowance {
  Allowance allowance;
  int64_t sequence = 0;  // Of the first Granted with this allowance.
};

// Invariant: `sent_allowances` holds the allowances of the latest Granted.
struct PartitionState {
  task::Address<Granted> listener;
  int64_t sequence = 0;
  Demands demands;
  std::map<TeamId, SentAllowance> sent_allowances;
};

// A published amount may differ from the actual one by up to 1/64 of the limit,
// if the difference prevents no partition from starting anything.
constexpr int64_t kSignificanceDivisor = 64;

bool IsSignificant(int64_t change, int64_t limit) {
  return std::abs(change) * kSignificanceDivisor > limit;
}

// Returns whether the predicate is true of any dimension that has a limit.
template <class Predicate>
bool AnyLimitedDimension(const Resources& limit, Predicate predicate) {
  return std::any_of(
      std::begin(kAllDimensions), std::end(kAllDimensions),
      [&](Dimension d) { return limit[d] < kUnlimitedAmount && predicate(d); });
}

LedgerEntry EntryOf(const Ledger& ledger, const PartitionId& id) {
  const auto found = ledger.entries.find(id);
  return found == ledger.entries.end() ? LedgerEntry{} : found->second;
}

int64_t FreeAmount(const Ledger& ledger, const Resources& limit, Dimension d) {
  int64_t free = limit[d];
  for (const auto& [id, entry] : ledger.entries) free -= entry.granted[d];
  return free;
}

bool HasUnmetWant(const LedgerEntry& entry, const Resources& limit) {
  return AnyLimitedDimension(
      limit, [&](Dimension d) { return entry.wanted[d] > entry.granted[d]; });
}

// Returns whether the other partitions want more than their grants and the free
// amount together.
bool OthersHaveUnmetWants(const Ledger& ledger, const Resources& limit,
                          const PartitionId& partition) {
  return AnyLimitedDimension(limit, [&](Dimension d) {
    int64_t left = FreeAmount(ledger, limit, d);
    for (const auto& [id, entry] : ledger.entries) {
      if (id == partition) continue;
      left -= std::max<int64_t>(0, entry.wanted[d] - entry.granted[d]);
    }
    return left < 0;
  });
}

// Returns whether the entry is a claim: its grant has no room for another unit.
bool IsClaim(const LedgerEntry& entry, const Resources& limit) {
  return entry.unit != Resources() &&
         AnyLimitedDimension(limit, [&](Dimension d) {
           return entry.in_use[d] + entry.unit[d] > entry.granted[d];
         });
}

}  // namespace

class Broker::Impl {
 public:
  Impl(task::Loop& loop, Options options, task::Address<store::Request> store)
      : options_(options),
        store_(std::move(store)),
        mailbox_(loop, [this](Inbox message) { Handle(std::move(message)); }),
        timer_(loop) {
    timer_.Every(options_.raise_interval, [this] { UpdateAll(); });
  }

  task::Address<Message> address() const { return mailbox_.address(); }

 private:
  void Handle(Inbox inbox) {
    std::visit(Visitor{
                   [this](Message& message) { OnMessage(message); },
                   [this](LedgerRead& read) { OnRead(read); },
                   [this](LedgerWritten& written) { OnWritten(written); },
               },
               inbox);
  }

  void OnMessage(Message& message) {
    std::visit(Visitor{
                   [this](AddPartition& added) {
                     partitions_[added.partition].listener = added.listener;
                   },
                   [this](const RemovePartition& removed) {
                     partitions_.erase(removed.partition);
                   },
                   [this](Demands& demands) { OnDemands(demands); },
               },
               message);
  }

  void OnDemands(Demands& demands) {
    const auto found = partitions_.find(demands.partition);
    if (found == partitions_.end()) return;
    found->second.demands = std::move(demands);
    UpdatePartition(found->first, found->second);
  }

  void UpdateAll() {
    for (auto& [id, partition] : partitions_) UpdatePartition(id, partition);
  }

  void UpdatePartition(const PartitionId& id, PartitionState& partition) {
    for (const auto& [team, demand] : partition.demands.teams) {
      UpdateLedger(id, partition, team, demand);
    }
    SendAllowances(id, partition);
  }

  void UpdateLedger(const PartitionId& id, const PartitionState& partition,
                    const TeamId& team, const Demand& demand) {
    LedgerState& state = ledgers_[team];
    if (state.busy) return;
    const bool stale = Clock::now() - state.read_at >
                       RefreshInterval(id, state.ledger, demand);
    if (!state.loaded || stale) {
      const bool needed = demand.need.wanted != Resources() ||
                          state.ledger.entries.contains(id);
      if (needed || !state.loaded) Read(team, state);
      return;
    }
    Ledger updated = ProposedLedger(id, partition, team, demand, state.ledger);
    if (TurnTimedOut(id, state, demand)) {
      updated = PassTurn(updated, demand.limit);
    }
    if (updated == state.ledger ||
        !WriteIsDue(id, state, updated, demand.limit)) {
      return;
    }
    Write(team, state, std::move(updated));
  }

  Duration RefreshInterval(const PartitionId& id, const Ledger& ledger,
                           const Demand& demand) const {
    // The free amount is low if it is below 1/2 of the limit.
    constexpr int64_t kLowFreeDivisor = 2;
    LedgerEntry entry = EntryOf(ledger, id);
    entry.wanted = demand.need.wanted;
    const bool others_may_lack =
        AnyLimitedDimension(demand.limit, [&](Dimension d) {
          return entry.granted[d] > entry.wanted[d] &&
                 FreeAmount(ledger, demand.limit, d) * kLowFreeDivisor <
                     demand.limit[d];
        });
    return others_may_lack || HasUnmetWant(entry, demand.limit)
               ? options_.shortage_refresh_interval
               : options_.refresh_interval;
  }

  // Returns whether the amount that is reachable in the current turn has not
  // changed for more than turn_timeout while partition `id` has a claim. The
  // turn may belong to `id` or to a partition ahead of it.
  bool TurnTimedOut(const PartitionId& id, LedgerState& state,
                    const Demand& demand) const {
    const auto holder = TurnHolder(state.ledger, demand.limit);
    if (!holder) {
      state.turn.partition.reset();
      return false;
    }
    const int64_t number = state.ledger.entries.at(*holder).turn;
    const Resources reachable =
        GrantPlusFree(state.ledger, demand.limit, *holder);
    TurnState& turn = state.turn;
    if (turn.partition != holder || turn.number != number ||
        turn.reachable != reachable) {
      turn = {holder, number, reachable, Clock::now()};
    }
    return Clock::now() - turn.since > options_.turn_timeout &&
           IsClaim(EntryOf(state.ledger, id), demand.limit);
  }

  // Returns the ledger that UpdateGrant computes, but with a grant that is not
  // lower than what the owner may still use. Returns `ledger` unchanged if the
  // difference is not worth a write.
  static Ledger ProposedLedger(const PartitionId& id,
                               const PartitionState& partition,
                               const TeamId& team, const Demand& demand,
                               const Ledger& ledger) {
    Ledger updated = UpdateGrant(ledger, demand.limit, id, demand.need);
    const auto before = ledger.entries.find(id);
    if (before == ledger.entries.end()) return updated;
    const Resources floor = Resources::Min(
        before->second.granted, AppliedBound(partition, team, demand));
    // An entry that wants nothing any more keeps its turn while it has a grant.
    const auto [kept, is_gone] = updated.entries.try_emplace(id);
    LedgerEntry& entry = kept->second;
    if (is_gone) entry.turn = before->second.turn;
    entry.granted = Resources::Max(entry.granted, floor);
    if (entry.granted == before->second.granted &&
        entry.turn == before->second.turn &&
        !WantChanged(ledger, before->second, entry, demand.limit) &&
        !ClaimChanged(before->second, entry, demand.limit)) {
      return ledger;
    }
    if (entry.granted == Resources() && entry.wanted == Resources()) {
      updated.entries.erase(id);
    }
    return updated;
  }

  // Returns the largest amount that the owner may be using.
  static Resources AppliedBound(const PartitionState& partition,
                                const TeamId& team, const Demand& demand) {
    const auto sent = partition.sent_allowances.find(team);
    const bool applied =
        sent != partition.sent_allowances.end() &&
        partition.demands.applied_sequence >= sent->second.sequence;
    return applied ? demand.bound : kUnlimited;
  }

  // Returns whether the published want has to be updated: it appeared or
  // vanished, changed by more than a quarter, or was lowered while the outdated
  // value makes the limit appear short.
  static bool WantChanged(const Ledger& ledger, const LedgerEntry& before,
                          const LedgerEntry& after, const Resources& limit) {
    return AnyLimitedDimension(limit, [&](Dimension d) {
      const int64_t change = after.wanted[d] - before.wanted[d];
      if (change == 0) return false;
      if (before.wanted[d] == 0 || after.wanted[d] == 0) return true;
      if (!IsSignificant(change, limit[d])) return false;
      int64_t wanted = 0;
      for (const auto& [id, entry] : ledger.entries) wanted += entry.wanted[d];
      const bool makes_short = change < 0 && wanted > limit[d];
      return makes_short ||
             std::abs(change) * 4 > std::max(before.wanted[d], after.wanted[d]);
    });
  }

  // Returns whether a claim has to be published or updated: a partition that
  // can't start one unit publishes precisely what it needs for that unit.
  static bool ClaimChanged(const LedgerEntry& before, const LedgerEntry& after,
                           const Resources& limit) {
    if (!IsClaim(after, limit)) return false;
    return !IsClaim(before, limit) ||
           AnyLimitedDimension(limit, [&](Dimension d) {
             const int64_t change = after.in_use[d] + after.unit[d] -
                                    before.in_use[d] - before.unit[d];
             return change > 0 || IsSignificant(change, limit[d]);
           });
  }

  // Returns whether enough time has passed since the last write. Raising a
  // grant is urgent, and so is a change that other partitions wait for; other
  // changes are not.
  bool WriteIsDue(const PartitionId& id, const LedgerState& state,
                  const Ledger& updated, const Resources& limit) const {
    const LedgerEntry before = EntryOf(state.ledger, id);
    const LedgerEntry after = EntryOf(updated, id);
    Duration interval = options_.release_interval;
    if (!after.granted.FitsIn(before.granted)) {
      interval = options_.raise_interval;
    } else if (IsClaim(after, limit) ||
               OthersHaveUnmetWants(state.ledger, limit, id)) {
      interval = options_.claim_interval;
    }
    const MonotonicTime now = Clock::now();
    return now - state.tried_at >= options_.raise_interval &&
           now - state.written_at >= interval;
  }

  void Read(const TeamId& team, LedgerState& state) {
    state.busy = true;
    task::Address<Inbox> inbox = mailbox_.address();
    store_.Send(store::Get{
        LedgerKey(team), inbox.Map<store::GetReply>([team](store::GetReply r) {
          return Inbox(LedgerRead{team, std::move(r)});
        })});
  }

  void Write(const TeamId& team, LedgerState& state, Ledger updated) {
    state.busy = true;
    state.pending = updated;
    state.tried_at = Clock::now();
    task::Address<Inbox> inbox = mailbox_.address();
    store::Put put;
    put.key = LedgerKey(team);
    put.value = codec::Write(updated).dump();
    put.expected = state.version;
    put.reply_to = inbox.Map<store::WriteReply>(
        [team, updated = std::move(updated)](store::WriteReply r) {
          return Inbox(LedgerWritten{team, updated, std::move(r)});
        });
    store_.Send(std::move(put));
  }

  void OnRead(LedgerRead& read) {
    LedgerState& state = ledgers_[read.team];
    state.busy = false;
    std::visit(Visitor{
                   [&](const store::Value& value) {
                     ReplaceLedger(state, value.entry);
                   },
                   // The ledger is read again when the timer fires.
                   [](const store::Error&) {},
               },
               read.reply);
    SendAllAllowances();
  }

  void OnWritten(LedgerWritten& written) {
    LedgerState& state = ledgers_[written.team];
    state.busy = false;
    std::visit(Visitor{
                   [&](const store::Written& done) {
                     state.ledger = std::move(written.ledger);
                     state.version = done.version;
                     state.read_at = Clock::now();
                     state.written_at = state.tried_at;
                     state.pending.reset();
                   },
                   [&](const store::Conflict& conflict) {
                     ReplaceLedger(state, conflict.current);
                   },
                   // The next read shows whether the write took effect.
                   [&](const store::Error&) {
                     state.written_at = state.tried_at;
                     state.loaded = false;
                   },
               },
               written.reply);
    SendAllAllowances();
  }

  // Replaces the ledger with a value from the store. An unreadable value counts
  // as a ledger that grants nothing and can't be overwritten, so that no
  // partition starts anything that it limits.
  static void ReplaceLedger(LedgerState& state,
                            const std::optional<store::Entry>& entry) {
    state.read_at = Clock::now();
    state.pending.reset();
    if (!entry) {
      state.ledger = Ledger{};
      state.version = store::kAbsent;
      state.loaded = true;
      return;
    }
    auto ledger =
        codec::Try([&] { return codec::Decode<Ledger>(entry->value); });
    state.loaded = std::holds_alternative<Ledger>(ledger);
    state.ledger =
        state.loaded ? std::get<Ledger>(std::move(ledger)) : Ledger{};
    state.version = entry->version;
  }

  void SendAllAllowances() {
    for (auto& [id, partition] : partitions_) SendAllowances(id, partition);
  }

  // Sends the owner its allowances if they differ from those sent last.
  void SendAllowances(const PartitionId& id, PartitionState& partition) {
    Granted granted{id, partition.sequence + 1, {}};
    bool changed = false;
    for (const auto& [team, demand] : partition.demands.teams) {
      const std::optional<Allowance> allowance =
          AllowanceOf(id, partition, team, demand);
      if (!allowance) continue;
      granted.allowances[team] = *allowance;
      SentAllowance& sent = partition.sent_allowances[team];
      if (sent.sequence != 0 && sent.allowance == *allowance) continue;
      sent = {*allowance, granted.sequence};
      changed = true;
    }
    if (!changed) return;
    partition.sequence = granted.sequence;
    partition.listener.Send(std::move(granted));
  }

  // Returns what the owner may use. While the ledger can't be read, the
  // allowance stays the same, because the grant belongs to the partition and
  // doesn't depend on the availability of the store.
  std::optional<Allowance> AllowanceOf(const PartitionId& id,
                                       const PartitionState& partition,
                                       const TeamId& team,
                                       const Demand& demand) {
    const LedgerState& state = ledgers_[team];
    std::optional<Allowance> allowance;
    if (state.loaded) {
      allowance = {Usable(state.ledger, demand.limit, id), {}};
      const Ledger after =
          UpdateGrant(state.ledger, demand.limit, id, demand.need);
      allowance->target =
          Resources::Min(allowance->limit, Usable(after, demand.limit, id));
    } else if (const auto sent = partition.sent_allowances.find(team);
               sent != partition.sent_allowances.end()) {
      allowance = sent->second.allowance;
    }
    if (allowance && state.pending) {
      const Resources pending = Usable(*state.pending, demand.limit, id);
      allowance->target = Resources::Min(allowance->target, pending);
      allowance->limit = Resources::Min(allowance->limit, pending);
    }
    return allowance;
  }

  const Options options_;
  const task::Address<store::Request> store_;
  std::map<TeamId, LedgerState> ledgers_;
  std::map<PartitionId, PartitionState> partitions_;
  task::Mailbox<Inbox> mailbox_;
  task::Timer timer_;
};

Broker::Broker(task::Loop& loop, Options options,
               task::Address<store::Request> store)
    : impl_(std::make_shared<Impl>(loop, options, std::move(store))) {}

Broker::~Broker() = default;

task::Address<Message> Broker::address() const { return impl_->address(); }

}  // namespace azurepass::escrow
