// How requests and responses travel between our own processes: a request's
// kind is its path, its content a CBOR document; a response is a CBOR document
// that names its kind. Nothing here knows streams or sockets.

#ifndef AZUREPASS_ENTRY_INTERNAL_MESSAGE_FORMATS_H_
#define AZUREPASS_ENTRY_INTERNAL_MESSAGE_FORMATS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "azurepass/codec/codec.h"
#include "azurepass/entry/entry.h"

namespace azurepass::entry::internal {

// Such as "/v1/submit".
std::string PathOf(const Request& request);
std::string EncodeRequest(const Request& request);
std::variant<Request, codec::Error> DecodeRequest(std::string_view path,
                                                  std::string_view body,
                                                  int64_t max_bytes);

std::string EncodeResponse(const Response& response);
std::variant<Response, codec::Error> DecodeResponse(std::string_view body,
                                                    int64_t max_bytes);

}  // namespace azurepass::entry::internal

#endif  // AZUREPASS_ENTRY_INTERNAL_MESSAGE_FORMATS_H_
