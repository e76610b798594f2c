// Estimates whether a worker is slow, from how long its tasks took compared to
// other tasks of the same step. Declared run times are too inaccurate for that.
//
// One task in some dozens takes several times as long as the others wherever it
// runs, so the estimate is the median of the latest comparisons: a single such
// task does not make its worker slow, nor does a single short one clear it.

#ifndef AZUREPASS_PLACEMENT_INTERNAL_SPEED_ESTIMATE_H_
#define AZUREPASS_PLACEMENT_INTERNAL_SPEED_ESTIMATE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/placement/internal/interner.h"

namespace azurepass::placement::internal {

class SpeedEstimate {
 public:
  // Records that a task took `ratio` times as long as others of its step.
  void Learn(double ratio) {
    if (ratios_.size() == kSamples) ratios_.erase(ratios_.begin());
    ratios_.push_back(ratio);
    if (ratios_.size() < kMinSamples) return;
    std::vector<double> sorted = ratios_;
    std::sort(sorted.begin(), sorted.end());
    median_ = sorted[(sorted.size() - 1) / 2];
  }

  // Returns the median of the latest ratios; empty while there are too few.
  std::optional<double> Median() const { return median_; }

 private:
  static constexpr size_t kSamples = 7;
  static constexpr size_t kMinSamples = 3;

  std::vector<double> ratios_;  // The latest ones, oldest first.
  std::optional<double> median_;
};

// How a task's run time compares to that of others of its step.
struct SpeedSample {
  Index worker = kNone;
  double ratio = 1;
};

// The run times of the tasks of one step that have ended.
class PeerRunTimes {
 public:
  // Adds the run time of a task, and returns the samples that follow from it.
  // The first few tasks are compared together once there are enough of them:
  // if they were left out, workers would be judged by their late tasks alone.
  std::vector<SpeedSample> Add(Index worker, Duration run_time) {
    const bool enough = run_times_.size() >= kMinPeers;
    if (!enough) first_.push_back({worker, run_time});
    const Duration median_before = Median();
    if (run_times_.size() < kMaxPeers) {
      run_times_.insert(
          std::upper_bound(run_times_.begin(), run_times_.end(), run_time),
          run_time);
    }
    if (enough) return {{worker, Ratio(run_time, median_before)}};
    std::vector<SpeedSample> samples;
    if (run_times_.size() < kMinPeers) return samples;
    for (const Ended& ended : first_) {
      samples.push_back({ended.worker, Ratio(ended.run_time, Median())});
    }
    return samples;
  }

 private:
  static constexpr size_t kMinPeers = 4;
  static constexpr size_t kMaxPeers = 32;  // More change the median little.

  struct Ended {
    Index worker = kNone;
    Duration run_time{0};
  };

  Duration Median() const {
    return run_times_.empty() ? Duration(0)
                              : run_times_[(run_times_.size() - 1) / 2];
  }
  static double Ratio(Duration run_time, Duration median) {
    return static_cast<double>(run_time.count()) /
           static_cast<double>(std::max<int64_t>(1, median.count()));
  }

  std::vector<Duration> run_times_;  // Sorted.
  std::vector<Ended> first_;         // The first kMinPeers.
};

}  // namespace azurepass::placement::internal

#endif  // AZUREPASS_PLACEMENT_INTERNAL_SPEED_ESTIMATE_H_
