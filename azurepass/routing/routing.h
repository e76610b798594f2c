// Routes requests about jobs and workflows from callers and operators to the
// owner of the partition that holds them, and returns the owner's response.
//
//   1. Authentication: the key identifies the team, and a request with an
//      unknown or withdrawn key is refused. While this process can't confirm
//      that its configuration is in force, it refuses every request from a
//      caller, because a key may have been withdrawn in the meantime.
//   2. Partition: a submission goes to the partition that rendezvous hashing
//      selects for (team, request id) among those of its queue's service, so
//      that a retry goes to the same partition. A job id contains its
//      partition. A count of waiting workflows goes to all partitions of the
//      service. If the queue had another service in an earlier configuration,
//      a workflow is looked up there too, a submission before it is submitted.
//      A workflow with many perpetual tasks is divided over all partitions of
//      the service; the first one selected has part 0.
//   3. Owner: the partition's owner is looked up in the membership view. If
//      there is none, the request waits for the next owner until its deadline,
//      a submission until its timeout in Options if that is earlier.
//   4. Delivery: the request is sent to the owner. It is retried after a
//      backoff if the owner did not receive it, no longer owns the partition,
//      or did not answer. All kinds of requests are idempotent, submissions by
//      their request id. A retry budget bounds the load that retries add.
//
// The effect in a refusal is always correct: "not run" is reported only if no
// attempt that may have had an effect can have reached an owner.
//
// Usage: construct a Dispatcher; pass callers() to caller::Server and
// operators() to operators::Server; subscribe updates(), views() and, if
// services are partitioned at run time, layouts().

#ifndef AZUREPASS_ROUTING_ROUTING_H_
#define AZUREPASS_ROUTING_ROUTING_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "azurepass/caller/caller.h"
#include "azurepass/configuration/configuration.h"
#include "azurepass/core/core.h"
#include "azurepass/entry/entry.h"
#include "azurepass/layout/layout.h"
#include "azurepass/membership/membership.h"
#include "azurepass/metrics/metrics.h"
#include "azurepass/operators/operators.h"
#include "azurepass/task/task.h"

namespace azurepass::routing {

// ---------------------------------------------------------------------------
// Partition choice and retry budget: pure functions and state without I/O

struct Partition {
  PartitionId id;
  ServiceId service;
};

// Returns the partition for a submission by rendezvous hashing (Thaler and
// Ravishankar, 1998) of (team, request) over the candidates, or an empty id if
// there are no candidates. The hash is the same in every process and release.
PartitionId ChoosePartition(const std::vector<PartitionId>& candidates,
                            const TeamId& team, const RequestId& request);

struct RetryBudgetOptions {
  double per_request = 0.2;  // Retries added by each request.
  double per_second = 10;    // Retries added each second.
  double burst = 100;        // Capacity and initial fill of the bucket.
};

// A token bucket for retries. In any time interval, the number of retries taken
// is at most burst + per_request * requests + per_second * seconds.
class RetryBudget {
 public:
  RetryBudget(RetryBudgetOptions options, MonotonicTime now);
  void OnRequest();
  // Takes one retry from the budget. Returns false if less than one is left.
  bool TryTake(MonotonicTime now);

 private:
  RetryBudgetOptions options_;
  double tokens_;  // 0 <= tokens_ <= options_.burst.
  MonotonicTime refilled_;
};

// ---------------------------------------------------------------------------
// Dispatcher

struct Options {
  MemberId member;                    // Id of this process.
  std::vector<Partition> partitions;  // In addition to those of the layouts.
  // Timeout of one attempt, in addition to the remaining wait of a held read.
  Duration attempt_timeout{3'000};
  // Time after which a submission is refused if no attempt can have reached an
  // owner, so that the caller can retry in time.
  Duration not_run_submit_timeout{60'000};
  // The same for a submission that may have run.
  Duration unknown_submit_timeout{60'000};
  Duration min_backoff{20};  // Doubles with each retry, with jitter.
  Duration max_backoff{1'000};
  Duration status_timeout{1'500};  // Of each call for a cell status.
  // Unanswered requests allowed for each team; further ones are refused.
  int64_t max_open_per_team = 1'024;
  // A workflow of one step with at least so many perpetual tasks is divided
  // over all partitions of its service; 0: none is. Processes of versions
  // without such workflows can't read them.
  int64_t min_divided_tasks = 0;
  RetryBudgetOptions retries;
  uint64_t seed = 1;  // Seeds the random numbers for jitter.
};

// Sent at shutdown: held reads are answered with the current state instead of
// waiting for a change, and so are later ones. Other requests are still served.
struct Drain {};

// Sent before the process exits: every request is answered at once, with the
// effect that is known of it, and so are later ones.
struct Stop {};

// Accepts requests, sends each to the owner of its partition, and answers it
// once unless its caller abandons it.
class Dispatcher {
 public:
  Dispatcher(task::Loop& loop, Options options,
             task::Address<entry::Call> peers);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  task::Address<caller::Event> callers() const;
  task::Address<operators::CellCall> operators() const;
  task::Address<configuration::Update> updates() const;
  task::Address<membership::View> views() const;
  // Needed for services whose partitions are not in Options::partitions.
  task::Address<layout::Update> layouts() const;
  task::Address<Drain> drain() const;
  task::Address<Stop> stop() const;
  task::Address<metrics::Scrape> metrics() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace azurepass::routing

#endif  // AZUREPASS_ROUTING_ROUTING_H_
