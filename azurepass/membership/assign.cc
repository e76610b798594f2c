// Rendezvous hashing with bounded load, for members of different sizes.
//
// A member's load is what it holds by its processors. How many partitions each
// may take is fixed first, without a look at which: one after the other is
// given to whoever has the lowest load with it, until all are given. The load
// of the last one is the bound: below it a member has room, and so many have
// room up to it as reached it.
//
// Then every pair of free partition and member has a hash. Pairs are taken from
// the highest hash down; a pair is accepted when its partition is still free
// and its member has room. Every partition is assigned: were one left over,
// fewer than fit under the bound would be assigned, so that in the end some
// member has room; it had room all the time, and the pair of the two would have
// been accepted when its turn came. When a member leaves, most of the other
// pairs keep their order and their room, so that little moves.

#include <glib.h>

#include <algorithm>
#include <cstring>
#include <tuple>

#include "azurepass/membership/membership.h"

namespace azurepass::membership {
namespace {

// The same in every process, unlike absl's.
uint64_t HashOf(const PartitionId& partition, const MemberId& member) {
  const std::string text = partition.value() + '\0' + member.value();
  guint8 digest[32];
  gsize size = sizeof(digest);
  GChecksum* checksum = g_checksum_new(G_CHECKSUM_SHA256);
  g_checksum_update(checksum, reinterpret_cast<const guchar*>(text.data()),
                    static_cast<gssize>(text.size()));
  g_checksum_get_digest(checksum, digest, &size);
  g_checksum_free(checksum);
  uint64_t hash = 0;
  std::memcpy(&hash, digest, sizeof(hash));
  return hash;
}

template <class T>
void SortUnique(std::vector<T>& items) {
  std::sort(items.begin(), items.end());
  items.erase(std::unique(items.begin(), items.end()), items.end());
}

// What a member holds by its processors, compared exactly.
struct Load {
  int64_t partitions = 0;
  int64_t processors = 1;

  Load WithOneMore() const { return {partitions + 1, processors}; }
  friend bool operator<(const Load& a, const Load& b) {
    return a.partitions * b.processors < b.partitions * a.processors;
  }
};
using Loads = std::map<MemberId, Load>;

// The highest load that `count` more partitions lead to, and how many of them
// lead to just that.
struct Bound {
  Load load;
  int64_t reached = 0;
};

Bound BoundFor(Loads loads, size_t count) {
  Bound bound;
  for (; count > 0; --count) {
    const auto least =
        std::min_element(loads.begin(), loads.end(), [](auto& a, auto& b) {
          return a.second.WithOneMore() < b.second.WithOneMore();
        });
    least->second = least->second.WithOneMore();
    if (bound.load < least->second) bound = {least->second, 0};
    ++bound.reached;
  }
  return bound;
}

struct Pair {
  uint64_t hash = 0;
  const PartitionId* partition = nullptr;
  const MemberId* member = nullptr;
};

std::vector<Pair> PairsByHash(const std::vector<PartitionId>& partitions,
                              const Loads& members) {
  std::vector<Pair> pairs;
  pairs.reserve(partitions.size() * members.size());
  for (const PartitionId& partition : partitions) {
    for (const auto& [member, load] : members) {
      pairs.push_back({HashOf(partition, member), &partition, &member});
    }
  }
  std::sort(pairs.begin(), pairs.end(), [](const Pair& a, const Pair& b) {
    return std::tie(a.hash, *a.partition, *a.member) >
           std::tie(b.hash, *b.partition, *b.member);
  });
  return pairs;
}

}  // namespace

std::map<PartitionId, MemberId> Assign(
    std::vector<PartitionId> partitions, const Processors& members,
    const std::map<PartitionId, MemberId>& held) {
  std::map<PartitionId, MemberId> holders;
  if (members.empty()) return holders;
  Loads loads;
  for (const auto& [member, processors] : members) {
    loads[member].processors = std::max<int64_t>(1, processors);
  }
  SortUnique(partitions);
  std::erase_if(partitions, [&](const PartitionId& partition) {
    const auto holder = held.find(partition);
    if (holder == held.end()) return false;
    const auto load = loads.find(holder->second);
    if (load == loads.end()) return false;
    ++load->second.partitions;
    holders.insert(*holder);
    return true;
  });
  Bound bound = BoundFor(loads, partitions.size());
  for (const Pair& pair : PairsByHash(partitions, loads)) {
    if (holders.contains(*pair.partition)) continue;
    Load& load = loads[*pair.member];
    const Load more = load.WithOneMore();
    if (bound.load < more) continue;
    const bool reaches = !(more < bound.load);
    if (reaches && bound.reached == 0) continue;
    if (reaches) --bound.reached;
    load = more;
    holders[*pair.partition] = *pair.member;
  }
  return holders;
}

}  // namespace azurepass::membership
