// How long a task waits after its attempt has failed, where there is room.

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
const Resources kOne(1, 1, 1'000, 1, 0);
const TeamId kTeam("a");

// One large worker, so that there is always room.
class Fixture {
 public:
  explicit Fixture(const Options& options) : cell(Plain(options)) {
    cell.AddWorker({.vm = VmId("w"),
                    .zone = ZoneId("z"),
                    .rack = RackId("r"),
                    .service = ServiceId("s"),
                    .address = "",
                    .capacity = kWorker},
                   WorkerAdmission::kOpen);
    cell.SetTeam(kTeam, {1, {ZoneId("z")}, kUnlimited});
  }

  void Add(const std::string& job, int tasks, bool lasts = false) {
    JobSpec spec;
    spec.queue = QueueId("q");
    spec.tasks = tasks;
    spec.task = kOne;
    spec.perpetual = lasts;
    if (lasts) spec.policy = ServicePolicy{};
    cell.AddJob(JobId(job), kTeam, spec, now);
  }

  std::vector<TaskId> Starts() {
    std::vector<TaskId> started;
    for (const Decision& decision : cell.Decide(now, {})) {
      started.push_back(std::get<Start>(decision).task);
    }
    return started;
  }

  void Fail(const TaskId& task) {
    cell.Release(task, AttemptOutcome::kFailed, true, now);
  }

  // Goes on from wake to wake until the task starts. Returns how long it took.
  Duration UntilStarted(const TaskId& task) {
    const MonotonicTime from = now;
    for (;;) {
      const std::vector<TaskId> started = Starts();
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
  static Options Plain(Options options) {
    options.quarantine = NoQuarantine{};
    return options;
  }
};

// The users' rule: a task that lasts is back within 6 s of its end.
constexpr seconds kBackWithin(4);

TEST_CASE("a lasting task is back soon after each failure of a long life") {
  Fixture f({});
  f.Add("lasts", 1, /*lasts=*/true);
  const TaskId task{JobId("lasts"), 0};
  REQUIRE(f.Starts().size() == 1);
  for (int n = 1; n <= 12; ++n) {
    CAPTURE(n);
    f.now += minutes(3);
    f.Fail(task);
    // It ran soundly in between, so each failure counts as the first.
    CHECK(f.UntilStarted(task) <= Options().initial_backoff);
  }
}

TEST_CASE("a lasting task that fails at once is back soon, and less often") {
  Fixture f({});
  f.Add("lasts", 1, /*lasts=*/true);
  const TaskId task{JobId("lasts"), 0};
  REQUIRE(f.Starts().size() == 1);
  for (int n = 1; n <= 12; ++n) {
    CAPTURE(n);
    f.Fail(task);
    const Duration waited = f.UntilStarted(task);
    CHECK(waited <= kBackWithin);
    if (n >= 4) CHECK(waited >= seconds(1));
  }
}

TEST_CASE(
    "a task whose attempts are bounded waits no longer than its backoff") {
  struct Row {
    Options options;
    Duration longest;  // Before the last attempt.
  };
  const Row rows[] = {
      {Options(), Duration(8'000)},
      {{.initial_backoff = Duration(10), .max_backoff = Duration(1'000)},
       Duration(80)}};
  for (const Row& row : rows) {
    Fixture f(row.options);
    f.Add("fails", 1);
    const TaskId task{JobId("fails"), 0};
    REQUIRE(f.Starts().size() == 1);
    for (int n = 1; n < kMaxAttempts; ++n) {
      CAPTURE(n);
      f.Fail(task);
      CHECK(f.UntilStarted(task) <= row.longest);
    }
  }
}

// All tasks of the jobs "fails" end at once, again and again.
class FailingCell : public Fixture {
 public:
  FailingCell(int jobs, int tasks) : Fixture({.max_backoff = seconds(1)}) {
    for (int j = 0; j < jobs; ++j) Add(absl::StrCat("fails", j), tasks);
  }

  // Goes on until `until`; keeps the longest wait of each task.
  void Run(MonotonicTime until) {
    while (now < until) {
      for (const TaskId& task : Starts()) {
        if (const auto it = failed_.find(task); it != failed_.end()) {
          longest[task] = std::max(longest[task],
                                   duration_cast<Duration>(now - it->second));
          failed_.erase(it);
          ++retries;
        }
        if (task.job == JobId("sound")) continue;
        Fail(task);
        failed_[task] = now;
      }
      now += milliseconds(10);
    }
    // What still waits counts as well.
    for (const auto& [task, at] : failed_) {
      longest[task] =
          std::max(longest[task], duration_cast<Duration>(now - at));
    }
  }
  void FailSound(const TaskId& task) {
    Fail(task);
    failed_[task] = now;
  }

  std::map<TaskId, Duration> longest;
  int64_t retries = 0;

 private:
  std::map<TaskId, MonotonicTime> failed_;
};

TEST_CASE("failures of others do not keep sound work from its retry") {
  struct Row {
    int jobs;
    int tasks;
  };
  for (const Row& row : {Row{1, 300}, Row{300, 1}, Row{10, 40}}) {
    CAPTURE(row.jobs);
    FailingCell f(row.jobs, row.tasks);
    f.Add("sound", 1);
    const TaskId sound{JobId("sound"), 0};
    f.Run(kStart + seconds(30));
    f.FailSound(sound);
    f.Run(kStart + seconds(60));
    CHECK(f.longest.at(sound) <= kBackWithin);
  }
}

// What the budget is there for.
TEST_CASE("jobs that always fail do not fill the cell with their retries") {
  struct Row {
    int jobs;
    int tasks;
  };
  for (const Row& row : {Row{1, 300}, Row{300, 1}, Row{10, 40}}) {
    CAPTURE(row.jobs);
    FailingCell f(row.jobs, row.tasks);
    f.Run(kStart + seconds(60));
    // Two of each job; the bucket; a tenth of the first starts; two a second.
    const int first_starts = row.jobs * row.tasks;
    CHECK(f.retries <= 2 * row.jobs + 100 + first_starts / 10 + 2 * 60);
  }
}

TEST_CASE("retries take their turns") {
  constexpr int kTasks = 40;
  constexpr int kRetriesPerSecond = 2;  // When all tokens are spent.
  FailingCell f(1, kTasks);
  f.Run(kStart + seconds(300));
  REQUIRE(f.longest.size() == kTasks);
  const auto turn = seconds(kTasks / kRetriesPerSecond);
  for (const auto& entry : f.longest) {
    CAPTURE(entry.first.index);
    CHECK(entry.second <= turn + seconds(2));
  }
}

}  // namespace
}  // namespace azurepass::placement
