// Implements the sum over partitions (see internal/count_aggregator.h) and the
// dispatcher's handling of counts.

#include "azurepass/routing/internal/count_aggregator.h"

#include <utility>

#include "azurepass/routing/internal/dispatcher_impl.h"

namespace azurepass::routing {
namespace {

MonotonicTime Now() { return BootClock::now(); }

}  // namespace

namespace internal {

std::optional<partition::JobResponse> CountAggregator::AddResponse(
    const partition::JobResponse& response) {
  if (remaining_ == 0) return std::nullopt;
  const auto* count = std::get_if<partition::WaitingCount>(&response);
  if (count == nullptr) {
    remaining_ = 0;
    const auto* refusal = std::get_if<Refusal>(&response);
    if (refusal != nullptr) return *refusal;
    return Refusal{RefusalCode::kInternal, Effect::kNotRun,
                   "the owner answered something else", std::nullopt};
  }
  workflows_ += count->workflows;
  if (--remaining_ > 0) return std::nullopt;
  return partition::WaitingCount{workflows_};
}

}  // namespace internal

void Dispatcher::Impl::BeginCount(const PendingRequest& count_request) {
  const auto& origin = std::get<internal::CallerOrigin>(count_request.origin);
  const auto& asked = std::get<partition::CountWaiting>(count_request.request);
  const int64_t number = ++last_count_;
  counts_.emplace(
      number,
      internal::OpenCount{
          origin,
          count_request.team,
          Now(),
          internal::CountAggregator(std::ssize(count_request.count_partitions)),
          {}});
  count_by_caller_[origin.number] = number;
  ++open_per_team_[count_request.team];
  for (const PartitionId& partition : count_request.count_partitions) {
    PendingRequest part = count_request;
    part.origin = internal::CountOrigin{number};
    part.partition = partition;
    part.request = partition::CountWaiting{partition, asked.queue};
    const PendingId id = Begin(std::move(part));
    auto count = counts_.find(number);
    if (count == counts_.end()) return;  // This part was refused in Begin.
    count->second.parts.push_back(id);
  }
}

void Dispatcher::Impl::OnCounted(int64_t number,
                                 const partition::JobResponse& response) {
  auto found = counts_.find(number);
  if (found == counts_.end()) return;
  const auto answer = found->second.aggregator.AddResponse(response);
  if (!answer) return;
  found->second.origin.responder.Answer(*answer);
  latency_.Record(Now() - found->second.since);
  RemoveCount(number);
}

void Dispatcher::Impl::RemoveCount(int64_t number) {
  const auto node = counts_.extract(number);
  if (node.empty()) return;
  const internal::OpenCount& count = node.mapped();
  count_by_caller_.erase(count.origin.number);
  DecrementOpenRequests(count.team);
  for (const PendingId& part : count.parts) {
    auto pending = pending_.find(part);
    if (pending != pending_.end()) Remove(pending->second);
  }
}

}  // namespace azurepass::routing
