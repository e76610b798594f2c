// Tests how long a task waits for its retry after a failure, in a cell that
// always has room.

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "azurepass/placement/placement.h"

namespace azurepass::placement {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const MonotonicTime kStart = MonotonicTime() + seconds(1'000);
const Resources kWorker(1'000, 1'000, 1'000'000, 1'000'000, 0);
const Resources kOneCore(1, 1, 1'000, 1, 0);
const TeamId kTeam("a");

// Holds a cell with one large worker, so that there is always room.
class Fixture {
 public:
  explicit Fixture(const Options& options) : cell(WithoutQuarantine(options)) {
    cell.AddWorker({.vm = VmId("w"),
                    .zone = ZoneId("z"),
                    .rack = RackId("r"),
                    .service = ServiceId("s"),
                    .address = "",
                    .capacity = kWorker},
                   WorkerAdmission::kOpen);
    cell.SetTeam(kTeam, {1, {ZoneId("z")}, kUnlimited});
  }

  void Add(const std::string& job, int tasks, bool perpetual = false) {
    JobSpec spec;
    spec.queue = QueueId("q");
    spec.tasks = tasks;
    spec.task = kOneCore;
    spec.perpetual = perpetual;
    if (perpetual) spec.policy = ServicePolicy{};
    cell.AddJob(JobId(job), kTeam, spec, now);
  }

  std::vector<TaskId> DecideStarts() {
    std::vector<TaskId> started;
    for (const Decision& decision : cell.Decide(now, {})) {
      started.push_back(std::get<Start>(decision).task);
    }
    return started;
  }

  void Fail(const TaskId& task) {
    cell.Release(task, AttemptOutcome::kFailed, true, now);
  }

  // Calls Decide at each NextWake until the task starts. Returns the time it
  // took.
  Duration TimeUntilStarted(const TaskId& task) {
    const MonotonicTime from = now;
    for (;;) {
      const std::vector<TaskId> started = DecideStarts();
      if (std::count(started.begin(), started.end(), task) > 0) {
        return duration_cast<Duration>(now - from);
      }
      const auto wake = cell.NextWake();
      REQUIRE(wake.has_value());
      now = std::max(*wake, now + milliseconds(1));
    }
  }

  Cell cell;
  MonotonicTime now = kStart;

 private:
  static Options WithoutQuarantine(Options options) {
    options.quarantine = NoQuarantine{};
    return options;
  }
};

// The users require that a perpetual task runs again within 6 s of its end.
// This is the part of these 6 s that may pass until the cell starts the retry.
constexpr seconds kMaxRetryWait(4);

TEST_CASE(
    "a perpetual task that fails rarely restarts after the first backoff") {
  Fixture f({});
  f.Add("lasts", 1, /*perpetual=*/true);
  const TaskId task{JobId("lasts"), 0};
  REQUIRE(f.DecideStarts().size() == 1);
  for (int n = 1; n <= 12; ++n) {
    CAPTURE(n);
    f.now += minutes(3);
    f.Fail(task);
    // It ran for long enough in between that each failure counts as the first.
    CHECK(f.TimeUntilStarted(task) <= Options().initial_backoff);
  }
}

TEST_CASE(
    "a perpetual task that fails at once restarts in time but less often") {
  Fixture f({});
  f.Add("lasts", 1, /*perpetual=*/true);
  const TaskId task{JobId("lasts"), 0};
  REQUIRE(f.DecideStarts().size() == 1);
  for (int n = 1; n <= 12; ++n) {
    CAPTURE(n);
    f.Fail(task);
    const Duration waited = f.TimeUntilStarted(task);
    CHECK(waited <= kMaxRetryWait);
    if (n >= 4) CHECK(waited >= seconds(1));
  }
}

TEST_CASE("a task with limited attempts waits no longer than its backoff") {
  struct Row {
    Options options;
    Duration max_wait;  // The wait before the last attempt.
  };
  const Row rows[] = {
      {Options(), Duration(8'000)},
      {{.initial_backoff = Duration(10), .max_backoff = Duration(1'000)},
       Duration(80)}};
  for (const Row& row : rows) {
    Fixture f(row.options);
    f.Add("fails", 1);
    const TaskId task{JobId("fails"), 0};
    REQUIRE(f.DecideStarts().size() == 1);
    for (int n = 1; n < kMaxAttempts; ++n) {
      CAPTURE(n);
      f.Fail(task);
      CHECK(f.TimeUntilStarted(task) <= row.max_wait);
    }
  }
}

// Holds a cell in which every attempt of the jobs "fails0", "fails1", ... fails
// at once.
class FailingCell : public Fixture {
 public:
  FailingCell(int jobs, int tasks) : Fixture({.max_backoff = seconds(1)}) {
    for (int j = 0; j < jobs; ++j) Add(absl::StrCat("fails", j), tasks);
  }

  // Advances the time to `until`. Records the longest wait of each task for a
  // retry.
  void RunUntil(MonotonicTime until) {
    while (now < until) {
      for (const TaskId& task : DecideStarts()) {
        if (const auto it = failed_.find(task); it != failed_.end()) {
          longest_wait[task] = std::max(
              longest_wait[task], duration_cast<Duration>(now - it->second));
          failed_.erase(it);
          ++retries;
        }
        if (task.job == JobId("sound")) continue;
        Fail(task);
        failed_[task] = now;
      }
      now += milliseconds(10);
    }
    // Tasks that still wait count with their wait until now.
    for (const auto& [task, at] : failed_) {
      longest_wait[task] =
          std::max(longest_wait[task], duration_cast<Duration>(now - at));
    }
  }
  void FailTask(const TaskId& task) {
    Fail(task);
    failed_[task] = now;
  }

  std::map<TaskId, Duration> longest_wait;
  int64_t retries = 0;

 private:
  std::map<TaskId, MonotonicTime> failed_;
};

TEST_CASE("failures of other jobs do not delay the retry of a healthy job") {
  struct Row {
    int jobs;
    int tasks;
  };
  for (const Row& row : {Row{1, 300}, Row{300, 1}, Row{10, 40}}) {
    CAPTURE(row.jobs);
    FailingCell f(row.jobs, row.tasks);
    f.Add("sound", 1);
    const TaskId healthy{JobId("sound"), 0};
    f.RunUntil(kStart + seconds(30));
    f.FailTask(healthy);
    f.RunUntil(kStart + seconds(60));
    CHECK(f.longest_wait.at(healthy) <= kMaxRetryWait);
  }
}

// The retry budget exists to prevent this failure.
TEST_CASE("jobs that always fail do not fill the cell with their retries") {
  struct Row {
    int jobs;
    int tasks;
  };
  for (const Row& row : {Row{1, 300}, Row{300, 1}, Row{10, 40}}) {
    CAPTURE(row.jobs);
    FailingCell f(row.jobs, row.tasks);
    f.RunUntil(kStart + seconds(60));
    // Two free retries of each job, a full bucket of tokens, a token for each
    // ten first starts, and two tokens a second.
    const int first_starts = row.jobs * row.tasks;
    CHECK(f.retries <= 2 * row.jobs + 100 + first_starts / 10 + 2 * 60);
  }
}

TEST_CASE("tasks that wait for a retry token take turns") {
  constexpr int kTasks = 40;
  constexpr int kRetriesPerSecond = 2;  // Once the bucket is empty.
  FailingCell f(1, kTasks);
  f.RunUntil(kStart + seconds(300));
  REQUIRE(f.longest_wait.size() == kTasks);
  const auto round_time = seconds(kTasks / kRetriesPerSecond);
  for (const auto& entry : f.longest_wait) {
    CAPTURE(entry.first.index);
    CHECK(entry.second <= round_time + seconds(2));
  }
}

}  // namespace
}  // namespace azurepass::placement
