// The task of a frontend that answers our other processes, and tells the
// configuration keeper and the membership agent of each other's news.

#ifndef AZUREPASS_DAEMONS_INTERNAL_FRONTEND_DESK_H_
#define AZUREPASS_DAEMONS_INTERNAL_FRONTEND_DESK_H_

#include <optional>
#include <variant>

#include "azurepass/configuration/configuration.h"
#include "azurepass/core/core.h"
#include "azurepass/entry/entry.h"
#include "azurepass/membership/membership.h"
#include "azurepass/task/task.h"

namespace azurepass::daemons::internal {

class FrontendDesk {
 public:
  using Message =
      std::variant<entry::Incoming, configuration::Update, membership::View>;

  FrontendDesk(task::Loop& loop, MemberId self,
               task::Address<configuration::Message> keeper,
               task::Address<membership::Message> agent);

  task::Address<Message> address() const { return mailbox_.address(); }

 private:
  void Handle(Message message);
  void OnIncoming(const entry::Incoming& incoming);
  void OnUpdate(const configuration::Update& update);
  void OnView(const membership::View& view);

  const MemberId self_;
  const task::Address<configuration::Message> keeper_;
  const task::Address<membership::Message> agent_;
  Revision revision_;
  task::Mailbox<Message> mailbox_;
};

}  // namespace azurepass::daemons::internal

#endif  // AZUREPASS_DAEMONS_INTERNAL_FRONTEND_DESK_H_
