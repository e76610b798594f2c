// Maps the ids of one kind to small dense integers, so that the decision path
// indexes arrays instead of hashing strings. An index is never reused for
// another id.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_INTERNER_H_
#define AZUREPASS_PLACEMENT_INTERNAL_INTERNER_H_

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace azurepass::placement::internal {

// An index into one of the cell's arrays; kNone when there is none.
using Index = int32_t;
inline constexpr Index kNone = -1;

template <class IdType>
class Interner {
 public:
  // Returns the index of `id`. Assigns the next one when `id` is not known.
  Index Intern(const IdType& id) {
    auto [it, added] = indexes_.try_emplace(id, size());
    if (added) ids_.push_back(id);
    return it->second;
  }

  // Returns kNone when `id` is not known.
  Index Find(const IdType& id) const {
    auto it = indexes_.find(id);
    return it == indexes_.end() ? kNone : it->second;
  }

  const IdType& IdOf(Index index) const { return ids_[index]; }
  Index size() const { return static_cast<Index>(ids_.size()); }

 private:
  absl::flat_hash_map<IdType, Index> indexes_;
  std::vector<IdType> ids_;  // By index.
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_INTERNER_H_
