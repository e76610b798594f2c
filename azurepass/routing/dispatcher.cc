// Sends requests to owners, retries them and returns the answers.
//
// Every request gets at most one answer, and only its own: only Finish answers
// a request, and it also removes it from pending_. A result is matched by
// request id and attempt number, so a late result matches nothing and is
// dropped.

#include <glog/logging.h>

#include <algorithm>

#include "azurepass/routing/internal/dispatcher_impl.h"

namespace azurepass::routing {
namespace {

constexpr Duration kRetryAfter{1'000};
// When a partition gets a new owner, the requests that waited for it are sent
// at random times within this interval.
constexpr Duration kNewOwnerJitter{100};

MonotonicTime Now() { return BootClock::now(); }

// Returns whether the partition's owner may accept the request later.
bool IsRetryable(RefusalCode code) {
  return code == RefusalCode::kNotOwner || code == RefusalCode::kShuttingDown ||
         code == RefusalCode::kStaleConfiguration;
}

}  // namespace

Refusal Dispatcher::Impl::ShuttingDownRefusal() {
  return {RefusalCode::kShuttingDown, Effect::kNotRun,
          "this process is shutting down; ask another one", kRetryAfter};
}

Dispatcher::Impl::Impl(task::Loop& loop, Options options,
                       task::Address<entry::Call> peers)
    : loop_(loop),
      options_(std::move(options)),
      peers_(std::move(peers)),
      retries_(options_.retries, Now()),
      random_(static_cast<std::minstd_rand::result_type>(options_.seed)),
      timer_(loop),
      mailbox_(loop, [this](Message m) { Handle(std::move(m)); }) {}

void Dispatcher::Impl::Handle(Message message) {
  std::visit(
      Visitor{
          [this](caller::Event& event) {
            std::visit(
                Visitor{[this](const caller::Incoming& i) { OnIncoming(i); },
                        [this](const caller::Abandoned& a) { OnAbandoned(a); }},
                event);
          },
          [this](const operators::CellCall& call) { OnOperator(call); },
          [this](configuration::Update& u) { OnUpdate(std::move(u)); },
          [this](membership::View& v) { OnView(std::move(v)); },
          [this](layout::Update& u) { layouts_ = std::move(u.layouts); },
          [this](const AttemptResult& called) { OnAttemptResult(called); },
          [this](const StatusResult& called) {
            auto found = statuses_.find(called.number);
            if (found == statuses_.end()) return;
            found->second->aggregator.AddResult(called.member, called.result);
            if (found->second->aggregator.complete())
              FinishStatus(called.number);
          },
          [this](const Drain&) { OnDrain(); },
          [this](const Stop&) { OnStop(); },
          [this](const metrics::Scrape& scrape) { Report(scrape); }},
      message);
}

// --- Sending

internal::PendingId Dispatcher::Impl::Begin(PendingRequest pending) {
  ++routed_;
  retries_.OnRequest();
  const PendingId id{++last_id_};
  pending.id = id;
  pending.since = Now();
  if (const auto* caller =
          std::get_if<internal::CallerOrigin>(&pending.origin)) {
    pending_by_caller_[caller->number] = id;
    ++open_per_team_[pending.team];
  }
  if (draining_) pending.held_until = Now();
  PendingRequest& stored =
      pending_.emplace(id, std::move(pending)).first->second;
  SetAlarm(stored, stored.deadline);
  SendOrAwaitOwner(stored);
  return id;
}

const membership::Claim* Dispatcher::Impl::OwnerOf(
    const PartitionId& partition) const {
  auto found = view_.claims.find(partition);
  if (found == view_.claims.end() || found->second.address.empty()) {
    return nullptr;
  }
  return &found->second;
}

void Dispatcher::Impl::SendOrAwaitOwner(PendingRequest& pending) {
  const bool from_caller = !pending.key.empty();
  if (std::optional<Refusal> stale =
          from_caller ? CheckConfigurationInForce() : std::nullopt) {
    return GiveUp(pending, *std::move(stale));
  }
  for (size_t i = 0; i < pending.alternatives.size(); ++i) {
    if (OwnerOf(pending.partition) != nullptr) break;
    RotateAlternatives(pending);
  }
  const membership::Claim* claim = OwnerOf(pending.partition);
  if (claim == nullptr) {
    LOG(INFO) << "event=wait_for_owner kind="
              << internal::KindOf(pending.request) << " "
              << internal::SubjectOf(pending.request)
              << " team=" << pending.team.value()
              << " partition=" << pending.partition.value();
    pending.wait_state = internal::AwaitingOwner{};
    SetAlarm(pending, GiveUpTime(pending));
    return;
  }
  Send(pending, *claim);
}

void Dispatcher::Impl::Send(PendingRequest& pending,
                            const membership::Claim& claim) {
  const MonotonicTime now = Now();
  const int64_t attempt = ++pending.attempts;
  pending.wait_state = internal::AwaitingAnswer{claim.member, claim.epoch};
  SetAlarm(pending, GiveUpTime(pending));
  LogRoute(pending, claim, attempt == 1 ? "owner" : "retry");
  const Duration left = std::chrono::ceil<Duration>(pending.deadline - now);
  const Duration timeout = std::min(
      left, internal::WaitLeft(pending, now) + options_.attempt_timeout);
  const Revision revision =
      update_ ? update_->configuration->revision : Revision{};
  peers_.Send(
      {claim.address, internal::BuildRequest(pending, revision, now), timeout,
       mailbox_.address().Map<entry::CallResult>(
           [id = pending.id, attempt](entry::CallResult result) {
             return Message(AttemptResult{id, attempt, std::move(result)});
           })});
}

void Dispatcher::Impl::LogRoute(const PendingRequest& pending,
                                const membership::Claim& claim,
                                std::string_view reason) const {
  const int64_t revision = update_ ? update_->configuration->revision.value : 0;
  LOG(INFO) << "event=route kind=" << internal::KindOf(pending.request) << " "
            << internal::SubjectOf(pending.request)
            << " team=" << pending.team.value()
            << " partition=" << pending.partition.value()
            << " member=" << claim.member.value()
            << " epoch=" << claim.epoch.value << " revision=" << revision
            << " attempt=" << pending.attempts << " reason=" << reason;
}

// --- Results and retries

void Dispatcher::Impl::OnAttemptResult(const AttemptResult& called) {
  auto found = pending_.find(called.id);
  if (found == pending_.end()) return;
  PendingRequest& pending = found->second;
  const bool awaited =
      std::holds_alternative<internal::AwaitingAnswer>(pending.wait_state) &&
      called.attempt == pending.attempts;
  if (!awaited) return;
  std::visit(
      Visitor{[&](const entry::Failure& failure) {
                if (failure.code == entry::FailureCode::kNoAnswer) {
                  internal::SetMayHaveRun(pending);
                }
                ScheduleRetry(pending, failure.message);
              },
              [&](const entry::Response& response) {
                std::visit(
                    Visitor{[&](const JobView& job) { Finish(pending, job); },
                            [&](const placement::Explanation& explanation) {
                              Finish(pending, explanation);
                            },
                            [&](const WorkflowView& workflow) {
                              OnWorkflow(pending, workflow);
                            },
                            [&](const partition::WaitingCount& count) {
                              Finish(pending, count);
                            },
                            [&](const Refusal& refusal) {
                              OnRefused(pending, refusal);
                            },
                            [&](const auto&) {
                              internal::SetMayHaveRun(pending);
                              GiveUp(pending,
                                     {RefusalCode::kInternal,
                                      Effect::kUnknown,
                                      "the owner answered something else",
                                      {}});
                            }},
                    response);
              }},
      called.result);
}

void Dispatcher::Impl::OnRefused(PendingRequest& pending,
                                 const Refusal& refusal) {
  if (refusal.effect == Effect::kUnknown) internal::SetMayHaveRun(pending);
  if (refusal.code == RefusalCode::kGone && pending.answer) {
    return SendNextPart(pending);
  }
  if (refusal.code == RefusalCode::kGone && !pending.alternatives.empty()) {
    return TryNextAlternative(pending);
  }
  if (IsRetryable(refusal.code)) return ScheduleRetry(pending, refusal.message);
  Finish(pending, internal::WithOverallEffect(pending, refusal));
}

void Dispatcher::Impl::OnWorkflow(PendingRequest& pending,
                                  const WorkflowView& workflow) {
  if (!pending.answer) {
    pending.other_parts = OtherPartsOf(pending, workflow);
    pending.answer = workflow;
    // The caller's request has had its effect on part 0.
    if (!pending.other_parts.empty()) pending.may_have_run = true;
    pending.alternatives.clear();
  }
  SendNextPart(pending);
}

std::vector<internal::Alternative> Dispatcher::Impl::OtherPartsOf(
    const PendingRequest& pending, const WorkflowView& workflow) const {
  if (workflow.parts == 1) return {};
  const std::vector<PartitionId> siblings = SiblingsOf(pending.partition);
  const auto first =
      std::find(siblings.begin(), siblings.end(), pending.partition) -
      siblings.begin();
  // A workflow whose number of parts is not known may be in any partition.
  const int64_t parts =
      workflow.parts == 0
          ? std::ssize(siblings)
          : std::min<int64_t>(workflow.parts, std::ssize(siblings));
  const partition::JobRequest& last = pending.alternatives.empty()
                                          ? pending.request
                                          : pending.alternatives.back().request;
  std::vector<internal::Alternative> others;
  for (int64_t part = 1; part < parts; ++part) {
    const PartitionId& partition =
        siblings[(first + part) % std::ssize(siblings)];
    if (const auto* first_part = std::get_if<partition::SubmitWorkflow>(&last);
        first_part != nullptr && workflow.parts != 0) {
      partition::SubmitWorkflow submit = *first_part;
      submit.partition = partition;
      submit.team = workflow.team;
      submit.spec.steps.front().job.share = {static_cast<int32_t>(part),
                                             workflow.parts};
      others.push_back({partition, std::move(submit)});
    }
    if (std::holds_alternative<partition::CancelWorkflow>(pending.request)) {
      others.push_back(
          {partition, partition::CancelWorkflow{partition, workflow.team,
                                                workflow.request}});
    }
  }
  return others;
}

void Dispatcher::Impl::SendNextPart(PendingRequest& pending) {
  if (pending.other_parts.empty()) return Finish(pending, *pending.answer);
  pending.partition = std::move(pending.other_parts.front().partition);
  pending.request = std::move(pending.other_parts.front().request);
  pending.other_parts.erase(pending.other_parts.begin());
  pending.backoff = Duration(0);
  ++parts_sent_;
  SendOrAwaitOwner(pending);
}

void Dispatcher::Impl::TryNextAlternative(PendingRequest& pending) {
  LOG(INFO) << "event=not_there kind=" << internal::KindOf(pending.request)
            << " " << internal::SubjectOf(pending.request)
            << " team=" << pending.team.value()
            << " partition=" << pending.partition.value()
            << " next=" << pending.alternatives.front().partition.value();
  ++looked_elsewhere_;
  pending.partition = std::move(pending.alternatives.front().partition);
  pending.request = std::move(pending.alternatives.front().request);
  pending.alternatives.erase(pending.alternatives.begin());
  pending.backoff = Duration(0);
  SendOrAwaitOwner(pending);
}

void Dispatcher::Impl::RotateAlternatives(PendingRequest& pending) {
  if (pending.alternatives.empty() || internal::IsSubmission(pending)) return;
  pending.alternatives.push_back(
      {std::move(pending.partition), std::move(pending.request)});
  pending.partition = std::move(pending.alternatives.front().partition);
  pending.request = std::move(pending.alternatives.front().request);
  pending.alternatives.erase(pending.alternatives.begin());
}

void Dispatcher::Impl::ScheduleRetry(PendingRequest& pending,
                                     const std::string& reason) {
  LOG(INFO) << "event=retry kind=" << internal::KindOf(pending.request) << " "
            << internal::SubjectOf(pending.request)
            << " team=" << pending.team.value()
            << " partition=" << pending.partition.value()
            << " attempt=" << pending.attempts << " reason=\"" << reason
            << "\"";
  pending.backoff = pending.backoff == Duration(0)
                        ? options_.min_backoff
                        : std::min(pending.backoff * 2, options_.max_backoff);
  const Duration half = pending.backoff / 2;
  BackOffUntil(pending, Now() + half + Jitter(pending.backoff - half));
}

void Dispatcher::Impl::BackOffUntil(PendingRequest& pending,
                                    MonotonicTime until) {
  pending.wait_state = internal::BackingOff{until};
  SetAlarm(pending, std::min(until, GiveUpTime(pending)));
}

MonotonicTime Dispatcher::Impl::GiveUpTime(
    const PendingRequest& pending) const {
  if (!internal::IsSubmission(pending)) return pending.deadline;
  const bool may_have_run =
      pending.may_have_run ||
      (std::holds_alternative<internal::AwaitingAnswer>(pending.wait_state) &&
       !internal::IsRead(pending.request));
  return std::min(
      pending.deadline,
      pending.since + (may_have_run ? options_.unknown_submit_timeout
                                    : options_.not_run_submit_timeout));
}

Duration Dispatcher::Impl::Jitter(Duration limit) {
  std::uniform_int_distribution<Duration::rep> random(0, limit.count());
  return Duration(random(random_));
}

// --- Alarms

void Dispatcher::Impl::SetAlarm(PendingRequest& pending, MonotonicTime at) {
  alarms_.erase({pending.alarm, pending.id});
  pending.alarm = at;
  alarms_.insert({at, pending.id});
  ArmTimer();
}

void Dispatcher::Impl::ArmTimer() {
  if (alarms_.empty()) {
    timer_.Cancel();
    return;
  }
  if (timer_.active() && timer_at_ == alarms_.begin()->first) return;
  timer_at_ = alarms_.begin()->first;
  const auto delay =
      std::chrono::ceil<Duration>(alarms_.begin()->first - Now());
  timer_.After(std::max(Duration(0), delay), [this] { OnTimer(); });
}

void Dispatcher::Impl::OnTimer() {
  const MonotonicTime now = Now();
  while (!alarms_.empty() && alarms_.begin()->first <= now) {
    const PendingId id = alarms_.begin()->second;
    alarms_.erase(alarms_.begin());
    OnAlarm(pending_.at(id));
  }
  ArmTimer();
}

// OnTimer has removed the alarm from alarms_; every path below either sets a
// new alarm or ends the request.
void Dispatcher::Impl::OnAlarm(PendingRequest& pending) {
  const MonotonicTime now = Now();
  if (now >= GiveUpTime(pending)) {
    const bool sent =
        std::holds_alternative<internal::AwaitingAnswer>(pending.wait_state);
    if (sent) internal::SetMayHaveRun(pending);
    return GiveUp(pending, {RefusalCode::kUnavailable, Effect::kNotRun,
                            sent ? "the owner did not answer in time"
                                 : "no owner could be reached in time",
                            kRetryAfter});
  }
  if (pending.attempts > 0 && !retries_.TryTake(now)) {
    ++retries_put_off_;
    return BackOffUntil(pending,
                        now + pending.backoff + Jitter(pending.backoff));
  }
  if (pending.attempts > 0) ++retried_;
  if (std::optional<Refusal> refusal = RouteAgain(pending)) {
    return GiveUp(pending, *std::move(refusal));
  }
  RotateAlternatives(pending);
  SendOrAwaitOwner(pending);
}

// --- Answering

void Dispatcher::Impl::GiveUp(PendingRequest& pending, Refusal refusal) {
  ++refused_[RefusalCodeName(refusal.code)];
  const Refusal corrected =
      internal::WithOverallEffect(pending, std::move(refusal));
  LOG(INFO) << "event=give_up kind=" << internal::KindOf(pending.request) << " "
            << internal::SubjectOf(pending.request)
            << " team=" << pending.team.value()
            << " partition=" << pending.partition.value()
            << " attempts=" << pending.attempts
            << " code=" << RefusalCodeName(corrected.code) << " effect="
            << (corrected.effect == Effect::kNotRun ? "not_run" : "unknown");
  Finish(pending, corrected);
}

void Dispatcher::Impl::Finish(PendingRequest& pending,
                              const partition::JobResponse& response) {
  if (const auto* part = std::get_if<internal::CountOrigin>(&pending.origin)) {
    const int64_t number = part->number;
    Remove(pending);
    return OnCounted(number, response);
  }
  internal::Answer(pending, response);
  latency_.Record(Now() - pending.since);
  Remove(pending);
}

void Dispatcher::Impl::Remove(const PendingRequest& pending) {
  if (const auto* caller =
          std::get_if<internal::CallerOrigin>(&pending.origin)) {
    pending_by_caller_.erase(caller->number);
    DecrementOpenRequests(pending.team);
  }
  alarms_.erase({pending.alarm, pending.id});
  pending_.erase(pending.id);
}

void Dispatcher::Impl::DecrementOpenRequests(const TeamId& team) {
  auto open = open_per_team_.find(team);
  if (--open->second == 0) open_per_team_.erase(open);
}

// --- Configuration, membership and shutdown

void Dispatcher::Impl::OnUpdate(configuration::Update update) {
  const bool changed =
      !update_ || update_->configuration != update.configuration;
  update_ = std::move(update);
  if (!changed) return;
  const Configuration& configuration = *update_->configuration;
  std::vector<PendingId> withdrawn;
  for (const auto& [id, pending] : pending_) {
    if (pending.key.empty()) continue;
    auto key = configuration.keys.find(pending.key);
    const bool works = key != configuration.keys.end() &&
                       !key->second.withdrawn &&
                       configuration.contracts.contains(pending.team);
    if (!works) withdrawn.push_back(id);
  }
  for (const PendingId& id : withdrawn) {
    auto found = pending_.find(id);
    if (found == pending_.end()) continue;  // Removed along with its count.
    PendingRequest& pending = found->second;
    if (std::holds_alternative<internal::AwaitingAnswer>(pending.wait_state)) {
      internal::SetMayHaveRun(pending);
    }
    GiveUp(pending, {RefusalCode::kUnauthenticated, Effect::kNotRun,
                     "the key was withdrawn", std::nullopt});
  }
}

void Dispatcher::Impl::OnView(membership::View view) {
  view_ = std::move(view);
  const MonotonicTime now = Now();
  for (auto& [id, pending] : pending_) {
    const membership::Claim* claim = OwnerOf(pending.partition);
    if (claim == nullptr) continue;
    const auto* sent =
        std::get_if<internal::AwaitingAnswer>(&pending.wait_state);
    // A read held by the former owner would wait in vain, so it is sent to the
    // new owner.
    const bool owner_lost =
        sent != nullptr && internal::IsRead(pending.request) &&
        (sent->member != claim->member || sent->epoch != claim->epoch);
    if (!owner_lost &&
        !std::holds_alternative<internal::AwaitingOwner>(pending.wait_state)) {
      continue;
    }
    pending.backoff = std::max(pending.backoff, options_.min_backoff);
    BackOffUntil(pending, now + Jitter(kNewOwnerJitter));
  }
}

void Dispatcher::Impl::OnDrain() {
  draining_ = true;
  const MonotonicTime now = Now();
  std::vector<PendingId> held;
  for (auto& [id, pending] : pending_) {
    if (internal::WaitLeft(pending, now) == Duration(0)) continue;
    pending.held_until = now;
    if (!std::holds_alternative<internal::AwaitingAnswer>(pending.wait_state))
      continue;
    held.push_back(id);
  }
  // Sends the reads again without a wait; results of the attempts before are
  // dropped.
  for (const PendingId& id : held) SendOrAwaitOwner(pending_.at(id));
}

void Dispatcher::Impl::OnStop() {
  stopped_ = true;
  std::vector<PendingId> open;
  open.reserve(pending_.size());
  for (const auto& [id, pending] : pending_) open.push_back(id);
  for (const PendingId& id : open) {
    auto found = pending_.find(id);
    if (found == pending_.end()) continue;  // Removed along with its count.
    PendingRequest& pending = found->second;
    if (std::holds_alternative<internal::AwaitingAnswer>(pending.wait_state)) {
      internal::SetMayHaveRun(pending);
    }
    GiveUp(pending, ShuttingDownRefusal());
  }
}

Dispatcher::Dispatcher(task::Loop& loop, Options options,
                       task::Address<entry::Call> peers)
    : impl_(
          std::make_shared<Impl>(loop, std::move(options), std::move(peers))) {}
Dispatcher::~Dispatcher() = default;

task::Address<caller::Event> Dispatcher::callers() const {
  return impl_->address();
}
task::Address<operators::CellCall> Dispatcher::operators() const {
  return impl_->address();
}
task::Address<configuration::Update> Dispatcher::updates() const {
  return impl_->address();
}
task::Address<membership::View> Dispatcher::views() const {
  return impl_->address();
}
task::Address<layout::Update> Dispatcher::layouts() const {
  return impl_->address();
}
task::Address<Drain> Dispatcher::drain() const { return impl_->address(); }
task::Address<Stop> Dispatcher::stop() const { return impl_->address(); }
task::Address<metrics::Scrape> Dispatcher::metrics() const {
  return impl_->address();
}

}  // namespace azurepass::routing
