// The world: time, requests and processes.

#include "azurepass/partition/testing/world.h"

#include <algorithm>
#include <sstream>

namespace azurepass::partition::testing {
namespace {

constexpr size_t kProcesses = 3;
constexpr int kWorkers = 4;
constexpr Duration kStep{150};
constexpr Duration kMemberLease{3'000};
// A request that left before the end of its sender's member lease arrives at
// most so much later; shorter than the margin of a worker's lease.
constexpr int64_t kOnItsWayMs = 500;

const char* const kStepNames[kSteps] = {
    "advance",     "submit",      "resubmit",     "cancel",       "get",
    "take over",   "release",     "pause",        "resume",       "kill",
    "store down",  "store up",    "lose answers", "delay writes", "cut worker",
    "heal worker", "boot worker", "worker fails", "VM gone",      "VM leaving",
    "VM back",     "zone out",    "zone back",    "allowance",    "not fresh",
    "fresh"};

// How often each step is drawn, in the order of Step.
constexpr int kWeights[kSteps] = {30, 14, 3, 4, 4, 5, 1, 3, 4, 3, 2, 4, 4,
                                  4,  4,  5, 3, 1, 1, 1, 3, 2, 3, 3, 1, 2};

}  // namespace

TeamId World::Team(int n) { return TeamId(n % 2 == 0 ? "intake" : "vision"); }

Resources World::Slots(int64_t slots) {
  return {slots, slots, 1'000, 1'024, 0};
}

std::ostream& operator<<(std::ostream& out, const Command& command) {
  return out << kStepNames[static_cast<int>(command.step)] << "(" << command.a
             << ", " << command.b << ")";
}

std::vector<Command> RandomCommands(uint64_t seed, int count) {
  std::mt19937_64 random(seed);
  std::discrete_distribution<int> step(std::begin(kWeights),
                                       std::end(kWeights));
  std::vector<Command> commands;
  for (int i = 0; i < count; ++i) {
    const auto drawn = static_cast<Step>(step(random));
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
    AdvanceTo(now_ + kStep);
    if (!oracle_.violation().empty()) return oracle_.violation();
  }
  Finish();
  return oracle_.violation();
}

void World::Trace(const std::string& line) const {
  if (trace_ == nullptr) return;
  *trace_
      << std::chrono::duration_cast<Duration>(now_.time_since_epoch()).count()
      << " " << line << "\n";
}

// Why the task waits, as its owner explains it.
void World::TraceTask(const TaskId& task) {
  const std::optional<size_t> holder = Claimant();
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
  const Step step = command.step;
  if (step == Step::kAdvance) {
    AdvanceTo(now_ + Duration(100) * (1 << (command.a % 8)));
  } else if (step <= Step::kGet) {
    StepRequests(command);
  } else if (step <= Step::kKill) {
    StepProcesses(command);
  } else if (step <= Step::kDelayWrites) {
    StepStore(command);
  } else if (step <= Step::kVmBack) {
    StepWorkers(command);
  } else {
    StepOperators(command);
  }
}

// With everything healthy again all that was accepted comes to its end.
void World::Finish() {
  store_up_ = true;
  lossy_ = false;
  lose_answers_ = delay_writes_ = 0;
  for (size_t i = 0; i < kProcesses; ++i) {
    StepOperators({Step::kFresh, static_cast<int>(i), 0});
    Resume(i);
  }
  for (int i = 0; i < kWorkers; ++i) {
    StepWorkers({Step::kHealWorker, i, 0});
    StepWorkers({Step::kVmBack, i, 0});
    StepOperators({Step::kZoneBack, i, 0});
    StepOperators({Step::kAllowance, i, 15});
    workers_.at(specs_[i].vm).set_fails_all(false);
  }
  AdvanceTo(now_ + Duration(5'000));
  // Who is silent learns it from nobody, but sees who holds the claim.
  for (size_t i = 0; i < kProcesses; ++i) {
    if (processes_[i].authorized_until) Deliver(i, ClaimLost{});
  }
  if (!Claimant()) TakeOver(0);
  AdvanceTo(now_ + Duration(400'000));
  for (const TaskId& task : oracle_.Unfinished()) {
    TraceTask(task);
    oracle_.Violation("never finished: " + ToString(task));
  }
  oracle_.OnEnd();
}

// ---------------------------------------------------------------------------
// Time

void World::At(MonotonicTime when, Work work) {
  agenda_.emplace(std::pair(std::max(when, now_), ++scheduled_),
                  std::move(work));
}

void World::AdvanceTo(MonotonicTime until) {
  while (!agenda_.empty() && agenda_.begin()->first.first <= until &&
         oracle_.violation().empty()) {
    auto next = agenda_.extract(agenda_.begin());
    now_ = next.key().first;
    for (auto& [vm, worker] : workers_) worker.Advance(now_);
    next.mapped()();
  }
  now_ = until;
  for (auto& [vm, worker] : workers_) worker.Advance(now_);
}

Duration World::Latency(int64_t most_ms) {
  return Duration(
      1 + static_cast<int64_t>(random_() % static_cast<uint64_t>(most_ms)));
}

// ---------------------------------------------------------------------------
// Requests

JobSpec World::MakeSpec(int a, int b) {
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

void World::StepRequests(const Command& command) {
  const auto target = static_cast<size_t>(command.b) % kProcesses;
  const size_t index = Claimant().value_or(target);
  const Duration time_left(1'000 * (1 + command.a % 12));
  if (command.step == Step::kSubmit || submitted_.empty()) {
    const std::string number = std::to_string(submitted_.size());
    submitted_.push_back({Team(command.b), RequestId("r" + number),
                          MakeSpec(command.a, command.b)});
  }
  const bool latest =
      command.step == Step::kSubmit || command.step == Step::kResubmit;
  const size_t chosen =
      latest ? submitted_.size() - 1 -
                   (command.step == Step::kSubmit
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
  if (command.step == Step::kCancel) {
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
  process.open.push_back(token);
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

void World::StepProcesses(const Command& command) {
  const auto index = static_cast<size_t>(command.a) % kProcesses;
  switch (command.step) {
    case Step::kTakeOver:
      if (store_up_) TakeOver(index);
      break;
    case Step::kRelease:
      if (auto holder = Claimant()) Deliver(*holder, ReleaseWanted{});
      break;
    case Step::kPause:
      if (processes_[index].paused) break;
      processes_[index].paused = true;
      processes_[index].paused_at = now_;
      break;
    case Step::kResume:
      Resume(index);
      break;
    default:
      Kill(index);
      break;
  }
}

// The former holder is not told, or late: it may be paused or cut off. But the
// claim can be taken only once its member lease has ended.
void World::TakeOver(size_t index) {
  Process& process = processes_[index];
  if (process.owner == nullptr) Start(index);
  if (process.claimed || process.paused) return;
  process.authorized_until.reset();
  for (size_t i = 0; i < kProcesses; ++i) {
    if (processes_[i].claimed && !processes_[i].authorized_until &&
        former_owner_ == FormerOwner::kSilent) {
      processes_[i].authorized_until = now_ + Latency(kOnItsWayMs);
    }
    if (processes_[i].claimed && random_() % 2 == 0) {
      After(Latency(5'000), [this, i, epoch = processes_[i].claimed] {
        if (processes_[i].claimed == epoch) Deliver(i, ClaimLost{});
      });
    }
  }
  epoch_ = Epoch{epoch_.value + 1};
  process.claimed = epoch_;
  Deliver(index, ClaimWon{epoch_, WallTime(now_.time_since_epoch())});
  for (const int64_t delay : {100, 500, 2'000}) {
    After(Latency(delay), [this, index, was = process.incarnation] {
      if (processes_[index].incarnation != was) return;
      Deliver(index, VmListChanged{vms_, now_});
    });
  }
}

void World::Kill(size_t index) {
  Process& process = processes_[index];
  for (RequestToken token : process.open) oracle_.OnAbandoned(token);
  const int64_t incarnation = process.incarnation + 1;
  process = Process{};
  process.incarnation = incarnation;
}

// Its clock tells that it was away, so that it does not rely on what it knew.
// It may see that its claim's lease has lapsed, or else has to be fenced.
void World::Resume(size_t index) {
  Process& process = processes_[index];
  if (!process.paused) return;
  process.paused = false;
  const bool fresh = process.fresh;
  Deliver(index, FreshnessChanged{false});
  if (now_ - process.paused_at > kMemberLease && random_() % 2 == 0) {
    Deliver(index, ClaimLost{});
  }
  for (Work& work : std::exchange(process.backlog, {})) work();
  Deliver(index, FreshnessChanged{fresh});
}

void World::Deliver(size_t index, Event event) {
  Process& process = processes_[index];
  if (process.owner == nullptr) return;
  if (process.paused) {
    auto held = std::make_shared<Event>(std::move(event));
    process.backlog.emplace_back(
        [this, index, held] { Deliver(index, *held); });
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
  auto held = std::make_shared<Event>(std::move(event));
  After(Latency(20),
        [this, index, held, incarnation = processes_[index].incarnation] {
          if (processes_[index].incarnation == incarnation) {
            Deliver(index, std::move(*held));
          }
        });
}

void World::Broadcast(const std::function<Event()>& event) {
  for (size_t i = 0; i < kProcesses; ++i) {
    After(Latency(20), [this, i, event, was = processes_[i].incarnation] {
      if (processes_[i].incarnation == was) Deliver(i, event());
    });
  }
}

std::optional<size_t> World::Claimant() const {
  for (size_t i = 0; i < kProcesses; ++i) {
    if (processes_[i].claimed == epoch_) return i;
  }
  return std::nullopt;
}

void World::Reset(Session& session) {
  Session fresh;
  fresh.serial = session.serial + 1;
  fresh.delivered = session.delivered;
  session = std::move(fresh);
}

void World::Perform(size_t index, Action action) {
  Process& process = processes_[index];
  const int64_t incarnation = process.incarnation;
  std::visit(
      Visitor{
          [&](const LoadJournal& a) { LoadInto(index, a.epoch); },
          [&](const AppendBatch& a) { Write(index, a.batch); },
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
          [&](const OpenSession& a) {
            Session& session = process.sessions[a.worker.vm];
            Reset(session);
            session.wanted = true;
            session.epoch = a.epoch;
            session.bound = now_ + options_.worker_lease;
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
                oracle_.Violation("start without fresh configuration");
              }
              session.orders.emplace_back(now_, std::move(order));
            }
            After(Latency(20), [this, index, incarnation, vm = a.vm] {
              if (processes_[index].incarnation == incarnation) {
                PollOnce(index, vm);
              }
            });
          },
          // The workers of this world keep all events.
          [&](const AcknowledgeEvents&) {}, [&](const RequestPermits&) {},
          [&](const Answer& a) {
            std::erase(process.open, a.token);
            oracle_.OnAnswer(a.token, a.response,
                             /*superseded=*/process.claimed != epoch_);
          },
          [&](const ReportDemand&) {},
          [&](const Released&) {
            Trace("process " + std::to_string(index) + " released");
            process.claimed.reset();
          },
          [&](const Deposed& a) {
            Trace("process " + std::to_string(index) + " deposed: " + a.reason);
            process.claimed.reset();
          },
          [&](const Wake& a) {
            At(a.at, [this, index, incarnation] {
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
