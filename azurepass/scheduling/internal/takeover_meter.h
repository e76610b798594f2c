// How far a new owner of a partition has come, and what it waits for.
//
// A TakeoverMeter watches what an owner is given and what it returns, as a
// HopMeter does, from the claim on until work can start on every worker. It
// writes a line when that is so, one before if it takes long, and one if the
// owner is gone first. Afterwards it costs nothing until the next claim.

#ifndef AZUREPASS_SCHEDULING_INTERNAL_TAKEOVER_METER_H_
#define AZUREPASS_SCHEDULING_INTERNAL_TAKEOVER_METER_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "azurepass/core/core.h"
#include "azurepass/partition/partition.h"
#include "azurepass/placement/placement.h"

namespace azurepass::scheduling {

// Since the start of the process.
struct TakeoverFigures {
  int64_t begun = 0;
  int64_t completed = 0;
  int64_t late = 0;       // Not complete kLateTakeover after the claim.
  int64_t abandoned = 0;  // The owner was gone before.
  Duration longest{0};    // Of those completed.
};

// A takeover that is not complete by then gets a line that says what it lacks.
inline constexpr Duration kLateTakeover{3'000};
// The line of a complete takeover waits so long for the first start, if tasks
// are queued.
inline constexpr Duration kFirstStartWait{10'000};

class TakeoverMeter {
 public:
  // The claim is held.
  void Begin(MonotonicTime now);
  // Before the owner handles the event.
  void OnEvent(const partition::Event& event, MonotonicTime now);
  void OnAction(const partition::Action& action, MonotonicTime now);
  // After the owner has handled an event.
  void OnHandled(bool owns, MonotonicTime now);

  // Whether TakeLine may have a line now.
  bool IsDue(MonotonicTime now) const;
  // The text of a log line; empty if there is nothing new.
  std::string TakeLine(const placement::CellStatus& cell, MonotonicTime now);
  // The owner is gone. The text of a line if its takeover was not complete.
  std::string TakeLastLine(MonotonicTime now);

  const TakeoverFigures& figures() const { return figures_; }

 private:
  // In the order of their fields in a line.
  enum Step {
    kJournalRead,
    kFenced,  // The first append succeeded.
    kOwns,
    kFirstSession,
    kFirstProof,  // An append that began after the first session succeeded.
    kConfigured,
    kMayStart,  // The configuration is fresh.
    kAllowances,
    kPermitAsked,
    kPermitGranted,
    kFirstStart,
    kFirstRequeue,
    kSteps,
  };
  enum class WorkerState { kSilent, kAnswered, kStopped, kGone };

  // The takeover that is under way.
  struct Takeover {
    explicit Takeover(MonotonicTime at) : begun(at) {}

    MonotonicTime begun;
    std::array<std::optional<MonotonicTime>, kSteps> steps{};
    bool may_start = false;  // Now.
    bool owns = false;       // Now.
    bool late_line_written = false;
    absl::flat_hash_map<VmId, WorkerState> workers;
    int64_t silent = 0;  // Of `workers`.
    std::optional<MonotonicTime> last_settled;
    // Sessions opened since the last append was sent, then its number.
    int64_t unproven = 0;
    std::optional<int64_t> proof_batch;
    std::optional<MonotonicTime> last_proof;
    int64_t load_failures = 0;
    int64_t ends = 0;  // That former owners had not recorded.
    int64_t adopted = 0;
    int64_t permits_granted = 0;
    int64_t permits_denied = 0;
    int64_t permits_failed = 0;  // Questions without an answer.
  };

  void Mark(Step step, MonotonicTime now);
  void SetWorker(const VmId& vm, WorkerState state, MonotonicTime now);
  void OnAppended(int64_t number, MonotonicTime now);
  void OnPermits(const partition::PermitsIssued& issued, MonotonicTime now);
  void OnDecision(const partition::LogDecision& decision, MonotonicTime now);
  // What is still to come before work can start on every worker.
  std::vector<std::string_view> Missing() const;
  // When that was so. Nothing must be missing.
  MonotonicTime CompletedAt() const;
  std::string Line(std::string_view outcome,
                   const std::vector<std::string_view>& missing,
                   MonotonicTime now) const;

  std::optional<Takeover> takeover_;
  TakeoverFigures figures_;
};

}  // namespace azurepass::scheduling

#endif  // AZUREPASS_SCHEDULING_INTERNAL_TAKEOVER_METER_H_
