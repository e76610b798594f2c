// Requests to a frontend, one at a time, each on a connection of its own: a
// request on a kept connection might be repeated by the library when that
// breaks, and a repeated write meets its own first try as a conflict.

#ifndef AZUREPASS_CLI_INTERNAL_CLIENT_H_
#define AZUREPASS_CLI_INTERNAL_CLIENT_H_

#include <string>
#include <variant>

#include "azurepass/codec/codec.h"
#include "azurepass/core/core.h"

namespace azurepass::cli::internal {

struct Reply {
  int status = 0;
  codec::Json body;  // Null when it was not JSON.
};
// No answer. `sent` tells whether the frontend may have got the request.
struct Unreachable {
  bool sent = false;
  std::string message;
};
using Result = std::variant<Reply, Unreachable>;

// Makes one part of a path out of any text.
std::string Escape(const std::string& text);

class Client {
 public:
  Client(std::string server, std::string key, Duration timeout);

  Result Get(const std::string& path, Duration held = Duration(0));
  Result Put(const std::string& path, const codec::Json& body);
  Result Post(const std::string& path, const codec::Json& body);
  Result Delete(const std::string& path);

  const std::string& server() const { return server_; }

 private:
  Result Send(const std::string& method, const std::string& path,
              const std::string& body, Duration timeout);

  std::string server_;
  std::string key_;
  Duration timeout_;
};

}  // namespace azurepass::cli::internal

#endif  // AZUREPASS_CLI_INTERNAL_CLIENT_H_
