// Implements the choice of a partition and the retry budget.

#include <algorithm>

#include "azurepass/routing/routing.h"

namespace azurepass::routing {
namespace {

// FNV-1a, 64 bits.
constexpr uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr uint64_t kFnvPrime = 1099511628211ULL;

uint64_t Fnv(std::string_view text, uint64_t hash) {
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= kFnvPrime;
  }
  return hash;
}

// The finalizer of SplitMix64. FNV-1a alone maps similar inputs to close
// values.
uint64_t FinalizeHash(uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

}  // namespace

PartitionId ChoosePartition(const std::vector<PartitionId>& candidates,
                            const TeamId& team, const RequestId& request) {
  // Team names contain no slash, so different pairs give different strings.
  uint64_t key_hash = Fnv(team.value(), kFnvOffset);
  key_hash = FinalizeHash(Fnv(request.value(), Fnv("/", key_hash)));
  PartitionId best;
  uint64_t best_score = 0;
  for (const PartitionId& candidate : candidates) {
    const uint64_t score = FinalizeHash(
        key_hash ^ FinalizeHash(Fnv(candidate.value(), kFnvOffset)));
    const bool is_better = best.empty() || score > best_score ||
                           (score == best_score && candidate < best);
    if (!is_better) continue;
    best = candidate;
    best_score = score;
  }
  return best;
}

RetryBudget::RetryBudget(RetryBudgetOptions options, MonotonicTime now)
    : options_(options), tokens_(options.burst), refilled_(now) {}

void RetryBudget::OnRequest() {
  tokens_ = std::min(options_.burst, tokens_ + options_.per_request);
}

bool RetryBudget::TryTake(MonotonicTime now) {
  if (now > refilled_) {
    const std::chrono::duration<double> elapsed = now - refilled_;
    tokens_ = std::min(options_.burst,
                       tokens_ + elapsed.count() * options_.per_second);
    refilled_ = now;
  }
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

}  // namespace azurepass::routing
