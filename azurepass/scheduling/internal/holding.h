// What a process has to do with one partition, and what its claim says.

#ifndef AZUREPASS_SCHEDULING_INTERNAL_HOLDING_H_
#define AZUREPASS_SCHEDULING_INTERNAL_HOLDING_H_

#include <optional>
#include <variant>

#include "azurepass/core/core.h"
#include "azurepass/membership/membership.h"
#include "azurepass/store/store.h"

namespace azurepass::scheduling {

struct NotHeld {};
// A conditional write for `epoch` is in flight.
struct Claiming {
  Epoch epoch;
};
struct Held {
  Epoch epoch;
  store::Version version = store::kAbsent;
};
// Told to hand over; the claim goes back when that is done.
struct HandingOver {
  Epoch epoch;
  store::Version version = store::kAbsent;
};
using Holding = std::variant<NotHeld, Claiming, Held, HandingOver>;

inline std::optional<Epoch> EpochOf(const Holding& holding) {
  return std::visit(
      Visitor{
          [](const NotHeld&) -> std::optional<Epoch> { return {}; },
          [](const auto& held) -> std::optional<Epoch> { return held.epoch; },
      },
      holding);
}

// The claim names this process, which does not hold it: it was taken before
// the process started anew. Nobody else may claim it while this process
// lives, so it takes the claim up again, also to give it back.
inline bool IsOfFormerStart(const membership::View& view,
                            const PartitionId& partition,
                            const MemberId& self) {
  const auto claim = view.claims.find(partition);
  return claim != view.claims.end() && claim->second.member == self;
}

// Nobody holds it, the holder is gone for good as far as can be told, or the
// holder is a former start of this very process.
inline bool IsClaimable(const membership::View& view,
                        const PartitionId& partition, const MemberId& self,
                        MonotonicTime now) {
  const auto found = view.claims.find(partition);
  if (found == view.claims.end()) return true;
  const membership::Claim& claim = found->second;
  return claim.member.empty() || claim.member == self ||
         (claim.address.empty() && now >= claim.free_at);
}

// Somebody claimed it after the owner of `epoch`.
inline bool IsTakenOver(const membership::View& view,
                        const PartitionId& partition, Epoch epoch) {
  const auto claim = view.claims.find(partition);
  return claim != view.claims.end() && claim->second.epoch > epoch;
}

}  // namespace azurepass::scheduling

#endif  // AZUREPASS_SCHEDULING_INTERNAL_HOLDING_H_
