// The dispatcher's state. admission.cc decides whether a request is accepted
// and which partition it goes to; dispatcher.cc sends it to the partition's
// owner and handles retries; count_aggregator.cc sums a count over all
// partitions of a service.
//
// Every pending request has an alarm: the time of its next check if no message
// arrives before, which is the end of its backoff or the time at which it is
// given up. One timer serves all alarms.

#ifndef AZUREPASS_ROUTING_INTERNAL_DISPATCHER_IMPL_H_
#define AZUREPASS_ROUTING_INTERNAL_DISPATCHER_IMPL_H_

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include "azurepass/routing/internal/count_aggregator.h"
#include "azurepass/routing/internal/pending_request.h"
#include "azurepass/routing/internal/status_aggregator.h"
#include "azurepass/routing/routing.h"

namespace azurepass::routing {

class Dispatcher::Impl {
 public:
  Impl(task::Loop& loop, Options options, task::Address<entry::Call> peers);

  // The result of an attempt. The attempt number identifies late results, which
  // are dropped.
  struct AttemptResult {
    internal::PendingId id;
    int64_t attempt = 0;
    entry::CallResult result;
  };
  // One scheduler's result for a cell status.
  struct StatusResult {
    int64_t number = 0;
    MemberId member;
    entry::CallResult result;
  };
  using Message =
      std::variant<caller::Event, operators::CellCall, configuration::Update,
                   membership::View, layout::Update, AttemptResult,
                   StatusResult, Drain, Stop, metrics::Scrape>;
  task::Address<Message> address() const { return mailbox_.address(); }

 private:
  using PendingRequest = internal::PendingRequest;
  using PendingId = internal::PendingId;

  void Handle(Message message);

  // --- admission.cc
  void OnIncoming(const caller::Incoming& incoming);
  void OnAbandoned(const caller::Abandoned& abandoned);
  void OnOperator(const operators::CellCall& call);
  // Checks and routes a caller's request: sets the team, the key, the partition
  // and the request to send, or returns a refusal.
  std::optional<Refusal> Admit(const caller::Incoming& incoming,
                               PendingRequest& pending) const;
  // Returns a refusal unless the configuration is known to be in force.
  std::optional<Refusal> CheckConfigurationInForce() const;
  std::optional<Refusal> RouteSubmit(const caller::Submit& submit,
                                     PendingRequest& pending) const;
  std::optional<Refusal> RouteJob(const JobId& job,
                                  PendingRequest& pending) const;
  // Sets the team and key id of the request by the key's secret. Without
  // `needs_key`, the request belongs to the public team.
  std::optional<Refusal> Authenticate(const std::string& key, bool needs_key,
                                      PendingRequest& pending) const;
  template <class Request>
  std::optional<Refusal> RouteWorkflow(const caller::Incoming& incoming,
                                       const Request& request,
                                       PendingRequest& pending) const;
  // Where a workflow of the queue may have been accepted under an earlier
  // configuration.
  struct FormerPlace {
    PartitionId partition;
    TeamId team;
  };
  // Returns nothing while the partitions of a former service are not known yet.
  std::optional<std::vector<FormerPlace>> FormerPlacesOf(
      const QueueRecord& queue, const TeamId& team,
      const RequestId& request) const;
  // Sets the partition, the request and the alternatives by the queue, or
  // returns a refusal.
  template <class Request>
  std::optional<Refusal> RouteTo(const QueueRecord& queue,
                                 const Request& request,
                                 PendingRequest& pending) const;
  // Routes a submission to the service that its queue has now, if that has
  // changed since it was routed. Returns a refusal if the queue was removed.
  std::optional<Refusal> RouteAgain(PendingRequest& pending) const;
  // Returns the partitions of the queue's service, and of those that it had.
  std::vector<PartitionId> CountPartitionsOf(const QueueRecord& queue) const;
  // Returns the partitions of the service that the partition belongs to.
  std::vector<PartitionId> SiblingsOf(const PartitionId& partition) const;
  // Returns the number of partitions that the workflow is divided over.
  int32_t PartsOf(const QueueRecord& queue, const WorkflowSpec& spec) const;
  // Returns all partitions of a service, in the order of their numbers.
  std::vector<PartitionId> PartitionsOf(const ServiceId& service) const;
  void BeginStatus(const operators::CellCall& call);
  void FinishStatus(int64_t number);
  void Report(const metrics::Scrape& scrape) const;

  // --- dispatcher.cc
  // Registers the request and makes the first attempt.
  PendingId Begin(PendingRequest pending);
  // Sends the request to the partition's owner, or lets it wait for an owner.
  void SendOrAwaitOwner(PendingRequest& pending);
  void Send(PendingRequest& pending, const membership::Claim& claim);
  void OnAttemptResult(const AttemptResult& called);
  void OnRefused(PendingRequest& pending, const Refusal& refusal);
  // Answers the caller, once all partitions that the workflow is divided over
  // have answered.
  void OnWorkflow(PendingRequest& pending, const WorkflowView& workflow);
  // Returns the requests for the other parts of the workflow, whose part 0 has
  // answered the current request.
  std::vector<internal::Alternative> OtherPartsOf(
      const PendingRequest& pending, const WorkflowView& workflow) const;
  void SendNextPart(PendingRequest& pending);
  // Sends the next alternative instead of the current request.
  void TryNextAlternative(PendingRequest& pending);
  // Moves the current request behind the other alternatives, so that an owner
  // that can't be reached doesn't hide the others. Not for submissions, whose
  // order matters.
  static void RotateAlternatives(PendingRequest& pending);
  void ScheduleRetry(PendingRequest& pending, const std::string& reason);
  void BackOffUntil(PendingRequest& pending, MonotonicTime until);
  void SetAlarm(PendingRequest& pending, MonotonicTime at);
  void ArmTimer();
  void OnTimer();
  void OnAlarm(PendingRequest& pending);
  void GiveUp(PendingRequest& pending, Refusal refusal);
  // Answers the request and removes it; `pending` is invalid afterwards.
  void Finish(PendingRequest& pending, const partition::JobResponse& response);
  void Remove(const PendingRequest& pending);
  void DecrementOpenRequests(const TeamId& team);
  void OnUpdate(configuration::Update update);
  void OnView(membership::View view);
  void OnDrain();
  void OnStop();
  static Refusal ShuttingDownRefusal();
  const membership::Claim* OwnerOf(const PartitionId& partition) const;
  // Returns the time at which the request is refused if it is still unanswered.
  MonotonicTime GiveUpTime(const PendingRequest& pending) const;
  // Returns a uniformly distributed duration in [0, limit].
  Duration Jitter(Duration limit);
  void LogRoute(const PendingRequest& pending, const membership::Claim& claim,
                std::string_view reason) const;

  // --- count_aggregator.cc
  void BeginCount(const PendingRequest& count_request);
  void OnCounted(int64_t number, const partition::JobResponse& response);
  // Removes the count and those of its requests that are still pending.
  void RemoveCount(int64_t number);

  task::Loop& loop_;
  const Options options_;
  const task::Address<entry::Call> peers_;
  std::optional<configuration::Update> update_;
  membership::View view_;
  std::shared_ptr<const layout::Layouts> layouts_ =
      std::make_shared<layout::Layouts>();
  bool draining_ = false;
  bool stopped_ = false;  // Every request is refused.

  int64_t last_id_ = 0;
  std::map<PendingId, PendingRequest> pending_;
  // Pending requests of callers; the parts of a count are not among them.
  std::map<caller::RequestNumber, PendingId> pending_by_caller_;
  // Unanswered caller requests of each team, counts included; values are > 0.
  std::map<TeamId, int64_t> open_per_team_;
  // Holds one entry for each element of pending_.
  std::set<std::pair<MonotonicTime, PendingId>> alarms_;
  RetryBudget retries_;
  std::minstd_rand random_;

  int64_t last_count_ = 0;
  std::map<int64_t, internal::OpenCount> counts_;
  // The key in counts_ for each caller's request.
  std::map<caller::RequestNumber, int64_t> count_by_caller_;

  struct OpenStatus {
    OpenStatus(task::Loop& loop, internal::StatusAggregator a)
        : aggregator(std::move(a)), timeout(loop) {}
    internal::StatusAggregator aggregator;
    task::Timer timeout;
  };
  int64_t last_status_ = 0;
  std::map<int64_t, std::unique_ptr<OpenStatus>> statuses_;

  int64_t routed_ = 0;
  int64_t retried_ = 0;
  int64_t parts_sent_ = 0;        // Requests for parts of divided workflows.
  int64_t looked_elsewhere_ = 0;  // Requests sent to another partition.
  int64_t retries_put_off_ = 0;   // Deferred because the budget was empty.
  std::map<std::string_view, int64_t> refused_;  // By refusal code.
  metrics::Histogram latency_;
  task::Timer timer_;
  MonotonicTime timer_at_;  // Expiry of timer_; valid while it is active.
  task::Mailbox<Message> mailbox_;
};

}  // namespace azurepass::routing

#endif  // AZUREPASS_ROUTING_INTERNAL_DISPATCHER_IMPL_H_
