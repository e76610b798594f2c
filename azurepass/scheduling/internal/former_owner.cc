// See former_owner.h.

#include "azurepass/scheduling/internal/former_owner.h"

#include <algorithm>

namespace azurepass::scheduling {

std::optional<MonotonicTime> RenewalsEndedBy(const membership::View& view,
                                             const PartitionId& partition,
                                             const MemberId& self,
                                             std::optional<Epoch> first_tried,
                                             const ContactTold& told,
                                             MonotonicTime now) {
  const auto found = view.claims.find(partition);
  if (found == view.claims.end()) return now;
  const membership::Claim& claim = found->second;
  // An owner closes its sessions before it gives the claim back.
  if (claim.member.empty()) {
    return claim.since == MonotonicTime() ? now : claim.since;
  }
  if (claim.member == self) {
    const bool former_start = !first_tried || claim.epoch < *first_tried;
    // This process may have renewed leases until now.
    return former_start ? told.started : now;
  }
  const MonotonicTime gone = claim.departure ? claim.departure->at : now;
  const MonotonicTime last_witness =
      std::max(told.started, told.denied.value_or(told.started));
  const MonotonicTime evidence_ended = last_witness + told.evidence_age;
  if (evidence_ended > now) return std::nullopt;
  return std::max(gone, evidence_ended);
}

}  // namespace azurepass::scheduling
