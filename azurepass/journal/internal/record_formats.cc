// The formats of records and tasks. Fields at their default are left out, for
// the values are many and small.

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
  kForgotten
};
constexpr std::pair<std::string_view, Kind> kKinds[] = {
    {"submitted", Kind::kSubmitted}, {"started", Kind::kStarted},
    {"requeued", Kind::kRequeued},   {"ended", Kind::kEnded},
    {"cancelled", Kind::kCancelled}, {"forgotten", Kind::kForgotten}};

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
  return out;
}

}  // namespace

JobSubmitted Format<JobSubmitted>::Read(ObjectReader& reader) {
  JobSubmitted submitted;
  submitted.job = reader.Name<JobId>("job");
  submitted.team = reader.Name<TeamId>("team");
  submitted.request = reader.Name<RequestId>("request");
  submitted.spec = reader.Object<JobSpec>("spec");
  submitted.accepted = WallTime(std::chrono::duration_cast<WallTime::duration>(
      Duration(reader.Int("accepted_ms", 0, kMaxInt / 1'000'000, 0))));
  return submitted;
}

Json Format<JobSubmitted>::Write(const JobSubmitted& value) {
  const auto accepted =
      std::chrono::duration_cast<Duration>(value.accepted.time_since_epoch());
  return {{"job", value.job.value()},
          {"team", value.team.value()},
          {"request", value.request.value()},
          {"spec", codec::Write(value.spec)},
          {"accepted_ms", accepted.count()}};
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
              }},
      value);
}

}  // namespace azurepass::codec
