// The formats of the core types.

#include <cstdint>

#include "azurepass/codec/codec.h"

namespace azurepass::codec {
namespace {

constexpr int64_t kMaxInt = std::numeric_limits<int64_t>::max();
constexpr Duration kMaxDuration{int64_t{366} * 24 * 3'600 * 1'000};

constexpr std::pair<std::string_view, Priority> kPriorities[] = {
    {"normal", Priority::kNormal},
    {"urgent", Priority::kUrgent},
    {"low", Priority::kLow}};

enum class PolicyKind { kService, kBatch, kGang };
constexpr std::pair<std::string_view, PolicyKind> kPolicies[] = {
    {"batch", PolicyKind::kBatch},
    {"service", PolicyKind::kService},
    {"gang", PolicyKind::kGang}};

constexpr std::pair<std::string_view, TaskState> kTaskStates[] = {
    {"queued", TaskState::kQueued},       {"starting", TaskState::kStarting},
    {"running", TaskState::kRunning},     {"stopping", TaskState::kStopping},
    {"succeeded", TaskState::kSucceeded}, {"failed", TaskState::kFailed},
    {"cancelled", TaskState::kCancelled}, {"expired", TaskState::kExpired},
    {"unknown", TaskState::kUnknown}};

constexpr std::pair<std::string_view, RefusalCode> kRefusalCodes[] = {
    {"internal", RefusalCode::kInternal},
    {"invalid_request", RefusalCode::kInvalidRequest},
    {"too_large", RefusalCode::kTooLarge},
    {"unauthenticated", RefusalCode::kUnauthenticated},
    {"forbidden", RefusalCode::kForbidden},
    {"not_found", RefusalCode::kNotFound},
    {"gone", RefusalCode::kGone},
    {"never_fits", RefusalCode::kNeverFits},
    {"request_conflict", RefusalCode::kRequestConflict},
    {"version_conflict", RefusalCode::kVersionConflict},
    {"queue_full", RefusalCode::kQueueFull},
    {"not_owner", RefusalCode::kNotOwner},
    {"stale_configuration", RefusalCode::kStaleConfiguration},
    {"store_unavailable", RefusalCode::kStoreUnavailable},
    {"deadline_exceeded", RefusalCode::kDeadlineExceeded},
    {"shutting_down", RefusalCode::kShuttingDown},
    {"unavailable", RefusalCode::kUnavailable}};

constexpr std::pair<std::string_view, Effect> kEffects[] = {
    {"not_run", Effect::kNotRun}, {"unknown", Effect::kUnknown}};

constexpr std::pair<std::string_view, StopKind> kStopKinds[] = {
    {"stop", StopKind::kStop}, {"checkpoint", StopKind::kCheckpoint}};

constexpr std::pair<std::string_view, WorkerEventKind> kEventKinds[] = {
    {"started", WorkerEventKind::kStarted},
    {"succeeded", WorkerEventKind::kSucceeded},
    {"failed", WorkerEventKind::kFailed},
    {"stopped", WorkerEventKind::kStopped},
    {"checkpointed", WorkerEventKind::kCheckpointed}};

enum class OrderKind { kStart, kStop, kThrottle };
constexpr std::pair<std::string_view, OrderKind> kOrders[] = {
    {"start", OrderKind::kStart},
    {"stop", OrderKind::kStop},
    {"throttle", OrderKind::kThrottle}};

template <class Enum, size_t N>
std::string_view Spelling(const std::pair<std::string_view, Enum> (&table)[N],
                          Enum wanted) {
  for (const auto& [spelling, value] : table) {
    if (value == wanted) return spelling;
  }
  return table[0].first;
}

PolicyKind KindOf(const Policy& policy) {
  return std::visit(
      Visitor{[](const ServicePolicy&) { return PolicyKind::kService; },
              [](const BatchPolicy&) { return PolicyKind::kBatch; },
              [](const GangPolicy&) { return PolicyKind::kGang; }},
      policy);
}

Policy MakePolicy(PolicyKind kind) {
  switch (kind) {
    case PolicyKind::kService:
      return ServicePolicy{};
    case PolicyKind::kBatch:
      return BatchPolicy{};
    case PolicyKind::kGang:
      return GangPolicy{};
  }
  return BatchPolicy{};
}

}  // namespace

AttemptId ReadAttemptId(ObjectReader& reader, std::string_view name) {
  std::optional<AttemptId> id = ParseAttemptId(reader.String(name));
  if (!id) {
    reader.Fail(ErrorCode::kOutOfRange, name, "must be JOB/INDEX#ATTEMPT");
    return {};
  }
  return *id;
}

Resources Format<Resources>::Read(ObjectReader& reader) {
  Resources value;
  for (Dimension d : kAllDimensions) {
    value[d] = reader.Int(DimensionName(d), 0, kUnlimitedAmount, 0);
  }
  return value;
}

Json Format<Resources>::Write(const Resources& value) {
  Json out = Json::object();
  for (Dimension d : kAllDimensions) {
    if (value[d] != 0) out[std::string(DimensionName(d))] = value[d];
  }
  return out;
}

JobSpec Format<JobSpec>::Read(ObjectReader& reader) {
  JobSpec spec;
  spec.queue = reader.Name<QueueId>("queue");
  spec.policy =
      MakePolicy(reader.Choice("policy", kPolicies, {PolicyKind::kBatch}));
  spec.priority = reader.Choice("priority", kPriorities, {Priority::kNormal});
  spec.tasks = static_cast<int32_t>(reader.Int("tasks", 1, kMaxTasksPerJob, 1));
  spec.share.parts =
      static_cast<int32_t>(reader.Int("parts", 1, kMaxTasksPerJob, 1));
  spec.share.part =
      static_cast<int32_t>(reader.Int("part", 0, spec.share.parts - 1, 0));
  spec.task = reader.Object<Resources>("task");
  if (reader.ok() && spec.task[Dimension::kSlots] < 1) {
    reader.Fail(ErrorCode::kOutOfRange, "task.slots", "must be at least 1");
  }
  spec.declared_run_time =
      reader.Millis("run_time_ms", Duration(0), kMaxDuration, Duration(0));
  spec.repeatable = reader.Bool("repeatable", true);
  if (reader.Has("deadline_ms")) {
    spec.deadline = reader.Millis("deadline_ms", Duration(1), kMaxDuration);
  }
  spec.constraints = reader.Object<Constraints>("constraints", {Constraints{}});
  spec.max_attempts =
      static_cast<int32_t>(reader.Int("max_attempts", 1, 1'000, kMaxAttempts));
  spec.perpetual = reader.Bool("perpetual", false);
  spec.counts_losses = reader.Bool("counts_losses", true);
  spec.scavenger = reader.Bool("scavenger", false);
  spec.checkpoints = reader.Bool("checkpoints", false);
  if (auto* gang = std::get_if<GangPolicy>(&spec.policy)) {
    gang->atomic = reader.Bool("atomic", false);
  }
  return spec;
}

Json Format<JobSpec>::Write(const JobSpec& value) {
  Json out = {{"queue", value.queue.value()},
              {"policy", Spelling(kPolicies, KindOf(value.policy))},
              {"priority", Spelling(kPriorities, value.priority)},
              {"tasks", value.tasks},
              {"task", codec::Write(value.task)},
              {"run_time_ms", value.declared_run_time.count()},
              {"repeatable", value.repeatable}};
  if (value.share.parts != 1) {
    out["parts"] = value.share.parts;
    out["part"] = value.share.part;
  }
  if (value.deadline) out["deadline_ms"] = value.deadline->count();
  if (value.constraints != Constraints{}) {
    out["constraints"] = codec::Write(value.constraints);
  }
  if (value.max_attempts != kMaxAttempts) {
    out["max_attempts"] = value.max_attempts;
  }
  if (value.perpetual) out["perpetual"] = true;
  if (!value.counts_losses) out["counts_losses"] = false;
  if (value.scavenger) out["scavenger"] = true;
  if (value.checkpoints) out["checkpoints"] = true;
  const auto* gang = std::get_if<GangPolicy>(&value.policy);
  if (gang != nullptr && gang->atomic) out["atomic"] = true;
  return out;
}

Constraints Format<Constraints>::Read(ObjectReader& reader) {
  Constraints value;
  value.label = reader.String("label", "");
  value.data_rack = reader.Name<RackId>("data_rack", RackId());
  value.max_per_worker =
      static_cast<int32_t>(reader.Int("max_per_worker", 0, kMaxTasksPerJob, 0));
  value.one_rack = reader.Bool("one_rack", false);
  value.needs_permit = reader.Bool("needs_permit", false);
  return value;
}

Json Format<Constraints>::Write(const Constraints& value) {
  Json out = Json::object();
  if (!value.label.empty()) out["label"] = value.label;
  if (!value.data_rack.empty()) out["data_rack"] = value.data_rack.value();
  if (value.max_per_worker > 0) out["max_per_worker"] = value.max_per_worker;
  if (value.one_rack) out["one_rack"] = true;
  if (value.needs_permit) out["needs_permit"] = true;
  return out;
}

WorkflowStep Format<WorkflowStep>::Read(ObjectReader& reader) {
  WorkflowStep step;
  step.job = reader.Object<JobSpec>("job");
  const Json& after = reader.Raw("after");
  if (after.is_null()) return step;
  if (!after.is_array()) {
    reader.Fail(ErrorCode::kWrongType, "after", "must be a list");
    return step;
  }
  for (const Json& position : after) {
    if (!position.is_number_integer() || position.get<int64_t>() < 0 ||
        position.get<int64_t>() >= kMaxWorkflowSteps) {
      reader.Fail(ErrorCode::kOutOfRange, "after", "must name earlier steps");
      return step;
    }
    step.after.push_back(position.get<int32_t>());
  }
  return step;
}

Json Format<WorkflowStep>::Write(const WorkflowStep& value) {
  Json out = {{"job", codec::Write(value.job)}};
  if (!value.after.empty()) out["after"] = value.after;
  return out;
}

WorkflowSpec Format<WorkflowSpec>::Read(ObjectReader& reader) {
  WorkflowSpec spec;
  spec.queue = reader.Name<QueueId>("queue");
  spec.payload = reader.String("payload", "");
  spec.steps = reader.Objects<WorkflowStep>("steps");
  spec.occurrences =
      static_cast<int32_t>(reader.Int("occurrences", 1, kMaxOccurrences, 1));
  if (reader.Has("first_ms")) {
    spec.first = WallTime(std::chrono::duration_cast<WallTime::duration>(
        Duration(reader.Int("first_ms", 0, kMaxInt / 1'000'000))));
  }
  spec.interval =
      reader.Millis("interval_ms", Duration(0), kMaxDuration, Duration(0));
  return spec;
}

Json Format<WorkflowSpec>::Write(const WorkflowSpec& value) {
  Json out = {{"queue", value.queue.value()}, {"steps", WriteAll(value.steps)}};
  if (!value.payload.empty()) out["payload"] = value.payload;
  if (value.occurrences != 1) out["occurrences"] = value.occurrences;
  if (value.first) {
    out["first_ms"] =
        std::chrono::duration_cast<Duration>(value.first->time_since_epoch())
            .count();
  }
  if (value.interval > Duration(0)) out["interval_ms"] = value.interval.count();
  return out;
}

WorkerSpec Format<WorkerSpec>::Read(ObjectReader& reader) {
  WorkerSpec worker;
  worker.vm = reader.Name<VmId>("vm");
  worker.zone = reader.Name<ZoneId>("zone");
  worker.rack = reader.Name<RackId>("rack");
  worker.service = reader.Name<ServiceId>("service");
  worker.address = reader.String("address");
  worker.capacity = reader.Object<Resources>("capacity");
  worker.labels = reader.Strings("labels", false);
  return worker;
}

Json Format<WorkerSpec>::Write(const WorkerSpec& value) {
  Json out = {
      {"vm", value.vm.value()},     {"zone", value.zone.value()},
      {"rack", value.rack.value()}, {"service", value.service.value()},
      {"address", value.address},   {"capacity", codec::Write(value.capacity)}};
  if (!value.labels.empty()) out["labels"] = value.labels;
  return out;
}

TaskView Format<TaskView>::Read(ObjectReader& reader) {
  TaskView task;
  task.state = reader.Choice("state", kTaskStates);
  task.vm = reader.Name<VmId>("vm", VmId());
  task.attempts = static_cast<int32_t>(
      reader.Int("attempts", 0, std::numeric_limits<int32_t>::max(), 0));
  task.reason = reader.String("reason", "");
  task.waited =
      reader.Millis("waited_ms", Duration(0), Duration::max(), Duration(0));
  return task;
}

Json Format<TaskView>::Write(const TaskView& value) {
  return {{"state", TaskStateName(value.state)},
          {"vm", value.vm.value()},
          {"attempts", value.attempts},
          {"reason", value.reason},
          {"waited_ms", value.waited.count()}};
}

JobView Format<JobView>::Read(ObjectReader& reader) {
  JobView job;
  job.id = reader.Name<JobId>("id");
  job.team = reader.Name<TeamId>("team");
  job.spec = reader.Object<JobSpec>("spec");
  job.version = reader.Int("version", 0, kMaxInt);
  job.tasks = reader.Objects<TaskView>("tasks");
  reader.Bool("final", false);
  return job;
}

Json Format<JobView>::Write(const JobView& value) {
  return {{"id", value.id.value()},           {"team", value.team.value()},
          {"spec", codec::Write(value.spec)}, {"version", value.version},
          {"final", IsFinal(value)},          {"tasks", WriteAll(value.tasks)}};
}

Refusal Format<Refusal>::Read(ObjectReader& reader) {
  Refusal refusal;
  refusal.code = reader.Choice("code", kRefusalCodes);
  refusal.effect = reader.Choice("effect", kEffects);
  refusal.message = reader.String("message", "");
  if (reader.Has("retry_after_ms")) {
    refusal.retry_after =
        reader.Millis("retry_after_ms", Duration(0), kMaxDuration);
  }
  return refusal;
}

Json Format<Refusal>::Write(const Refusal& value) {
  Json out = {{"code", RefusalCodeName(value.code)},
              {"effect", Spelling(kEffects, value.effect)},
              {"message", value.message}};
  if (value.retry_after) out["retry_after_ms"] = value.retry_after->count();
  return out;
}

Order Format<Order>::Read(ObjectReader& reader) {
  const OrderKind kind = reader.Choice("order", kOrders);
  const AttemptId attempt = ReadAttemptId(reader, "attempt");
  switch (kind) {
    case OrderKind::kStart: {
      StartTask start;
      start.attempt = attempt;
      start.team = reader.Name<TeamId>("team");
      start.size = reader.Object<Resources>("size");
      start.run_time =
          reader.Millis("run_time_ms", Duration(0), kMaxDuration, Duration(0));
      start.from_checkpoint = reader.Bool("from_checkpoint", false);
      return start;
    }
    case OrderKind::kStop:
      return StopTask{attempt,
                      reader.Choice("kind", kStopKinds, {StopKind::kStop})};
    case OrderKind::kThrottle:
      return ThrottleTask{attempt, reader.Int("permille", 1, 1'000)};
  }
  return StopTask{};
}

Json Format<Order>::Write(const Order& value) {
  return std::visit(
      Visitor{[](const StartTask& start) -> Json {
                return {{"order", "start"},
                        {"attempt", ToString(start.attempt)},
                        {"team", start.team.value()},
                        {"size", codec::Write(start.size)},
                        {"run_time_ms", start.run_time.count()},
                        {"from_checkpoint", start.from_checkpoint}};
              },
              [](const StopTask& stop) -> Json {
                return {{"order", "stop"},
                        {"attempt", ToString(stop.attempt)},
                        {"kind", Spelling(kStopKinds, stop.kind)}};
              },
              [](const ThrottleTask& throttle) -> Json {
                return {{"order", "throttle"},
                        {"attempt", ToString(throttle.attempt)},
                        {"permille", throttle.permille}};
              }},
      value);
}

WorkerEvent Format<WorkerEvent>::Read(ObjectReader& reader) {
  WorkerEvent event;
  event.number = reader.Int("number", 1, kMaxInt);
  event.attempt = ReadAttemptId(reader, "attempt");
  event.kind = reader.Choice("kind", kEventKinds);
  event.detail = reader.String("detail", "");
  return event;
}

Json Format<WorkerEvent>::Write(const WorkerEvent& value) {
  return {{"number", value.number},
          {"attempt", ToString(value.attempt)},
          {"kind", Spelling(kEventKinds, value.kind)},
          {"detail", value.detail}};
}

Usage Format<Usage>::Read(ObjectReader& reader) {
  Usage usage;
  usage.attempt = ReadAttemptId(reader, "attempt");
  usage.used = reader.Object<Resources>("used");
  return usage;
}

Json Format<Usage>::Write(const Usage& value) {
  return {{"attempt", ToString(value.attempt)},
          {"used", codec::Write(value.used)}};
}

}  // namespace azurepass::codec
