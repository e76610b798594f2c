// The dispatcher's state. admission.cc decides whether a request is taken and
// where it goes; dispatcher.cc carries it there; count_round.cc asks all
// partitions of a service for one caller.
//
// Every pending request has an alarm, the time at which it is looked at again
// whatever happens: the end of its backoff, or its deadline. One timer serves
// all alarms.

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

  // An attempt's result; `attempt` tells a late one from that which is awaited.
  struct Called {
    internal::PendingId id;
    int64_t attempt = 0;
    entry::CallResult result;
  };
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
  // Fills in team, key, partition and the request to send.
  std::optional<Refusal> Admit(const caller::Incoming& incoming,
                               Pending& pending) const;
  std::optional<Refusal> Stale() const;
  std::optional<Refusal> RouteSubmit(const caller::Submit& submit,
                                     Pending& pending) const;
  std::optional<Refusal> RouteJob(const JobId& job, Pending& pending) const;
  // Sets the pending's team by the key; a queue without keys needs none.
  std::optional<Refusal> Authenticate(const std::string& key, bool needs_key,
                                      Pending& pending) const;
  template <class Request>
  std::optional<Refusal> RouteWorkflow(const caller::Incoming& incoming,
                                       const Request& request,
                                       Pending& pending) const;
  // All partitions of a service, in the order of their numbers.
  std::vector<PartitionId> PartitionsOf(const ServiceId& service) const;
  void BeginStatus(const operators::CellCall& call);
  void FinishStatus(int64_t round);
  void Report(const metrics::Scrape& scrape) const;

  // --- dispatcher.cc
  PendingId Begin(Pending pending);
  // Sends it to the owner, or waits for one.
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
  // Answers; the pending request is gone afterwards.
  void Finish(Pending& pending, const partition::JobResponse& response);
  void Forget(const Pending& pending);
  void CloseForTeam(const TeamId& team);
  void OnUpdate(configuration::Update update);
  void OnView(membership::View view);
  void OnHurry();
  const membership::Claim* OwnerOf(const PartitionId& partition) const;
  // When the request is refused if it is not answered before.
  MonotonicTime GiveUpAt(const Pending& pending) const;
  Duration Jitter(Duration most);
  void LogRoute(const Pending& pending, const membership::Claim& claim,
                std::string_view reason) const;

  // --- count_round.cc
  void BeginCount(const Pending& whole);
  void OnCounted(int64_t number, const partition::JobResponse& response);
  // What is still open of it is dropped.
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
  std::map<caller::RequestNumber, PendingId> by_number_;  // Callers' ones.
  std::map<TeamId, int64_t> open_per_team_;  // Callers' ones; never 0.
  std::set<std::pair<MonotonicTime, PendingId>> alarms_;  // Of all pending_.
  RetryBudget retries_;
  std::minstd_rand random_;

  int64_t last_count_ = 0;
  std::map<int64_t, internal::OpenCount> counts_;
  std::map<caller::RequestNumber, int64_t> count_by_caller_;  // Of counts_.

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
  int64_t retries_put_off_ = 0;                  // For want of budget.
  std::map<std::string_view, int64_t> refused_;  // By code.
  metrics::Histogram latency_;
  task::Timer timer_;
  MonotonicTime timer_at_;  // While timer_ is active: what it is set to.
  task::Mailbox<Message> mailbox_;
};

}  // namespace azurepass::routing

#endif  // AZUREPASS_ROUTING_INTERNAL_DISPATCHER_IMPL_H_
