// Carries exchanges to workers over HTTP and JSON.

#ifndef AZUREPASS_ENDPOINT_INTERNAL_HTTP_CARRIER_H_
#define AZUREPASS_ENDPOINT_INTERNAL_HTTP_CARRIER_H_

#include "azurepass/endpoint/endpoint.h"
#include "azurepass/http/http.h"
#include "azurepass/task/task.h"

namespace azurepass::endpoint::internal {

class HttpCarrier {
 public:
  explicit HttpCarrier(task::Loop& loop);

  task::Address<Carry> address() const { return mailbox_.address(); }
  const http::Traffic& traffic() const { return http_.traffic(); }

 private:
  void Handle(const Carry& carry);

  http::Client http_;
  task::Mailbox<Carry> mailbox_;
};

}  // namespace azurepass::endpoint::internal

#endif  // AZUREPASS_ENDPOINT_INTERNAL_HTTP_CARRIER_H_
