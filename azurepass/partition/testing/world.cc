// The simulation's time, client requests and processes.

#include "azurepass/partition/testing/world.h"

#include <algorithm>
#include <sstream>

namespace azurepass::partition::testing {
namespace {

constexpr size_t kProcesses = 3;
constexpr int kWorkers = 4;
constexpr Duration kCommandInterval{150};
constexpr Duration kMemberLease{3'000};
// A request that is sent before its sender's member lease ends arrives at most
// this much later. Shorter than the margin of a worker's lease.
constexpr int64_t kMaxInTransitMs = 500;

const char* const kCommandNames[kCommandKinds] = {"advance",
                                                  "submit",
                                                  "resubmit",
                                                  "cancel",
                                                  "get",
                                                  "take over",
                                                  "release",
                                                  "pause",
                                                  "resume",
                                                  "kill",
                                                  "store down",
                                                  "store up",
                                                  "lose answers",
                                                  "delay writes",
                                                  "disconnect worker",
                                                  "reconnect worker",
                                                  "reboot worker",
                                                  "worker fails",
                                                  "VM gone",
                                                  "VM leaving",
                                                  "VM back",
                                                  "zone out",
                                                  "zone back",
                                                  "allowance",
                                                  "configuration stale",
                                                  "configuration fresh"};

// Relative frequency of each kind of command, in the order of CommandKind.
constexpr int kCommandWeights[kCommandKinds] = {30, 14, 3, 4, 4, 5, 1, 3, 4,
                                                3,  2,  4, 4, 4, 4, 5, 3, 1,
                                                1,  1,  3, 2, 3, 3, 1, 2};

}  // namespace

TeamId World::Team(int n) { return TeamId(n % 2 == 0 ? "intake" : "vision"); }

Resources World::Slots(int64_t slots) {
  return {slots, slots, 1'000, 1'024, 0};
}

std::ostream& operator<<(std::ostream& out, const Command& command) {
  return out << kCommandNames[static_cast<int>(command.kind)] << "("
             << command.a << ", " << command.b << ")";
}

std::vector<Command> RandomCommands(uint64_t seed, int count) {
  std::mt19937_64 random(seed);
  std::discrete_distribution<int> kind(std::begin(kCommandWeights),
                                       std::end(kCommandWeights));
  std::vector<Command> commands;
  for (int i = 0; i < count; ++i) {
    const auto drawn = static_cast<CommandKind>(kind(random));
    const int a = static_cast<int>(random() % 16);
    const int b = static_cast<int>(random() % 16);
    commands.push_back({drawn, a, b});
  }
  return commands;
}

World::World(Options::Testing testing, uint64_t seed, std::ostream* trace,
             bool record_starts_first, FormerOwner former_owner)
    : trace_(trace), former_owner_(former_owner), random_(seed) {
  options_.testing = testing;
  options_.record_starts_first = record_starts_first;
  options_.snapshot_every = 15;
  options_.retention_after_end = Duration(20'000);
  options_.placement.zone_ramp = Duration(0);
  now_ = MonotonicTime(std::chrono::seconds(1'000));
  for (int i = 0; i < kWorkers; ++i) {
    WorkerSpec spec;
    spec.vm = VmId("vm-" + std::to_string(i));
    spec.zone = ZoneId(i % 2 == 0 ? "zone-a" : "zone-b");
    spec.rack = RackId("rack-" + std::to_string(i / 2));
    spec.service = ServiceId("sorting");
    spec.capacity = Resources(4, 8, 8'000, 8'192, 0);
    specs_.push_back(spec);
    vms_[spec.vm] = VmState::kLive;
  }
  for (const WorkerSpec& spec : specs_) {
    workers_.emplace(
        spec.vm, FakeWorker(spec, [this, vm = spec.vm](const StartTask& order) {
          oracle_.OnStart(order, workers_.at(vm), workers_, now_);
        }));
  }
  for (int team = 0; team < 2; ++team) {
    allowances_[Team(team)] = Slots(1) * 10;
    oracle_.SetAllowance(Team(team), Slots(1) * 10, now_);
  }
  processes_.resize(kProcesses);
  for (size_t i = 0; i < kProcesses; ++i) Start(i);
  TakeOver(0);
  AdvanceTo(now_ + Duration(1'000));
}

std::string World::Run(const std::vector<Command>& commands) {
  for (const Command& command : commands) {
    Execute(command);
    AdvanceTo(now_ + kCommandInterval);
    if (!oracle_.violation().empty()) return oracle_.violation();
  }
  RepairAndDrain();
  return oracle_.violation();
}

void World::Trace(const std::string& line) const {
  if (trace_ == nullptr) return;
  *trace_
      << std::chrono::duration_cast<Duration>(now_.time_since_epoch()).count()
      << " " << line << "\n";
}

// Traces the owner's explanation of why the task is not finished.
void World::TraceUnfinished(const TaskId& task) {
  const std::optional<size_t> holder = ClaimHolder();
  if (trace_ == nullptr || !holder) return;
  const RequestToken token{++last_token_};
  for (const Action& action : processes_[*holder].owner->Handle(
           RequestReceived{token,
                           ExplainJob{oracle_.TeamOf(task.job), task.job},
                           now_ + Duration(1'000)},
           now_)) {
    const auto* answer = std::get_if<Answer>(&action);
    if (answer == nullptr) continue;
    const auto* why = std::get_if<placement::Explanation>(&answer->response);
    Trace("unfinished " + ToString(task) + ": " +
          (why == nullptr ? "refused" : why->sentence));
  }
}

void World::Execute(const Command& command) {
  if (trace_ != nullptr) {
    std::ostringstream text;
    text << command;
    Trace(text.str());
  }
  const CommandKind kind = command.kind;
  if (kind == CommandKind::kAdvance) {
    AdvanceTo(now_ + Duration(100) * (1 << (command.a % 8)));
  } else if (kind <= CommandKind::kGet) {
    ExecuteRequestCommand(command);
  } else if (kind <= CommandKind::kKill) {
    ExecuteProcessCommand(command);
  } else if (kind <= CommandKind::kDelayWrites) {
    ExecuteStoreCommand(command);
  } else if (kind <= CommandKind::kVmBack) {
    ExecuteWorkerCommand(command);
  } else {
    ExecuteOperatorCommand(command);
  }
}

// Repairs all faults, and reports a violation for each accepted task that does
// not finish after that.
void World::RepairAndDrain() {
  store_up_ = true;
  lose_worker_replies_ = false;
  lose_answers_ = delay_writes_ = 0;
  for (size_t i = 0; i < kProcesses; ++i) {
    ExecuteOperatorCommand(
        {CommandKind::kConfigurationFresh, static_cast<int>(i), 0});
    Resume(i);
  }
  for (int i = 0; i < kWorkers; ++i) {
    ExecuteWorkerCommand({CommandKind::kReconnectWorker, i, 0});
    ExecuteWorkerCommand({CommandKind::kVmBack, i, 0});
    ExecuteOperatorCommand({CommandKind::kZoneBack, i, 0});
    ExecuteOperatorCommand({CommandKind::kAllowance, i, 15});
    workers_.at(specs_[i].vm).set_fails_all(false);
  }
  AdvanceTo(now_ + Duration(5'000));
  // A former owner whose messages reach no worker is not fenced by any, but
  // sees that another process holds the claim.
  for (size_t i = 0; i < kProcesses; ++i) {
    if (processes_[i].authorized_until) Deliver(i, ClaimLost{});
  }
  if (!ClaimHolder()) TakeOver(0);
  AdvanceTo(now_ + Duration(400'000));
  for (const TaskId& task : oracle_.UnfinishedTasks()) {
    TraceUnfinished(task);
    oracle_.AddViolation("never finished: " + ToString(task));
  }
  oracle_.OnEnd();
}

// ---------------------------------------------------------------------------
// Time

void World::ScheduleAt(MonotonicTime when, Callback callback) {
  timers_.emplace(std::pair(std::max(when, now_), ++last_timer_),
                  std::move(callback));
}

void World::AdvanceTo(MonotonicTime until) {
  while (!timers_.empty() && timers_.begin()->first.first <= until &&
         oracle_.violation().empty()) {
    auto next = timers_.extract(timers_.begin());
    now_ = next.key().first;
    for (auto& [vm, worker] : workers_) worker.Advance(now_);
    next.mapped()();
  }
  now_ = until;
  for (auto& [vm, worker] : workers_) worker.Advance(now_);
}

Duration World::RandomLatency(int64_t max_ms) {
  return Duration(
      1 + static_cast<int64_t>(random_() % static_cast<uint64_t>(max_ms)));
}

// ---------------------------------------------------------------------------
// Requests

JobSpec World::MakeJobSpec(int a, int b) {
  JobSpec spec;
  spec.queue = QueueId("default");
  if (a % 5 == 4) spec.policy = GangPolicy{};
  spec.tasks = 1 + b % 3;
  spec.task = Slots(1 + a % 3);
  spec.repeatable = b % 4 != 0;
  spec.declared_run_time = Duration(500) * (1 + a);
  if (a == 7) spec.deadline = Duration(3'000);
  return spec;
}

void World::ExecuteRequestCommand(const Command& command) {
  const auto target = static_cast<size_t>(command.b) % kProcesses;
  const size_t index = ClaimHolder().value_or(target);
  const Duration time_left(1'000 * (1 + command.a % 12));
  if (command.kind == CommandKind::kSubmit || submitted_.empty()) {
    const std::string number = std::to_string(submitted_.size());
    submitted_.push_back({Team(command.b), RequestId("r" + number),
                          MakeJobSpec(command.a, command.b)});
  }
  const bool latest = command.kind == CommandKind::kSubmit ||
                      command.kind == CommandKind::kResubmit;
  const size_t chosen =
      latest ? submitted_.size() - 1 -
                   (command.kind == CommandKind::kSubmit
                        ? 0
                        : static_cast<size_t>(command.a) % submitted_.size())
             : 0;
  const Job& job = submitted_[chosen];
  if (latest) {
    Send(index,
         SubmitJob{PartitionId("p"), job.team, job.request, job.spec, {}},
         time_left);
    return;
  }
  const auto known = oracle_.acknowledged();
  if (known.empty()) return;
  const auto& [team, id] =
      known[static_cast<size_t>(command.a * 16 + command.b) % known.size()];
  if (command.kind == CommandKind::kCancel) {
    Send(index, CancelJob{team, id}, time_left);
  } else {
    Send(index, GetJob{team, id, int64_t{1} << 40, Duration(2'000)}, time_left);
  }
}

void World::Send(size_t index, JobRequest request, Duration time_left) {
  Process& process = processes_[index];
  if (process.owner == nullptr) return;
  const RequestToken token{++last_token_};
  oracle_.OnRequest(token, request);
  process.open_requests.push_back(token);
  DeliverSoon(index,
              RequestReceived{token, std::move(request), now_ + time_left});
}

// ---------------------------------------------------------------------------
// Processes

void World::Start(size_t index) {
  Process& process = processes_[index];
  const int64_t incarnation = process.incarnation + 1;
  process = Process{};
  process.incarnation = incarnation;
  process.owner =
      std::make_unique<Owner>(options_, PartitionId("p"), specs_, random_());
  Deliver(index, ConfigurationChanged{MakeConfiguration()});
  Deliver(index, FreshnessChanged{true});
  Deliver(index, AllowancesChanged{allowances_});
  Deliver(index, VmListChanged{vms_, now_});
}

void World::ExecuteProcessCommand(const Command& command) {
  const auto index = static_cast<size_t>(command.a) % kProcesses;
  switch (command.kind) {
    case CommandKind::kTakeOver:
      if (store_up_) TakeOver(index);
      break;
    case CommandKind::kRelease:
      if (auto holder = ClaimHolder()) Deliver(*holder, ReleaseWanted{});
      break;
    case CommandKind::kPause:
      if (processes_[index].paused) break;
      processes_[index].paused = true;
      processes_[index].paused_at = now_;
      break;
    case CommandKind::kResume:
      Resume(index);
      break;
    default:
      Kill(index);
      break;
  }
}

// The former owner gets ClaimLost late or never, because it may be paused or
// disconnected. The claim can be taken only once its member lease has ended.
void World::TakeOver(size_t index) {
  Process& process = processes_[index];
  if (process.owner == nullptr) Start(index);
  if (process.claimed_epoch || process.paused) return;
  process.authorized_until.reset();
  for (size_t i = 0; i < kProcesses; ++i) {
    if (processes_[i].claimed_epoch && !processes_[i].authorized_until &&
        former_owner_ == FormerOwner::kStopsSending) {
      processes_[i].authorized_until = now_ + RandomLatency(kMaxInTransitMs);
    }
    if (processes_[i].claimed_epoch && random_() % 2 == 0) {
      ScheduleAfter(RandomLatency(5'000),
                    [this, i, epoch = processes_[i].claimed_epoch] {
                      if (processes_[i].claimed_epoch == epoch)
                        Deliver(i, ClaimLost{});
                    });
    }
  }
  epoch_ = Epoch{epoch_.value + 1};
  process.claimed_epoch = epoch_;
  ClaimWon won{epoch_, WallTime(now_.time_since_epoch())};
  if (former_owner_ == FormerOwner::kStopsSending) {
    won.renewals_ended = now_ + Duration(kMaxInTransitMs);
  }
  Deliver(index, won);
  for (const int64_t delay : {100, 500, 2'000}) {
    ScheduleAfter(RandomLatency(delay),
                  [this, index, incarnation = process.incarnation] {
                    if (processes_[index].incarnation != incarnation) return;
                    Deliver(index, VmListChanged{vms_, now_});
                  });
  }
}

void World::Kill(size_t index) {
  Process& process = processes_[index];
  for (RequestToken token : process.open_requests) oracle_.OnAbandoned(token);
  const int64_t incarnation = process.incarnation + 1;
  process = Process{};
  process.incarnation = incarnation;
}

// The process sees on its clock that it was paused, so it does not rely on the
// configuration that it had. It may also see that its claim's lease has lapsed;
// otherwise it has to be fenced.
void World::Resume(size_t index) {
  Process& process = processes_[index];
  if (!process.paused) return;
  process.paused = false;
  const bool fresh = process.fresh;
  Deliver(index, FreshnessChanged{false});
  if (now_ - process.paused_at > kMemberLease && random_() % 2 == 0) {
    Deliver(index, ClaimLost{});
  }
  for (Callback& callback : std::exchange(process.backlog, {})) callback();
  Deliver(index, FreshnessChanged{fresh});
}

void World::Deliver(size_t index, Event event) {
  Process& process = processes_[index];
  if (process.owner == nullptr) return;
  if (process.paused) {
    auto shared_event = std::make_shared<Event>(std::move(event));
    process.backlog.emplace_back(
        [this, index, shared_event] { Deliver(index, *shared_event); });
    return;
  }
  if (const auto* freshness = std::get_if<FreshnessChanged>(&event)) {
    process.fresh = freshness->may_start;
  }
  for (Action& action : process.owner->Handle(std::move(event), now_)) {
    Perform(index, std::move(action));
  }
}

void World::DeliverSoon(size_t index, Event event) {
  auto shared_event = std::make_shared<Event>(std::move(event));
  ScheduleAfter(
      RandomLatency(20),
      [this, index, shared_event, incarnation = processes_[index].incarnation] {
        if (processes_[index].incarnation == incarnation) {
          Deliver(index, std::move(*shared_event));
        }
      });
}

void World::Broadcast(const std::function<Event()>& event) {
  for (size_t i = 0; i < kProcesses; ++i) {
    ScheduleAfter(RandomLatency(20),
                  [this, i, event, incarnation = processes_[i].incarnation] {
                    if (processes_[i].incarnation == incarnation)
                      Deliver(i, event());
                  });
  }
}

std::optional<size_t> World::ClaimHolder() const {
  for (size_t i = 0; i < kProcesses; ++i) {
    if (processes_[i].claimed_epoch == epoch_) return i;
  }
  return std::nullopt;
}

void World::Reset(Session& session) {
  Session fresh;
  fresh.serial = session.serial + 1;
  fresh.last_delivery = session.last_delivery;
  session = std::move(fresh);
}

void World::Perform(size_t index, Action action) {
  Process& process = processes_[index];
  const int64_t incarnation = process.incarnation;
  std::visit(
      Visitor{
          [&](const LoadJournal& a) { LoadJournalFor(index, a.epoch); },
          [&](const AppendBatch& a) { AppendFor(index, a.batch); },
          [&](const ReadBack& a) {
            if (!store_up_) {
              DeliverSoon(index, AppendUnavailable{a.epoch, a.number});
              return;
            }
            auto found = journal_.find(a.number);
            DeliverSoon(index, AppendFound{a.epoch, a.number,
                                           found == journal_.end()
                                               ? std::nullopt
                                               : std::optional(found->second)});
          },
          [&](const WriteSnapshot& a) {
            const bool newer =
                !snapshot_ || snapshot_->through < a.snapshot.through;
            if (store_up_ && newer) snapshot_ = a.snapshot;
            DeliverSoon(
                index, SnapshotWritten{a.epoch, a.snapshot.through, store_up_});
          },
          [&](const ReadSilence& a) { ReadSilenceFor(index, a.epoch); },
          [&](const WriteSilence& a) { WriteSilenceFor(index, a.record); },
          [&](const SetRenewal& a) {
            process.sessions[a.vm].renews = a.renews;
          },
          [&](const OpenSession& a) {
            Session& session = process.sessions[a.worker.vm];
            Reset(session);
            session.wanted = true;
            session.epoch = a.epoch;
            session.renews = a.renews;
            session.lease_limit = now_ + options_.worker_lease;
            Poll(index, a.worker.vm, session.serial);
          },
          [&](const CloseSession& a) {
            Session& session = process.sessions[a.vm];
            Reset(session);
          },
          [&](SendOrders& a) {
            Session& session = process.sessions[a.vm];
            for (Order& order : a.orders) {
              if (!process.fresh && std::holds_alternative<StartTask>(order)) {
                oracle_.AddViolation("start without fresh configuration");
              }
              session.orders.emplace_back(now_, std::move(order));
            }
            ScheduleAfter(RandomLatency(20),
                          [this, index, incarnation, vm = a.vm] {
                            if (processes_[index].incarnation == incarnation) {
                              PollOnce(index, vm);
                            }
                          });
          },
          // The sessions of this simulation acknowledge events themselves.
          [&](const AcknowledgeEvents&) {}, [&](const RequestPermits&) {},
          [&](const WithdrawPermits&) {},
          [&](const Answer& a) {
            std::erase(process.open_requests, a.token);
            oracle_.OnAnswer(a.token, a.response,
                             /*superseded=*/process.claimed_epoch != epoch_);
          },
          [&](const ReportDemand&) {},
          [&](const Released&) {
            Trace("process " + std::to_string(index) + " released");
            process.claimed_epoch.reset();
          },
          [&](const Deposed& a) {
            Trace("process " + std::to_string(index) + " deposed: " + a.reason);
            process.claimed_epoch.reset();
          },
          [&](const Wake& a) {
            ScheduleAt(a.at, [this, index, incarnation] {
              if (processes_[index].incarnation == incarnation) {
                Deliver(index, Tick{});
              }
            });
          },
          [&](const LogDecision& a) {
            Trace("process " + std::to_string(index) + " " + a.kind + " " +
                  ToString(AttemptId{a.task, a.attempt}) + " on " +
                  a.vm.value() + ": " + a.reason);
          }},
      action);
}

}  // namespace azurepass::partition::testing
