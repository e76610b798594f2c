// HTTP/1.1 for tasks: what the packages for the platform, the workers and the
// stand-ins have in common. The client works on GIO's sockets, the server is
// libsoup's.
//
// A Client or a Server belongs to the task that holds it and is used on that
// task's loop alone; its callbacks run there. (A Server may also be told to
// listen before the loop runs, so that its port is known early.)
//
// The client tells two kinds of failure apart, because callers must: a request
// of which no byte was sent has certainly had no effect; any other may have.
// A request is never sent twice, not even one that HTTP calls idempotent when a
// kept connection breaks: a conditional write that is repeated would find its
// own first try in the way and report a conflict.

#ifndef AZUREPASS_HTTP_HTTP_H_
#define AZUREPASS_HTTP_HTTP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/task/task.h"

namespace azurepass::http {

// Status codes that our peers use.
inline constexpr int kOk = 200;
inline constexpr int kNotModified = 304;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kTooLarge = 413;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kServiceUnavailable = 503;

struct Response {
  int status = kOk;
  std::string body;
};
enum class FailureKind {
  kNotSent,   // No connection within the time: certainly without effect.
  kNoAnswer,  // Sent, at least in part; what became of it is unknown.
};
struct Failure {
  FailureKind kind = FailureKind::kNotSent;
  std::string message;
  int64_t received = 0;  // Bytes of an answer that did not come whole.
};
using Result = std::variant<Response, Failure>;

// Escapes text for a path (slashes stay) or for a query.
std::string EscapePath(const std::string& text);
std::string EscapeQuery(const std::string& text);

struct Request {
  std::string method;   // "GET", "PUT", "POST", "DELETE".
  std::string address;  // "IP:PORT".
  std::string target;   // Path and query, escaped.
  std::string body;     // JSON, or empty.
  Duration timeout{0};  // From now to the end of the answer.
  std::vector<std::pair<std::string, std::string>> headers{};
  // With it, `timeout` ends with the first byte of the answer, and from then on
  // the call fails when nothing more has come for so long. For answers that may
  // be large for the link.
  std::optional<Duration> stall_timeout{};
  // Called, if set, with the bytes of the answer so far, whenever some have
  // come and more are to follow.
  std::function<void(int64_t received)> on_progress{};
};

// What went over the wire, headers included.
struct Traffic {
  int64_t requests = 0;
  int64_t connections = 0;  // Opened for them.
  int64_t bytes_sent = 0;
  int64_t bytes_received = 0;
};

struct ClientOptions {
  int connections_per_peer = 16;
};

class Client {
 public:
  using Callback = std::function<void(Result)>;

  Client(task::Loop& loop, ClientOptions options);
  // Drops all calls in flight; their callbacks are not run any more.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Runs `callback` exactly once, later, unless the client is gone by then.
  void Send(const Request& request, Callback callback);

  const Traffic& traffic() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

struct ServerRequest {
  std::string method;
  std::string path;  // Unescaped.
  std::map<std::string, std::string> query;
  std::string body;

  // A query field, or empty text.
  std::string Query(const std::string& name) const;
};

// Where the answer to one request goes. Copies stand for the same request; the
// first answer counts. Without any answer the request is held.
class Responder {
 public:
  void Answer(int status, std::string_view body) const;
  // Closes the connection without an answer.
  void Drop() const;
  // True once it is answered, or the peer is gone.
  bool closed() const;

 private:
  friend class Server;
  struct State;
  explicit Responder(std::shared_ptr<State> state) : state_(std::move(state)) {}

  std::shared_ptr<State> state_;
};

class Server {
 public:
  using Handler = std::function<void(const ServerRequest&, const Responder&)>;

  Server(task::Loop& loop, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Starts to listen on "IP:PORT" (port 0: the kernel's choice). Returns the
  // address bound, or the problem.
  struct Bound {
    std::string address;
  };
  struct Problem {
    std::string message;
  };
  std::variant<Bound, Problem> Listen(const std::string& address);
  // Closes the listener and all connections, until the next Listen.
  void Close();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace azurepass::http

#endif  // AZUREPASS_HTTP_HTTP_H_
