// Admission: authenticates requests, refuses those that are not allowed, and
// selects the partition. Also cell status and metrics.

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <type_traits>
#include <utility>

#include "azurepass/routing/internal/dispatcher_impl.h"

namespace azurepass::routing {
namespace {

constexpr Duration kRetryAfter{1'000};
// A layout is written within two seconds of the last worker's registration.
constexpr Duration kRetryAfterUnknownLayout{500};

MonotonicTime Now() { return BootClock::now(); }

// Queue priority 0 is the highest; all priorities above 1 map to kLow.
Priority PriorityOf(const QueueRecord& queue) {
  if (queue.priority == 0) return Priority::kUrgent;
  return queue.priority == 1 ? Priority::kNormal : Priority::kLow;
}

Refusal NotRunRefusal(RefusalCode code, std::string message,
                      std::optional<Duration> retry_after = std::nullopt) {
  return {code, Effect::kNotRun, std::move(message), retry_after};
}

Refusal UnknownLayoutRefusal() {
  return NotRunRefusal(
      RefusalCode::kUnavailable,
      "the partitions of the queue's service are not known yet",
      kRetryAfterUnknownLayout);
}

// Sets the request to send to the partition that the queue has now.
void RouteToPartition(const Configuration& configuration,
                      const QueueRecord& queue,
                      const caller::SubmitWorkflow& request,
                      internal::PendingRequest& pending) {
  partition::SubmitWorkflow submit{pending.partition, pending.team,
                                   request.request, request.spec,
                                   configuration.revision};
  submit.spec.queue = queue.queue;
  for (WorkflowStep& step : submit.spec.steps) {
    step.job.queue = queue.queue;
    step.job.max_attempts = queue.max_attempts;
    step.job.priority = PriorityOf(queue);
    step.job.constraints.needs_permit = queue.permits.has_value();
    step.job.share = {};  // It may have been divided by an earlier route.
  }
  pending.request = std::move(submit);
}

void RouteToPartition(const Configuration& /*configuration*/,
                      const QueueRecord& /*queue*/,
                      const caller::GetWorkflow& request,
                      internal::PendingRequest& pending) {
  pending.request =
      partition::GetWorkflow{pending.partition, pending.team, request.request};
}

void RouteToPartition(const Configuration& /*configuration*/,
                      const QueueRecord& /*queue*/,
                      const caller::CancelWorkflow& request,
                      internal::PendingRequest& pending) {
  pending.request = partition::CancelWorkflow{pending.partition, pending.team,
                                              request.request};
}

// Adds a partition that may have the workflow. A submission looks there first,
// because the workflow must not be accepted twice.
void AddFormerPlace(const PartitionId& partition, const TeamId& team,
                    const caller::SubmitWorkflow& request,
                    internal::PendingRequest& pending) {
  pending.alternatives.insert(pending.alternatives.begin(),
                              {pending.partition, std::move(pending.request)});
  pending.partition = partition;
  pending.request = partition::FindWorkflow{partition, team, request.request,
                                            /*revision=*/{}};
}

void AddFormerPlace(const PartitionId& partition, const TeamId& team,
                    const caller::GetWorkflow& request,
                    internal::PendingRequest& pending) {
  pending.alternatives.push_back(
      {partition, partition::GetWorkflow{partition, team, request.request}});
}

void AddFormerPlace(const PartitionId& partition, const TeamId& team,
                    const caller::CancelWorkflow& request,
                    internal::PendingRequest& pending) {
  pending.alternatives.push_back(
      {partition, partition::CancelWorkflow{partition, team, request.request}});
}

}  // namespace

void Dispatcher::Impl::OnIncoming(const caller::Incoming& incoming) {
  PendingRequest pending;
  pending.origin = internal::CallerOrigin{incoming.number, incoming.responder};
  pending.deadline = Now() + incoming.time_left;
  if (std::optional<Refusal> refusal = Admit(incoming, pending)) {
    ++refused_[RefusalCodeName(refusal->code)];
    LOG(INFO) << "event=refuse code=" << RefusalCodeName(refusal->code)
              << " team=" << pending.team.value() << " effect=not_run";
    incoming.responder.Answer(*std::move(refusal));
    return;
  }
  if (!pending.count_partitions.empty()) return BeginCount(pending);
  Begin(std::move(pending));
}

std::optional<Refusal> Dispatcher::Impl::CheckConfigurationInForce() const {
  if (!update_ || update_->configuration == nullptr) {
    return NotRunRefusal(RefusalCode::kStaleConfiguration,
                         "the configuration was not read yet", kRetryAfter);
  }
  if (!update_->MayStart(Now())) {
    return NotRunRefusal(RefusalCode::kStaleConfiguration,
                         "this process can't know that its configuration is in "
                         "force: " +
                             configuration::ToString(update_->verdict),
                         kRetryAfter);
  }
  return std::nullopt;
}

std::optional<Refusal> Dispatcher::Impl::Admit(const caller::Incoming& incoming,
                                               PendingRequest& pending) const {
  if (stopped_) return ShuttingDownRefusal();
  if (std::optional<Refusal> stale = CheckConfigurationInForce()) return stale;
  const bool names_queue =
      std::visit(Visitor{[](const caller::Submit&) { return false; },
                         [](const caller::Get&) { return false; },
                         [](const caller::Cancel&) { return false; },
                         [](const caller::Explain&) { return false; },
                         [](const auto&) { return true; }},
                 incoming.request);
  if (!names_queue) {
    if (auto refusal = Authenticate(incoming.key, true, pending)) {
      return refusal;
    }
  }
  return std::visit(
      Visitor{
          [&](const caller::SubmitWorkflow& r) {
            return RouteWorkflow(incoming, r, pending);
          },
          [&](const caller::GetWorkflow& r) {
            return RouteWorkflow(incoming, r, pending);
          },
          [&](const caller::CancelWorkflow& r) {
            return RouteWorkflow(incoming, r, pending);
          },
          [&](const caller::CountWaiting& r) {
            return RouteWorkflow(incoming, r, pending);
          },
          [&](const caller::Submit& submit) {
            return RouteSubmit(submit, pending);
          },
          [&](const caller::Get& get) {
            pending.held_until = Now() + get.wait;
            pending.request =
                partition::GetJob{pending.team, get.job, get.known, get.wait};
            return RouteJob(get.job, pending);
          },
          [&](const caller::Cancel& cancel) {
            pending.request = partition::CancelJob{pending.team, cancel.job};
            return RouteJob(cancel.job, pending);
          },
          [&](const caller::Explain& explain) {
            pending.request = partition::ExplainJob{pending.team, explain.job};
            return RouteJob(explain.job, pending);
          }},
      incoming.request);
}

std::optional<Refusal> Dispatcher::Impl::Authenticate(
    const std::string& secret, bool needs_key, PendingRequest& pending) const {
  const Configuration& configuration = *update_->configuration;
  if (!needs_key) {
    pending.team = PublicTeam();
    return std::nullopt;
  }
  const std::optional<KeyRecord> key =
      configuration::FindKey(configuration, secret);
  if (!key || !configuration.contracts.contains(key->team)) {
    return NotRunRefusal(RefusalCode::kUnauthenticated,
                         "the key is unknown or withdrawn");
  }
  pending.key = key->id;
  pending.team = key->team;
  auto open = open_per_team_.find(key->team);
  if (open != open_per_team_.end() &&
      open->second >= options_.max_open_per_team) {
    return NotRunRefusal(RefusalCode::kQueueFull,
                         "the team has too many requests without an answer",
                         kRetryAfter);
  }
  return std::nullopt;
}

template <class Request>
std::optional<Refusal> Dispatcher::Impl::RouteWorkflow(
    const caller::Incoming& incoming, const Request& request,
    PendingRequest& pending) const {
  const Configuration& configuration = *update_->configuration;
  const QueueRecord* queue =
      configuration::FindQueue(configuration, request.to.host, request.to.path);
  if (queue == nullptr) {
    return NotRunRefusal(RefusalCode::kNotFound, "there is no such queue");
  }
  if (auto refusal = Authenticate(incoming.key, queue->needs_key, pending)) {
    return refusal;
  }
  pending.queue = queue->queue;
  pending.to = request.to;
  pending.revision = configuration.revision;
  if constexpr (std::is_same_v<Request, caller::CountWaiting>) {
    pending.count_partitions = CountPartitionsOf(*queue);
    if (PartitionsOf(queue->service).empty()) return UnknownLayoutRefusal();
    pending.partition = pending.count_partitions.front();
    pending.request = partition::CountWaiting{pending.partition, queue->queue};
    return std::nullopt;
  } else {
    return RouteTo(*queue, request, pending);
  }
}

template <class Request>
std::optional<Refusal> Dispatcher::Impl::RouteTo(
    const QueueRecord& queue, const Request& request,
    PendingRequest& pending) const {
  const auto places = FormerPlacesOf(queue, pending.team, request.request);
  pending.partition = ChoosePartition(PartitionsOf(queue.service), pending.team,
                                      request.request);
  if (pending.partition.empty() || !places) return UnknownLayoutRefusal();
  pending.alternatives.clear();
  RouteToPartition(*update_->configuration, queue, request, pending);
  if (auto* submit = std::get_if<partition::SubmitWorkflow>(&pending.request)) {
    const int32_t parts = PartsOf(queue, submit->spec);
    if (parts > 1) submit->spec.steps.front().job.share = {0, parts};
  }
  for (const FormerPlace& place : *places) {
    AddFormerPlace(place.partition, place.team, request, pending);
  }
  return std::nullopt;
}

std::optional<Refusal> Dispatcher::Impl::RouteAgain(
    PendingRequest& pending) const {
  if (!update_) return std::nullopt;
  const Configuration& configuration = *update_->configuration;
  const partition::JobRequest& last = pending.alternatives.empty()
                                          ? pending.request
                                          : pending.alternatives.back().request;
  const auto* submit = std::get_if<partition::SubmitWorkflow>(&last);
  if (submit == nullptr || pending.answer ||
      pending.revision == configuration.revision) {
    return std::nullopt;
  }
  pending.revision = configuration.revision;
  const QueueRecord* queue =
      configuration::FindQueue(configuration, pending.to.host, pending.to.path);
  if (queue == nullptr) {
    return NotRunRefusal(RefusalCode::kNotFound, "there is no such queue");
  }
  if (queue->needs_key == pending.key.empty()) {
    return NotRunRefusal(RefusalCode::kStaleConfiguration,
                         "the queue's rule about keys has changed",
                         kRetryAfter);
  }
  const bool same =
      queue->queue == submit->spec.queue &&
      submit->partition == ChoosePartition(PartitionsOf(queue->service),
                                           pending.team, submit->request);
  if (same) return std::nullopt;
  pending.queue = queue->queue;
  const caller::SubmitWorkflow request{pending.to, submit->request,
                                       submit->spec};
  return RouteTo(*queue, request, pending);
}

std::optional<std::vector<Dispatcher::Impl::FormerPlace>>
Dispatcher::Impl::FormerPlacesOf(const QueueRecord& queue, const TeamId& team,
                                 const RequestId& request) const {
  const Configuration& configuration = *update_->configuration;
  const std::vector<FormerQueue>& former = configuration.former_queues;
  if (former.empty()) return std::vector<FormerPlace>();
  const uint64_t route = RouteHash(queue.host, queue.path_prefix);
  std::set<std::pair<PartitionId, TeamId>> known{
      {ChoosePartition(PartitionsOf(queue.service), team, request), team}};
  std::vector<FormerPlace> places;
  for (const FormerQueue& earlier : former) {
    if (earlier.route != route) continue;
    // The account of workflows that needed a key is unknown without one.
    if (earlier.needs_key && !queue.needs_key) continue;
    const TeamId owner = earlier.needs_key ? team : PublicTeam();
    const PartitionId partition =
        ChoosePartition(PartitionsOf(earlier.service), owner, request);
    // The layout of a service that was removed is not read any more.
    if (partition.empty() && configuration.services.contains(earlier.service)) {
      return std::nullopt;
    }
    if (partition.empty() || !known.insert({partition, owner}).second) continue;
    places.push_back({partition, owner});
  }
  return places;
}

std::vector<PartitionId> Dispatcher::Impl::CountPartitionsOf(
    const QueueRecord& queue) const {
  const uint64_t route = RouteHash(queue.host, queue.path_prefix);
  std::set<ServiceId> services{queue.service};
  for (const FormerQueue& earlier : update_->configuration->former_queues) {
    if (earlier.route == route) services.insert(earlier.service);
  }
  std::vector<PartitionId> partitions;
  for (const ServiceId& service : services) {
    const std::vector<PartitionId> more = PartitionsOf(service);
    partitions.insert(partitions.end(), more.begin(), more.end());
  }
  return partitions;
}

std::vector<PartitionId> Dispatcher::Impl::SiblingsOf(
    const PartitionId& partition) const {
  for (const auto& [service, layout] : *layouts_) {
    std::vector<PartitionId> partitions = layout::PartitionsOf(layout);
    if (std::find(partitions.begin(), partitions.end(), partition) !=
        partitions.end()) {
      return partitions;
    }
  }
  for (const Partition& configured : options_.partitions) {
    if (configured.id == partition) return PartitionsOf(configured.service);
  }
  return {partition};
}

// Perpetual tasks hold their places, so a step that is wider than its places in
// one partition would never be complete. Tasks that end make room for the rest.
int32_t Dispatcher::Impl::PartsOf(const QueueRecord& queue,
                                  const WorkflowSpec& spec) const {
  if (options_.min_divided_tasks == 0 || spec.steps.size() != 1 ||
      spec.occurrences != 1) {
    return 1;
  }
  const JobSpec& job = spec.steps.front().job;
  if (!job.perpetual || job.constraints.one_rack ||
      std::holds_alternative<GangPolicy>(job.policy) ||
      job.tasks < options_.min_divided_tasks) {
    return 1;
  }
  const auto partitions = std::ssize(PartitionsOf(queue.service));
  return static_cast<int32_t>(std::min<int64_t>(partitions, job.tasks));
}

std::vector<PartitionId> Dispatcher::Impl::PartitionsOf(
    const ServiceId& service) const {
  const auto layout = layouts_->find(service);
  if (layout != layouts_->end()) return layout::PartitionsOf(layout->second);
  std::vector<PartitionId> partitions;
  for (const Partition& partition : options_.partitions) {
    if (partition.service == service) partitions.push_back(partition.id);
  }
  return partitions;
}

std::optional<Refusal> Dispatcher::Impl::RouteSubmit(
    const caller::Submit& submit, PendingRequest& pending) const {
  const Contract& contract = update_->configuration->contracts.at(pending.team);
  auto queue = std::find_if(
      contract.queues.begin(), contract.queues.end(),
      [&](const QueueSpec& q) { return q.name == submit.spec.queue; });
  if (queue == contract.queues.end()) {
    return NotRunRefusal(
        RefusalCode::kNotFound,
        "the team's contract has no queue " + submit.spec.queue.value());
  }
  pending.partition = ChoosePartition(PartitionsOf(queue->service),
                                      pending.team, submit.request);
  if (pending.partition.empty()) {
    return NotRunRefusal(RefusalCode::kNotFound,
                         "the cell has no service " + queue->service.value());
  }
  pending.request =
      partition::SubmitJob{pending.partition, pending.team, submit.request,
                           submit.spec, update_->configuration->revision};
  return std::nullopt;
}

std::optional<Refusal> Dispatcher::Impl::RouteJob(
    const JobId& job, PendingRequest& pending) const {
  const std::optional<PartitionId> partition = PartitionOf(job);
  const auto matches = [&](const Partition& p) { return p.id == *partition; };
  if (!partition || std::none_of(options_.partitions.begin(),
                                 options_.partitions.end(), matches)) {
    return NotRunRefusal(RefusalCode::kNotFound, "no such job");
  }
  pending.partition = *partition;
  return std::nullopt;
}

void Dispatcher::Impl::OnAbandoned(const caller::Abandoned& abandoned) {
  auto count = count_by_caller_.find(abandoned.number);
  if (count != count_by_caller_.end()) return RemoveCount(count->second);
  auto found = pending_by_caller_.find(abandoned.number);
  if (found == pending_by_caller_.end()) return;
  Remove(pending_.at(found->second));
}

void Dispatcher::Impl::OnOperator(const operators::CellCall& call) {
  if (stopped_) return call.reply_to.Send(ShuttingDownRefusal());
  const auto* explain = std::get_if<operators::ExplainJob>(&call.request);
  if (explain == nullptr) return BeginStatus(call);
  PendingRequest pending;
  pending.origin = internal::OperatorOrigin{call.reply_to};
  pending.deadline = Now() + call.time_left;
  pending.request = partition::ExplainJob{TeamId(), explain->job};
  if (std::optional<Refusal> refusal = RouteJob(explain->job, pending)) {
    call.reply_to.Send(*std::move(refusal));
    return;
  }
  Begin(std::move(pending));
}

void Dispatcher::Impl::BeginStatus(const operators::CellCall& call) {
  operators::CellStatus known;
  known.answered_by = options_.member;
  if (update_ && update_->configuration != nullptr) {
    known.revision = update_->configuration->revision;
    known.freshness = configuration::ToString(update_->verdict);
    known.may_start = update_->MayStart(Now());
  }
  const int64_t number = ++last_status_;
  auto& open = statuses_[number] = std::make_unique<OpenStatus>(
      loop_, internal::StatusAggregator(std::move(known), options_.partitions,
                                        view_, call.reply_to));
  open->timeout.After(options_.status_timeout + kRetryAfter,
                      [this, number] { FinishStatus(number); });
  for (const membership::MemberRecord& record :
       open->aggregator.MembersToQuery()) {
    peers_.Send(
        {record.address, entry::GetStatus{}, options_.status_timeout,
         mailbox_.address().Map<entry::CallResult>(
             [number, member = record.member](entry::CallResult result) {
               return Message(StatusResult{number, member, std::move(result)});
             })});
  }
  if (open->aggregator.complete()) FinishStatus(number);
}

void Dispatcher::Impl::FinishStatus(int64_t number) {
  auto found = statuses_.find(number);
  if (found == statuses_.end()) return;
  const std::unique_ptr<OpenStatus> open = std::move(found->second);
  statuses_.erase(found);
  open->aggregator.Answer();
}

void Dispatcher::Impl::Report(const metrics::Scrape& scrape) const {
  metrics::Text text;
  text.Counter("azurepass_routing_routed_total", "Requests taken.", routed_);
  text.Counter("azurepass_routing_retries_total", "Calls sent again.",
               retried_);
  text.Counter("azurepass_routing_parts_sent_total",
               "Requests for further parts of workflows that are divided over "
               "partitions.",
               parts_sent_);
  text.Counter("azurepass_routing_looked_elsewhere_total",
               "Requests sent to another partition because the first one has "
               "no such workflow.",
               looked_elsewhere_);
  text.Counter("azurepass_routing_retries_put_off_total",
               "Retries that had to wait for the budget.", retries_put_off_);
  for (const auto& [code, count] : refused_) {
    text.Counter("azurepass_routing_refused_total", "Requests refused here.",
                 count, metrics::Label("code", code));
  }
  text.Gauge("azurepass_routing_open_requests", "Requests without an answer.",
             static_cast<double>(pending_.size()));
  text.Latency("azurepass_routing_latency_seconds",
               "From the taking of a request to its answer, wait included.",
               latency_);
  metrics::Report report{text.Take(), std::nullopt};
  if (std::optional<Refusal> stale = CheckConfigurationInForce())
    report.not_ready = stale->message;
  if (!view_.known) report.not_ready = "the members were not read yet";
  scrape.reply_to.Send(std::move(report));
}

}  // namespace azurepass::routing
