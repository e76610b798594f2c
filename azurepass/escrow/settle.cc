// The pure half of escrow: who may use how much, and what a partition takes or
// gives back. All of it works dimension by dimension.
//
// To keep writes rare a partition takes a little more than it wants, and gives
// back only once it holds far more than it wants; but never so that another one
// lacks what it wants. When the limit is short the surplus goes first: a
// partition keeps no more than its fair part beyond what is in use.

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

// Headroom comes in steps of a part of the limit, so that a book is written
// when a want crosses a step and not with every task. Wants are not rounded:
// the sum of the rounded ones may pass a limit that the wants themselves keep.
constexpr int64_t kStepsPerLimit = 8;

int64_t RoundUp(int64_t amount, int64_t limit) {
  const int64_t step = std::max<int64_t>(1, limit / kStepsPerLimit);
  return (amount + step - 1) / step * step;
}

// A quarter on top, so that a growing want does not mean a write a task.
int64_t WithHeadroom(int64_t wanted, int64_t limit) {
  return RoundUp(wanted + (wanted + 3) / 4, limit);
}

// The part of the limit that is fair for `partition`, given all wants.
int64_t FairPart(const Book& book, int64_t limit, Dimension d,
                 const PartitionId& partition) {
  std::vector<int64_t> wants;
  size_t own = 0;
  for (const auto& [id, line] : book.lines) {
    if (id == partition) own = wants.size();
    wants.push_back(line.wanted[d]);
  }
  return FairParts(limit, wants)[own];
}

int64_t SumWanted(const Book& book, Dimension d) {
  int64_t sum = 0;
  for (const auto& [partition, line] : book.lines) sum += line.wanted[d];
  return sum;
}

// What the other partitions want beyond their grants.
int64_t LackOfOthers(const Book& book, Dimension d,
                     const PartitionId& partition) {
  int64_t lack = 0;
  for (const auto& [id, line] : book.lines) {
    if (id == partition) continue;
    lack += std::max<int64_t>(0, line.wanted[d] - line.granted[d]);
  }
  return lack;
}

// The grant in one dimension. `book` already holds the partition's new want.
int64_t SettleDimension(const Book& book, int64_t limit, Dimension d,
                        const PartitionId& partition, const Need& need) {
  const int64_t granted = book.lines.at(partition).granted[d];
  const int64_t committed = need.committed[d];
  const int64_t wanted = std::max(need.wanted[d], committed);
  const int64_t sum = SumGranted(book, d);
  const int64_t free = std::max<int64_t>(0, limit - sum);

  int64_t desired = WithHeadroom(wanted, limit);
  if (SumWanted(book, d) > limit || sum > limit) {
    desired = std::min(wanted, FairPart(book, limit, d, partition));
  } else {
    if (desired < granted && granted <= 2 * desired) {
      desired = granted;  // Not worth a write.
    }
    const int64_t left = granted + free - LackOfOthers(book, d, partition);
    desired = std::min(desired, std::max(wanted, left));
  }
  desired = std::max(desired, committed);
  return std::min(desired, granted + free);
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
  Line& line = settled.lines[partition];
  line.wanted = Resources::Max(need.wanted, need.committed);
  Resources granted;
  for (Dimension d : kAllDimensions) {
    if (IsUnlimited(limit[d])) continue;
    granted[d] = SettleDimension(settled, limit[d], d, partition, need);
  }
  line.granted = granted;
  if (line == Line{}) settled.lines.erase(partition);
  return settled;
}

Resources BoundOf(const Allowance& allowance, const Resources& committed) {
  return Resources::Min(allowance.limit,
                        Resources::Max(allowance.target, committed));
}

std::string BookKey(const TeamId& team) { return "allowances/" + team.value(); }

}  // namespace azurepass::escrow
