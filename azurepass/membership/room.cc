// Choices between members of different sizes: who leaves a claim to another,
// and who hands a partition over. A small VM that owns what it has no processor
// time for loses its lease, and the partition has no owner while it does.

#include <algorithm>

#include "azurepass/membership/membership.h"

namespace azurepass::membership {
namespace {

// Least ratio of loads at which a claim is left to another member, which costs
// little as nobody owns the partition.
constexpr int64_t kTimesToYield = 2;
// The same for a handover, which costs callers and workers a moment.
constexpr int64_t kTimesToRelocate = 3;

using Candidates = std::map<MemberId, Candidate>;

Candidates CandidatesOf(const Processors& members,
                        const std::map<PartitionId, MemberId>& held) {
  Candidates candidates;
  for (const auto& [member, millicores] : members) {
    candidates[member].millicores = std::max<int64_t>(1, millicores);
  }
  for (const auto& [partition, member] : held) {
    const auto found = candidates.find(member);
    if (found != candidates.end()) ++found->second.partitions;
  }
  return candidates;
}

bool HasLowerLoad(const Candidate& a, const Candidate& b) {
  return a.partitions * b.millicores < b.partitions * a.millicores;
}

// The larger member that would have the least load with one of the holder's
// partitions, if that is below the holder's by more than `times`.
Candidate* FindRelief(const Candidate& holder, int64_t times,
                      Candidates& candidates) {
  Candidate without = holder;
  --without.partitions;
  Candidate* best = nullptr;
  for (auto& [member, candidate] : candidates) {
    const bool relieves = candidate.millicores > holder.millicores &&
                          HasMoreRoom(candidate, without, times);
    if (!relieves) continue;
    if (best == nullptr || HasMoreRoom(candidate, *best, 1)) best = &candidate;
  }
  return best;
}

}  // namespace

bool HasMoreRoom(const Candidate& other, const Candidate& self, int64_t times) {
  return times * (other.partitions + 1) * self.millicores <
         (self.partitions + 1) * other.millicores;
}

MonotonicTime YieldUntil(MonotonicTime free_at, MonotonicTime gone_at,
                         Duration lease_ttl, const Candidate& self,
                         const std::vector<Candidate>& others) {
  // A member that came later has seen the holder's key missing a moment after
  // its own was seen here.
  constexpr int kNoticed = 4;  // Parts of a lease.
  constexpr int kReturn = 2;
  // Those to whom this member yields claim within two leases, too.
  const MonotonicTime limit = gone_at + 2 * lease_ttl - lease_ttl / kNoticed;
  const bool may_return = free_at > gone_at;
  MonotonicTime until = free_at;
  for (const Candidate& other : others) {
    if (!HasMoreRoom(other, self, kTimesToYield)) continue;
    if (other.present) {
      until = std::max(until, other.since + lease_ttl + lease_ttl / kNoticed);
    } else if (may_return && other.millicores > self.millicores &&
               other.since + lease_ttl >= gone_at) {
      until = std::max(until, free_at + lease_ttl / kReturn);
    }
  }
  return std::min(until, std::max(free_at, limit));
}

std::optional<Relocation> NextRelocation(
    const Processors& members, const std::map<PartitionId, MemberId>& held) {
  Candidates candidates = CandidatesOf(members, held);
  const Candidate* most = nullptr;
  std::optional<Relocation> next;
  for (const auto& [partition, member] : held) {
    const auto found = candidates.find(member);
    if (found == candidates.end()) continue;
    const Candidate& holder = found->second;
    if (most != nullptr && !HasLowerLoad(*most, holder)) continue;
    if (FindRelief(holder, kTimesToRelocate, candidates) == nullptr) continue;
    most = &holder;
    next = Relocation{partition, member};
  }
  return next;
}

std::set<PartitionId> PartitionsToLeave(
    const MemberId& holder, const Processors& members,
    const std::map<PartitionId, MemberId>& held) {
  Candidates candidates = CandidatesOf(members, held);
  std::set<PartitionId> leave;
  const auto found = candidates.find(holder);
  if (found == candidates.end()) return leave;
  Candidate& self = found->second;
  for (const auto& [partition, member] : held) {
    if (member != holder) continue;
    Candidate* relief = FindRelief(self, kTimesToYield, candidates);
    if (relief == nullptr) break;
    ++relief->partitions;
    --self.partitions;
    leave.insert(partition);
  }
  return leave;
}

}  // namespace azurepass::membership
