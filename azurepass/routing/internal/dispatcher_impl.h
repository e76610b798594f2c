// The dispatcher's state. admission.cc decides whether a request is accepted
// and which partition it goes to; dispatcher.cc sends it to the partition's
// owner and handles retries; count_round.cc sums a count over all partitions of
// a service.
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

#include "azurepass/routing/internal/count_round.h"
#include "azurepass/routing/internal/pending.h"
#include "azurepass/routing/internal/status_round.h"
#include "azurepass/routing/routing.h"

namespace azurepass::routing {

class Dispatcher::Impl {
 public:
  Impl(task::Loop& loop, Options options, task::Address<entry::Call> peers);

  // The result of an attempt. The attempt number identifies late results, which
  // are dropped.
  struct Called {
    internal::PendingId id;
    int64_t attempt = 0;
    entry::CallResult result;
  };
  // One scheduler's result for a cell status.
  struct StatusCalled {
    int64_t round = 0;
    MemberId member;
    entry::CallResult result;
  };
  using Message =
      std::variant<caller::Event, operators::CellCall, configuration::Update,
                   membership::View, layout::Update, Called, StatusCalled,
                   Hurry, metrics::Scrape>;
  task::Address<Message> address() const { return mailbox_.address(); }

 private:
  using Pending = internal::Pending;
  using PendingId = internal::PendingId;

  void Handle(Message message);

  // --- admission.cc
  void OnIncoming(const caller::Incoming& incoming);
  void OnAbandoned(const caller::Abandoned& abandoned);
  void OnOperator(const operators::CellCall& call);
  // Checks and routes a caller's request: sets the team, the key, the partition
  // and the request to send, or returns a refusal.
  std::optional<Refusal> Admit(const caller::Incoming& incoming,
                               Pending& pending) const;
  // Returns a refusal unless the configuration is known to be in force.
  std::optional<Refusal> Stale() const;
  std::optional<Refusal> RouteSubmit(const caller::Submit& submit,
                                     Pending& pending) const;
  std::optional<Refusal> RouteJob(const JobId& job, Pending& pending) const;
  // Sets the team and key id of the request by the key's secret. Without
  // `needs_key`, the request belongs to the public team.
  std::optional<Refusal> Authenticate(const std::string& key, bool needs_key,
                                      Pending& pending) const;
  template <class Request>
  std::optional<Refusal> RouteWorkflow(const caller::Incoming& incoming,
                                       const Request& request,
                                       Pending& pending) const;
  // Returns all partitions of a service, in the order of their numbers.
  std::vector<PartitionId> PartitionsOf(const ServiceId& service) const;
  void BeginStatus(const operators::CellCall& call);
  void FinishStatus(int64_t round);
  void Report(const metrics::Scrape& scrape) const;

  // --- dispatcher.cc
  // Registers the request and makes the first attempt.
  PendingId Begin(Pending pending);
  // Sends the request to the partition's owner, or lets it wait for an owner.
  void Attempt(Pending& pending);
  void Send(Pending& pending, const membership::Claim& claim);
  void OnCalled(const Called& called);
  void OnRefused(Pending& pending, const Refusal& refusal);
  void Retry(Pending& pending, const std::string& reason);
  void Wait(Pending& pending, MonotonicTime until);
  void SetAlarm(Pending& pending, MonotonicTime at);
  void ArmTimer();
  void OnTimer();
  void OnAlarm(Pending& pending);
  void GiveUp(Pending& pending, Refusal refusal);
  // Answers the request and removes it; `pending` is invalid afterwards.
  void Finish(Pending& pending, const partition::JobResponse& response);
  void Forget(const Pending& pending);
  void CloseForTeam(const TeamId& team);
  void OnUpdate(configuration::Update update);
  void OnView(membership::View view);
  void OnHurry();
  const membership::Claim* OwnerOf(const PartitionId& partition) const;
  // Returns the time at which the request is refused if it is still unanswered.
  MonotonicTime GiveUpAt(const Pending& pending) const;
  // Returns a uniformly distributed duration in [0, most].
  Duration Jitter(Duration most);
  void LogRoute(const Pending& pending, const membership::Claim& claim,
                std::string_view reason) const;

  // --- count_round.cc
  void BeginCount(const Pending& whole);
  void OnCounted(int64_t number, const partition::JobResponse& response);
  // Removes the count and those of its requests that are still pending.
  void ForgetCount(int64_t number);

  task::Loop& loop_;
  const Options options_;
  const task::Address<entry::Call> peers_;
  std::optional<configuration::Update> update_;
  membership::View view_;
  std::shared_ptr<const layout::Layouts> layouts_ =
      std::make_shared<layout::Layouts>();
  bool hurrying_ = false;

  int64_t last_id_ = 0;
  std::map<PendingId, Pending> pending_;
  // Pending requests of callers; the parts of a count are not among them.
  std::map<caller::RequestNumber, PendingId> by_number_;
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
    OpenStatus(task::Loop& loop, internal::StatusRound r)
        : round(std::move(r)), timeout(loop) {}
    internal::StatusRound round;
    task::Timer timeout;
  };
  int64_t last_status_ = 0;
  std::map<int64_t, std::unique_ptr<OpenStatus>> statuses_;

  int64_t routed_ = 0;
  int64_t retried_ = 0;
  int64_t retries_put_off_ = 0;  // Deferred because the budget was empty.
  std::map<std::string_view, int64_t> refused_;  // By refusal code.
  metrics::Histogram latency_;
  task::Timer timer_;
  MonotonicTime timer_at_;  // Expiry of timer_; valid while it is active.
  task::Mailbox<Message> mailbox_;
};

}  // namespace azurepass::routing

#endif  // AZUREPASS_ROUTING_INTERNAL_DISPATCHER_IMPL_H_
