// What a process that claims a partition knows of its former owner.

#ifndef AZUREPASS_SCHEDULING_INTERNAL_FORMER_OWNER_H_
#define AZUREPASS_SCHEDULING_INTERNAL_FORMER_OWNER_H_

#include <optional>

#include "azurepass/core/core.h"
#include "azurepass/membership/membership.h"

namespace azurepass::scheduling {

// What this process has told others of its contact with the store.
struct ContactTold {
  MonotonicTime started;  // Of this process: before, it did not answer.
  // When it last said that it had none, or later.
  std::optional<MonotonicTime> denied;
  Duration evidence_age{0};  // For which an owner may rely on such an answer.
};

// By when the former owner has certainly stopped renewing leases of workers, if
// `self` claims the partition at `now`. `first_tried` is the first epoch in
// which this process has tried to claim it.
//
// A former start of this member had ended when this process started. Another
// member had stopped when its member key was seen to be gone, or when evidence
// of an outage of the store for all ended, which this process has to be a
// witness of. Empty while there may be such evidence: it can be renewed. Once
// it has ended, that owner does not go on in its epoch.
std::optional<MonotonicTime> RenewalsEndedBy(const membership::View& view,
                                             const PartitionId& partition,
                                             const MemberId& self,
                                             std::optional<Epoch> first_tried,
                                             const ContactTold& told,
                                             MonotonicTime now);

}  // namespace azurepass::scheduling

#endif  // AZUREPASS_SCHEDULING_INTERNAL_FORMER_OWNER_H_
