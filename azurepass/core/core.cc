// Names and identifiers of the core types.

#include "azurepass/core/core.h"

#include <algorithm>
#include <charconv>

namespace azurepass {
namespace {

// Parses all of `text` as a decimal number.
template <class Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number = 0;
  const char* end = text.data() + text.size();
  auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end) return std::nullopt;
  return number;
}

}  // namespace

std::string ToString(const TaskId& id) {
  return id.job.value() + "/" + std::to_string(id.index);
}

std::string ToString(const AttemptId& id) {
  return ToString(id.task) + "#" + std::to_string(id.attempt);
}

std::optional<AttemptId> ParseAttemptId(std::string_view text) {
  const size_t slash = text.rfind('/');
  const size_t mark = text.rfind('#');
  if (slash == std::string_view::npos || mark == std::string_view::npos ||
      slash == 0 || mark < slash) {
    return std::nullopt;
  }
  auto index = ParseNumber<int32_t>(text.substr(slash + 1, mark - slash - 1));
  auto attempt = ParseNumber<int32_t>(text.substr(mark + 1));
  if (!index || !attempt) return std::nullopt;
  return AttemptId{{JobId(std::string(text.substr(0, slash))), *index},
                   *attempt};
}

PartitionId PartitionOfService(const ServiceId& service) {
  return PartitionId(service.value());
}

JobId MakeJobId(const PartitionId& partition, int64_t number) {
  return JobId(partition.value() + "." + std::to_string(number));
}

std::optional<PartitionId> PartitionOf(const JobId& job) {
  const size_t dot = job.value().rfind('.');
  if (dot == std::string::npos || dot == 0) return std::nullopt;
  const std::string_view rest = std::string_view(job.value()).substr(dot + 1);
  if (!ParseNumber<int64_t>(rest) && !StepOf(job)) return std::nullopt;
  return PartitionId(job.value().substr(0, dot));
}

JobId MakeJobId(const PartitionId& partition, const StepId& step) {
  return JobId(partition.value() + "." + step.request.value() + ":" +
               std::to_string(step.occurrence) + ":" +
               std::to_string(step.step));
}

std::optional<StepId> StepOf(const JobId& job) {
  const std::string_view text = job.value();
  const size_t dot = text.rfind('.');
  if (dot == std::string_view::npos) return std::nullopt;
  const size_t first = text.find(':', dot);
  if (first == std::string_view::npos) return std::nullopt;
  const size_t second = text.find(':', first + 1);
  if (second == std::string_view::npos) return std::nullopt;
  const auto occurrence =
      ParseNumber<int32_t>(text.substr(first + 1, second - first - 1));
  const auto step = ParseNumber<int32_t>(text.substr(second + 1));
  RequestId request(std::string(text.substr(dot + 1, first - dot - 1)));
  if (!occurrence || !step || !IsWorkflowRequestId(request)) {
    return std::nullopt;
  }
  return StepId{std::move(request), *occurrence, *step};
}

bool IsWorkflowRequestId(const RequestId& request) {
  constexpr size_t kMaxChars = 64;
  const std::string& text = request.value();
  if (text.empty() || text.size() > kMaxChars) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
           (c >= 'A' && c <= 'Z') || c == '-' || c == '_';
  });
}

TeamId PublicTeam() { return TeamId("public"); }

uint64_t RouteHash(std::string_view host, std::string_view path_prefix) {
  // FNV-1a, 64 bits. Neither text contains a zero byte.
  constexpr uint64_t kOffset = 14695981039346656037ULL;
  constexpr uint64_t kPrime = 1099511628211ULL;
  uint64_t hash = kOffset;
  const auto add = [&hash](unsigned char byte) {
    hash = (hash ^ byte) * kPrime;
  };
  for (const char c : host) add(static_cast<unsigned char>(c));
  add(0);
  for (const char c : path_prefix) add(static_cast<unsigned char>(c));
  return hash;
}

FormerQueue ToFormerQueue(const QueueRecord& queue) {
  return {queue.queue, queue.service, RouteHash(queue.host, queue.path_prefix),
          queue.needs_key, queue.permits};
}

const QueueRecord* FindSuccessor(const Configuration& configuration,
                                 const QueueId& name) {
  const auto same_name = configuration.queues.find(name);
  if (same_name != configuration.queues.end()) return &same_name->second;
  const std::vector<FormerQueue>& former = configuration.former_queues;
  const auto latest =
      std::find_if(former.rbegin(), former.rend(),
                   [&](const FormerQueue& f) { return f.queue == name; });
  if (latest == former.rend()) return nullptr;
  for (const auto& [id, queue] : configuration.queues) {
    if (RouteHash(queue.host, queue.path_prefix) == latest->route) {
      return &queue;
    }
  }
  return nullptr;
}

std::optional<PermitTerms> FindPermitTerms(const Configuration& configuration,
                                           const QueueId& name) {
  const QueueRecord* successor = FindSuccessor(configuration, name);
  if (successor != nullptr && successor->permits) return successor->permits;
  const std::vector<FormerQueue>& former = configuration.former_queues;
  const auto latest = std::find_if(
      former.rbegin(), former.rend(),
      [&](const FormerQueue& f) { return f.queue == name && f.permits; });
  return latest == former.rend() ? std::nullopt : latest->permits;
}

std::string_view WorkflowStateName(WorkflowState state) {
  switch (state) {
    case WorkflowState::kQueued:
      return "queued";
    case WorkflowState::kRunning:
      return "running";
    case WorkflowState::kCompleted:
      return "completed";
    case WorkflowState::kFailed:
      return "failed";
    case WorkflowState::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

bool IsAtomicGang(const JobSpec& spec) {
  const auto* gang = std::get_if<GangPolicy>(&spec.policy);
  return gang != nullptr && gang->atomic;
}

bool IsFinal(TaskState state) {
  switch (state) {
    case TaskState::kQueued:
    case TaskState::kStarting:
    case TaskState::kRunning:
    case TaskState::kStopping:
      return false;
    case TaskState::kSucceeded:
    case TaskState::kFailed:
    case TaskState::kCancelled:
    case TaskState::kExpired:
    case TaskState::kUnknown:
      return true;
  }
  return true;
}

std::string_view TaskStateName(TaskState state) {
  switch (state) {
    case TaskState::kQueued:
      return "queued";
    case TaskState::kStarting:
      return "starting";
    case TaskState::kRunning:
      return "running";
    case TaskState::kStopping:
      return "stopping";
    case TaskState::kSucceeded:
      return "succeeded";
    case TaskState::kFailed:
      return "failed";
    case TaskState::kCancelled:
      return "cancelled";
    case TaskState::kExpired:
      return "expired";
    case TaskState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

bool IsFinal(const JobView& job) {
  return std::all_of(job.tasks.begin(), job.tasks.end(),
                     [](const TaskView& task) { return IsFinal(task.state); });
}

std::string_view RefusalCodeName(RefusalCode code) {
  switch (code) {
    case RefusalCode::kInvalidRequest:
      return "invalid_request";
    case RefusalCode::kTooLarge:
      return "too_large";
    case RefusalCode::kUnauthenticated:
      return "unauthenticated";
    case RefusalCode::kForbidden:
      return "forbidden";
    case RefusalCode::kGone:
      return "gone";
    case RefusalCode::kNotFound:
      return "not_found";
    case RefusalCode::kNeverFits:
      return "never_fits";
    case RefusalCode::kRequestConflict:
      return "request_conflict";
    case RefusalCode::kVersionConflict:
      return "version_conflict";
    case RefusalCode::kQueueFull:
      return "queue_full";
    case RefusalCode::kNotOwner:
      return "not_owner";
    case RefusalCode::kStaleConfiguration:
      return "stale_configuration";
    case RefusalCode::kStoreUnavailable:
      return "store_unavailable";
    case RefusalCode::kDeadlineExceeded:
      return "deadline_exceeded";
    case RefusalCode::kShuttingDown:
      return "shutting_down";
    case RefusalCode::kUnavailable:
      return "unavailable";
    case RefusalCode::kInternal:
      return "internal";
  }
  return "internal";
}

}  // namespace azurepass
