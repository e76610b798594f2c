// Tells whether libsoup may have read more from a connection than the request
// that it hands out. Requests that a client sends without waiting for answers
// may come in one piece; libsoup keeps the later ones in a buffer that it shows
// to nobody. So what was received is compared with what the request takes up.

#ifndef AZUREPASS_HTTPSERVER_INTERNAL_READ_AHEAD_H_
#define AZUREPASS_HTTPSERVER_INTERNAL_READ_AHEAD_H_

#include <gio/gio.h>

#include <cstdint>

#include "azurepass/httpserver/httpserver.h"

namespace azurepass::httpserver::internal {

// Call it once for each request on a connection, when the request was read
// whole. False where the kernel doesn't count what a connection has received.
// `used_bytes` is of the connection, 0 at first.
bool HasReadAhead(GSocket* socket, const Request& request, int64_t& used_bytes);

}  // namespace azurepass::httpserver::internal

#endif  // AZUREPASS_HTTPSERVER_INTERNAL_READ_AHEAD_H_
