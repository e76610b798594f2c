// What a scheduler tells other tasks of the members that it sees, and the
// questions that it passes on for them.

#ifndef AZUREPASS_SCHEDULING_INTERNAL_PEER_NEWS_H_
#define AZUREPASS_SCHEDULING_INTERNAL_PEER_NEWS_H_

#include <optional>

#include "azurepass/configuration/configuration.h"
#include "azurepass/entry/entry.h"
#include "azurepass/membership/membership.h"
#include "azurepass/permit/permit.h"
#include "azurepass/vmlist/vmlist.h"

namespace azurepass::scheduling {

// The other members, for the keeper's judgement of an outage: a member whose VM
// the list lacks is gone.
configuration::PeersChanged OutageWitnesses(
    const membership::View& view, const MemberId& self,
    const std::optional<vmlist::Snapshot>& vms);

// The members that can put a question to the permit service.
permit::PeersChanged PermitPeers(const membership::View& view,
                                 const MemberId& self);

// Asks the permit service for another member.
void RelayPermits(const task::Address<permit::ServiceRequest>& service,
                  entry::RelayPermits relay, const entry::Incoming& incoming);

}  // namespace azurepass::scheduling

#endif  // AZUREPASS_SCHEDULING_INTERNAL_PEER_NEWS_H_
