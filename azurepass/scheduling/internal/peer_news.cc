// See peer_news.h.

#include "azurepass/scheduling/internal/peer_news.h"

#include <algorithm>
#include <utility>

namespace azurepass::scheduling {
namespace {

// A relayed request is answered so much before its caller gives up, so that the
// caller can tell a VM that is busy from one that can't be reached.
constexpr Duration kRelayReturnTime{50};

}  // namespace

configuration::PeersChanged OutageWitnesses(
    const membership::View& view, const MemberId& self,
    const std::optional<vmlist::Snapshot>& vms) {
  configuration::PeersChanged changed;
  for (const auto& [id, member] : view.members) {
    if (id == self) continue;
    const bool gone = vms && !member.record.vm.empty() &&
                      !vms->vms.contains(member.record.vm);
    changed.peers.push_back({id, member.record.address, gone});
  }
  return changed;
}

permit::PeersChanged PermitPeers(const membership::View& view,
                                 const MemberId& self) {
  permit::PeersChanged changed;
  for (const auto& [id, member] : view.members) {
    const bool asks = id != self && !member.suspected &&
                      !member.record.leaving &&
                      member.record.role == membership::Role::kScheduler;
    if (asks) changed.addresses.push_back(member.record.address);
  }
  return changed;
}

void RelayPermits(const task::Address<permit::ServiceRequest>& service,
                  entry::RelayPermits relay, const entry::Incoming& incoming) {
  const Duration timeout =
      std::max(Duration(0), incoming.time_left - kRelayReturnTime);
  service.Send(permit::ServiceRequest{
      relay.job, std::move(relay.workers), timeout,
      task::Address<permit::Result>(
          [responder = incoming.responder](permit::Result answer) {
            if (auto* issued = std::get_if<permit::Issued>(&answer)) {
              return responder.Answer(entry::PermitsRelayed{
                  std::move(issued->permits), issued->validity});
            }
            responder.Answer(Refusal{RefusalCode::kUnavailable, Effect::kNotRun,
                                     std::get<permit::Failed>(answer).message,
                                     std::nullopt});
          }),
      relay.cost});
}

}  // namespace azurepass::scheduling
