// Runs a sequence of calls on a Cell and on the Oracle and compares the two. A
// call is a kind and three small numbers, so that sequences can be enumerated,
// generated at random and shrunk. A number that is out of range wraps around.

#ifndef AZUREPASS_PLACEMENT_TESTING_TRIAL_H_
#define AZUREPASS_PLACEMENT_TESTING_TRIAL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "azurepass/placement/testing/oracle.h"

namespace azurepass::placement::testing {

enum class CallKind : uint8_t {
  kAddJob,
  kDecide,
  kRelease,
  kSetZone,
  kSetAdmission,
  kSetTeam,
  kCancelTask,
  kRecover,
  kResizeWorker,
  kRemoveJob,
};
inline constexpr int kCallKinds = 10;

// The kind determines what the numbers `a`, `b` and `c` choose.
struct Call {
  CallKind kind = CallKind::kDecide;
  uint32_t a = 0;
  uint32_t b = 0;
  uint32_t c = 0;
};
std::string ToString(const Call& call);

struct TrialOptions {
  int zones = 2;
  int racks = 2;    // In each zone.
  int workers = 2;  // In each rack.
  int teams = 3;
  uint32_t max_tasks = 6;  // Of a job.
  bool check_preferences = true;
  bool urgent = true;  // Whether some jobs are urgent.
};

class Trial {
 public:
  explicit Trial(const TrialOptions& options);

  // Returns the first violation, if any.
  std::optional<std::string> Run(const std::vector<Call>& calls);

 private:
  std::optional<std::string> Apply(const Call& call);
  void AddJob(const Call& call);
  std::optional<std::string> Decide(const Call& call);
  void Release(const Call& call);
  void SetZone(const Call& call);
  void SetAdmission(const Call& call);
  void SetTeam(const Call& call);
  void CancelTask(const Call& call);
  std::optional<std::string> Recover(const Call& call);
  void ResizeWorker(const Call& call);
  void RemoveJob(const Call& call);
  std::optional<TaskId> PickTask(uint32_t number) const;
  VmId PickWorker(uint32_t number) const;

  TrialOptions options_;
  Cell cell_;
  Oracle oracle_;
  MonotonicTime now_;
  int jobs_ = 0;
};

}  // namespace azurepass::placement::testing

#endif  // AZUREPASS_PLACEMENT_TESTING_TRIAL_H_
