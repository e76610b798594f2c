// Carries events to a partition::Owner and its actions to the peers.
//
// Freshness. The permission to start ends by itself at a moment on the
// monotonic clock. A process that was paused past it must not start anything
// before it has noticed, so each event is preceded by a look at the clock, and
// a timer looks when no event comes.

#include "azurepass/scheduling/internal/partition_task.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace azurepass::scheduling {
namespace {

using Clock = BootClock;

// Whoever asked should find the new owner soon.
constexpr Duration kAskNewOwnerAfter{200};
// Between two probes of the loop: ten make a line of the log meaningful, and
// cost nothing beside an owner's hundreds of events a second.
constexpr Duration kLagInterval{100};

Refusal NotOwner() {
  return Refusal{RefusalCode::kNotOwner, Effect::kNotRun,
                 "this process does not own the partition", kAskNewOwnerAfter};
}

// The request may have been recorded before the partition was lost.
Refusal OwnerLost() {
  return Refusal{RefusalCode::kNotOwner, Effect::kUnknown,
                 "the partition moved to another process before the answer",
                 kAskNewOwnerAfter};
}

Duration Until(MonotonicTime when, MonotonicTime now) {
  // Rounded up, so that a timer never fires before its time.
  return std::max(Duration(0), std::chrono::ceil<Duration>(when - now));
}

// The response types of a partition are a part of those between processes.
entry::Response Widen(partition::JobResponse response) {
  return std::visit(
      [](auto& alternative) { return entry::Response(std::move(alternative)); },
      response);
}

}  // namespace

PartitionTask::PartitionTask(task::Loop& loop, PartitionTaskOptions options,
                             PartitionTaskPeers peers)
    : options_(std::move(options)),
      peers_(std::move(peers)),
      mailbox_(loop, [this](Inbox inbox) { Handle(std::move(inbox)); }),
      wake_(loop),
      freshness_timer_(loop),
      status_timer_(loop),
      lag_timer_(loop),
      loop_(loop) {
  status_timer_.Every(options_.status_interval, [this] { SendStatus(); });
}

task::Address<PartitionTask::Command> PartitionTask::address() const {
  return mailbox_.address();
}

void PartitionTask::Handle(Inbox inbox) {
  std::visit(Visitor{
                 [this](Command& command) { OnCommand(command); },
                 [this](ForOwner& event) {
                   if (event.epoch == epoch_) Feed(std::move(event.event));
                 },
                 [this](FromWorker& from) { OnWorker(from); },
                 [this](const escrow::Granted& granted) { OnGranted(granted); },
                 [this](const LagProbe& probe) {
                   hops_.OnMessage(probe.sent, Clock::now());
                 },
             },
             inbox);
}

void PartitionTask::OnCommand(Command& command) {
  std::visit(Visitor{
                 [this](const Hold& hold) { OnHold(hold); },
                 [this](const Release&) { Feed(partition::ReleaseWanted{}); },
                 [this](const Lose&) { Feed(partition::ClaimLost{}); },
                 [this](JobReceived& job) { OnJob(job); },
                 [this](configuration::Update& update) {
                   const bool changed =
                       !configuration_ ||
                       configuration_->configuration != update.configuration;
                   configuration_ = std::move(update);
                   if (changed) TellConfiguration();
                   if (owner_) TellFreshness(Clock::now());
                 },
                 [this](vmlist::Snapshot& snapshot) {
                   vms_ = std::move(snapshot);
                   TellVmList();
                 },
             },
             command);
}

void PartitionTask::OnHold(const Hold& hold) {
  DropOwner();
  epoch_ = hold.epoch;
  told_freshness_ = {};
  obeyed_grant_ = 0;
  takeovers_.Begin(Clock::now());
  takeover_processor_ = ThreadProcessorTime();
  const task::Address<Inbox> inbox = mailbox_.address();
  const Epoch epoch = epoch_;
  writer_ = std::make_unique<journal::Writer>(
      loop_, journal::Options{}, options_.partition.id, peers_.store,
      inbox.Map<partition::Event>([epoch](partition::Event event) {
        return Inbox(ForOwner{epoch, std::move(event)});
      }));
  owner_.emplace(options_.owner, options_.partition.id,
                 options_.partition.workers, options_.nonce);
  peers_.broker.Send(escrow::AddPartition{options_.partition.id, inbox});
  ProbeLag();
  TellVmList();
  TellConfiguration();
  Feed(partition::ClaimWon{epoch_, std::chrono::system_clock::now(),
                           hold.renewals_ended});
}

void PartitionTask::TellVmList() {
  if (!vms_ || !owner_) return;
  partition::VmListChanged changed{vms_->vms, vms_->asked, {}};
  for (const auto& [vm, worker] : vms_->workers) {
    if (worker.service == options_.partition.service) {
      changed.workers.emplace(vm, worker);
    }
  }
  Feed(std::move(changed));
}

void PartitionTask::RequestPermits(partition::RequestPermits& ask) {
  const auto micros = ask.terms.per_worker * std::ssize(ask.workers);
  const Duration cost =
      ask.terms.per_call + std::chrono::ceil<Duration>(micros);
  const task::Address<Inbox> inbox = mailbox_.address();
  peers_.permits.Send(permit::Request{
      ask.job, ask.workers, cost,
      inbox.Map<permit::Result>([epoch = epoch_, job = ask.job,
                                 workers = ask.workers](permit::Result answer) {
        partition::PermitsIssued issued{job, workers, std::nullopt, {}};
        if (auto* granted = std::get_if<permit::Issued>(&answer)) {
          issued.valid_until = Clock::now() + granted->validity;
          issued.permits = std::move(granted->permits);
        }
        return Inbox(ForOwner{epoch, std::move(issued)});
      }),
      ask.restart});
}

void PartitionTask::OnJob(JobReceived& job) {
  if (!owner_) {
    job.responder.Answer(NotOwner());
    return;
  }
  const partition::RequestToken token{next_token_++};
  open_requests_[token] = job.responder;
  Feed(partition::RequestReceived{token, std::move(job.request), job.deadline});
}

void PartitionTask::Open(partition::OpenSession& open) {
  const VmId vm = open.worker.vm;
  const int64_t session = ++sessions_opened_;
  sessions_[vm] = session;
  const task::Address<Inbox> inbox = mailbox_.address();
  peers_.workers.Send(endpoint::Open{
      std::move(open.worker), open.epoch,
      inbox.Map<endpoint::Update>([vm, session](endpoint::Update update) {
        return Inbox(FromWorker{vm, session, std::move(update)});
      }),
      options_.partition.id, open.renews});
}

void PartitionTask::OnWorker(FromWorker& from) {
  const auto open = sessions_.find(from.vm);
  if (open == sessions_.end() || open->second != from.session) return;
  std::visit(
      Visitor{
          [this](endpoint::SessionOpened& u) {
            Feed(partition::WorkerSessionOpened{
                u.vm, u.epoch, std::move(u.running), u.more_events});
          },
          [this](endpoint::Events& u) {
            Feed(partition::WorkerReported{u.vm, u.epoch, std::move(u.events),
                                           std::move(u.usage), u.more_events});
          },
          [this](const endpoint::Fenced& u) {
            if (u.epoch == epoch_) {
              Feed(partition::WorkerFenced{u.vm, u.theirs});
            }
          },
          [this](const endpoint::Unreachable& u) {
            Feed(partition::WorkerUnreachable{u.vm, u.epoch, u.lease_until,
                                              u.last_answer});
          },
          [this](const endpoint::Replaced& u) {
            Feed(partition::WorkerReplaced{u.vm, u.epoch, u.last_answer});
          },
          [this](endpoint::Reachable& u) {
            Feed(partition::WorkerSessionOpened{
                u.vm, u.epoch, std::move(u.running), u.more_events});
          },
      },
      from.update);
}

void PartitionTask::OnGranted(const escrow::Granted& granted) {
  if (!owner_) return;
  obeyed_grant_ = granted.sequence;
  allowances_ = granted.allowances;
  partition::Allowances bounds;
  std::map<TeamId, Resources> committed;
  for (auto& [team, amount] : owner_->status().committed) {
    committed[team] = amount;
  }
  for (const auto& [team, allowance] : allowances_) {
    bounds[team] = escrow::UsageBound(allowance, committed[team]);
  }
  Feed(partition::AllowancesChanged{std::move(bounds)});
  ReportDemand(partition::ReportDemand{demands_});
}

void PartitionTask::Feed(partition::Event event) {
  if (!owner_) return;
  const MonotonicTime now = Clock::now();
  TellFreshness(now);
  if (!owner_) return;
  const size_t kind = event.index();
  const auto began = ThreadProcessorTime();
  hops_.OnEvent(event, now);
  takeovers_.OnEvent(event, now);
  refused_starts_.OnEvent(event);
  std::vector<partition::Action> actions =
      owner_->Handle(std::move(event), now);
  handling_.Record(Clock::now() - now);
  takeovers_.OnHandled(owner_->owns(), now);
  PerformAll(std::move(actions));
  hops_.OnHandled(kind, ThreadProcessorTime() - began);
}

void PartitionTask::TellFreshness(MonotonicTime now) {
  const bool may_start = configuration_ && configuration_->MayStart(now);
  if (may_start) {
    freshness_timer_.After(Until(configuration_->valid_until, now),
                           [this] { Feed(partition::Tick{}); });
  }
  const Revision through =
      configuration_ ? configuration_->complete_through : Revision{};
  if (may_start == told_freshness_.may_start &&
      through == told_freshness_.complete_through) {
    return;
  }
  told_freshness_ = {may_start, through};
  takeovers_.OnEvent(told_freshness_, now);
  PerformAll(owner_->Handle(told_freshness_, now));
}

void PartitionTask::TellConfiguration() {
  if (!owner_ || !configuration_ || !configuration_->configuration) return;
  Feed(partition::ConfigurationChanged{configuration_->configuration});
  ReportDemand(partition::ReportDemand{demands_});
}

void PartitionTask::PerformAll(std::vector<partition::Action> actions) {
  const MonotonicTime now = Clock::now();
  for (partition::Action& action : actions) {
    hops_.OnAction(action, now);
    takeovers_.OnAction(action, now);
    Perform(action);
  }
}

void PartitionTask::Perform(partition::Action& action) {
  std::visit(
      Visitor{
          [this](partition::LoadJournal& a) { writer_->address().Send(a); },
          [this](partition::AppendBatch& a) {
            writer_->address().Send(std::move(a));
          },
          [this](partition::ReadBack& a) { writer_->address().Send(a); },
          [this](partition::WriteSnapshot& a) {
            writer_->address().Send(std::move(a));
          },
          [this](partition::ReadSilence& a) { writer_->address().Send(a); },
          [this](partition::WriteSilence& a) {
            writer_->address().Send(std::move(a));
          },
          [this](partition::OpenSession& a) { Open(a); },
          [this](partition::SetRenewal& a) {
            peers_.workers.Send(endpoint::SetRenewal{a.vm, a.renews});
          },
          [this](partition::CloseSession& a) {
            sessions_.erase(a.vm);
            peers_.workers.Send(endpoint::Close{a.vm});
          },
          [this](partition::SendOrders& a) {
            peers_.workers.Send(endpoint::Send{a.vm, std::move(a.orders)});
          },
          [this](const partition::AcknowledgeEvents& a) {
            peers_.workers.Send(endpoint::Acknowledge{a.vm, a.number, a.life});
          },
          [this](partition::RequestPermits& a) { RequestPermits(a); },
          [this](const partition::WithdrawPermits& a) {
            peers_.permits.Send(permit::Withdraw{a.job});
          },
          [this](partition::Answer& a) { Answer(a); },
          [this](partition::ReportDemand& a) {
            demands_ = std::move(a.demands);
            ReportDemand(partition::ReportDemand{demands_});
          },
          [this](partition::Released&) {
            const Epoch epoch = epoch_;
            DropOwner();
            peers_.manager.Send(HandedOver{options_.partition.id, epoch});
          },
          [this](partition::Deposed& a) {
            LOG(WARNING) << "deposed partition="
                         << options_.partition.id.value()
                         << " epoch=" << epoch_.value << " reason=\""
                         << a.reason << "\"";
            const Epoch epoch = epoch_;
            DropOwner();
            peers_.manager.Send(WasDeposed{options_.partition.id, epoch});
          },
          [this](const partition::Wake& a) {
            wake_.After(Until(a.at, Clock::now()),
                        [this] { Feed(partition::Tick{}); });
          },
          [this](const partition::LogDecision& a) { Log(a); },
      },
      action);
}

void PartitionTask::Log(const partition::LogDecision& decision) {
  ++decisions_[decision.kind];
  LOG(INFO) << "decision kind=" << decision.kind
            << " partition=" << options_.partition.id.value()
            << " epoch=" << epoch_.value << " task=" << ToString(decision.task)
            << " attempt=" << decision.attempt << " vm=" << decision.vm.value()
            << " revision=" << decision.revision.value << " reason=\""
            << decision.reason << "\"";
}

void PartitionTask::Answer(partition::Answer& answer) {
  const auto found = open_requests_.find(answer.token);
  if (found == open_requests_.end()) return;
  found->second.Answer(Widen(std::move(answer.response)));
  open_requests_.erase(found);
}

void PartitionTask::ReportDemand(const partition::ReportDemand& report) {
  if (!owner_ || !configuration_ || !configuration_->configuration) return;
  // Before it owns, the owner does not know what runs: nothing is given back.
  const int64_t obeyed = owner_->owns() ? obeyed_grant_ : 0;
  escrow::Demands demands{options_.partition.id, obeyed, {}};
  for (const auto& [team, contract] :
       configuration_->configuration->contracts) {
    demands.teams[team].limit = contract.upper_limit;
  }
  for (const auto& [team, committed] : owner_->status().committed) {
    demands.teams[team].need = {committed, committed, {}};
  }
  for (const partition::AllowanceDemand& demand : report.demands) {
    escrow::Need& need = demands.teams[demand.team].need;
    need.wanted = Resources::Max(need.wanted, demand.wanted);
    need.unit = demand.unit;
  }
  for (auto& [team, demand] : demands.teams) {
    demand.bound = escrow::UsageBound(allowances_[team], demand.need.committed);
  }
  peers_.broker.Send(std::move(demands));
}

void PartitionTask::DropOwner() {
  if (!owner_) return;
  LogTakeover(takeovers_.TakeLastLine(Clock::now()));
  for (const auto& [vm, session] : sessions_) {
    peers_.workers.Send(endpoint::Close{vm});
  }
  sessions_.clear();
  peers_.broker.Send(escrow::RemovePartition{options_.partition.id});
  for (auto& [token, responder] : open_requests_) {
    responder.Answer(OwnerLost());
  }
  open_requests_.clear();
  owner_.reset();
  writer_.reset();
  allowances_.clear();
  demands_.clear();
  wake_.Cancel();
  freshness_timer_.Cancel();
  lag_timer_.Cancel();
  hops_.Forget();
}

void PartitionTask::SendStatus() {
  StatusNotice notice;
  if (owner_) {
    notice.status = owner_->status();
    notice.owns = owner_->owns();
  }
  notice.status.partition = options_.partition.id;
  notice.decisions = decisions_;
  notice.handling_p50 = handling_.Quantile(0.5);
  notice.handling_p99 = handling_.Quantile(0.99);
  for (size_t hop = 0; hop < kHops; ++hop) {
    notice.hops[hop] = hops_.Figures(static_cast<Hop>(hop));
  }
  notice.takeovers = takeovers_.figures();
  notice.refused_starts = refused_starts_.by_reason();
  peers_.manager.Send(std::move(notice));
  LogHops();
}

void PartitionTask::ProbeLag() {
  const MonotonicTime due = Clock::now() + kLagInterval;
  lag_timer_.After(kLagInterval, [this, due] {
    const MonotonicTime now = Clock::now();
    hops_.OnTimer(due, now);
    mailbox_.address()
        .Map<LagProbe>([](LagProbe probe) { return Inbox(probe); })
        .Send(LagProbe{now});
    if (takeovers_.IsDue(now)) {
      LogTakeover(takeovers_.TakeLine(owner_->status().cell, now));
    }
    ProbeLag();
  });
}

void PartitionTask::LogHops() {
  const std::string seen = hops_.TakeLine(Clock::now());
  if (seen.empty()) return;
  LOG(INFO) << "event=hops partition=" << options_.partition.id.value()
            << " epoch=" << epoch_.value << " " << seen;
}

void PartitionTask::LogTakeover(const std::string& text) const {
  if (text.empty()) return;
  const auto processor = std::chrono::duration_cast<Duration>(
      ThreadProcessorTime() - takeover_processor_);
  LOG(INFO) << "event=takeover partition=" << options_.partition.id.value()
            << " epoch=" << epoch_.value
            << " processor_ms=" << processor.count() << " " << text;
}

}  // namespace azurepass::scheduling
