// Callers: who submits jobs, over HTTP and JSON.
//
//   POST   /v1/jobs              JobSpec's fields and "request_id".
//   GET    /v1/jobs/ID           With ?wait=SECONDS held until the job's
//   version
//                                is above ?known=VERSION or the job is final.
//   DELETE /v1/jobs/ID           Cancels.
//   GET    /v1/jobs/ID/explain   Why it waits or runs where it does.
//
// with "Authorization: Bearer KEY". Each request that can be read becomes one
// Incoming message; all others are refused here. A refusal is JSON: code,
// effect ("not_run" or "unknown"), message, retry_after_ms, and a Retry-After
// header where asking again may help. The codes' HTTP statuses are
// httpserver::StatusOf. The same server answers /metrics, /healthz and /readyz,
// without a key; see metrics.h.
//
// Usage: construct a Server with a listener, answer each Incoming through its
// Responder. An Abandoned tells that nobody waits for that answer any more.

#ifndef AZUREPASS_CALLER_CALLER_H_
#define AZUREPASS_CALLER_CALLER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/httpserver/httpserver.h"
#include "azurepass/metrics/metrics.h"
#include "azurepass/partition/partition.h"
#include "azurepass/task/task.h"

namespace azurepass::caller {

inline constexpr size_t kMaxRequestIdChars = 128;  // Printable ASCII.
inline constexpr std::chrono::seconds kMaxWait{120};
// Time to answer a request beyond what it asks to be held.
inline constexpr Duration kAnswerTime{10'000};

struct Submit {
  RequestId request;
  JobSpec spec;
};
struct Get {
  JobId job;
  int64_t known = 0;
  Duration wait{0};
};
struct Cancel {
  JobId job;
};
struct Explain {
  JobId job;
};
// Where a workflow's request is addressed to: the queue follows from it.
struct Destination {
  std::string host;
  std::string path;
};
struct SubmitWorkflow {
  Destination to;
  RequestId request;
  WorkflowSpec spec;  // Its queue is filled in from the destination.
};
struct GetWorkflow {
  Destination to;
  RequestId request;
};
struct CancelWorkflow {
  Destination to;
  RequestId request;
};
struct CountWaiting {
  Destination to;
};
using Request = std::variant<Submit, Get, Cancel, Explain, SubmitWorkflow,
                             GetWorkflow, CancelWorkflow, CountWaiting>;
using Response = partition::JobResponse;

// Answers one request. Copyable; the first answer counts.
class Responder {
 public:
  Responder() = default;
  explicit Responder(task::Address<Response> to) : to_(std::move(to)) {}
  void Answer(Response response) const { to_.Send(std::move(response)); }

 private:
  task::Address<Response> to_;
};

using RequestNumber = httpserver::ExchangeId;

struct Incoming {
  RequestNumber number;
  std::string key;  // As presented; empty: none.
  Request request;
  Duration time_left{0};  // Answer by then.
  Responder responder;
};
struct Abandoned {
  RequestNumber number;
};
using Event = std::variant<Incoming, Abandoned>;

// Every request that was taken in is answered.
struct Drained {};

// Reads a request; the other side is what to answer at once.
std::variant<Request, Refusal> Read(const httpserver::Request& http);

// The document of an answer.
httpserver::Response ToHttp(const Response& response);
codec::Json ToJson(const placement::Explanation& explanation);

class Server {
 public:
  // `sources` are the other tasks whose metrics and health are shown.
  Server(task::Loop& loop, httpserver::Options options,
         task::Address<Event> listener,
         std::vector<metrics::Source> sources = {});
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // "IP:PORT" with the port the kernel chose; empty when listening failed.
  std::string listening_on() const;

  // From now on /readyz says no, and answers tell clients to close their
  // connections. Callable from any thread.
  void Leave();

  // Stops listening and tells `done` once every open request is answered and
  // every connection is closed; see httpserver::Server::Drain. Callable from
  // any thread.
  void Drain(Duration idle_time, task::Address<Drained> done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace azurepass::caller

#endif  // AZUREPASS_CALLER_CALLER_H_
