// Finds, among a zone's workers, those with room for a task, in the order that
// the packing prefers, without a scan of the zone.
//
// Each zone has a treap (Seidel and Aragon, "Randomized Search Trees",
// Algorithmica 1996) ordered by a key that does not depend on the task, and
// each node carries the largest free amount of its subtree in each dimension.
// A subtree in which one dimension is too small everywhere is passed over
// whole. With the key "sum of the free amounts, each divided by a scale", the
// first worker that fits is exactly the best fit of the linear (L1) measure:
// taking the task's size off lowers every key by the same amount, so the order
// before the start is the order after it.
//
// Costs: O(log n) expected for a change. A walk is O(log n) for each worker
// found as long as the maxima of a subtree come from one worker; where they
// come from different ones it looks further, which `steps` bounds.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_FIT_INDEX_H_
#define AZUREPASS_PLACEMENT_INTERNAL_FIT_INDEX_H_

#include <cstdint>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/placement/internal/interner.h"

namespace azurepass::placement::internal {

class FitIndex {
 public:
  // Adds a worker that is not in the index.
  void Insert(Index zone, Index worker, double key, const Resources& free);
  // Takes a worker out; does nothing when it is not in.
  void Erase(Index zone, Index worker);
  bool Contains(Index worker) const;

  // Calls `found(worker)` for the zone's workers with room for `size`, by
  // ascending key, until it returns false. None with a key below `least_key`
  // may have room; those are passed over. Each node looked at takes one from
  // `steps`; the walk ends when none are left.
  template <class Found>
  void Walk(Index zone, const Resources& size, double least_key, int64_t& steps,
            Found found) const {
    if (zone < static_cast<Index>(roots_.size())) {
      WalkNode(roots_[zone], size, least_key, steps, found);
    }
  }

 private:
  // Invariants: max is the per-dimension maximum of free over the subtree;
  // priority is at least that of both children; keys ascend from left to right.
  struct Node {
    double key = 0;
    uint64_t priority = 0;
    Index left = kNone;
    Index right = kNone;
    bool present = false;
    Resources free;
    Resources max;
  };

  template <class Found>
  bool WalkNode(Index n, const Resources& size, double least_key,
                int64_t& steps, Found& found) const {
    if (n == kNone) return true;
    if (--steps < 0) return false;
    const Node& node = nodes_[n];
    if (!size.FitsIn(node.max)) return true;
    if (node.key >= least_key) {
      if (!WalkNode(node.left, size, least_key, steps, found)) return false;
      if (size.FitsIn(node.free) && !found(n)) return false;
    }
    return WalkNode(node.right, size, least_key, steps, found);
  }

  bool Before(Index a, Index b) const;
  void Refresh(Index n);
  Index Merge(Index a, Index b);
  Index InsertInto(Index n, Index added);
  Index EraseFrom(Index n, Index gone);
  // Splits the tree at `pivot` into what comes before it and the rest.
  void Split(Index n, Index pivot, Index* before, Index* after);

  std::vector<Node> nodes_;   // By worker.
  std::vector<Index> roots_;  // By zone.
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_FIT_INDEX_H_
