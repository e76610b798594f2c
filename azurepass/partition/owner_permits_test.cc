// Tests of the order, the number and the repetition of permit requests when a
// permit service is overloaded or lasting tasks were interrupted.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "azurepass/partition/testing/driver.h"

namespace azurepass::partition {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

constexpr MonotonicTime::duration kTick = std::chrono::milliseconds(20);

WorkflowSpec PermitWorkflow(bool perpetual) {
  WorkflowSpec spec;
  spec.queue = kQueue;
  spec.steps = {MakeStep(1)};
  spec.steps[0].job.perpetual = perpetual;
  spec.steps[0].job.constraints.needs_permit = true;
  return spec;
}

RequestId IdOf(int number) {
  std::string digits = std::to_string(number);
  return RequestId(std::string(16 - digits.size(), '0') + digits);
}

std::vector<RequestPermits> RequestsSince(const Driver& d, size_t first) {
  std::vector<RequestPermits> requests;
  for (size_t i = first; i < d.actions.size(); ++i) {
    const auto* request = std::get_if<RequestPermits>(&d.actions[i]);
    if (request != nullptr) requests.push_back(*request);
  }
  return requests;
}

void Answer(Driver& d, const RequestPermits& request, bool issued) {
  PermitsIssued answer{request.job, request.workers, std::nullopt,
                       d.now + kPermitValidity};
  if (issued) {
    answer.permits.emplace();
    for (const VmId& vm : request.workers) answer.permits->push_back({vm, "t"});
  }
  d.Handle(answer);
}

// Answers all requests from the action `seen` on as failed at once, for `time`.
// Returns how many they were.
int FailRequestsFor(Driver& d, MonotonicTime::duration time, size_t& seen) {
  int failed = 0;
  for (const MonotonicTime end = d.now + time; d.now < end; d.now += kTick) {
    d.Handle(Tick{});
    const std::vector<RequestPermits> requests = RequestsSince(d, seen);
    seen = d.actions.size();
    for (const RequestPermits& request : requests) Answer(d, request, false);
    failed += static_cast<int>(requests.size());
  }
  return failed;
}

// Guards against a permit service that is kept overloaded by the requests that
// it has failed: each came again after 100 ms, for as long as the job waited.
TEST_CASE("failed permit requests are repeated less and less often") {
  constexpr int kJobs = 20;
  Driver d({"vm-0", "vm-1", "vm-2"}, /*permits=*/true);
  for (int i = 1; i <= kJobs; ++i) {
    d.Submit(i, PermitWorkflow(/*perpetual=*/false), kTeam, IdOf(i));
  }
  d.CompleteAppends();
  size_t seen = 0;
  const int first_ten_seconds = FailRequestsFor(d, seconds(10), seen);
  const int next_ten_seconds = FailRequestsFor(d, seconds(10), seen);
  // The whole of the delay is 1.6 s, half of it the least.
  CHECK(next_ten_seconds <= kJobs * 10 / 0.8);
  CHECK(next_ten_seconds >= kJobs * 10 / 1.6 - kJobs);
  CHECK(first_ten_seconds < 2 * next_ten_seconds + 5 * kJobs);
  // An answer ends the delay: the next request comes when its permits lapse.
  const RequestPermits last = d.Last<RequestPermits>();
  Answer(d, last, true);
  d.CompleteAppends();
  const auto starts = d.Starts();
  CHECK(std::any_of(starts.begin(), starts.end(), [&](const auto& start) {
    return start.second.attempt.task.job == last.job;
  }));
}

// Guards against lasting tasks that lose their run and then wait for permits
// behind those of all other work (LOST).
TEST_CASE("interrupted perpetual tasks request their permits first") {
  Driver d({"vm-0"}, /*permits=*/true);
  d.Submit(1, PermitWorkflow(/*perpetual=*/true), kTeam, IdOf(1));
  d.CompleteAppends();
  const RequestPermits asked = d.Last<RequestPermits>();
  CHECK_FALSE(asked.restart);
  Answer(d, asked, true);
  d.CompleteAppends();
  REQUIRE(d.Starts().size() == 1);
  d.now += 2 * kPermitValidity;
  const AttemptId attempt = d.Starts()[0].second.attempt;
  const size_t first = d.actions.size();
  // The other jobs come in the same event, and before it in the start order.
  for (int i = 2; i <= 4; ++i) {
    WorkflowSpec other = PermitWorkflow(/*perpetual=*/false);
    other.steps[0].job.priority = Priority::kUrgent;
    d.Submit(i, other, kTeam, IdOf(i));
  }
  d.Report("vm-0", 1, attempt, WorkerEventKind::kStopped);
  d.CompleteAppends();
  d.now += seconds(1);
  d.Handle(Tick{});
  const std::vector<RequestPermits> requests = RequestsSince(d, first);
  REQUIRE(requests.size() == 4);
  for (const RequestPermits& request : requests) {
    CHECK(request.restart == (request.job == asked.job));
  }
}

TEST_CASE("a new owner's requests for interrupted tasks are marked") {
  Driver d({"vm-0", "vm-1"}, /*permits=*/true);
  d.Submit(1, PermitWorkflow(/*perpetual=*/true), kTeam, IdOf(1));
  d.Submit(2, PermitWorkflow(/*perpetual=*/true), kTeam, IdOf(2));
  d.CompleteAppends();
  const RequestPermits asked = RequestsSince(d, 0).front();
  Answer(d, asked, true);
  d.CompleteAppends();
  REQUIRE(d.Starts().size() == 1);
  d.now += 2 * kPermitValidity;
  d.Report(d.Starts()[0].first.value(), 1, d.Starts()[0].second.attempt,
           WorkerEventKind::kStopped);
  d.CompleteAppends();
  const std::vector<Batch> journal = d.batches;
  const size_t first = d.actions.size();
  d.TakeOver(2, std::nullopt, journal, {"vm-0", "vm-1"});
  d.now += kTick;
  d.Handle(Tick{});
  const std::vector<RequestPermits> requests = RequestsSince(d, first);
  REQUIRE(requests.size() == 2);
  // The other one has never run.
  CHECK(requests[0].job == asked.job);
  CHECK(requests[0].restart);
  CHECK_FALSE(requests[1].restart);
}

TEST_CASE("a request that nobody waits for any more is withdrawn") {
  enum class End { kCancelled, kReleased, kDeposed };
  for (const End end : {End::kCancelled, End::kReleased, End::kDeposed}) {
    CAPTURE(static_cast<int>(end));
    Driver d({"vm-0"}, /*permits=*/true);
    d.Submit(1, PermitWorkflow(/*perpetual=*/false));
    d.CompleteAppends();
    REQUIRE(d.Count<RequestPermits>() == 1);
    CHECK(d.Count<WithdrawPermits>() == 0);
    if (end == End::kCancelled) {
      d.Handle(RequestReceived{RequestToken{2},
                               CancelWorkflow{kPartition, kTeam, kRequest},
                               d.now + seconds(10)});
    } else if (end == End::kReleased) {
      d.Handle(ReleaseWanted{});
    } else {
      d.Handle(ClaimLost{});
    }
    d.CompleteAppends();
    REQUIRE(d.Count<WithdrawPermits>() == 1);
    CHECK(d.Last<WithdrawPermits>().job == d.Last<RequestPermits>().job);
  }
}

}  // namespace
}  // namespace azurepass::partition
