// What must hold, checked on what really happened: starts at the workers, the
// journal's content, and the answers that callers got. It knows nothing of how
// an owner works. The first violation is kept.

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

// A value that changes, with the time by which everybody has to know.
struct Changed {
  bool in_force = false;
  MonotonicTime since{};
};

class Oracle {
 public:
  void Violation(const std::string& what) {
    if (violation_.empty()) violation_ = what;
  }
  const std::string& violation() const { return violation_; }

  // --- Starts
  void OnStart(const StartTask& order, const FakeWorker& worker,
               const std::map<VmId, FakeWorker>& workers, MonotonicTime now);
  void SetZoneOut(const ZoneId& zone, bool out, MonotonicTime now);
  void SetLeaving(const VmId& vm, bool leaving, MonotonicTime now);
  void SetAllowance(const TeamId& team, Resources allowance, MonotonicTime now);

  // --- The journal, as batches are created in order.
  void OnJournal(const Batch& batch);

  // --- Requests
  void OnRequest(RequestToken token, const JobRequest& request);
  // A process that is superseded and does not know it yet may show an older
  // state, never another final one.
  void OnAnswer(RequestToken token, const JobResponse& response,
                bool superseded);
  // The process that had the request died: no answer can come.
  void OnAbandoned(RequestToken token);
  // To be called when nothing can happen any more.
  void OnEnd();

  // Jobs of the journal that are not forgotten, with tasks that are not final.
  std::vector<TaskId> Unfinished() const;
  TeamId TeamOf(const JobId& job) const;
  // Jobs that some caller was told of.
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
  std::map<ZoneId, Changed> zones_out_;
  std::map<VmId, Changed> leaving_;
  std::map<TeamId, std::vector<std::pair<MonotonicTime, Resources>>>
      allowances_;
  std::map<JobId, Job> jobs_;
  std::map<RequestToken, Request> requests_;
  std::map<std::pair<TeamId, RequestId>, JobId> told_;
  std::map<TaskId, TaskState> shown_final_;
};

}  // namespace azurepass::partition::testing

#endif  // AZUREPASS_PARTITION_TESTING_ORACLE_H_
