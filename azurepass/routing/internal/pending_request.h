// The dispatcher's record of a request that is not answered yet, and functions
// on it that have no state of their own.

#ifndef AZUREPASS_ROUTING_INTERNAL_PENDING_REQUEST_H_
#define AZUREPASS_ROUTING_INTERNAL_PENDING_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "azurepass/caller/caller.h"
#include "azurepass/core/core.h"
#include "azurepass/entry/entry.h"
#include "azurepass/operators/operators.h"
#include "azurepass/partition/partition.h"
#include "azurepass/task/task.h"

namespace azurepass::routing::internal {

// Identifies a request within the dispatcher; assigned in ascending order to
// requests of every origin.
struct PendingId {
  int64_t value = 0;
  auto operator<=>(const PendingId&) const = default;
};

// The origin of a request, which receives the answer.
struct CallerOrigin {
  caller::RequestNumber number;
  caller::Responder responder;
};
struct OperatorOrigin {
  task::Address<operators::CellResponse> reply_to;
};
// The request to one partition that is part of a count over a whole service.
struct CountOrigin {
  int64_t number = 0;
};
using Origin = std::variant<CallerOrigin, OperatorOrigin, CountOrigin>;

// What a request waits for; one of the three states below.
//
// The partition has no owner with a known address.
struct AwaitingOwner {};
// The latest attempt was sent to this owner.
struct AwaitingAnswer {
  MemberId member;
  Epoch epoch;
};
// The next attempt is not made before `until`.
struct BackingOff {
  MonotonicTime until;
};
using WaitState = std::variant<AwaitingOwner, AwaitingAnswer, BackingOff>;

// A request to another partition. See PendingRequest::alternatives.
struct Alternative {
  PartitionId partition;
  partition::JobRequest request;
};

struct PendingRequest {
  PendingId id;
  Origin origin;
  partition::JobRequest request;
  TeamId team;    // Empty for a request of an operator.
  KeyId key;      // Empty for an operator or a queue that needs no key.
  QueueId queue;  // Set for requests about workflows only.
  caller::Destination to{};  // Likewise.
  Revision revision{};       // Of the configuration that routed it.
  PartitionId partition;
  // Sent one after another while the owners answer that they have no such
  // workflow. Used for a queue whose earlier workflows may be in another
  // partition. For a submission, only the last request submits; those before it
  // look the workflow up.
  std::vector<Alternative> alternatives{};
  // The answer for the caller, once part 0 of a workflow that is divided over
  // partitions has given it, and the requests to the other partitions that are
  // still to be answered, the current one excluded.
  std::optional<WorkflowView> answer{};
  std::vector<Alternative> other_parts{};
  std::vector<PartitionId>
      count_partitions{};    // All partitions of a count; else empty.
  MonotonicTime since;       // The time of acceptance.
  MonotonicTime deadline;    // The latest time of the answer.
  MonotonicTime held_until;  // End of the wait of a held GetJob.

  WaitState wait_state = AwaitingOwner{};
  int64_t attempts = 0;  // Attempts made; also the number of the latest one.
  // True if an attempt may have reached an owner and had an effect there.
  bool may_have_run = false;
  Duration backoff{0};  // Backoff before the next attempt; 0 before the first.
  MonotonicTime alarm;  // Time of the next check; see dispatcher_impl.h.
};

// Returns "submit", "get", "cancel", "explain", "count" or "find", for log
// lines.
std::string_view KindOf(const partition::JobRequest& request);

// Returns whether the request changes no state: gets, finds, explains and
// counts.
bool IsRead(const partition::JobRequest& request);

bool IsSubmission(const partition::JobRequest& request);
// Returns whether the caller's request is a submission. The request sent now
// may be one that looks the workflow up.
bool IsSubmission(const PendingRequest& pending);

// Notes that an attempt of the current request may have had an effect.
void SetMayHaveRun(PendingRequest& pending);

// Returns a log field that identifies the request: its request id, job or
// queue, as a quoted value.
std::string SubjectOf(const partition::JobRequest& request);

// Returns the request to send now: a submission carries `revision`, a GetJob
// the rest of its wait.
entry::Request BuildRequest(const PendingRequest& pending, Revision revision,
                            MonotonicTime now);

// Returns the remaining wait of a held GetJob, or 0 for all other requests.
Duration WaitLeft(const PendingRequest& pending, MonotonicTime now);

// Returns the refusal with its effect corrected for all attempts: "unknown" if
// one of them may have had an effect, else "not run" if the request is a read.
Refusal WithOverallEffect(const PendingRequest& pending, Refusal refusal);

// Sends the response to the caller or operator. Call at most once for each
// request. Does nothing for a part of a count.
void Answer(const PendingRequest& pending,
            const partition::JobResponse& response);

}  // namespace azurepass::routing::internal

#endif  // AZUREPASS_ROUTING_INTERNAL_PENDING_REQUEST_H_
