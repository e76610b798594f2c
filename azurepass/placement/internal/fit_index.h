// Finds the workers of a zone that have room for a task, in the packing's order
// of preference, without a scan of all workers of the zone.
//
// Each zone has a treap (Seidel and Aragon, "Randomized Search Trees",
// Algorithmica 1996) ordered by a key that does not depend on the task, and
// each node carries the largest free amount of its subtree in each dimension.
// A subtree in which one dimension is too small everywhere is skipped. With the
// key "sum of the free amounts, each divided by a scale", the first worker that
// fits is exactly the best fit of the linear (L1) measure: subtracting the
// task's size lowers every key by the same amount, so the order after the start
// is the order before it.
//
// An update takes O(log n) expected time. A walk takes O(log n) for each worker
// found if the maxima of each subtree belong to a single worker. Where they
// belong to different workers, it also visits subtrees without a fitting
// worker; `steps` bounds this.

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
  // Removes a worker; does nothing when it is not in the index.
  void Erase(Index zone, Index worker);
  bool Contains(Index worker) const;

  // Calls `found(worker)` for the zone's workers with room for `size`, by
  // ascending key, until it returns false. Skips keys below `least_key`; no
  // worker with such a key may have room. Each visited node decrements `steps`;
  // the walk ends when none are left.
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
  Index EraseFrom(Index n, Index erased);
  // Splits the tree at `pivot` into what comes before it and the rest.
  void Split(Index n, Index pivot, Index* before, Index* after);

  std::vector<Node> nodes_;   // By worker.
  std::vector<Index> roots_;  // By zone.
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_FIT_INDEX_H_
