// One request on its way to an owner, as the dispatcher keeps it.

#ifndef AZUREPASS_ROUTING_INTERNAL_PENDING_H_
#define AZUREPASS_ROUTING_INTERNAL_PENDING_H_

#include <cstdint>
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

// Counts the dispatcher's requests, whoever they came from.
struct PendingId {
  int64_t value = 0;
  auto operator<=>(const PendingId&) const = default;
};

// Where the answer goes.
struct ToCaller {
  caller::RequestNumber number;
  caller::Responder responder;
};
struct ToOperator {
  task::Address<operators::CellResponse> reply_to;
};
// One partition's part of a count that all of a service's are asked for.
struct ToCount {
  int64_t number = 0;
};
using Origin = std::variant<ToCaller, ToOperator, ToCount>;

// What the request waits for.
struct ForOwner {};  // The partition has none with an address.
struct ForAnswer {   // Of its latest attempt.
  MemberId member;
  Epoch epoch;
};
struct ForBackoff {
  MonotonicTime until;
};
using Waiting = std::variant<ForOwner, ForAnswer, ForBackoff>;

struct Pending {
  PendingId id;
  Origin origin;
  partition::JobRequest request;
  TeamId team;    // Empty: an operator's.
  KeyId key;      // Empty: an operator's, or of a queue that needs none.
  QueueId queue;  // Of a workflow's request; else empty.
  PartitionId partition;
  std::vector<PartitionId> counted{};  // Of a count: all that are asked.
  MonotonicTime since;                 // When it was taken.
  MonotonicTime deadline;              // Refused then at the latest.
  MonotonicTime held_until;            // Of a GetJob.

  Waiting waiting = ForOwner{};
  int64_t attempts = 0;  // Calls sent; the latest one's number.
  // An attempt that may have reached an owner is not known to be without
  // effect.
  bool may_have_run = false;
  Duration backoff{0};  // Before the next attempt; 0 before the first.
  MonotonicTime alarm;  // When the dispatcher looks at it again.
};

// "submit", "get", "cancel" or "explain".
std::string_view KindOf(const partition::JobRequest& request);

// Gets and explains change nothing.
bool IsRead(const partition::JobRequest& request);

bool IsSubmission(const partition::JobRequest& request);

// The request's own id or its job's, quoted for a log line.
std::string SubjectOf(const partition::JobRequest& request);

// The request as it is sent now: a held one with the rest of its wait.
entry::Request ToSend(const Pending& pending, Revision revision,
                      MonotonicTime now);

// What is left of the wait of a held request; 0 for all others.
Duration WaitLeft(const Pending& pending, MonotonicTime now);

// A refusal with the effect that is true for this request: of a read always
// "not run"; else "unknown" as soon as an attempt may have had an effect.
Refusal Truthful(const Pending& pending, Refusal refusal);

// Answers the request; a pending is answered once.
void Answer(const Pending& pending, const partition::JobResponse& response);

}  // namespace azurepass::routing::internal

#endif  // AZUREPASS_ROUTING_INTERNAL_PENDING_H_
