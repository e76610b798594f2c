// The simulation's workers, VM list, and sessions of processes with workers.
//
// An owner computes correctly when a worker's lease ends only if sessions keep
// these rules, and a production client has to keep them as well:
//   * A start that no exchange carried in time is dropped.
//   * Other orders are repeated until the worker answers, but only under the
//     session token for which they were created.
//   * No request asks for a lease beyond `bound`. While the worker answers,
//     `bound` is one lease from now. Once the worker has not answered for a
//     while, `bound` no longer moves, and lease_until of WorkerUnreachable is
//     `bound` plus the margin.
//   * Before the first answer, `bound` is one lease after OpenSession.

#include <algorithm>

#include "azurepass/partition/testing/world.h"

namespace azurepass::partition::testing {
namespace {

constexpr Duration kPollInterval{500};
constexpr Duration kUnreachableAfter{1'500};
constexpr uint64_t kLoseOneExchangeIn = 15;

std::string NameOf(const Event& event) {
  return std::visit(
      Visitor{
          [](const WorkerSessionOpened& e) {
            return "opened, running " + std::to_string(e.running.size());
          },
          [](const WorkerReported& e) {
            return std::to_string(e.events.size()) + " events";
          },
          [](const WorkerUnreachable&) { return std::string("unreachable"); },
          [](const WorkerFenced&) { return std::string("fenced"); },
          [](const auto&) { return std::string("other"); }},
      event);
}

}  // namespace

void World::StepWorkers(const Command& command) {
  const VmId vm = specs_[static_cast<size_t>(command.a) % specs_.size()].vm;
  FakeWorker& worker = workers_.at(vm);
  switch (command.step) {
    case Step::kCutWorker:
      cut_[vm] = true;
      return;
    case Step::kHealWorker:
      cut_[vm] = false;
      return;
    case Step::kBootWorker:
      worker.Boot();
      return;
    case Step::kWorkerFailsAll:
      worker.set_fails_all(command.b % 2 == 0);
      return;
    case Step::kVmGone:
      worker.Boot();
      cut_[vm] = true;
      vms_.erase(vm);
      break;
    case Step::kVmLeaving:
      if (!vms_.contains(vm)) return;
      vms_[vm] = VmState::kLeaving;
      break;
    default:
      if (vms_.contains(vm) && vms_[vm] == VmState::kLive) return;
      if (!vms_.contains(vm)) cut_[vm] = false;
      vms_[vm] = VmState::kLive;
      break;
  }
  oracle_.SetLeaving(vm, command.step == Step::kVmLeaving, now_);
  Broadcast([this] { return VmListChanged{vms_, now_}; });
}

// Schedules the next exchange, and further ones while the session is wanted.
void World::Poll(size_t index, const VmId& vm, int64_t serial) {
  After(kPollInterval / 2 + Latency(kPollInterval.count()),
        [this, index, vm, serial, was = processes_[index].incarnation] {
          Process& process = processes_[index];
          if (process.incarnation != was) return;
          const Session& session = process.sessions[vm];
          if (session.serial != serial || !session.wanted) return;
          PollOnce(index, vm);
          Poll(index, vm, serial);
        });
}

void World::PollOnce(size_t index, const VmId& vm) {
  Process& process = processes_[index];
  Session& session = process.sessions[vm];
  if (process.owner == nullptr || process.paused || !session.wanted) return;
  if (process.authorized_until && now_ >= *process.authorized_until) return;
  const bool lost = lossy_ && random_() % kLoseOneExchangeIn == 0;
  FakeWorker& worker = workers_.at(vm);
  if (cut_[vm]) {
    Failed(index, vm, session);
  } else if (session.token == 0 ||
             (session.unreachable && now_ >= session.bound)) {
    OpenAt(index, worker, session, lost);
  } else {
    ExchangeAt(index, worker, session, lost);
  }
}

void World::OpenAt(size_t index, FakeWorker& worker, Session& session,
                   bool lost) {
  OpenReply reply =
      worker.Open(session.epoch, session.bound, options_.worker_lease, now_);
  const VmId& vm = worker.spec().vm;
  if (lost) {
    Failed(index, vm, session);
    return;
  }
  std::visit(
      Visitor{[&](const Opened& opened) {
                session.token = opened.token;
                session.orders.clear();
                session.acknowledged = 0;
                Succeeded(session);
                Tell(index, vm,
                     WorkerSessionOpened{vm, session.epoch, opened.running});
              },
              [&](const Refused& refused) {
                Tell(index, vm, WorkerFenced{vm, refused.highest});
              }},
      reply);
}

void World::ExchangeAt(size_t index, FakeWorker& worker, Session& session,
                       bool lost) {
  const MonotonicTime until =
      session.unreachable ? session.bound : now_ + options_.worker_lease;
  if (!session.unreachable) session.bound = std::max(session.bound, until);
  const ExchangeReply reply =
      worker.Exchange(session.epoch, session.token, until, ValidOrders(session),
                      session.acknowledged, now_);
  const VmId& vm = worker.spec().vm;
  if (lost) {
    Failed(index, vm, session);
    return;
  }
  std::visit(
      Visitor{
          [&](const Exchanged& exchanged) {
            session.orders.clear();
            const bool was_unreachable = session.unreachable;
            Succeeded(session);
            if (was_unreachable) {
              std::vector<AttemptId> running;
              for (const auto& [id, task] : worker.running()) {
                running.push_back(id);
              }
              Tell(index, vm, WorkerSessionOpened{vm, session.epoch, running});
            }
            if (exchanged.events.empty()) return;
            session.acknowledged = exchanged.events.back().number;
            Tell(index, vm,
                 WorkerReported{vm, session.epoch, exchanged.events, {}});
          },
          [&](const TokenVoid&) {
            session.token = 0;
            session.orders.clear();
          },
          [&](const Refused& refused) {
            Tell(index, vm, WorkerFenced{vm, refused.highest});
          }},
      reply);
}

// Drops starts that are older than Options::start_validity, and returns the
// orders that are left.
std::vector<Order> World::ValidOrders(Session& session) const {
  std::erase_if(session.orders, [this](const auto& entry) {
    return std::holds_alternative<StartTask>(entry.second) &&
           now_ - entry.first > options_.start_validity;
  });
  std::vector<Order> orders;
  for (const auto& [sent, order] : session.orders) orders.push_back(order);
  return orders;
}

void World::Succeeded(Session& session) {
  session.failing_since.reset();
  session.unreachable = false;
  session.bound = std::max(session.bound, now_ + options_.worker_lease);
}

void World::Failed(size_t index, const VmId& vm, Session& session) {
  if (!session.failing_since) session.failing_since = now_;
  if (session.unreachable || session.token == 0 ||
      now_ - *session.failing_since < kUnreachableAfter) {
    return;
  }
  session.unreachable = true;
  Tell(index, vm,
       WorkerUnreachable{vm, session.epoch,
                         session.bound + options_.worker_lease_margin});
}

// Sends an update of the session to its process. Updates are delivered in
// order. An update is dropped if its session was closed in the meantime.
void World::Tell(size_t index, const VmId& vm, Event event) {
  Session& session = processes_[index].sessions[vm];
  Trace("process " + std::to_string(index) + " gets update of " + vm.value() +
        ": " + NameOf(event));
  session.delivered = std::max(session.delivered, now_ + Latency(20));
  auto held = std::make_shared<Event>(std::move(event));
  At(session.delivered, [this, index, vm, held, serial = session.serial,
                         was = processes_[index].incarnation] {
    Process& process = processes_[index];
    if (process.incarnation != was) return;
    if (process.paused) {
      process.backlog.emplace_back([this, index, vm, held, serial] {
        if (processes_[index].sessions[vm].serial == serial) {
          Deliver(index, *held);
        }
      });
    } else if (process.sessions[vm].serial == serial) {
      Deliver(index, std::move(*held));
    }
  });
}

}  // namespace azurepass::partition::testing
