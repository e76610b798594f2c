// The pure part of escrow: computes what each partition may use, and how much
// it takes or gives back.
//
// To keep writes rare, a partition takes slightly more than it wants, and gives
// back only when it holds far more than it wants, but never so that another
// partition lacks what it wants.
//
// When the limit is short, it is divided into shares that are computed from the
// ledger alone, so that all processes that read the same ledger divide it in
// the same way. Each partition keeps what it has in use. The rest is divided
// fairly, dimension by dimension, and rounded down to whole units, because less
// than a unit starts nothing. What the rounding leaves over is handed out in
// whole units, in the order of turns. If the fair share of a partition is less
// than a unit, the partition whose turn it is gets one unit before the rest is
// divided. Its turn ends when it has started its unit, or when a process passes
// the turn. Beyond what is in use, a partition keeps no more than its share.
//
// While a partition has a turn that it cannot use, the others lose what it
// keeps. Therefore a partition whose turn was passed sits out while the others
// start work, for longer with each turn that it did not use, until its claim
// changes. The smallest claim, which is the likeliest to be met, comes after
// each turn that was passed.

#include <algorithm>
#include <numeric>

#include "azurepass/escrow/escrow.h"

namespace azurepass::escrow {
namespace {

using Int128 = __int128;

bool IsUnlimited(int64_t limit) { return limit >= kUnlimitedAmount; }

int64_t SumGranted(const Ledger& ledger, Dimension d) {
  int64_t sum = 0;
  for (const auto& [partition, entry] : ledger.entries) sum += entry.granted[d];
  return sum;
}

// Headroom is a multiple of a fraction of the limit, so that a ledger is
// written when a want crosses a step and not for every task. The wants
// themselves are not rounded, because the sum of the rounded wants could exceed
// a limit that the sum of the wants does not exceed.
constexpr int64_t kHeadroomStepsPerLimit = 8;

int64_t RoundUpToStep(int64_t amount, int64_t limit) {
  const int64_t step = std::max<int64_t>(1, limit / kHeadroomStepsPerLimit);
  return (amount + step - 1) / step * step;
}

// Adds a quarter, so that a growing want does not cause a write for every task.
int64_t WithHeadroom(int64_t wanted, int64_t limit) {
  return RoundUpToStep(wanted + (wanted + 3) / 4, limit);
}

int64_t SumWanted(const Ledger& ledger, Dimension d) {
  int64_t sum = 0;
  for (const auto& [partition, entry] : ledger.entries) sum += entry.wanted[d];
  return sum;
}

// Returns the sum of what the other partitions want beyond their grants.
int64_t UnmetWantsOfOthers(const Ledger& ledger, Dimension d,
                           const PartitionId& partition) {
  int64_t unmet = 0;
  for (const auto& [id, entry] : ledger.entries) {
    if (id == partition) continue;
    unmet += std::max<int64_t>(0, entry.wanted[d] - entry.granted[d]);
  }
  return unmet;
}

// One partition's share while the limit is divided.
struct Share {
  const PartitionId* partition = nullptr;
  Resources reserved;  // In use, plus what it gets before the rest is divided.
  Resources wanted;    // Not below `reserved`.
  Resources unit;
  int64_t turn = 0;
  bool sits_out = false;
  Resources amount;
};

// Returns the dimensions in which the sum of the wants, or that of the grants,
// exceeds the limit.
std::vector<Dimension> ShortDimensions(const Ledger& ledger,
                                       const Resources& limit) {
  std::vector<Dimension> dimensions;
  for (Dimension d : kAllDimensions) {
    if (!IsUnlimited(limit[d]) &&
        (SumWanted(ledger, d) > limit[d] || SumGranted(ledger, d) > limit[d])) {
      dimensions.push_back(d);
    }
  }
  return dimensions;
}

// Divides the limit of one team in the dimensions in which it is short.
class Allocation {
 public:
  Allocation(const Ledger& ledger, const Resources& limit)
      : limit_(limit), short_(ShortDimensions(ledger, limit)) {
    for (const auto& [id, entry] : ledger.entries) {
      Share& share = shares_.emplace_back();
      share.partition = &id;
      share.reserved = Resources::Min(entry.in_use, entry.wanted);
      share.wanted = entry.wanted;
      share.unit = entry.unit;
      share.turn = entry.turn;
      share.sits_out = entry.starts_awaited > 0;
      share.amount = entry.wanted;
    }
    if (short_.empty()) return;
    std::stable_sort(
        shares_.begin(), shares_.end(),
        [](const Share& a, const Share& b) { return a.turn < b.turn; });
    FillAllDimensions();
    FindTurnHolder();
    if (turn_holder_ != nullptr) {
      for (Dimension d : short_) {
        turn_holder_->reserved[d] += turn_holder_->unit[d];
      }
      FillAllDimensions();
    }
    RoundToUnits();
  }

  bool IsShort(Dimension d) const {
    return std::find(short_.begin(), short_.end(), d) != short_.end();
  }
  const PartitionId* turn_holder() const {
    return turn_holder_ == nullptr ? nullptr : turn_holder_->partition;
  }
  const Resources& AmountOf(const PartitionId& partition) const {
    return std::find_if(shares_.begin(), shares_.end(),
                        [&](const Share& share) {
                          return *share.partition == partition;
                        })
        ->amount;
  }

 private:
  // Computes max-min fair shares of the limit in which each partition gets at
  // least its reserved amount.
  void FillAllDimensions() {
    for (Dimension d : short_) FillDimension(d);
  }
  void FillDimension(Dimension d) {
    std::vector<Share*> open;
    for (Share& share : shares_) open.push_back(&share);
    int64_t left = limit_[d];
    bool done = false;
    while (!done) {
      std::vector<int64_t> wants;
      wants.reserve(open.size());
      for (const Share* share : open) wants.push_back(share->wanted[d]);
      const std::vector<int64_t> fair_shares =
          MaxMinFairShares(std::max<int64_t>(0, left), wants);
      std::vector<Share*> filled;
      for (size_t i = 0; i < open.size(); ++i) {
        open[i]->amount[d] = std::max(fair_shares[i], open[i]->reserved[d]);
        if (fair_shares[i] >= open[i]->reserved[d]) {
          filled.push_back(open[i]);
        } else {
          left -= open[i]->reserved[d];
        }
      }
      done = filled.size() == open.size();
      open = std::move(filled);
    }
  }

  // Returns whether the partition can use one more unit and the limit has room
  // for that unit beyond the reserved amount.
  bool CanUseUnit(const Share& share) const {
    bool lacks = false;
    for (Dimension d : short_) {
      const int64_t with_unit = share.amount[d] + share.unit[d];
      if (with_unit > share.wanted[d]) return false;
      if (share.reserved[d] + share.unit[d] > limit_[d]) return false;
      lacks |= share.unit[d] > 0;
    }
    return lacks;
  }
  // Returns the number of whole units in the share beyond the reserved amount.
  int64_t WholeUnits(const Share& share) const {
    int64_t units = kUnlimitedAmount;
    for (Dimension d : short_) {
      if (share.unit[d] == 0) continue;
      units = std::min(units,
                       (share.amount[d] - share.reserved[d]) / share.unit[d]);
    }
    return units;
  }

  void FindTurnHolder() {
    Share* first = nullptr;
    bool turns_needed = false;
    for (Share& share : shares_) {
      if (share.sits_out) continue;
      Share at_minimum = share;
      at_minimum.amount = share.reserved;
      if (!CanUseUnit(at_minimum)) continue;
      const bool below_unit = WholeUnits(share) == 0;
      turns_needed |= below_unit;
      if (first == nullptr && (below_unit || CanUseUnit(share))) first = &share;
    }
    if (turns_needed) turn_holder_ = first;
  }

  // Rounds the shares down to whole units and hands out what is left over:
  // first one unit to each partition, in the order of turns, then as many units
  // as each can use, in the same order, and finally the amounts that are too
  // small for a unit, divided fairly.
  void RoundToUnits() {
    for (Share& share : shares_) {
      if (share.amount == share.wanted) continue;
      const int64_t units = WholeUnits(share);
      if (units == kUnlimitedAmount) continue;
      for (Dimension d : short_) {
        if (share.unit[d] == 0) continue;
        share.amount[d] = share.reserved[d] + share.unit[d] * units;
      }
    }
    Resources left;
    for (Dimension d : short_) {
      left[d] = limit_[d];
      for (const Share& share : shares_) left[d] -= share.amount[d];
    }
    for (const int64_t max_units : {int64_t{1}, kUnlimitedAmount}) {
      for (Share& share : shares_) GiveUnits(share, max_units, left);
    }
    for (Dimension d : short_) {
      std::vector<int64_t> unmet;
      for (const Share& share : shares_) {
        unmet.push_back(share.wanted[d] - share.amount[d]);
      }
      const std::vector<int64_t> extra =
          MaxMinFairShares(std::max<int64_t>(0, left[d]), unmet);
      for (size_t i = 0; i < extra.size(); ++i) {
        shares_[i].amount[d] += extra[i];
      }
    }
  }
  void GiveUnits(Share& share, int64_t max_units, Resources& left) const {
    if (!CanUseUnit(share)) return;
    int64_t units = max_units;
    for (Dimension d : short_) {
      if (share.unit[d] == 0) continue;
      const int64_t room = std::min(left[d], share.wanted[d] - share.amount[d]);
      units = std::min(units, std::max<int64_t>(0, room) / share.unit[d]);
    }
    for (Dimension d : short_) {
      share.amount[d] += share.unit[d] * units;
      left[d] -= share.unit[d] * units;
    }
  }

  const Resources& limit_;
  const std::vector<Dimension> short_;
  std::vector<Share> shares_;  // In the order of turns.
  Share* turn_holder_ = nullptr;
};

// Returns the grant of a partition if the limit is not short in this dimension.
// `ledger` already holds the partition's new want.
int64_t GrantWithoutShortage(const Ledger& ledger, int64_t limit, Dimension d,
                             const PartitionId& partition) {
  const LedgerEntry& entry = ledger.entries.at(partition);
  const int64_t granted = entry.granted[d];
  int64_t desired = WithHeadroom(entry.wanted[d], limit);
  if (desired < granted && granted <= 2 * desired) {
    desired = granted;  // The surplus is too small to be worth a write.
  }
  const int64_t left = limit - SumGranted(ledger, d) + granted -
                       UnmetWantsOfOthers(ledger, d, partition);
  return std::min(desired, std::max(entry.wanted[d], left));
}

// Upper bound of LedgerEntry::starts_awaited.
constexpr int64_t kMaxStartsAwaited = 32;

// Counts a start by `partition` for those that sit out.
void CountStart(Ledger& ledger, const PartitionId& partition) {
  for (auto& [id, entry] : ledger.entries) {
    if (id != partition && entry.starts_awaited > 0) --entry.starts_awaited;
  }
}

int64_t LastTurn(const Ledger& ledger) {
  int64_t max = 0;
  for (const auto& [id, entry] : ledger.entries) {
    max = std::max(max, entry.turn);
  }
  return max;
}

}  // namespace

std::vector<int64_t> MaxMinFairShares(int64_t limit,
                                      const std::vector<int64_t>& wants) {
  std::vector<size_t> order(wants.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::sort(order.begin(), order.end(),
            [&](size_t a, size_t b) { return wants[a] < wants[b]; });
  std::vector<int64_t> fair_shares(wants.size(), 0);
  int64_t left = limit;
  for (size_t i = 0; i < order.size(); ++i) {
    const auto remaining = static_cast<int64_t>(order.size() - i);
    const int64_t amount = std::min(wants[order[i]], left / remaining);
    fair_shares[order[i]] = amount;
    left -= amount;
  }
  return fair_shares;
}

Resources Usable(const Ledger& ledger, const Resources& limit,
                 const PartitionId& partition) {
  Resources usable;
  const auto entry = ledger.entries.find(partition);
  for (Dimension d : kAllDimensions) {
    if (IsUnlimited(limit[d])) {
      usable[d] = kUnlimitedAmount;
      continue;
    }
    if (entry == ledger.entries.end()) continue;
    const int64_t granted = entry->second.granted[d];
    const int64_t sum = SumGranted(ledger, d);
    usable[d] = sum <= limit[d]
                    ? granted
                    : static_cast<int64_t>(Int128{granted} * limit[d] / sum);
  }
  return usable;
}

Ledger UpdateGrant(const Ledger& ledger, const Resources& limit,
                   const PartitionId& partition, const Need& need) {
  Ledger updated = ledger;
  const auto [found, is_new] = updated.entries.try_emplace(partition);
  LedgerEntry& entry = found->second;
  if (is_new) entry.turn = LastTurn(ledger) + 1;
  // A turn ends only when a whole unit has started; smaller tasks of the same
  // partition don't end it.
  bool has_started = false;
  bool has_whole_unit = true;
  for (Dimension d : kAllDimensions) {
    if (IsUnlimited(limit[d])) continue;
    has_started |= need.committed[d] > entry.in_use[d];
    has_whole_unit &= need.committed[d] >= entry.in_use[d] + entry.unit[d];
  }
  const bool starts_unit = has_started && has_whole_unit;
  if (starts_unit && TurnHolder(ledger, limit) == partition) {
    entry.turn = LastTurn(ledger) + 1;
  }
  if (starts_unit || need.unit != entry.unit) {
    entry.turns_passed = 0;
    entry.starts_awaited = 0;
  }
  if (has_started) CountStart(updated, partition);
  entry.in_use = need.committed;
  entry.wanted = Resources::Max(need.wanted, need.committed);
  entry.unit = need.unit;
  const Allocation allocation(updated, limit);
  const Resources amount = allocation.AmountOf(partition);
  const bool has_turn = allocation.turn_holder() != nullptr &&
                        *allocation.turn_holder() == partition;
  bool unit_fits = true;
  Resources granted;
  for (Dimension d : kAllDimensions) {
    if (IsUnlimited(limit[d])) continue;
    const int64_t desired =
        std::max(need.committed[d],
                 allocation.IsShort(d)
                     ? amount[d]
                     : GrantWithoutShortage(updated, limit[d], d, partition));
    const int64_t free = limit[d] - SumGranted(updated, d);
    granted[d] =
        std::min(desired, entry.granted[d] + std::max<int64_t>(0, free));
    unit_fits &= granted[d] >= entry.in_use[d] + entry.unit[d];
  }
  if (has_turn && !unit_fits) {
    const Resources cap = Resources::Max(entry.granted, need.committed);
    granted = Resources::Min(granted, cap);
  }
  entry.granted = granted;
  if (entry.granted == Resources() && entry.wanted == Resources()) {
    updated.entries.erase(partition);
  }
  return updated;
}

std::optional<PartitionId> TurnHolder(const Ledger& ledger,
                                      const Resources& limit) {
  const Allocation allocation(ledger, limit);
  if (allocation.turn_holder() == nullptr) return std::nullopt;
  return *allocation.turn_holder();
}

Resources GrantPlusFree(const Ledger& ledger, const Resources& limit,
                        const PartitionId& partition) {
  Resources reachable;
  const auto entry = ledger.entries.find(partition);
  for (Dimension d : ShortDimensions(ledger, limit)) {
    reachable[d] = std::max<int64_t>(0, limit[d] - SumGranted(ledger, d));
    if (entry != ledger.entries.end()) reachable[d] += entry->second.granted[d];
  }
  return reachable;
}

Ledger PassTurn(const Ledger& ledger, const Resources& limit) {
  const auto turn_holder = TurnHolder(ledger, limit);
  if (!turn_holder) return ledger;
  Ledger passed = ledger;
  LedgerEntry& unused = passed.entries.at(*turn_holder);
  unused.turns_passed =
      std::min<int64_t>(unused.turns_passed + 1, kMaxStartsAwaited);
  unused.starts_awaited =
      std::min(int64_t{1} << unused.turns_passed, kMaxStartsAwaited);
  std::vector<LedgerEntry*> order;
  for (auto& [id, entry] : passed.entries) {
    if (&entry != &unused) order.push_back(&entry);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const LedgerEntry* a, const LedgerEntry* b) {
                     return a->turn < b->turn;
                   });
  const auto rank = [&](const LedgerEntry* entry) {
    const bool claims =
        entry->unit != Resources() && entry->starts_awaited == 0;
    return std::pair(!claims, entry->unit.DominantShare(limit));
  };
  const auto smallest = std::min_element(
      order.begin(), order.end(),
      [&](const auto* a, const auto* b) { return rank(a) < rank(b); });
  if (smallest != order.end()) {
    std::rotate(order.begin(), smallest, std::next(smallest));
  }
  order.push_back(&unused);
  int64_t turn = LastTurn(ledger);
  for (LedgerEntry* entry : order) entry->turn = ++turn;
  return passed;
}

Resources UsageBound(const Allowance& allowance, const Resources& committed) {
  return Resources::Min(allowance.limit,
                        Resources::Max(allowance.target, committed));
}

std::string LedgerKey(const TeamId& team) {
  return "allowances/" + team.value();
}

}  // namespace azurepass::escrow
