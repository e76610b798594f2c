// Unanswered requests and the condition that each of them waits for. Each token
// is answered exactly once, because an answer is sent only together with the
// removal of the token from this table.

#ifndef AZUREPASS_PARTITION_INTERNAL_REQUEST_TABLE_H_
#define AZUREPASS_PARTITION_INTERNAL_REQUEST_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/partition/internal/group_commit.h"
#include "azurepass/partition/partition.h"

namespace azurepass::partition::internal {

// Returns the number of tasks of all steps in all occurrences that run here.
int64_t TasksOf(const WorkflowSpec& spec);

// Waits for the end of recovery.
struct UntilOwning {
  JobRequest request;
};
// Waits for the append of a submission or cancellation.
struct UntilAppended {
  Sequence sequence;
};
// Waits for a version of the job above `known_version`.
struct UntilChanged {
  JobId job;
  int64_t known_version = 0;
};
// Waits for the end of a workflow that is about to end.
struct UntilEnded {
  RequestId request;
};
// Waits until the submission of a workflow is appended or withdrawn. Then the
// request is dispatched again.
struct UntilSubmitted {
  RequestId workflow;
  JobRequest request;
};
using WaitsFor = std::variant<UntilOwning, UntilAppended, UntilChanged,
                              UntilEnded, UntilSubmitted>;

struct WaitingRequest {
  WaitsFor waits_for;
  MonotonicTime deadline;
};

// A submission or cancellation whose record is not settled. Several tokens may
// wait for the same record, if they are retries of one request.
struct PendingRecord {
  Record record;
  std::set<RequestToken> tokens;
};

class RequestTable {
 public:
  // `due` is the time at which the token is returned by Due; at most the
  // deadline of the request.
  void Add(RequestToken token, WaitingRequest request, MonotonicTime due);
  // Sets the token's deadline and the time at which Due returns it.
  void Reschedule(RequestToken token, MonotonicTime due);
  // Removes a request. Returns nothing if the token was already answered.
  std::optional<WaitingRequest> Take(RequestToken token);
  const WaitingRequest* Find(RequestToken token) const;

  // Returns the tokens that are due. They stay in the table.
  std::vector<RequestToken> Due(MonotonicTime now) const;
  std::optional<MonotonicTime> NextDue() const;

  // Returns the tokens that wait for a change of the job.
  std::vector<RequestToken> WaitingForJob(const JobId& job) const;
  // Returns the tokens that wait for the end of the workflow.
  std::vector<RequestToken> WaitingForWorkflow(const RequestId& request) const;
  // Returns the tokens that wait for the submission of the workflow.
  std::vector<RequestToken> WaitingForSubmission(
      const RequestId& workflow) const;
  std::vector<RequestToken> All() const;
  std::vector<RequestToken> WaitingForOwning() const;
  int64_t size() const { return std::ssize(requests_); }

  // --- Records that are not settled
  void AddRecord(Sequence sequence, Record record);
  PendingRecord* FindRecord(Sequence sequence);
  const PendingRecord* FindRecord(Sequence sequence) const;
  std::optional<PendingRecord> TakeRecord(Sequence sequence);
  std::optional<Sequence> FindSubmission(const TeamId& team,
                                         const RequestId& request) const;
  std::optional<Sequence> FindCancellation(const JobId& job) const;
  std::optional<Sequence> FindWorkflowSubmission(
      const RequestId& request) const;
  std::optional<Sequence> FindWorkflowCancellation(
      const RequestId& request) const;
  // Returns the number of tasks of the team in submissions that are not
  // settled.
  int64_t PendingTasks(const TeamId& team) const;
  bool has_records() const { return !records_.empty(); }

 private:
  struct Entry {
    WaitingRequest request;
    MonotonicTime due;
  };

  std::map<RequestToken, Entry> requests_;
  std::set<std::pair<MonotonicTime, RequestToken>> due_;  // All of requests_.
  std::map<JobId, std::set<RequestToken>> by_job_;        // UntilChanged.
  std::map<RequestId, std::set<RequestToken>> by_workflow_;  // UntilEnded.
  std::map<RequestId, std::set<RequestToken>>
      by_submission_;  // UntilSubmitted.
  std::map<Sequence, PendingRecord> records_;
  std::map<std::pair<TeamId, RequestId>, Sequence> submissions_;
  std::map<JobId, Sequence> cancellations_;
  std::map<RequestId, Sequence> workflow_submissions_;
  std::map<RequestId, Sequence> workflow_cancellations_;
  std::map<TeamId, int64_t> pending_tasks_;
};

}  // namespace azurepass::partition::internal

#endif  // AZUREPASS_PARTITION_INTERNAL_REQUEST_TABLE_H_
