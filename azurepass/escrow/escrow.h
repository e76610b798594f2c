// Upper limits over many partitions. A team's limit is fleet-wide, but each
// partition decides by itself, within an allowance. The allowances of a team
// are one value in the store, its Book; it changes by compare-and-swap only.
// This is escrow in the sense of O'Neil, "The Escrow Transactional Method"
// (TODS 1986): a part of the limit is set aside once, and is then spent without
// asking anyone.
//
// The argument. Let U(book, limit, p) be what partition p may use.
//   1. For one book and one limit the sum of U over all partitions is at most
//      the limit: grants are used as they are while their sum is within the
//      limit, else they are scaled down by limit / sum.
//   2. Only p's owner changes p's grant; others may pass p's turn. It raises
//      the grant only out of what the book leaves free, so a partition that
//      still reads an older book uses no more than the newer one grants it.
//   3. The owner obeys a lower grant before it writes it, so that what it gives
//      back is no longer in use when somebody else takes it.
//   4. A grant belongs to the partition, not to its owner: a crash frees
//      nothing and leaks nothing, the next owner reads the same book.
// Hence a team never runs more than its limit, except that a lowered limit
// takes the seconds that configuration needs to be in force and tasks to stop.
//
// Usage: the pure part is Usable and Settle. Broker is the task that keeps the
// books of the partitions of one process; give it Demands, it sends Granted.

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

// One partition's line in a book.
// All but the grant is published so that the others can leave it room.
struct Line {
  Resources granted;
  Resources wanted;
  // What was in use when it was written, and what the next start takes beyond
  // that: one task, or a whole gang. Zero: any amount is of use.
  Resources held;
  Resources unit;
  // Its place in the order of turns, the lowest first; see settle.cc.
  int64_t turn = 0;
  bool operator==(const Line&) const = default;
};

// The allowances of one team. Invariant of every book that Settle returns: the
// sum of `granted` is within the limit, or is not above the sum before.
struct Book {
  std::map<PartitionId, Line> lines;
  bool operator==(const Book&) const = default;
};

// What a partition needs of a team's limit now.
struct Need {
  Resources committed;  // In use; a grant never goes below it.
  Resources wanted;     // In use and waiting.
  // What the next start takes: one task, or a whole gang. Zero: any amount.
  Resources unit = {};
};

// What `partition` may use. A dimension without a limit is unlimited.
Resources Usable(const Book& book, const Resources& limit,
                 const PartitionId& partition);

// The book after `partition` has taken or given back what its need asks for,
// within its part of the limit, of whole units, when the limit is short.
Book Settle(const Book& book, const Resources& limit,
            const PartitionId& partition, const Need& need);

// Whose turn it is to get a unit before all others; empty while the limit is
// not short, or holds a unit for each partition that waits.
std::optional<PartitionId> NextTurn(const Book& book, const Resources& limit);

// What the partition holds, and what is free, in the dimensions that are short.
Resources InReach(const Book& book, const Resources& limit,
                  const PartitionId& partition);

// The book in which that partition is the last in the order of turns. Any
// process may pass the turn of a partition that makes no use of it.
Book PassTurn(const Book& book, const Resources& limit);

// The fair part of `limit` for each want, in one dimension: max-min fairness by
// progressive filling (Bertsekas and Gallager, "Data Networks", 6.5.2).
std::vector<int64_t> FairParts(int64_t limit,
                               const std::vector<int64_t>& wants);

// --- The task

// What a team may use in a partition. Tasks beyond `limit` have to stop. Tasks
// beyond `target` may go on, but none is started there: what is in between is
// about to be given back.
struct Allowance {
  Resources limit;
  Resources target;
  bool operator==(const Allowance&) const = default;
};

// The allowances from now on; a team that is missing starts nothing yet and
// stops nothing. The owner obeys at once and echoes `sequence`.
struct Granted {
  PartitionId partition;
  int64_t sequence = 0;
  std::map<TeamId, Allowance> allowances;
};

// The most that the owner lets a team use until it is told otherwise, given
// what it has committed now.
Resources BoundOf(const Allowance& allowance, const Resources& committed);

// One team's state at an owner.
struct Demand {
  Need need;
  Resources bound;  // BoundOf under the grant `Demands::obeyed`.
  Resources limit;  // The upper limit of the contract in force.
};

// Replaces all that was known of the partition. Every team with a contract is
// listed.
struct Demands {
  PartitionId partition;
  int64_t obeyed = 0;  // Sequence of the latest Granted; 0 before the first.
  std::map<TeamId, Demand> teams;
};
// The process owns the partition from now on: read its books.
struct Adopt {
  PartitionId partition;
  task::Address<Granted> listener;
};
// It no longer does.
struct Abandon {
  PartitionId partition;
};
using Message = std::variant<Adopt, Abandon, Demands>;

struct Options {
  // Between two writes of one book by this process.
  Duration raise_interval{50};
  Duration give_back_interval{2'000};
  // The same, when others lack what is given back, or may give it themselves
  // once they know what is lacking here.
  Duration claim_interval{300};
  // How old a book may get before it is read again.
  Duration refresh_interval{5'000};
  // The same, while a partition lacks something or others may lack what it has.
  Duration lacking_refresh_interval{500};
  // How long a turn may bring nothing before it is passed.
  Duration turn_interval{2'000};
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

// The key of a team's book in the store.
std::string BookKey(const TeamId& team);

}  // namespace azurepass::escrow

#endif  // AZUREPASS_ESCROW_ESCROW_H_
