// Leads the requests of callers and operators about jobs to the owner of the
// partition that holds the job, and its answer back.
//
//   1. The key names the team; a withdrawn or unknown one is refused. All of
//      it is refused while this process can't know that its configuration is
//      in force: a withdrawn key must not work.
//   2. A submission goes to the partition that rendezvous hashing picks for
//      (team, request id) among those of its queue's service, so that a retry
//      meets the same partition. The id of a job names its partition.
//      A count of what waits is asked of all partitions of the service.
//   3. The partition's owner is looked up in the membership view. Without an
//      owner the request waits for the next one, until its deadline.
//   4. The request is sent. It is sent again, after a backoff, when the owner
//      did not get it, is not the owner any more, or did not answer; all four
//      kinds of requests are idempotent, submissions by their request id. A
//      retry budget bounds how much this adds to the load.
//
// What is answered at the end is true: "not run" is said only when no request
// that may have had an effect can have reached an owner.
//
// Usage: construct a Dispatcher; give callers() to caller::Server, operators()
// to operators::Server, and subscribe updates(), views() and, where the
// services are spread at run time, layouts().

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
// Pure parts

struct Partition {
  PartitionId id;
  ServiceId service;
};

// The partition of a submission: rendezvous hashing (Thaler and Ravishankar,
// 1998) of (team, request) over the candidates; empty without any. The hash
// is the same in every process and release.
PartitionId ChoosePartition(const std::vector<PartitionId>& candidates,
                            const TeamId& team, const RequestId& request);

struct RetryBudgetOptions {
  double per_request = 0.2;  // Retries that each request adds.
  double per_second = 10;    // Retries that time adds.
  double burst = 100;        // Most that is saved up; also the start.
};

// A token bucket. In any span of time the retries taken are at most
// burst + per_request * requests + per_second * seconds.
class RetryBudget {
 public:
  RetryBudget(RetryBudgetOptions options, MonotonicTime now);
  void OnRequest();
  // Takes a retry out of the budget; false when there is none.
  bool TryTake(MonotonicTime now);

 private:
  RetryBudgetOptions options_;
  double tokens_;  // 0 <= tokens_ <= options_.burst.
  MonotonicTime refilled_;
};

// ---------------------------------------------------------------------------
// The dispatcher

struct Options {
  MemberId member;                    // This process.
  std::vector<Partition> partitions;  // Beside those of the layouts.
  Duration attempt_timeout{3'000};    // Of one call, beyond what it is held.
  // A submission that no owner has got is refused after this time, so that the
  // caller can come back in time; one that may have run, after the second.
  Duration submit_patience{60'000};
  Duration unknown_patience{60'000};
  Duration min_backoff{20};  // Doubles, jittered.
  Duration max_backoff{1'000};
  Duration status_timeout{1'500};  // Of the calls behind a status.
  // Requests of a team without an answer; more are refused.
  int64_t max_open_per_team = 1'024;
  RetryBudgetOptions retries;
  uint64_t seed = 1;  // Of jitter.
};

// Held requests are answered now with what is known. Further ones are served.
struct Hurry {};

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
  // Where partitions are not in the options.
  task::Address<layout::Update> layouts() const;
  task::Address<Hurry> hurry() const;
  task::Address<metrics::Scrape> metrics() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace azurepass::routing

#endif  // AZUREPASS_ROUTING_ROUTING_H_
