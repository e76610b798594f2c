// See frontend_desk.h.

#include "azurepass/daemons/internal/frontend_desk.h"

#include <utility>

namespace azurepass::daemons::internal {

FrontendDesk::FrontendDesk(task::Loop& loop, MemberId self,
                           task::Address<configuration::Message> keeper,
                           task::Address<membership::Message> agent)
    : self_(std::move(self)),
      keeper_(std::move(keeper)),
      agent_(std::move(agent)),
      mailbox_(loop, [this](Message m) { Handle(std::move(m)); }) {}

void FrontendDesk::Handle(Message message) {
  std::visit(Visitor{[this](const entry::Incoming& i) { OnIncoming(i); },
                     [this](const configuration::Update& u) { OnUpdate(u); },
                     [this](const membership::View& v) { OnView(v); }},
             message);
}

void FrontendDesk::OnIncoming(const entry::Incoming& incoming) {
  const entry::Responder& responder = incoming.responder;
  std::visit(
      Visitor{[&](const entry::Gossip& gossip) {
                agent_.Send(membership::GossipReceived{gossip, responder});
              },
              [&](const entry::PullConfiguration& pull) {
                keeper_.Send(configuration::AnswerPull{pull, responder});
              },
              [&](const entry::GetStatus&) {
                responder.Answer(entry::Status{self_, revision_, {}});
              },
              [&](const auto& /*about a job*/) {
                responder.Answer(Refusal{RefusalCode::kNotOwner,
                                         Effect::kNotRun,
                                         "a frontend owns no partition",
                                         {}});
              }},
      incoming.request);
}

void FrontendDesk::OnUpdate(const configuration::Update& update) {
  if (update.configuration != nullptr) {
    revision_ = update.configuration->revision;
  }
  agent_.Send(membership::SelfChanged{revision_, update.store_contact_age, {}});
}

void FrontendDesk::OnView(const membership::View& view) {
  if (!view.known) return;
  configuration::PeersChanged changed;
  for (const auto& [id, member] : view.members) {
    if (id == self_) continue;
    changed.peers.push_back({id, member.record.address, /*gone=*/false});
  }
  keeper_.Send(std::move(changed));
}

}  // namespace azurepass::daemons::internal
