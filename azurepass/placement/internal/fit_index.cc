// Implements updates of the treap; the walk is in the header.

#include "azurepass/placement/internal/fit_index.h"

#include <utility>

#include "azurepass/placement/internal/hash.h"

namespace azurepass::placement::internal {

bool FitIndex::Contains(Index worker) const {
  return worker < static_cast<Index>(nodes_.size()) && nodes_[worker].present;
}

bool FitIndex::Before(Index a, Index b) const {
  return std::pair(nodes_[a].key, a) < std::pair(nodes_[b].key, b);
}

void FitIndex::Refresh(Index n) {
  Node& node = nodes_[n];
  node.max = node.free;
  for (Index child : {node.left, node.right}) {
    if (child != kNone) node.max = Resources::Max(node.max, nodes_[child].max);
  }
}

void FitIndex::Split(Index n, Index pivot, Index* before, Index* after) {
  if (n == kNone) {
    *before = kNone;
    *after = kNone;
    return;
  }
  Index rest = kNone;
  if (Before(n, pivot)) {
    Split(nodes_[n].right, pivot, &rest, after);
    nodes_[n].right = rest;
    *before = n;
  } else {
    Split(nodes_[n].left, pivot, before, &rest);
    nodes_[n].left = rest;
    *after = n;
  }
  Refresh(n);
}

Index FitIndex::Merge(Index a, Index b) {
  if (a == kNone) return b;
  if (b == kNone) return a;
  const bool a_on_top = nodes_[a].priority >= nodes_[b].priority;
  const Index top = a_on_top ? a : b;
  if (a_on_top) {
    nodes_[a].right = Merge(nodes_[a].right, b);
  } else {
    nodes_[b].left = Merge(a, nodes_[b].left);
  }
  Refresh(top);
  return top;
}

Index FitIndex::InsertInto(Index n, Index added) {
  if (n == kNone) return added;
  if (nodes_[n].priority < nodes_[added].priority) {
    Index before = kNone;
    Index after = kNone;
    Split(n, added, &before, &after);
    nodes_[added].left = before;
    nodes_[added].right = after;
    Refresh(added);
    return added;
  }
  const bool to_left = Before(added, n);
  const Index child =
      InsertInto(to_left ? nodes_[n].left : nodes_[n].right, added);
  (to_left ? nodes_[n].left : nodes_[n].right) = child;
  Refresh(n);
  return n;
}

Index FitIndex::EraseFrom(Index n, Index erased) {
  if (n == erased) return Merge(nodes_[n].left, nodes_[n].right);
  const bool to_left = Before(erased, n);
  const Index child =
      EraseFrom(to_left ? nodes_[n].left : nodes_[n].right, erased);
  (to_left ? nodes_[n].left : nodes_[n].right) = child;
  Refresh(n);
  return n;
}

void FitIndex::Insert(Index zone, Index worker, double key,
                      const Resources& free) {
  if (worker >= static_cast<Index>(nodes_.size())) nodes_.resize(worker + 1);
  if (zone >= static_cast<Index>(roots_.size())) {
    roots_.resize(zone + 1, kNone);
  }
  nodes_[worker] = {.key = key,
                    .priority = MixBits(worker),
                    .present = true,
                    .free = free,
                    .max = free};
  roots_[zone] = InsertInto(roots_[zone], worker);
}

void FitIndex::Erase(Index zone, Index worker) {
  if (!Contains(worker)) return;
  roots_[zone] = EraseFrom(roots_[zone], worker);
  nodes_[worker].present = false;
}

}  // namespace azurepass::placement::internal
