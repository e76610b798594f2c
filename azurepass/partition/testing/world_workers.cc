// The simulation's workers, VM list, and sessions of processes with workers.
//
// An owner computes correctly when a worker's lease ends only if sessions keep
// these rules, and a production client has to keep them as well:
//   * A start that no exchange carried in time is dropped.
//   * Other orders are repeated until the worker answers, but only under the
//     session token for which they were created.
//   * No request asks for a lease beyond `lease_limit`. While the worker
//   answers,
//     `lease_limit` is one lease from now. Once the worker has not answered for
//     a while, `lease_limit` no longer moves, and lease_until of
//     WorkerUnreachable is `lease_limit` plus the margin.
//   * Before the first answer, no request prolongs a lease, and `lease_limit`
//     is one lease after OpenSession.
//   * While a session does not renew, no request prolongs the lease.

#include <algorithm>

#include "azurepass/partition/testing/world.h"

namespace azurepass::partition::testing {
namespace {

constexpr Duration kPollInterval{500};
constexpr Duration kUnreachableAfter{1'500};
constexpr uint64_t kLoseOneExchangeIn = 15;

std::string Describe(const Event& event) {
  return std::visit(
      Visitor{
          [](const WorkerSessionOpened& e) {
            return "opened, running " + std::to_string(e.running.size());
          },
          [](const WorkerReported& e) {
            return std::to_string(e.events.size()) + " events";
          },
          [](const WorkerUnreachable&) { return std::string("unreachable"); },
          [](const WorkerReplaced&) { return std::string("replaced"); },
          [](const WorkerFenced&) { return std::string("fenced"); },
          [](const auto&) { return std::string("other"); }},
      event);
}

}  // namespace

void World::ExecuteWorkerCommand(const Command& command) {
  const VmId vm = specs_[static_cast<size_t>(command.a) % specs_.size()].vm;
  FakeWorker& worker = workers_.at(vm);
  switch (command.kind) {
    case CommandKind::kDisconnectWorker:
      disconnected_[vm] = true;
      return;
    case CommandKind::kReconnectWorker:
      disconnected_[vm] = false;
      return;
    case CommandKind::kRebootWorker:
      worker.Reboot();
      return;
    case CommandKind::kWorkerFailsAll:
      worker.set_fails_all(command.b % 2 == 0);
      return;
    case CommandKind::kVmGone:
      worker.Reboot();
      disconnected_[vm] = true;
      replaced_[vm] = command.b == kAddressTakenOver;
      vms_.erase(vm);
      break;
    case CommandKind::kVmLeaving:
      if (!vms_.contains(vm)) return;
      vms_[vm] = VmState::kLeaving;
      break;
    default:
      if (vms_.contains(vm) && vms_[vm] == VmState::kLive) return;
      if (!vms_.contains(vm)) disconnected_[vm] = replaced_[vm] = false;
      vms_[vm] = VmState::kLive;
      break;
  }
  oracle_.SetLeaving(vm, command.kind == CommandKind::kVmLeaving, now_);
  Broadcast([this] { return VmListChanged{vms_, now_}; });
}

// Schedules the next exchange, and further ones while the session is wanted.
void World::Poll(size_t index, const VmId& vm, int64_t serial) {
  ScheduleAfter(
      kPollInterval / 2 + RandomLatency(kPollInterval.count()),
      [this, index, vm, serial, incarnation = processes_[index].incarnation] {
        Process& process = processes_[index];
        if (process.incarnation != incarnation) return;
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
  const bool lost = lose_worker_replies_ && random_() % kLoseOneExchangeIn == 0;
  FakeWorker& worker = workers_.at(vm);
  if (replaced_[vm]) {
    if (std::exchange(session.replaced, true)) return;
    SendUpdate(index, vm, WorkerReplaced{vm, session.epoch, now_});
  } else if (disconnected_[vm]) {
    OnExchangeFailed(index, vm, session);
  } else if (session.token == 0 ||
             (session.unreachable && now_ >= session.lease_limit)) {
    OpenOnWorker(index, worker, session, lost);
  } else {
    ExchangeWithWorker(index, worker, session, lost);
  }
}

void World::OpenOnWorker(size_t index, FakeWorker& worker, Session& session,
                         bool lost) {
  OpenReply reply = worker.Open(session.epoch, options_.worker_lease, now_);
  const VmId& vm = worker.spec().vm;
  if (lost) {
    OnExchangeFailed(index, vm, session);
    return;
  }
  std::visit(
      Visitor{[&](const Opened& opened) {
                session.token = opened.token;
                session.orders.clear();
                session.acknowledged = 0;
                OnExchangeSucceeded(session);
                SendUpdate(
                    index, vm,
                    WorkerSessionOpened{vm, session.epoch, opened.running});
              },
              [&](const Refused& refused) {
                SendUpdate(index, vm, WorkerFenced{vm, refused.highest_epoch});
              }},
      reply);
}

void World::ExchangeWithWorker(size_t index, FakeWorker& worker,
                               Session& session, bool lost) {
  const bool renews = session.renews && !session.unreachable;
  const MonotonicTime until = renews ? now_ + options_.worker_lease : now_;
  if (renews) session.lease_limit = std::max(session.lease_limit, until);
  const ExchangeReply reply =
      worker.Exchange(session.epoch, session.token, until, ValidOrders(session),
                      session.acknowledged, now_);
  const VmId& vm = worker.spec().vm;
  if (lost) {
    OnExchangeFailed(index, vm, session);
    return;
  }
  std::visit(
      Visitor{[&](const Exchanged& exchanged) {
                session.orders.clear();
                const bool was_unreachable = session.unreachable;
                OnExchangeSucceeded(session);
                if (was_unreachable) {
                  std::vector<AttemptId> running;
                  for (const auto& [id, task] : worker.running()) {
                    running.push_back(id);
                  }
                  SendUpdate(index, vm,
                             WorkerSessionOpened{vm, session.epoch, running});
                }
                if (exchanged.events.empty()) return;
                session.acknowledged = exchanged.events.back().number;
                SendUpdate(
                    index, vm,
                    WorkerReported{vm, session.epoch, exchanged.events, {}});
              },
              [&](const TokenInvalid&) {
                session.token = 0;
                session.orders.clear();
              },
              [&](const Refused& refused) {
                SendUpdate(index, vm, WorkerFenced{vm, refused.highest_epoch});
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

void World::OnExchangeSucceeded(Session& session) {
  session.failing_since.reset();
  session.unreachable = false;
  if (!session.renews) return;
  session.lease_limit =
      std::max(session.lease_limit, now_ + options_.worker_lease);
}

void World::OnExchangeFailed(size_t index, const VmId& vm, Session& session) {
  if (!session.failing_since) session.failing_since = now_;
  if (session.unreachable || session.token == 0 ||
      now_ - *session.failing_since < kUnreachableAfter) {
    return;
  }
  session.unreachable = true;
  SendUpdate(
      index, vm,
      WorkerUnreachable{vm, session.epoch,
                        session.lease_limit + options_.worker_lease_margin});
}

// Sends an update of the session to its process. Updates are delivered in
// order. An update is dropped if its session was closed in the meantime.
void World::SendUpdate(size_t index, const VmId& vm, Event event) {
  Session& session = processes_[index].sessions[vm];
  Trace("process " + std::to_string(index) + " gets update of " + vm.value() +
        ": " + Describe(event));
  session.last_delivery =
      std::max(session.last_delivery, now_ + RandomLatency(20));
  auto shared_event = std::make_shared<Event>(std::move(event));
  ScheduleAt(
      session.last_delivery,
      [this, index, vm, shared_event, serial = session.serial,
       incarnation = processes_[index].incarnation] {
        Process& process = processes_[index];
        if (process.incarnation != incarnation) return;
        if (process.paused) {
          process.backlog.emplace_back([this, index, vm, shared_event, serial] {
            if (processes_[index].sessions[vm].serial == serial) {
              Deliver(index, *shared_event);
            }
          });
        } else if (process.sessions[vm].serial == serial) {
          Deliver(index, std::move(*shared_event));
        }
      });
}

}  // namespace azurepass::partition::testing
