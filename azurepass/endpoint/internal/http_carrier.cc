// See http_carrier.h.

#include "azurepass/endpoint/internal/http_carrier.h"

#include <utility>
#include <variant>

#include "azurepass/endpoint/internal/wire.h"

namespace azurepass::endpoint::internal {
namespace {

// The held one, the orders, and a spare for one that is being given up.
constexpr int kConnectionsPerWorker = 4;

ExchangeResult ResultOf(const http::Result& result) {
  const auto* response = std::get_if<http::Response>(&result);
  if (response == nullptr) {
    return ExchangeFailed{std::get<http::Failure>(result).message};
  }
  if (response->status == http::kConflict) {
    auto fenced = codec::Try([response] {
      return codec::Decode<FencedAnswer>(response->body, kDocumentLimits);
    });
    const auto* answer = std::get_if<FencedAnswer>(&fenced);
    if (answer != nullptr) return ExchangeFenced{answer->epoch};
  }
  if (response->status != http::kOk) {
    return ExchangeFailed{"status " + std::to_string(response->status)};
  }
  auto document = codec::Try([response] {
    return codec::Decode<ExchangeAnswer>(response->body, kDocumentLimits);
  });
  if (const auto* error = std::get_if<codec::Error>(&document)) {
    return ExchangeFailed{error->ToString()};
  }
  return std::get<ExchangeAnswer>(std::move(document));
}

}  // namespace

HttpCarrier::HttpCarrier(task::Loop& loop)
    : http_(loop, {kConnectionsPerWorker}),
      mailbox_(loop, [this](const Carry& carry) { Handle(carry); }) {}

void HttpCarrier::Handle(const Carry& carry) {
  const http::Request request{"POST", carry.address, "/v1/exchange",
                              codec::Write(carry.request).dump(),
                              carry.timeout};
  http_.Send(request, [to = carry.reply_to](const http::Result& result) {
    to.Send(ResultOf(result));
  });
}

}  // namespace azurepass::endpoint::internal
