// Checks the partition's invariants against what can be observed: starts at the
// workers, the journal's content, and the answers that callers get. It uses no
// state of the owners. Only the first violation is kept.

#ifndef AZUREPASS_PARTITION_TESTING_ORACLE_H_
#define AZUREPASS_PARTITION_TESTING_ORACLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/partition/partition.h"
#include "azurepass/partition/testing/fake_worker.h"

namespace azurepass::partition::testing {

// A condition and the time of its latest change.
struct TimedCondition {
  bool in_force = false;
  MonotonicTime since{};
};

class Oracle {
 public:
  void AddViolation(const std::string& what) {
    if (violation_.empty()) violation_ = what;
  }
  const std::string& violation() const { return violation_; }

  // --- Starts
  void OnStart(const StartTask& order, const FakeWorker& worker,
               const std::map<VmId, FakeWorker>& workers, MonotonicTime now);
  void SetZoneOut(const ZoneId& zone, bool out, MonotonicTime now);
  void SetLeaving(const VmId& vm, bool leaving, MonotonicTime now);
  void SetAllowance(const TeamId& team, Resources allowance, MonotonicTime now);

  // --- The journal. Called for each batch, in order.
  void OnBatchCreated(const Batch& batch);

  // --- Requests
  void OnRequest(RequestToken token, const JobRequest& request);
  // A process that has been superseded but does not know it yet may answer with
  // an older state, but never with a different final state.
  void OnAnswer(RequestToken token, const JobResponse& response,
                bool superseded);
  // The process that had the request was killed, so it is never answered.
  void OnAbandoned(RequestToken token);
  // Checks that all requests are answered, and that none refused as not run is
  // in the journal. Called once, at the end of the simulation.
  void OnEnd();

  // Returns all tasks that are not final, of all jobs in the journal.
  std::vector<TaskId> UnfinishedTasks() const;
  TeamId TeamOf(const JobId& job) const;
  // Returns the jobs whose submission was acknowledged to a caller.
  std::vector<std::pair<TeamId, JobId>> acknowledged() const;

 private:
  struct Request {
    JobRequest request;
    int answers = 0;
    bool abandoned = false;
    bool not_run = false;
  };
  struct Job {
    JobSubmitted submitted;
    bool cancelled = false;
    bool forgotten = false;
    std::map<int32_t, TaskState> ended;
    std::map<int32_t, VmId> running;
  };

  void CheckView(const JobView& view, bool superseded);
  void CheckSubmitAnswer(const SubmitJob& request, const JobView& view);

  std::string violation_;
  std::map<TaskId, int> starts_;
  std::map<ZoneId, TimedCondition> zones_out_;
  std::map<VmId, TimedCondition> leaving_;
  std::map<TeamId, std::vector<std::pair<MonotonicTime, Resources>>>
      allowances_;
  std::map<JobId, Job> jobs_;
  std::map<RequestToken, Request> requests_;
  std::map<std::pair<TeamId, RequestId>, JobId> acknowledged_;
  std::map<TaskId, TaskState> reported_final_;
};

}  // namespace azurepass::partition::testing

#endif  // AZUREPASS_PARTITION_TESTING_ORACLE_H_
