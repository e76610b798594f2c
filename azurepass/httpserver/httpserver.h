// The server side of HTTP for tasks that speak to callers and operators:
// libsoup's SoupServer with what it lacks, which is bounds. Each request that
// was read whole and lies within the bounds is handed to the owner, which
// answers it by its id at any later time. Everything else is refused here.
//
// A Server is part of the task that owns it: it is made before the task's loop
// runs or on it, and all its calls are made on that loop.
//
// Bounds:
//   * Headers over max_header_bytes: 431; a body over max_body_bytes: 413; a
//     body without a Content-Length: 411.
//   * A request that is not read whole within read_timeout: 408. An answer
//     that is not taken within write_timeout: the connection is closed.
//   * Bodies of all requests together over body_budget_bytes: the request whose
//     body has stood still for longest is refused with 503, or the new one if
//     none is being read.
//   * More than max_requests at once: 503. A connection over max_connections
//     takes the place of the one whose request has been awaited for longest, if
//     there is one. The one without a place is answered with 503 and closed;
//     over max_excess_connections more, they are closed at once.
//   * A request that its owner leaves without an answer for answer_timeout is
//     refused with the effect "unknown".
//
// Every refusal has a JSON body: Format<Refusal>.
//
// A client may close its sending side after a request and still gets its
// answer; one that resets the connection has abandoned its request.
//
// Shutdown: a client learns from "Connection: close" in an answer, or from a
// 503 in place of one, that it has to go elsewhere. No connection ends
// otherwise while the process lives. Leave() announces the end on connections
// as they are answered, while new ones are still taken; Drain() takes no more
// of them.

#ifndef AZUREPASS_HTTPSERVER_HTTPSERVER_H_
#define AZUREPASS_HTTPSERVER_HTTPSERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "azurepass/codec/codec.h"
#include "azurepass/core/core.h"
#include "azurepass/task/task.h"

namespace azurepass::httpserver {

enum class Method { kGet, kPost, kPut, kDelete, kOther };

struct Options {
  std::string address;  // "IP:PORT"; port 0 lets the kernel choose.
  int64_t max_body_bytes = 1 << 20;
  // Returns whether a request with this method and path may have a body at all;
  // it is asked before the body is read. If empty, every request may.
  std::function<bool(Method, const std::string& path)> takes_body{};
  // Of the bodies that are read or handled at once.
  int64_t body_budget_bytes = int64_t{1} << 30;
  int64_t max_header_bytes = 16 << 10;
  int64_t max_requests = 4'096;
  int64_t max_connections = 2'048;
  int64_t max_excess_connections = 256;
  Duration read_timeout{20'000};
  Duration write_timeout{20'000};
  Duration answer_timeout{150'000};
};

// Names a request for as long as it is open.
struct ExchangeId {
  int64_t value = 0;
  auto operator<=>(const ExchangeId&) const = default;
};

struct Request {
  Method method = Method::kOther;
  std::vector<std::string> path;  // "/v1/jobs/7" is {"v1", "jobs", "7"}.
  std::map<std::string, std::string> query;
  std::string bearer;    // Of "Authorization: Bearer ..."; else empty.
  std::string raw_path;  // As sent, without the query.
  // By lower-case name; of a header that came twice, one of them.
  std::map<std::string, std::string> headers;
  std::string body;
};

struct Response {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::optional<Duration> retry_after;
};

// Events for the owner. A request is Received once; Abandoned follows when its
// client reset the connection before the answer, which then has nowhere to go.
struct Received {
  ExchangeId id;
  Request request;
};
struct Abandoned {
  ExchangeId id;
};
using Event = std::variant<Received, Abandoned>;

// The HTTP status that stands for a refusal.
int StatusOf(RefusalCode code);
Response ToResponse(const Refusal& refusal);
Response JsonResponse(int status, const codec::Json& body);

// Turns a codec error into the refusal of a request that was not run.
Refusal ToRefusal(const codec::Error& error);

// Reads a query parameter that is a whole number from 0 to `max`; `otherwise`
// when it is absent, empty when it is anything else.
std::optional<int64_t> QueryInt(const Request& request, const std::string& name,
                                int64_t otherwise, int64_t max);

class Server {
 public:
  Server(task::Loop& loop, Options options, std::function<void(Event)> handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // "IP:PORT" with the port the kernel chose; empty when listening failed.
  std::string listening_on() const;

  // Answers an open request. Ignored when it was answered or abandoned.
  void Answer(ExchangeId id, const Response& response);

  // From now on, each connection is closed after its next answer, or after the
  // last one if the client has sent further requests already.
  void Leave();

  // Does what Leave does, and takes no new connections but those that wait to
  // be accepted. Connections without a request are refused with 503 after
  // `idle_time`. Calls `drained` once no connection is open. Call it once.
  void Drain(Duration idle_time, std::function<void()> drained);

  int64_t open_requests() const;
  int64_t connections() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace azurepass::httpserver

#endif  // AZUREPASS_HTTPSERVER_HTTPSERVER_H_
