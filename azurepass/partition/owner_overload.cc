// Refusals of submissions that can't be served while they are useful. The
// decision is internal/overload.h; this file feeds it and adds the rule of
// shares: an account whose work here, waiting and running, is within its share
// of the partition is never refused, whatever others send.

#include <algorithm>
#include <functional>
#include <string>

#include "azurepass/partition/internal/objective.h"
#include "azurepass/partition/internal/owner_impl.h"

namespace azurepass::partition {

using internal::LedgerJob;
using internal::OverloadControl;

namespace {

// Callers that were refused together come back spread over this time, so that
// they are not an overload of their own.
constexpr Duration kMaxJitter{1'000};

Duration JitterOf(const RequestId& request) {
  const size_t hash = std::hash<std::string>()(request.value());
  return Duration(static_cast<int64_t>(hash % kMaxJitter.count()));
}

}  // namespace

void Owner::Impl::FollowBacklog(const JobId& id,
                                const std::optional<placement::StartBy>& by) {
  if (!options_.refuse_unserviceable || !by) return;
  const LedgerJob& job = *live_.Find(id);
  overload_.OnQueued(id, {job.submitted.team, job.submitted.spec.queue},
                     job.queued, by->late);
}

bool Owner::Impl::IsWithinShare(const TeamId& team) const {
  const Configuration& configuration = *environment_.configuration;
  const auto contract = configuration.contracts.find(team);
  if (contract == configuration.contracts.end()) return true;
  int64_t shares = 0;
  for (const auto& [other, terms] : configuration.contracts) {
    shares += terms.share;
  }
  const Resources capacity = cell_.Status().capacity;
  const Resources demand = cell_.CommittedOf(team) + cell_.QueuedOf(team);
  return demand.DominantShare(capacity) * static_cast<double>(shares) <=
         static_cast<double>(contract->second.share);
}

std::optional<Refusal> Owner::Impl::RefuseOverload(
    const SubmitWorkflow& request) {
  if (!options_.refuse_unserviceable || request.spec.first) return std::nullopt;
  const auto queue =
      environment_.configuration->queues.find(request.spec.queue);
  if (queue == environment_.configuration->queues.end()) return std::nullopt;
  const std::optional<placement::StartBy> by =
      internal::StartByOf(request.spec, queue->second, 0, now_);
  if (!by) return std::nullopt;
  const auto from_now = [this](MonotonicTime at) {
    return std::chrono::duration_cast<Duration>(at - now_);
  };
  const std::optional<OverloadControl::Excess> excess =
      overload_.Judge({request.team, request.spec.queue}, from_now(by->on_time),
                      from_now(by->late), now_);
  if (!excess || IsWithinShare(request.team)) return std::nullopt;
  ++refused_submissions_[request.spec.queue];
  const Duration retry_after = excess->retry_after + JitterOf(request.request);
  Emit(LogDecision{
      "refuse",
      {JobId(request.request.value()), 0},
      0,
      VmId(),
      environment_.configuration->revision,
      "overload team=" + request.team.value() +
          " queue=" + request.spec.queue.value() + " predicted_wait_ms=" +
          std::to_string(excess->predicted_wait.count()) +
          " useful_for_ms=" + std::to_string(from_now(by->late).count()) +
          " retry_after_ms=" + std::to_string(retry_after.count())});
  return Refusal{RefusalCode::kQueueFull, Effect::kNotRun,
                 "The account sends more than can be served in time; the wait "
                 "would be " +
                     std::to_string(excess->predicted_wait.count()) + " ms.",
                 retry_after};
}

}  // namespace azurepass::partition
