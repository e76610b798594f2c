// Choices between members of different sizes: who leaves a claim to another,
// and who hands a partition over. A small VM that owns what it has no processor
// time for loses its lease, and the partition has no owner while it does.

#include <algorithm>

#include "azurepass/membership/membership.h"

namespace azurepass::membership {

bool HasFarMoreRoom(const Candidate& other, const Candidate& self) {
  constexpr int64_t kFar = 3;
  return kFar * (other.partitions + 1) * self.millicores <
         (self.partitions + 1) * other.millicores;
}

MonotonicTime YieldUntil(MonotonicTime free_at, MonotonicTime gone_at,
                         Duration lease_ttl, const Candidate& self,
                         const std::vector<Candidate>& others) {
  // A member that came later has seen the holder's key missing a moment after
  // its own was seen here.
  constexpr int kNoticed = 4;  // Parts of a lease.
  constexpr int kReturn = 2;
  const bool may_return = free_at > gone_at;
  MonotonicTime until = free_at;
  for (const Candidate& other : others) {
    if (!HasFarMoreRoom(other, self)) continue;
    if (other.present) {
      until = std::max(until, other.since + lease_ttl + lease_ttl / kNoticed);
    } else if (may_return && other.since + lease_ttl >= gone_at) {
      until = std::max(until, free_at + lease_ttl / kReturn);
    }
  }
  return std::min(until, std::max(free_at, gone_at + 2 * lease_ttl));
}

std::optional<PartitionId> PartitionToRelocate(
    const MemberId& holder, const Processors& members,
    const std::map<PartitionId, MemberId>& held) {
  std::map<MemberId, Candidate> candidates;
  for (const auto& [member, millicores] : members) {
    candidates[member].millicores = std::max<int64_t>(1, millicores);
  }
  std::optional<PartitionId> first;
  for (const auto& [partition, member] : held) {
    const auto found = candidates.find(member);
    if (found != candidates.end()) ++found->second.partitions;
    if (member == holder && !first) first = partition;
  }
  const auto found = candidates.find(holder);
  if (!first || found == candidates.end()) return std::nullopt;
  Candidate without = found->second;
  --without.partitions;
  const bool relieved = std::any_of(
      candidates.begin(), candidates.end(), [&](const auto& candidate) {
        return candidate.first != holder &&
               HasFarMoreRoom(candidate.second, without);
      });
  return relieved ? first : std::nullopt;
}

}  // namespace azurepass::membership
