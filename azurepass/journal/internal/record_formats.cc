// The JSON formats of records and tasks. Most fields are omitted when they have
// their default value, because the objects are many and small.

#include "azurepass/journal/internal/record_formats.h"

#include <limits>
#include <string>
#include <string_view>
#include <utility>

namespace azurepass::codec {
namespace {

using partition::JobCancelled;
using partition::JobForgotten;
using partition::JobSubmitted;
using partition::Record;
using partition::TaskEnded;
using partition::TaskRequeued;
using partition::TaskSnapshot;
using partition::TaskStarted;
using partition::WorkflowCancelled;
using partition::WorkflowForgotten;
using partition::WorkflowSnapshot;
using partition::WorkflowSubmitted;
using placement::AttemptOutcome;

constexpr int64_t kMaxInt = std::numeric_limits<int64_t>::max();
constexpr int64_t kMaxAttempt = std::numeric_limits<int32_t>::max();
constexpr size_t kMaxReasonBytes = 200;

constexpr std::pair<std::string_view, TaskState> kStates[] = {
    {"queued", TaskState::kQueued},       {"running", TaskState::kRunning},
    {"succeeded", TaskState::kSucceeded}, {"failed", TaskState::kFailed},
    {"cancelled", TaskState::kCancelled}, {"expired", TaskState::kExpired},
    {"unknown", TaskState::kUnknown}};

constexpr std::pair<std::string_view, AttemptOutcome> kOutcomes[] = {
    {"succeeded", AttemptOutcome::kSucceeded},
    {"failed", AttemptOutcome::kFailed},
    {"stopped", AttemptOutcome::kStopped},
    {"lost", AttemptOutcome::kLost}};

enum class Kind {
  kSubmitted,
  kStarted,
  kRequeued,
  kEnded,
  kCancelled,
  kForgotten,
  kWorkflowSubmitted,
  kWorkflowCancelled,
  kWorkflowForgotten
};
constexpr std::pair<std::string_view, Kind> kKinds[] = {
    {"submitted", Kind::kSubmitted},
    {"started", Kind::kStarted},
    {"requeued", Kind::kRequeued},
    {"ended", Kind::kEnded},
    {"cancelled", Kind::kCancelled},
    {"forgotten", Kind::kForgotten},
    {"workflow_submitted", Kind::kWorkflowSubmitted},
    {"workflow_cancelled", Kind::kWorkflowCancelled},
    {"workflow_forgotten", Kind::kWorkflowForgotten}};

constexpr std::pair<std::string_view, WorkflowState> kWorkflowStates[] = {
    {"queued", WorkflowState::kQueued},
    {"running", WorkflowState::kRunning},
    {"completed", WorkflowState::kCompleted},
    {"failed", WorkflowState::kFailed},
    {"cancelled", WorkflowState::kCancelled}};

WallTime ReadWallTime(ObjectReader& reader, std::string_view name) {
  return WallTime(std::chrono::duration_cast<WallTime::duration>(
      Duration(reader.Int(name, 0, kMaxInt / 1'000'000, 0))));
}

int64_t MillisOf(WallTime time) {
  return std::chrono::duration_cast<Duration>(time.time_since_epoch()).count();
}

std::string_view OutcomeName(AttemptOutcome outcome) {
  for (const auto& [name, value] : kOutcomes) {
    if (value == outcome) return name;
  }
  return kOutcomes[0].first;
}

TaskEnded ReadEnded(ObjectReader& reader) {
  TaskEnded ended;
  ended.task.job = reader.Name<JobId>("job");
  ended.task.index =
      static_cast<int32_t>(reader.Int("index", 0, kMaxTasksPerJob - 1));
  ended.state = reader.Choice<TaskState>("state", kStates);
  ended.reason = reader.String("reason", "");
  return ended;
}

TaskRequeued ReadRequeued(ObjectReader& reader) {
  TaskRequeued requeued;
  requeued.attempt = ReadAttemptId(reader, "attempt");
  requeued.outcome = reader.Choice<AttemptOutcome>("outcome", kOutcomes);
  requeued.from_checkpoint = reader.Bool("from_checkpoint", false);
  requeued.checkpoint = reader.String("checkpoint", "");
  return requeued;
}

Json WriteEnded(const TaskEnded& r) {
  Json out = {{"record", "ended"},
              {"job", r.task.job.value()},
              {"index", r.task.index},
              {"state", TaskStateName(r.state)}};
  if (!r.reason.empty()) out["reason"] = r.reason.substr(0, kMaxReasonBytes);
  return out;
}

Json WriteRequeued(const TaskRequeued& r) {
  Json out = {{"record", "requeued"},
              {"attempt", ToString(r.attempt)},
              {"outcome", OutcomeName(r.outcome)}};
  if (r.from_checkpoint) out["from_checkpoint"] = true;
  if (!r.checkpoint.empty()) out["checkpoint"] = r.checkpoint;
  return out;
}

}  // namespace

WorkflowSubmitted Format<WorkflowSubmitted>::Read(ObjectReader& reader) {
  WorkflowSubmitted submitted;
  submitted.partition = reader.Name<PartitionId>("partition");
  submitted.team = reader.Name<TeamId>("team");
  submitted.request = reader.Name<RequestId>("request");
  submitted.spec = reader.Object<WorkflowSpec>("spec");
  submitted.accepted = ReadWallTime(reader, "accepted_ms");
  return submitted;
}

Json Format<WorkflowSubmitted>::Write(const WorkflowSubmitted& value) {
  return {{"partition", value.partition.value()},
          {"team", value.team.value()},
          {"request", value.request.value()},
          {"spec", codec::Write(value.spec)},
          {"accepted_ms", MillisOf(value.accepted)}};
}

WorkflowSnapshot Format<WorkflowSnapshot>::Read(ObjectReader& reader) {
  WorkflowSnapshot snapshot;
  snapshot.submitted = reader.Object<WorkflowSubmitted>("submitted");
  snapshot.cancelled = reader.Bool("cancelled", false);
  if (reader.Has("ended")) {
    snapshot.ended = reader.Choice("ended", kWorkflowStates);
  }
  return snapshot;
}

Json Format<WorkflowSnapshot>::Write(const WorkflowSnapshot& value) {
  Json out = {{"submitted", codec::Write(value.submitted)}};
  if (value.cancelled) out["cancelled"] = true;
  if (value.ended) out["ended"] = WorkflowStateName(*value.ended);
  return out;
}

JobSubmitted Format<JobSubmitted>::Read(ObjectReader& reader) {
  JobSubmitted submitted;
  submitted.job = reader.Name<JobId>("job");
  submitted.team = reader.Name<TeamId>("team");
  submitted.request = reader.Name<RequestId>("request");
  submitted.spec = reader.Object<JobSpec>("spec");
  submitted.accepted = ReadWallTime(reader, "accepted_ms");
  return submitted;
}

Json Format<JobSubmitted>::Write(const JobSubmitted& value) {
  return {{"job", value.job.value()},
          {"team", value.team.value()},
          {"request", value.request.value()},
          {"spec", codec::Write(value.spec)},
          {"accepted_ms", MillisOf(value.accepted)}};
}

TaskSnapshot Format<TaskSnapshot>::Read(ObjectReader& reader) {
  TaskSnapshot task;
  task.state = reader.Choice("state", kStates, {TaskState::kQueued});
  task.vm = reader.Name<VmId>("vm", VmId());
  task.attempt = static_cast<int32_t>(reader.Int("attempt", 0, kMaxAttempt, 0));
  task.attempts =
      static_cast<int32_t>(reader.Int("attempts", 0, kMaxAttempt, 0));
  task.failures =
      static_cast<int32_t>(reader.Int("failures", 0, kMaxAttempt, 0));
  task.from_checkpoint = reader.Bool("from_checkpoint", false);
  task.checkpoint = reader.String("checkpoint", "");
  task.reason = reader.String("reason", "");
  return task;
}

Json Format<TaskSnapshot>::Write(const TaskSnapshot& value) {
  Json out = Json::object();
  if (value.state != TaskState::kQueued) {
    out["state"] = TaskStateName(value.state);
  }
  if (!value.vm.empty()) out["vm"] = value.vm.value();
  if (value.attempt != 0) out["attempt"] = value.attempt;
  if (value.attempts != 0) out["attempts"] = value.attempts;
  if (value.failures != 0) out["failures"] = value.failures;
  if (value.from_checkpoint) out["from_checkpoint"] = true;
  if (!value.checkpoint.empty()) out["checkpoint"] = value.checkpoint;
  if (!value.reason.empty()) {
    out["reason"] = value.reason.substr(0, kMaxReasonBytes);
  }
  return out;
}

Record Format<Record>::Read(ObjectReader& reader) {
  switch (reader.Choice<Kind>("record", kKinds)) {
    case Kind::kSubmitted:
      return Format<JobSubmitted>::Read(reader);
    case Kind::kStarted: {
      const AttemptId attempt = ReadAttemptId(reader, "attempt");
      return TaskStarted{attempt, reader.Name<VmId>("vm")};
    }
    case Kind::kRequeued:
      return ReadRequeued(reader);
    case Kind::kEnded:
      return ReadEnded(reader);
    case Kind::kCancelled:
      return JobCancelled{reader.Name<JobId>("job")};
    case Kind::kForgotten:
      return JobForgotten{reader.Name<JobId>("job")};
    case Kind::kWorkflowSubmitted:
      return Format<WorkflowSubmitted>::Read(reader);
    case Kind::kWorkflowCancelled:
      return WorkflowCancelled{reader.Name<RequestId>("request")};
    case Kind::kWorkflowForgotten:
      return WorkflowForgotten{reader.Name<RequestId>("request")};
  }
  return JobForgotten{};
}

Json Format<Record>::Write(const Record& value) {
  return std::visit(
      Visitor{[](const JobSubmitted& r) {
                Json out = codec::Write(r);
                out["record"] = "submitted";
                return out;
              },
              [](const TaskStarted& r) {
                return Json{{"record", "started"},
                            {"attempt", ToString(r.attempt)},
                            {"vm", r.vm.value()}};
              },
              [](const TaskRequeued& r) { return WriteRequeued(r); },
              [](const TaskEnded& r) { return WriteEnded(r); },
              [](const JobCancelled& r) {
                return Json{{"record", "cancelled"}, {"job", r.job.value()}};
              },
              [](const JobForgotten& r) {
                return Json{{"record", "forgotten"}, {"job", r.job.value()}};
              },
              [](const WorkflowSubmitted& r) {
                Json out = codec::Write(r);
                out["record"] = "workflow_submitted";
                return out;
              },
              [](const WorkflowCancelled& r) {
                return Json{{"record", "workflow_cancelled"},
                            {"request", r.request.value()}};
              },
              [](const WorkflowForgotten& r) {
                return Json{{"record", "workflow_forgotten"},
                            {"request", r.request.value()}};
              }},
      value);
}

}  // namespace azurepass::codec
