// Streams between our own processes on the entry VMs: HTTP/2 (nghttp2) over
// TCP, one connection for each pair, one stream for each request, so that
// answers may come late and in any order and still meet their request.
//
// Usage: a process that serves constructs a Server with the address to listen
// on and a listener for Incoming messages, and answers each one through its
// Responder. A process that asks constructs a Client and sends it Calls; every
// Call is answered exactly once, by the peer or by a Failure.
//
// A request's kind is the path of its stream, its content a CBOR body, its
// remaining time a header. A peer that is not one of ours (garbage, oversized
// bodies) costs its own connection or stream and nobody else's. Both ends hold
// a bounded number of streams and of bytes.

#ifndef AZUREPASS_ENTRY_ENTRY_H_
#define AZUREPASS_ENTRY_ENTRY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/partition/partition.h"
#include "azurepass/placement/placement.h"
#include "azurepass/task/task.h"

namespace azurepass::entry {

// --- Requests

struct GetStatus {};

// What a member says of itself, and passes on of others.
struct MemberNews {
  MemberId member;
  std::string address;             // "IP:PORT"; empty in what is passed on.
  int64_t incarnation = 0;         // Grows with every start of the process.
  int64_t heartbeat = 0;           // Grows while it lives.
  Revision revision;               // Configuration in force there.
  Duration store_contact_age{0};   // Since the store last confirmed it.
  std::vector<PartitionId> owned;  // Empty in what is passed on.
};
// Periodic exchange with a few peers.
struct Gossip {
  std::vector<MemberNews> news;
};
// Asks for what changed after a revision, when the store cannot be reached.
// Asks for the peer's contact with the store, and for what it holds of the
// configuration beyond `after`. With `content` false, records are left out of
// the answer.
struct PullConfiguration {
  Revision after;
  std::string digest{};  // Of the records that the asker holds, if told.
  bool content = true;
};
// Asks the peer to put a question to the service that issues permits, which
// answers each of our VMs in turn.
struct RelayPermits {
  JobId job;
  std::vector<VmId> workers;
  // Time that the service takes to decide; 0: not told. Versions before this
  // field can't read it.
  Duration cost{0};
};
using Request =
    std::variant<partition::SubmitJob, partition::GetJob, partition::CancelJob,
                 partition::ExplainJob, GetStatus, Gossip, PullConfiguration,
                 partition::SubmitWorkflow, partition::GetWorkflow,
                 partition::CancelWorkflow, partition::CountWaiting,
                 RelayPermits, partition::FindWorkflow>;

// --- Responses

struct Status {
  MemberId member;
  Revision revision;
  std::vector<partition::Status> partitions;
};
// The configuration of the peer. With `since`, which is then the revision asked
// for, only the records that were written after it, and none was removed;
// without, the whole. `withheld`: of the configuration only the revision is
// told, though the records differ from those of the asker.
struct ConfigurationPulled {
  MemberId member;  // Who answers.
  Configuration configuration;
  std::optional<Revision> since;
  bool withheld = false;
  Duration store_contact_age{0};  // Duration::max(): never confirmed.
  bool in_contact = false;  // The peer's latest request to the store succeeded.
};
struct PermitsRelayed {
  std::vector<partition::Permit> permits;
  Duration validity{0};  // From now.
};
using Response = std::variant<JobView, placement::Explanation, Status, Gossip,
                              ConfigurationPulled, Refusal, WorkflowView,
                              partition::WaitingCount, PermitsRelayed>;

// --- Server

// Answers one request. Copyable; the first answer counts.
class Responder {
 public:
  Responder() = default;
  explicit Responder(task::Address<Response> to) : to_(std::move(to)) {}
  void Answer(Response response) const { to_.Send(std::move(response)); }

 private:
  task::Address<Response> to_;
};

struct Incoming {
  Request request;
  Duration time_left{0};  // The caller's deadline as it travelled.
  Responder responder;
};

struct ServerOptions {
  std::string address;  // "IP:PORT"; port 0 lets the kernel choose.
  int64_t max_body_bytes = 4 << 20;
  uint32_t max_streams = 4'096;  // At once on a connection.
};

// Every request that was taken in is answered and every connection closed.
struct Drained {};

class Server {
 public:
  Server(task::Loop& loop, ServerOptions options,
         task::Address<Incoming> listener);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // "IP:PORT" with the port the kernel chose; empty when listening failed.
  std::string listening_on() const;
  // Stops listening, refuses new streams and lets the open ones finish; `done`
  // is told when the last one has. Callable from any thread.
  void Drain(task::Address<Drained> done = {});

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// --- Client

// What a client moved since it was made, without what TCP and IP add.
struct Traffic {
  int64_t calls = 0;
  int64_t sent_bytes = 0;
  int64_t received_bytes = 0;
};

enum class FailureCode {
  kNotSent,   // Certainly not seen by the peer.
  kNoAnswer,  // Sent; the connection or the time ended first.
};
struct Failure {
  FailureCode code = FailureCode::kNotSent;
  std::string message;
  // The peer's VM answered that no process listens at the address.
  bool refused = false;
};
using CallResult = std::variant<Response, Failure>;

struct Call {
  std::string peer;  // "IP:PORT".
  Request request;
  Duration timeout{0};
  task::Address<CallResult> reply_to;
};

struct ClientOptions {
  Duration connect_timeout{1'000};
  int64_t max_streams = 4'096;  // In flight to one peer; beyond: kNotSent.
  int64_t max_body_bytes = 4 << 20;
};

class Client {
 public:
  Client(task::Loop& loop, ClientOptions options);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  task::Address<Call> address() const;
  // On the client's loop, or after it has stopped.
  Traffic traffic() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace azurepass::entry

#endif  // AZUREPASS_ENTRY_ENTRY_H_
