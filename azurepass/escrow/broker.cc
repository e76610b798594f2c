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

template <>
struct Format<std::pair<PartitionId, escrow::Line>> {
  static std::pair<PartitionId, escrow::Line> Read(ObjectReader& reader) {
    std::pair<PartitionId, escrow::Line> line;
    line.first = reader.Name<PartitionId>("partition");
    line.second.granted = reader.Object<Resources>("granted");
    line.second.wanted = reader.Object<Resources>("wanted");
    // Values written before turns were introduced lack these fields.
    line.second.held = reader.Object<Resources>("held", Resources());
    line.second.unit = reader.Object<Resources>("unit", Resources());
    line.second.turn =
        reader.Int("turn", 0, std::numeric_limits<int64_t>::max() / 2, 0);
    return line;
  }
  static Json Write(const std::pair<PartitionId, escrow::Line>& value) {
    return {{"partition", value.first.value()},
            {"granted", codec::Write(value.second.granted)},
            {"wanted", codec::Write(value.second.wanted)},
            {"held", codec::Write(value.second.held)},
            {"unit", codec::Write(value.second.unit)},
            {"turn", value.second.turn}};
  }
};

template <>
struct Format<escrow::Book> {
  static escrow::Book Read(ObjectReader& reader) {
    escrow::Book book;
    for (auto& line :
         reader.Objects<std::pair<PartitionId, escrow::Line>>("lines")) {
      book.lines.insert(std::move(line));
    }
    return book;
  }
  static Json Write(const escrow::Book& value) {
    Json lines = Json::array();
    for (const auto& line : value.lines) {
      lines.push_back(codec::Write(std::pair<PartitionId, escrow::Line>(line)));
    }
    return {{"lines", lines}};
  }
};

}  // namespace azurepass::codec

namespace azurepass::escrow {
namespace {

using Clock = BootClock;

struct BookRead {
  TeamId team;
  store::GetReply reply;
};
struct BookWritten {
  TeamId team;
  Book book;
  store::WriteReply reply;
};
using Inbox = std::variant<Message, BookRead, BookWritten>;

// The partition whose turn it is, and since when the amount that it can reach
// has not changed.
struct TurnState {
  std::optional<PartitionId> partition;
  int64_t turn = 0;
  Resources in_reach;
  MonotonicTime since;
};

// This process's view of one team's ledger.
struct BookState {
  Book book;
  store::Version version = store::kAbsent;
  bool loaded = false;
  bool busy = false;  // A read or write is in flight.
  // A write whose outcome is not known yet. As it may be in the store already,
  // the owner gets no more than it grants.
  std::optional<Book> pending;
  MonotonicTime read_at;
  MonotonicTime tried_at;    // The latest write.
  MonotonicTime written_at;  // The latest write that met no conflict.
  TurnState turn;
};

// The allowance of one team in one partition that was last sent to the owner.
struct Told {
  Allowance allowance;
  int64_t sequence = 0;  // Of the first Granted with this allowance.
};

// Invariant: `told` holds the allowances of the latest Granted.
struct PartitionState {
  task::Address<Granted> listener;
  int64_t sequence = 0;
  Demands demands;
  std::map<TeamId, Told> told;
};

// A published amount may differ from the actual one by up to 1/64 of the limit,
// if the difference prevents no partition from starting anything.
constexpr int64_t kNegligiblePart = 64;

bool Matters(int64_t change, int64_t limit) {
  return std::abs(change) * kNegligiblePart > limit;
}

// Returns whether the predicate is true of any dimension that has a limit.
template <class Holds>
bool AnyLimited(const Resources& limit, Holds holds) {
  return std::any_of(
      std::begin(kAllDimensions), std::end(kAllDimensions),
      [&](Dimension d) { return limit[d] < kUnlimitedAmount && holds(d); });
}

Line LineOf(const Book& book, const PartitionId& id) {
  const auto found = book.lines.find(id);
  return found == book.lines.end() ? Line{} : found->second;
}

int64_t FreeOf(const Book& book, const Resources& limit, Dimension d) {
  int64_t free = limit[d];
  for (const auto& [id, line] : book.lines) free -= line.granted[d];
  return free;
}

bool Lacks(const Line& line, const Resources& limit) {
  return AnyLimited(
      limit, [&](Dimension d) { return line.wanted[d] > line.granted[d]; });
}

// Returns whether the other partitions want more than their grants and the free
// amount together.
bool OthersLack(const Book& book, const Resources& limit,
                const PartitionId& partition) {
  return AnyLimited(limit, [&](Dimension d) {
    int64_t left = FreeOf(book, limit, d);
    for (const auto& [id, line] : book.lines) {
      if (id == partition) continue;
      left -= std::max<int64_t>(0, line.wanted[d] - line.granted[d]);
    }
    return left < 0;
  });
}

// Returns whether the entry is a claim: its grant has no room for another unit.
bool IsClaim(const Line& line, const Resources& limit) {
  return line.unit != Resources() && AnyLimited(limit, [&](Dimension d) {
           return line.held[d] + line.unit[d] > line.granted[d];
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
    timer_.Every(options_.raise_interval, [this] { SettleAll(); });
  }

  task::Address<Message> address() const { return mailbox_.address(); }

 private:
  void Handle(Inbox inbox) {
    std::visit(Visitor{
                   [this](Message& message) { OnMessage(message); },
                   [this](BookRead& read) { OnRead(read); },
                   [this](BookWritten& written) { OnWritten(written); },
               },
               inbox);
  }

  void OnMessage(Message& message) {
    std::visit(Visitor{
                   [this](Adopt& adopt) {
                     partitions_[adopt.partition].listener = adopt.listener;
                   },
                   [this](const Abandon& abandon) {
                     partitions_.erase(abandon.partition);
                   },
                   [this](Demands& demands) { OnDemands(demands); },
               },
               message);
  }

  void OnDemands(Demands& demands) {
    const auto found = partitions_.find(demands.partition);
    if (found == partitions_.end()) return;
    found->second.demands = std::move(demands);
    SettlePartition(found->first, found->second);
  }

  void SettleAll() {
    for (auto& [id, partition] : partitions_) SettlePartition(id, partition);
  }

  void SettlePartition(const PartitionId& id, PartitionState& partition) {
    for (const auto& [team, demand] : partition.demands.teams) {
      SettleBook(id, partition, team, demand);
    }
    Tell(id, partition);
  }

  void SettleBook(const PartitionId& id, const PartitionState& partition,
                  const TeamId& team, const Demand& demand) {
    BookState& state = books_[team];
    if (state.busy) return;
    const bool stale =
        Clock::now() - state.read_at > RefreshOf(id, state.book, demand);
    if (!state.loaded || stale) {
      const bool needed =
          demand.need.wanted != Resources() || state.book.lines.contains(id);
      if (needed || !state.loaded) Read(team, state);
      return;
    }
    Book settled = Candidate(id, partition, team, demand, state.book);
    if (TurnIsOver(id, state, demand)) {
      settled = PassTurn(settled, demand.limit);
    }
    if (settled == state.book || !MayWrite(id, state, settled, demand.limit)) {
      return;
    }
    Write(team, state, std::move(settled));
  }

  Duration RefreshOf(const PartitionId& id, const Book& book,
                     const Demand& demand) const {
    // Less than half of the limit is free.
    constexpr int64_t kLittle = 2;
    Line line = LineOf(book, id);
    line.wanted = demand.need.wanted;
    const bool may_be_lacked = AnyLimited(demand.limit, [&](Dimension d) {
      return line.granted[d] > line.wanted[d] &&
             FreeOf(book, demand.limit, d) * kLittle < demand.limit[d];
    });
    return may_be_lacked || Lacks(line, demand.limit)
               ? options_.lacking_refresh_interval
               : options_.refresh_interval;
  }

  // Returns whether the current turn has brought its partition nothing for the
  // turn interval, and this partition has a claim, be it the one whose turn it
  // is or one that waits behind it.
  bool TurnIsOver(const PartitionId& id, BookState& state,
                  const Demand& demand) const {
    const auto next = NextTurn(state.book, demand.limit);
    if (!next) {
      state.turn.partition.reset();
      return false;
    }
    const int64_t number = state.book.lines.at(*next).turn;
    const Resources in_reach = InReach(state.book, demand.limit, *next);
    TurnState& turn = state.turn;
    if (turn.partition != next || turn.turn != number ||
        turn.in_reach != in_reach) {
      turn = {next, number, in_reach, Clock::now()};
    }
    return Clock::now() - turn.since > options_.turn_interval &&
           IsClaim(LineOf(state.book, id), demand.limit);
  }

  // Returns the ledger that Settle computes, but with a grant that is not lower
  // than what the owner may still use. Returns `book` unchanged if the
  // difference is not worth a write.
  static Book Candidate(const PartitionId& id, const PartitionState& partition,
                        const TeamId& team, const Demand& demand,
                        const Book& book) {
    Book settled = Settle(book, demand.limit, id, demand.need);
    const auto before = book.lines.find(id);
    if (before == book.lines.end()) return settled;
    const Resources floor = Resources::Min(
        before->second.granted, ObeyedBound(partition, team, demand));
    // An entry that wants nothing any more keeps its turn while it has a grant.
    const auto [kept, is_gone] = settled.lines.try_emplace(id);
    Line& line = kept->second;
    if (is_gone) line.turn = before->second.turn;
    line.granted = Resources::Max(line.granted, floor);
    if (line.granted == before->second.granted &&
        line.turn == before->second.turn &&
        !WantMoved(book, before->second, line, demand.limit) &&
        !ClaimMoved(before->second, line, demand.limit)) {
      return book;
    }
    if (line.granted == Resources() && line.wanted == Resources()) {
      settled.lines.erase(id);
    }
    return settled;
  }

  // Returns the largest amount that the owner may be using.
  static Resources ObeyedBound(const PartitionState& partition,
                               const TeamId& team, const Demand& demand) {
    const auto told = partition.told.find(team);
    const bool obeyed = told != partition.told.end() &&
                        partition.demands.obeyed >= told->second.sequence;
    return obeyed ? demand.bound : kUnlimited;
  }

  // Returns whether the published want has to be updated: it appeared or
  // vanished, changed by more than a quarter, or was lowered while the outdated
  // value makes the limit appear short.
  static bool WantMoved(const Book& book, const Line& before, const Line& after,
                        const Resources& limit) {
    return AnyLimited(limit, [&](Dimension d) {
      const int64_t change = after.wanted[d] - before.wanted[d];
      if (change == 0) return false;
      if (before.wanted[d] == 0 || after.wanted[d] == 0) return true;
      if (!Matters(change, limit[d])) return false;
      int64_t wanted = 0;
      for (const auto& [id, line] : book.lines) wanted += line.wanted[d];
      const bool makes_short = change < 0 && wanted > limit[d];
      return makes_short ||
             std::abs(change) * 4 > std::max(before.wanted[d], after.wanted[d]);
    });
  }

  // Returns whether a claim has to be published or updated: a partition that
  // can't start one unit publishes precisely what it needs for that unit.
  static bool ClaimMoved(const Line& before, const Line& after,
                         const Resources& limit) {
    if (!IsClaim(after, limit)) return false;
    return !IsClaim(before, limit) || AnyLimited(limit, [&](Dimension d) {
      const int64_t change =
          after.held[d] + after.unit[d] - before.held[d] - before.unit[d];
      return change > 0 || Matters(change, limit[d]);
    });
  }

  // Returns whether enough time has passed since the last write. Raising a
  // grant is urgent, and so is a change that other partitions wait for; other
  // changes are not.
  bool MayWrite(const PartitionId& id, const BookState& state,
                const Book& settled, const Resources& limit) const {
    const Line before = LineOf(state.book, id);
    const Line after = LineOf(settled, id);
    Duration interval = options_.give_back_interval;
    if (!after.granted.FitsIn(before.granted)) {
      interval = options_.raise_interval;
    } else if (IsClaim(after, limit) || OthersLack(state.book, limit, id)) {
      interval = options_.claim_interval;
    }
    const MonotonicTime now = Clock::now();
    return now - state.tried_at >= options_.raise_interval &&
           now - state.written_at >= interval;
  }

  void Read(const TeamId& team, BookState& state) {
    state.busy = true;
    task::Address<Inbox> inbox = mailbox_.address();
    store_.Send(store::Get{
        BookKey(team), inbox.Map<store::GetReply>([team](store::GetReply r) {
          return Inbox(BookRead{team, std::move(r)});
        })});
  }

  void Write(const TeamId& team, BookState& state, Book settled) {
    state.busy = true;
    state.pending = settled;
    state.tried_at = Clock::now();
    task::Address<Inbox> inbox = mailbox_.address();
    store::Put put;
    put.key = BookKey(team);
    put.value = codec::Write(settled).dump();
    put.expected = state.version;
    put.reply_to = inbox.Map<store::WriteReply>(
        [team, settled = std::move(settled)](store::WriteReply r) {
          return Inbox(BookWritten{team, settled, std::move(r)});
        });
    store_.Send(std::move(put));
  }

  void OnRead(BookRead& read) {
    BookState& state = books_[read.team];
    state.busy = false;
    std::visit(Visitor{
                   [&](const store::Value& value) { Take(state, value.entry); },
                   [](const store::Error&) {},  // The timer reads again.
               },
               read.reply);
    TellAll();
  }

  void OnWritten(BookWritten& written) {
    BookState& state = books_[written.team];
    state.busy = false;
    std::visit(Visitor{
                   [&](const store::Written& done) {
                     state.book = std::move(written.book);
                     state.version = done.version;
                     state.read_at = Clock::now();
                     state.written_at = state.tried_at;
                     state.pending.reset();
                   },
                   [&](const store::Conflict& conflict) {
                     Take(state, conflict.current);
                   },
                   // The next read shows whether the write took effect.
                   [&](const store::Error&) {
                     state.written_at = state.tried_at;
                     state.loaded = false;
                   },
               },
               written.reply);
    TellAll();
  }

  // Replaces the ledger with a value from the store. An unreadable value counts
  // as a ledger that grants nothing and can't be overwritten, so that no
  // partition starts anything that it limits.
  static void Take(BookState& state, const std::optional<store::Entry>& entry) {
    state.read_at = Clock::now();
    state.pending.reset();
    if (!entry) {
      state.book = Book{};
      state.version = store::kAbsent;
      state.loaded = true;
      return;
    }
    auto book = codec::Try([&] { return codec::Decode<Book>(entry->value); });
    state.loaded = std::holds_alternative<Book>(book);
    state.book = state.loaded ? std::get<Book>(std::move(book)) : Book{};
    state.version = entry->version;
  }

  void TellAll() {
    for (auto& [id, partition] : partitions_) Tell(id, partition);
  }

  // Sends the owner its allowances if they differ from those sent last.
  void Tell(const PartitionId& id, PartitionState& partition) {
    Granted granted{id, partition.sequence + 1, {}};
    bool changed = false;
    for (const auto& [team, demand] : partition.demands.teams) {
      const std::optional<Allowance> allowance =
          AllowanceOf(id, partition, team, demand);
      if (!allowance) continue;
      granted.allowances[team] = *allowance;
      Told& told = partition.told[team];
      if (told.sequence != 0 && told.allowance == *allowance) continue;
      told = {*allowance, granted.sequence};
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
    const BookState& state = books_[team];
    std::optional<Allowance> allowance;
    if (state.loaded) {
      allowance = {Usable(state.book, demand.limit, id), {}};
      const Book after = Settle(state.book, demand.limit, id, demand.need);
      allowance->target =
          Resources::Min(allowance->limit, Usable(after, demand.limit, id));
    } else if (const auto told = partition.told.find(team);
               told != partition.told.end()) {
      allowance = told->second.allowance;
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
  std::map<TeamId, BookState> books_;
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
