// Enforces upper limits across many partitions. A team's limit applies to the
// whole fleet, but each partition schedules by itself, within an allowance. The
// allowances of a team are stored as one value, the team's ledger, which
// changes only by compare-and-swap. This is escrow in the sense of O'Neil, "The
// Escrow Transactional Method" (TODS 1986): a part of the limit is set aside
// once, and is then spent without further coordination.
//
// Why the limit holds and no part of it is lost. Let U(ledger, limit, p) be the
// amount that partition p may use.
//   1. For one ledger and one limit, the sum of U over all partitions is at
//      most the limit: while the sum of the grants is within the limit, U is
//      the grant itself; otherwise each grant is scaled down by limit / sum.
//   2. Only the owner of p changes the grant of p; other owners may only change
//      its place in the order of turns. The owner raises the grant only out of
//      what the ledger leaves free. A partition that still reads an older
//      ledger therefore uses no more than the newer ledger grants it.
//   3. The owner applies a lower grant before it writes it. What it gives back
//      is therefore no longer in use when another partition takes it.
//   4. A grant belongs to the partition, not to its owner. A crash of the owner
//      frees nothing and leaks nothing, because the next owner reads the same
//      ledger.
// Hence a team never uses more than its limit. The one exception is a lowered
// limit: it takes seconds until the configuration is in force everywhere and
// the tasks beyond the new limit have stopped.
//
// Usage: Usable and UpdateGrant are pure functions. Broker is the task that
// maintains the ledgers for the partitions of one process: it receives Demands
// and sends Granted.

#ifndef AZUREPASS_ESCROW_ESCROW_H_
#define AZUREPASS_ESCROW_ESCROW_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/store/store.h"
#include "azurepass/task/task.h"

namespace azurepass::escrow {

// One partition's entry in a ledger. All fields except `granted` are published
// so that the other partitions can leave room for this one.
struct LedgerEntry {
  Resources granted;
  Resources wanted;
  // In use when the entry was written.
  Resources in_use;
  // What the next start takes beyond that: one task, or a whole gang. Zero
  // means that the partition can use any amount.
  Resources unit;
  // Position in the order of turns, lowest first; see allocation.cc.
  int64_t turn = 0;
  // Turns that passed unused, one after the other, since the unit changed or a
  // unit was started.
  int64_t turns_passed = 0;
  // It gets no turn before others have started something this often.
  int64_t starts_awaited = 0;
  bool operator==(const LedgerEntry&) const = default;
};

// The allowances of one team. Invariant of every ledger that UpdateGrant
// returns: the sum of `granted` is within the limit, or does not exceed the sum
// in the ledger that was passed in.
struct Ledger {
  std::map<PartitionId, LedgerEntry> entries;
  bool operator==(const Ledger&) const = default;
};

// The amounts of a team's limit that a partition needs now.
struct Need {
  Resources committed;  // In use; a grant is never lower than this.
  Resources wanted;     // In use and waiting.
  // What the next start takes: one task, or a whole gang. Zero means that the
  // partition can use any amount.
  Resources unit = {};
};

// Returns the amount that `partition` may use. A dimension without a limit is
// unlimited.
Resources Usable(const Ledger& ledger, const Resources& limit,
                 const PartitionId& partition);

// Returns the ledger after `partition` has raised or lowered its grant
// according to `need`. If the limit is short, the grant stays within the
// partition's fair share of the limit, rounded to whole units.
Ledger UpdateGrant(const Ledger& ledger, const Resources& limit,
                   const PartitionId& partition, const Need& need);

// Returns the partition that gets one unit before all others are served. Empty
// if the limit is not short, or if it has a unit for each partition that waits.
std::optional<PartitionId> TurnHolder(const Ledger& ledger,
                                      const Resources& limit);

// Returns the partition's grant plus the free amount in the dimensions in which
// the limit is short, and zero in the others.
Resources GrantPlusFree(const Ledger& ledger, const Resources& limit,
                        const PartitionId& partition);

// Returns the ledger in which the partition that TurnHolder names is moved to
// the end of the order of turns, and gets no other before the others have
// started something, twice as often with each turn. The partition with the
// smallest unit of those that may get a turn comes next. Any process may pass
// the turn of a partition that does not use it.
Ledger PassTurn(const Ledger& ledger, const Resources& limit);

// Returns the fair share of `limit` for each of `wants`, in one dimension:
// max-min fairness by progressive filling (Bertsekas and Gallager, "Data
// Networks", 6.5.2).
std::vector<int64_t> MaxMinFairShares(int64_t limit,
                                      const std::vector<int64_t>& wants);

// --- The task

// The amount that a team may use in a partition. Tasks beyond `limit` must
// stop. Tasks beyond `target` may continue, but none may start there, because
// the difference between the two is about to be given back.
struct Allowance {
  Resources limit;
  Resources target;
  bool operator==(const Allowance&) const = default;
};

// The allowances that apply from now on. A team that is not listed starts no
// task yet and stops none. The owner applies the allowances at once and returns
// `sequence` in its next Demands.
struct Granted {
  PartitionId partition;
  int64_t sequence = 0;
  std::map<TeamId, Allowance> allowances;
};

// Returns the largest amount that the owner lets a team use until the next
// Granted, given what the team has committed now.
Resources UsageBound(const Allowance& allowance, const Resources& committed);

// One team's state at the owner of a partition.
struct Demand {
  Need need;
  Resources bound;  // UsageBound as of `Demands::applied_sequence`.
  Resources limit;  // The upper limit of the contract in force.
};

// Replaces all demands of the partition. Lists every team that has a contract.
struct Demands {
  PartitionId partition;
  // Sequence of the latest Granted that the owner applied; 0 before the first.
  int64_t applied_sequence = 0;
  std::map<TeamId, Demand> teams;
};
// The process owns the partition from now on; its ledgers have to be read.
struct AddPartition {
  PartitionId partition;
  task::Address<Granted> listener;
};
// The process no longer owns the partition.
struct RemovePartition {
  PartitionId partition;
};
using Message = std::variant<AddPartition, RemovePartition, Demands>;

struct Options {
  // Minimum time between two writes of one ledger by this process: to raise a
  // grant, and to give back.
  Duration raise_interval{50};
  Duration release_interval{2'000};
  // Minimum time between two writes if other partitions lack what is given
  // back, or could give back what this partition lacks once they know of it.
  Duration claim_interval{300};
  // Age at which a ledger is read again.
  Duration refresh_interval{5'000};
  // Age at which a ledger is read again while a partition lacks something, or
  // while others may lack what it has.
  Duration shortage_refresh_interval{500};
  // A turn is passed if the amount that its partition can reach has not changed
  // for this long.
  Duration turn_timeout{2'000};
};

class Broker {
 public:
  Broker(task::Loop& loop, Options options,
         task::Address<store::Request> store);
  ~Broker();
  Broker(const Broker&) = delete;
  Broker& operator=(const Broker&) = delete;

  task::Address<Message> address() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// Returns the key of a team's ledger in the store.
std::string LedgerKey(const TeamId& team);

}  // namespace azurepass::escrow

#endif  // AZUREPASS_ESCROW_ESCROW_H_
