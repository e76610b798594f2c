// Rendezvous hashing with bounded load.
//
// Every pair of partition and member has a hash. Pairs are taken from the
// highest hash down; a pair is accepted when its partition is still free and
// its member has room. With P partitions and M members each member has room
// for q = P / M, and the first P % M that reach q have room for one more.
//
// Every partition is assigned: were one left over, fewer than P would be
// assigned, so that in the end some member has room; it had room all the time,
// and the pair of the two would have been accepted when its turn came. The
// loads differ by one at most by construction. When a member leaves, most of
// the other pairs keep their order and their room, so that little moves.

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

struct Pair {
  uint64_t hash = 0;
  const PartitionId* partition = nullptr;
  const MemberId* member = nullptr;
};

std::vector<Pair> PairsByHash(const std::vector<PartitionId>& partitions,
                              const std::vector<MemberId>& members) {
  std::vector<Pair> pairs;
  pairs.reserve(partitions.size() * members.size());
  for (const PartitionId& partition : partitions) {
    for (const MemberId& member : members) {
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

std::map<PartitionId, MemberId> Assign(std::vector<PartitionId> partitions,
                                       std::vector<MemberId> members) {
  SortUnique(partitions);
  SortUnique(members);
  std::map<PartitionId, MemberId> holders;
  if (members.empty()) return holders;
  const size_t room = partitions.size() / members.size();
  size_t extra = partitions.size() % members.size();
  std::map<MemberId, size_t> loads;
  for (const Pair& pair : PairsByHash(partitions, members)) {
    if (holders.contains(*pair.partition)) continue;
    size_t& load = loads[*pair.member];
    if (load > room || (load == room && extra == 0)) continue;
    if (load == room) --extra;
    ++load;
    holders[*pair.partition] = *pair.member;
  }
  return holders;
}

}  // namespace azurepass::membership
