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
#include "azurepass/endpoint/endpoint.h"

namespace azurepass::endpoint::internal {

using endpoint::ExchangeAnswer;
using endpoint::ExchangeRequest;

// Every kept event and order of a worker fits.
inline constexpr codec::ParseLimits kDocumentLimits{
    .max_bytes = size_t{16} << 20, .max_depth = 8, .allow_comments = false};

// With status 409.
struct FencedAnswer {
  Epoch epoch;  // The highest that the worker has seen.
};

}  // namespace azurepass::endpoint::internal

namespace azurepass::codec {

template <>
struct Format<endpoint::ExchangeRequest> {
  static endpoint::ExchangeRequest Read(ObjectReader& reader);
  static Json Write(const endpoint::ExchangeRequest& value);
};
template <>
struct Format<endpoint::ExchangeAnswer> {
  static endpoint::ExchangeAnswer Read(ObjectReader& reader);
  static Json Write(const endpoint::ExchangeAnswer& value);
};
template <>
struct Format<endpoint::internal::FencedAnswer> {
  static endpoint::internal::FencedAnswer Read(ObjectReader& reader);
  static Json Write(const endpoint::internal::FencedAnswer& value);
};

}  // namespace azurepass::codec

#endif  // AZUREPASS_ENDPOINT_INTERNAL_WIRE_H_
