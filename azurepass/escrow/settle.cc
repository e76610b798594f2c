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

#include <algorithm>
#include <numeric>

#include "azurepass/escrow/escrow.h"

namespace azurepass::escrow {
namespace {

using Int128 = __int128;

bool IsUnlimited(int64_t limit) { return limit >= kUnlimitedAmount; }

int64_t SumGranted(const Book& book, Dimension d) {
  int64_t sum = 0;
  for (const auto& [partition, line] : book.lines) sum += line.granted[d];
  return sum;
}

// Headroom is a multiple of a fraction of the limit, so that a ledger is
// written when a want crosses a step and not for every task. The wants
// themselves are not rounded, because the sum of the rounded wants could exceed
// a limit that the sum of the wants does not exceed.
constexpr int64_t kStepsPerLimit = 8;

int64_t RoundUp(int64_t amount, int64_t limit) {
  const int64_t step = std::max<int64_t>(1, limit / kStepsPerLimit);
  return (amount + step - 1) / step * step;
}

// Adds a quarter, so that a growing want does not cause a write for every task.
int64_t WithHeadroom(int64_t wanted, int64_t limit) {
  return RoundUp(wanted + (wanted + 3) / 4, limit);
}

int64_t SumWanted(const Book& book, Dimension d) {
  int64_t sum = 0;
  for (const auto& [partition, line] : book.lines) sum += line.wanted[d];
  return sum;
}

// Returns the sum of what the other partitions want beyond their grants.
int64_t LackOfOthers(const Book& book, Dimension d,
                     const PartitionId& partition) {
  int64_t lack = 0;
  for (const auto& [id, line] : book.lines) {
    if (id == partition) continue;
    lack += std::max<int64_t>(0, line.wanted[d] - line.granted[d]);
  }
  return lack;
}

// One partition's share while the limit is divided.
struct Share {
  const PartitionId* partition = nullptr;
  Resources kept;    // In use, plus what it gets before the rest is divided.
  Resources wanted;  // Not below `kept`.
  Resources unit;
  int64_t turn = 0;
  Resources part;
};

// Returns the dimensions in which the sum of the wants, or that of the grants,
// exceeds the limit.
std::vector<Dimension> ShortDimensions(const Book& book,
                                       const Resources& limit) {
  std::vector<Dimension> dimensions;
  for (Dimension d : kAllDimensions) {
    if (!IsUnlimited(limit[d]) &&
        (SumWanted(book, d) > limit[d] || SumGranted(book, d) > limit[d])) {
      dimensions.push_back(d);
    }
  }
  return dimensions;
}

// Divides the limit of one team in the dimensions in which it is short.
class Cut {
 public:
  Cut(const Book& book, const Resources& limit)
      : limit_(limit), short_(ShortDimensions(book, limit)) {
    for (const auto& [id, line] : book.lines) {
      Share& share = shares_.emplace_back();
      share.partition = &id;
      share.kept = Resources::Min(line.held, line.wanted);
      share.wanted = line.wanted;
      share.unit = line.unit;
      share.turn = line.turn;
      share.part = line.wanted;
    }
    if (short_.empty()) return;
    std::stable_sort(
        shares_.begin(), shares_.end(),
        [](const Share& a, const Share& b) { return a.turn < b.turn; });
    Fill();
    FindNext();
    if (next_ != nullptr) {
      for (Dimension d : short_) next_->kept[d] += next_->unit[d];
      Fill();
    }
    RoundToUnits();
  }

  bool IsShort(Dimension d) const {
    return std::find(short_.begin(), short_.end(), d) != short_.end();
  }
  const PartitionId* next() const {
    return next_ == nullptr ? nullptr : next_->partition;
  }
  const Resources& PartOf(const PartitionId& partition) const {
    return std::find_if(shares_.begin(), shares_.end(),
                        [&](const Share& share) {
                          return *share.partition == partition;
                        })
        ->part;
  }

 private:
  // Computes max-min fair shares of the limit in which each partition gets at
  // least what it keeps.
  void Fill() {
    for (Dimension d : short_) FillDimension(d);
  }
  void FillDimension(Dimension d) {
    std::vector<Share*> open;
    for (Share& share : shares_) open.push_back(&share);
    int64_t left = limit_[d];
    bool settled = false;
    while (!settled) {
      std::vector<int64_t> wants;
      wants.reserve(open.size());
      for (const Share* share : open) wants.push_back(share->wanted[d]);
      const std::vector<int64_t> parts =
          FairParts(std::max<int64_t>(0, left), wants);
      std::vector<Share*> filled;
      for (size_t i = 0; i < open.size(); ++i) {
        open[i]->part[d] = std::max(parts[i], open[i]->kept[d]);
        if (parts[i] >= open[i]->kept[d]) {
          filled.push_back(open[i]);
        } else {
          left -= open[i]->kept[d];
        }
      }
      settled = filled.size() == open.size();
      open = std::move(filled);
    }
  }

  // Returns whether the partition can use one more unit and the limit has room
  // for that unit beyond what the partition keeps.
  bool Lacks(const Share& share) const {
    bool lacks = false;
    for (Dimension d : short_) {
      const int64_t with_unit = share.part[d] + share.unit[d];
      if (with_unit > share.wanted[d]) return false;
      if (share.kept[d] + share.unit[d] > limit_[d]) return false;
      lacks |= share.unit[d] > 0;
    }
    return lacks;
  }
  // Returns the number of whole units in the share beyond what the partition
  // keeps.
  int64_t UnitsOf(const Share& share) const {
    int64_t units = kUnlimitedAmount;
    for (Dimension d : short_) {
      if (share.unit[d] == 0) continue;
      units = std::min(units, (share.part[d] - share.kept[d]) / share.unit[d]);
    }
    return units;
  }

  void FindNext() {
    Share* first = nullptr;
    bool turns = false;
    for (Share& share : shares_) {
      Share bare = share;
      bare.part = share.kept;
      if (!Lacks(bare)) continue;
      const bool below_unit = UnitsOf(share) == 0;
      turns |= below_unit;
      if (first == nullptr && (below_unit || Lacks(share))) first = &share;
    }
    if (turns) next_ = first;
  }

  // Rounds the shares down to whole units and hands out what is left over:
  // first one unit to each partition, in the order of turns, then as many units
  // as each can use, in the same order, and finally the amounts that are too
  // small for a unit, divided fairly.
  void RoundToUnits() {
    for (Share& share : shares_) {
      if (share.part == share.wanted) continue;
      const int64_t units = UnitsOf(share);
      if (units == kUnlimitedAmount) continue;
      for (Dimension d : short_) {
        if (share.unit[d] == 0) continue;
        share.part[d] = share.kept[d] + share.unit[d] * units;
      }
    }
    Resources left;
    for (Dimension d : short_) {
      left[d] = limit_[d];
      for (const Share& share : shares_) left[d] -= share.part[d];
    }
    for (const int64_t most : {int64_t{1}, kUnlimitedAmount}) {
      for (Share& share : shares_) GiveUnits(share, most, left);
    }
    for (Dimension d : short_) {
      std::vector<int64_t> lacks;
      for (const Share& share : shares_) {
        lacks.push_back(share.wanted[d] - share.part[d]);
      }
      const std::vector<int64_t> parts =
          FairParts(std::max<int64_t>(0, left[d]), lacks);
      for (size_t i = 0; i < parts.size(); ++i) shares_[i].part[d] += parts[i];
    }
  }
  void GiveUnits(Share& share, int64_t most, Resources& left) const {
    if (!Lacks(share)) return;
    int64_t units = most;
    for (Dimension d : short_) {
      if (share.unit[d] == 0) continue;
      const int64_t room = std::min(left[d], share.wanted[d] - share.part[d]);
      units = std::min(units, std::max<int64_t>(0, room) / share.unit[d]);
    }
    for (Dimension d : short_) {
      share.part[d] += share.unit[d] * units;
      left[d] -= share.unit[d] * units;
    }
  }

  const Resources& limit_;
  const std::vector<Dimension> short_;
  std::vector<Share> shares_;  // In the order of turns.
  Share* next_ = nullptr;
};

// Returns the grant of a partition if the limit is not short in this dimension.
// `book` already holds the partition's new want.
int64_t WithinLimit(const Book& book, int64_t limit, Dimension d,
                    const PartitionId& partition) {
  const Line& line = book.lines.at(partition);
  const int64_t granted = line.granted[d];
  int64_t desired = WithHeadroom(line.wanted[d], limit);
  if (desired < granted && granted <= 2 * desired) {
    desired = granted;  // The surplus is too small to be worth a write.
  }
  const int64_t left =
      limit - SumGranted(book, d) + granted - LackOfOthers(book, d, partition);
  return std::min(desired, std::max(line.wanted[d], left));
}

int64_t LastTurn(const Book& book) {
  int64_t last = 0;
  for (const auto& [id, line] : book.lines) last = std::max(last, line.turn);
  return last;
}

}  // namespace

std::vector<int64_t> FairParts(int64_t limit,
                               const std::vector<int64_t>& wants) {
  std::vector<size_t> order(wants.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::sort(order.begin(), order.end(),
            [&](size_t a, size_t b) { return wants[a] < wants[b]; });
  std::vector<int64_t> parts(wants.size(), 0);
  int64_t left = limit;
  for (size_t i = 0; i < order.size(); ++i) {
    const auto sharers = static_cast<int64_t>(order.size() - i);
    const int64_t part = std::min(wants[order[i]], left / sharers);
    parts[order[i]] = part;
    left -= part;
  }
  return parts;
}

Resources Usable(const Book& book, const Resources& limit,
                 const PartitionId& partition) {
  Resources usable;
  const auto line = book.lines.find(partition);
  for (Dimension d : kAllDimensions) {
    if (IsUnlimited(limit[d])) {
      usable[d] = kUnlimitedAmount;
      continue;
    }
    if (line == book.lines.end()) continue;
    const int64_t granted = line->second.granted[d];
    const int64_t sum = SumGranted(book, d);
    usable[d] = sum <= limit[d]
                    ? granted
                    : static_cast<int64_t>(Int128{granted} * limit[d] / sum);
  }
  return usable;
}

Book Settle(const Book& book, const Resources& limit,
            const PartitionId& partition, const Need& need) {
  Book settled = book;
  const auto [found, is_new] = settled.lines.try_emplace(partition);
  Line& line = found->second;
  if (is_new) line.turn = LastTurn(book) + 1;
  // A turn ends only when a whole unit has started; smaller tasks of the same
  // partition don't end it.
  bool has_started = false;
  bool has_whole_unit = true;
  for (Dimension d : kAllDimensions) {
    if (IsUnlimited(limit[d])) continue;
    has_started |= need.committed[d] > line.held[d];
    has_whole_unit &= need.committed[d] >= line.held[d] + line.unit[d];
  }
  if (has_started && has_whole_unit && NextTurn(book, limit) == partition) {
    line.turn = LastTurn(book) + 1;
  }
  line.held = need.committed;
  line.wanted = Resources::Max(need.wanted, need.committed);
  line.unit = need.unit;
  const Cut cut(settled, limit);
  const Resources part = cut.PartOf(partition);
  const bool its_turn = cut.next() != nullptr && *cut.next() == partition;
  bool whole = true;
  Resources granted;
  for (Dimension d : kAllDimensions) {
    if (IsUnlimited(limit[d])) continue;
    const int64_t desired =
        std::max(need.committed[d],
                 cut.IsShort(d) ? part[d]
                                : WithinLimit(settled, limit[d], d, partition));
    const int64_t free = limit[d] - SumGranted(settled, d);
    granted[d] =
        std::min(desired, line.granted[d] + std::max<int64_t>(0, free));
    whole &= granted[d] >= line.held[d] + line.unit[d];
  }
  if (its_turn && !whole) {
    const Resources in_use = Resources::Max(line.granted, need.committed);
    granted = Resources::Min(granted, in_use);
  }
  line.granted = granted;
  if (line.granted == Resources() && line.wanted == Resources()) {
    settled.lines.erase(partition);
  }
  return settled;
}

std::optional<PartitionId> NextTurn(const Book& book, const Resources& limit) {
  const Cut cut(book, limit);
  if (cut.next() == nullptr) return std::nullopt;
  return *cut.next();
}

Resources InReach(const Book& book, const Resources& limit,
                  const PartitionId& partition) {
  Resources in_reach;
  const auto line = book.lines.find(partition);
  for (Dimension d : ShortDimensions(book, limit)) {
    in_reach[d] = std::max<int64_t>(0, limit[d] - SumGranted(book, d));
    if (line != book.lines.end()) in_reach[d] += line->second.granted[d];
  }
  return in_reach;
}

Book PassTurn(const Book& book, const Resources& limit) {
  Book passed = book;
  if (const auto next = NextTurn(book, limit)) {
    passed.lines.at(*next).turn = LastTurn(book) + 1;
  }
  return passed;
}

Resources BoundOf(const Allowance& allowance, const Resources& committed) {
  return Resources::Min(allowance.limit,
                        Resources::Max(allowance.target, committed));
}

std::string BookKey(const TeamId& team) { return "allowances/" + team.value(); }

}  // namespace azurepass::escrow
