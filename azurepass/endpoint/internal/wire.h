// The documents of an exchange between an owner and a worker.
//
// Fields that hold their default are left out, which keeps an idle exchange
// short.

#ifndef AZUREPASS_ENDPOINT_INTERNAL_WIRE_H_
#define AZUREPASS_ENDPOINT_INTERNAL_WIRE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "azurepass/codec/codec.h"
#include "azurepass/core/core.h"

namespace azurepass::endpoint::internal {

// Every kept event and order of a worker fits.
inline constexpr codec::ParseLimits kDocumentLimits{
    .max_bytes = size_t{16} << 20, .max_depth = 8, .allow_comments = false};

struct ExchangeRequest {
  Epoch epoch;
  Duration lease{0};
  // From the worker's latest answer; without one the lease is not renewed and
  // no order is taken.
  std::string token;
  int64_t acknowledged = 0;  // The last event received.
  Duration hold{0};
  // Asks for the list of running attempts. An exchange that neither holds nor
  // lists is answered without events.
  bool list = false;
  std::vector<Order> orders;
};

struct ExchangeAnswer {
  std::string token;
  // The orders are carried out, or were before.
  bool taken = false;
  // The token is of a former life of the worker, which ran nothing of this one.
  bool restarted = false;
  std::vector<WorkerEvent> events;  // By number, each after `acknowledged`.
  std::vector<Usage> usage;
  std::vector<AttemptId> running;  // When asked for, or restarted.
};

// With status 409.
struct FencedAnswer {
  Epoch epoch;  // The highest that the worker has seen.
};

}  // namespace azurepass::endpoint::internal

namespace azurepass::codec {

template <>
struct Format<endpoint::internal::ExchangeRequest> {
  static endpoint::internal::ExchangeRequest Read(ObjectReader& reader);
  static Json Write(const endpoint::internal::ExchangeRequest& value);
};
template <>
struct Format<endpoint::internal::ExchangeAnswer> {
  static endpoint::internal::ExchangeAnswer Read(ObjectReader& reader);
  static Json Write(const endpoint::internal::ExchangeAnswer& value);
};
template <>
struct Format<endpoint::internal::FencedAnswer> {
  static endpoint::internal::FencedAnswer Read(ObjectReader& reader);
  static Json Write(const endpoint::internal::FencedAnswer& value);
};

}  // namespace azurepass::codec

#endif  // AZUREPASS_ENDPOINT_INTERNAL_WIRE_H_
