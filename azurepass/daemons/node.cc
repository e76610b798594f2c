// The wiring. Tasks are members in the order in which they need each other.
//
// Shutdown, step by step, at the times of ShutdownPlan: readiness says no and
// the partitions are handed over, while requests are still served and led to
// the new owners, and answers tell clients to close their connections; then the
// front stops listening; then all that is open is answered; then the process
// exits, or before, once all connections are closed and all is handed over.

#include "azurepass/daemons/node.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <utility>

#include "azurepass/daemons/process.h"
#include "azurepass/daemons/shutdown_plan.h"
#include "azurepass/endpoint/endpoint.h"
#include "azurepass/entry/entry.h"
#include "azurepass/escrow/escrow.h"
#include "azurepass/layout/layout.h"
#include "azurepass/metrics/metrics.h"
#include "azurepass/permit/permit.h"
#include "azurepass/routing/routing.h"
#include "azurepass/scheduling/scheduling.h"
#include "platform/platform.h"

namespace azurepass::daemons {
namespace {

endpoint::Options EndpointOptions(const settings::CellSettings& cell) {
  // A worker that does not answer for so long beyond a hold is asked again.
  constexpr Duration kAnswerTime{1'000};
  constexpr Duration kFirstRetry{50};
  endpoint::Options options;
  options.lease = cell.timing.worker_lease;
  options.hold = cell.timing.worker_hold;
  options.request_timeout = kAnswerTime;
  options.retry_delay = kFirstRetry;
  return options;
}

platform::StoreOptions PlatformStore(const settings::NodeSettings& settings) {
  platform::StoreOptions options;
  options.address = settings.cell.store_address;
  options.request_timeout = settings.cell.timing.store_timeout;
  options.zones = settings.zones;
  return options;
}

routing::Options RoutingOptions(const settings::NodeSettings& settings) {
  routing::Options options;
  // Callers are worth the most when they are served within a second or two, and
  // come back by themselves.
  constexpr Duration kAttemptTimeout{800};
  constexpr Duration kSubmitPatience{300};
  constexpr Duration kUnknownPatience{2'700};
  options.member = settings.process.member;
  options.seed = RandomNumber();
  options.attempt_timeout = kAttemptTimeout;
  options.not_run_submit_timeout = kSubmitPatience;
  options.unknown_submit_timeout = kUnknownPatience;
  options.min_divided_tasks = settings.cell.budgets.min_divided_tasks;
  return options;
}

httpserver::Options ClientOptions(const settings::NodeSettings& settings) {
  httpserver::Options options = HttpOptions(settings.process.http_address);
  options.max_body_bytes = settings.clients.max_body_bytes;
  options.body_budget_bytes = settings.clients.BodyBudgetBytes();
  options.max_connections = settings.clients.MaxConnections();
  return options;
}

// For addresses at which no request has a body.
httpserver::Options BodylessOptions(const std::string& address) {
  httpserver::Options options = HttpOptions(address);
  options.max_body_bytes = 0;
  return options;
}

permit::Options PermitOptions(const settings::PermitSettings& settings) {
  permit::Options options;
  options.seed = RandomNumber();
  options.short_cost = settings.short_cost;
  options.reserved_percent = settings.reserved_percent;
  options.ejection = settings.ejection;
  return options;
}

permit::QueueOptions PermitQueueOptions(
    const settings::PermitSettings& settings) {
  permit::QueueOptions options;
  options.short_cost = settings.short_cost;
  return options;
}

scheduling::Options SchedulingOptions(const settings::NodeSettings& settings) {
  // A failed task is tried again soon: it is more often the worker's doing, and
  // its queue bounds the attempts.
  constexpr Duration kFirstBackoff{10};
  constexpr Duration kLongestBackoff{1'000};
  constexpr Duration kNoRamp{0};
  // Both lists of a worker come in one answer, so that nothing is reported
  // after it.
  constexpr Duration kReportGrace{100};
  // A submission waits for the store no longer than a caller would.
  constexpr Duration kAppendWait{300};
  constexpr Duration kUnknownWait{2'500};
  // The worker's answer, the append and the way back, some times over.
  constexpr Duration kNearEndWait{250};
  scheduling::Options options;
  options.member = settings.process.member;
  options.cell = settings.cell;
  options.partitions_from_layouts = true;
  options.sticky = true;
  options.nonce = RandomNumber();
  options.owner.unlisted_vms_are_gone = false;
  options.owner.keep_running_attempts = true;
  options.owner.checkpoint_leaving = false;
  options.owner.report_grace = kReportGrace;
  options.owner.record_starts_first = true;
  options.owner.refuse_while_stalled = true;
  options.owner.append_timeout = kAppendWait;
  options.owner.unknown_outcome_timeout = kUnknownWait;
  options.owner.completion_wait = kNearEndWait;
  options.owner.refuse_unserviceable = settings.overload.refuse_unserviceable;
  if (settings.overload.least_work_first) {
    options.owner.placement.late_order = placement::LeastWork{};
  }
  if (settings.overload.learn_worker_speeds) {
    options.owner.placement.speeds = placement::LearnedSpeeds{};
  }
  options.owner.permit_first_workers = settings.permits.first_workers;
  options.owner.placement.initial_backoff = kFirstBackoff;
  options.owner.placement.max_backoff = kLongestBackoff;
  options.owner.placement.bound_retries = false;
  options.owner.placement.preempt_over_allowance = false;
  options.owner.placement.zone_ramp = kNoRamp;
  return options;
}

layout::Options LayoutOptions(const settings::NodeSettings& settings) {
  layout::Options options;
  options.partition_workers = settings.cell.budgets.partition_workers;
  options.seed = RandomNumber();
  return options;
}

membership::Options NodeMembershipOptions(
    const settings::NodeSettings& settings) {
  membership::Options options = MembershipOptions(settings.cell);
  options.keep_holders = true;
  return options;
}

// Sends each update to two tasks.
task::Address<vmlist::Update> Both(task::Address<vmlist::Update> first,
                                   task::Address<vmlist::Update> second) {
  return task::Address<vmlist::Update>(
      [first = std::move(first),
       second = std::move(second)](const vmlist::Update& update) {
        first.Send(update);
        second.Send(update);
      });
}

}  // namespace

class Node::Impl {
 public:
  Impl(task::Loop& loop, const settings::NodeSettings& settings);

  std::string not_listening() const;
  void Shutdown(std::function<void()> done);

 private:
  using Message = std::variant<configuration::Update, scheduling::ShutdownDone,
                               platform::Drained>;

  void Handle(const Message& message);
  // At this time since the shutdown began, at once if that is over.
  void AtStep(Duration step, std::function<void()> callback);
  void StopListening(ShutdownPlan plan);
  void AnswerAll(ShutdownPlan plan);
  void Finish(const char* reason);

  const settings::NodeSettings settings_;
  task::Mailbox<Message> mailbox_;
  task::Timer shutdown_timer_;
  std::function<void()> done_;
  bool ready_ = false;
  MonotonicTime shutdown_began_;
  bool handed_over_ = false;
  bool drained_ = false;  // No connection of a client is open, and none can be.

  platform::Readiness readiness_;
  platform::Store platform_store_;
  store::Hedge store_;
  platform::Workers worker_calls_;
  platform::Permits permit_calls_;
  permit::Queue permit_queue_;
  entry::Client entry_client_;
  task::Relay<entry::Incoming> incoming_;
  entry::Server entry_server_;
  configuration::Keeper keeper_;
  membership::Agent agent_;
  layout::Keeper layouts_;
  endpoint::Client workers_;
  escrow::Broker escrow_;
  permit::Broker permits_;
  scheduling::Manager manager_;
  platform::Registry registry_;
  routing::Dispatcher dispatcher_;
  platform::Front front_;
  std::optional<metrics::Exporter> exporter_;
};

Node::Impl::Impl(task::Loop& loop, const settings::NodeSettings& settings)
    : settings_(settings),
      mailbox_(loop, [this](const Message& m) { Handle(m); }),
      shutdown_timer_(loop),
      readiness_(loop, BodylessOptions(settings.ready_address)),
      platform_store_(loop, PlatformStore(settings)),
      store_(loop, store::HedgeOptions{}, platform_store_.address()),
      worker_calls_(loop),
      permit_calls_(loop, settings.permit_address),
      permit_queue_(loop, PermitQueueOptions(settings.permits),
                    permit_calls_.address()),
      entry_client_(loop, entry::ClientOptions{}),
      incoming_(loop),
      entry_server_(loop, EntryOptions(settings.process.entry_address),
                    incoming_.address()),
      keeper_(loop, KeeperOptions({settings.cell, settings.process}),
              store_.address(), entry_client_.address()),
      agent_(loop, NodeMembershipOptions(settings),
             SelfRecord(settings.process, entry_server_.listening_on(),
                        membership::Role::kScheduler),
             {}, store_.address(), entry_client_.address()),
      layouts_(loop, LayoutOptions(settings), store_.address()),
      workers_(loop, EndpointOptions(settings.cell), worker_calls_.address()),
      escrow_(loop, escrow::Options{}, store_.address()),
      permits_(loop, PermitOptions(settings.permits), permit_queue_.address(),
               entry_client_.address()),
      manager_(loop, SchedulingOptions(settings),
               {store_.address(), workers_.address(), escrow_.address(),
                agent_.address(), keeper_.address(), permits_.address(),
                permit_queue_.address()}),
      registry_(loop, settings.cell.timing.watch_wait, store_.address(),
                Both(layouts_.address(), manager_.address())),
      dispatcher_(loop, RoutingOptions(settings), entry_client_.address()),
      front_(loop, ClientOptions(settings), dispatcher_.callers()) {
  incoming_.Connect(manager_.address());
  keeper_.address().Send(configuration::Subscribe{manager_.address()});
  keeper_.address().Send(configuration::Subscribe{dispatcher_.updates()});
  keeper_.address().Send(configuration::Subscribe{mailbox_.address()});
  keeper_.address().Send(configuration::Subscribe{layouts_.address()});
  layouts_.address().Send(layout::Subscribe{manager_.address()});
  layouts_.address().Send(layout::Subscribe{dispatcher_.layouts()});
  agent_.address().Send(
      membership::Subscribe{manager_.address(), manager_.address()});
  agent_.address().Send(membership::Subscribe{dispatcher_.views()});
  if (!settings.metrics_address.empty()) {
    exporter_.emplace(
        loop, BodylessOptions(settings.metrics_address),
        std::vector<metrics::Source>{{"scheduling", manager_.address()},
                                     {"routing", dispatcher_.metrics()},
                                     {"permits", permits_.address()}});
  }
}

std::string Node::Impl::not_listening() const {
  std::string failed;
  if (readiness_.listening_on().empty())
    failed += settings_.ready_address + " ";
  if (front_.listening_on().empty()) {
    failed += settings_.process.http_address + " ";
  }
  if (entry_server_.listening_on().empty()) {
    failed += settings_.process.entry_address;
  }
  return failed;
}

void Node::Impl::Handle(const Message& message) {
  std::visit(Visitor{[this](const configuration::Update& update) {
                       const bool known =
                           update.configuration != nullptr &&
                           !update.configuration->services.empty();
                       if (!known || ready_ || done_) return;
                       ready_ = true;
                       LOG(INFO) << "event=ready revision="
                                 << update.configuration->revision.value;
                       readiness_.address().Send(true);
                     },
                     [this](const scheduling::ShutdownDone&) {
                       LOG(INFO) << "event=shutdown step=handed_over";
                       handed_over_ = true;
                       if (drained_) Finish("all done");
                     },
                     [this](const platform::Drained&) {
                       LOG(INFO) << "event=shutdown step=drained";
                       drained_ = true;
                       if (handed_over_) Finish("all done");
                     }},
             message);
}

void Node::Impl::Shutdown(std::function<void()> done) {
  done_ = std::move(done);
  shutdown_began_ = BootClock::now();
  const ShutdownPlan plan = PlanShutdown(settings_.termination_grace);
  LOG(INFO) << "event=shutdown step=leave stop_listening_ms="
            << plan.stop_listening.count()
            << " answer_all_ms=" << plan.answer_all.count()
            << " exit_ms=" << plan.exit.count();
  readiness_.address().Send(false);
  manager_.address().Send(scheduling::Shutdown{mailbox_.address()});
  front_.Leave();
  AtStep(plan.stop_listening, [this, plan] { StopListening(plan); });
}

void Node::Impl::AtStep(Duration step, std::function<void()> callback) {
  const auto left =
      std::chrono::ceil<Duration>(shutdown_began_ + step - BootClock::now());
  shutdown_timer_.After(std::max(Duration(0), left), std::move(callback));
}

void Node::Impl::StopListening(ShutdownPlan plan) {
  LOG(INFO) << "event=shutdown step=drain";
  const Duration idle_time = plan.answer_all - plan.stop_listening;
  AtStep(plan.answer_all, [this, plan] { AnswerAll(plan); });
  dispatcher_.drain().Send(routing::Drain{});
  front_.Drain(idle_time, mailbox_.address());
}

void Node::Impl::AnswerAll(ShutdownPlan plan) {
  LOG(INFO) << "event=shutdown step=answer_all handed_over=" << handed_over_
            << " drained=" << drained_;
  AtStep(plan.exit, [this] { Finish("grace period over"); });
  dispatcher_.stop().Send(routing::Stop{});
}

void Node::Impl::Finish(const char* reason) {
  if (!done_) return;
  LOG(INFO) << "event=shutdown step=end reason=\"" << reason
            << "\" open_requests=" << front_.open_requests()
            << " connections=" << front_.connections();
  shutdown_timer_.Cancel();
  std::exchange(done_, nullptr)();
}

Node::Node(task::Loop& loop, const settings::NodeSettings& settings)
    : impl_(std::make_unique<Impl>(loop, settings)) {}
Node::~Node() = default;

std::string Node::not_listening() const { return impl_->not_listening(); }
void Node::Shutdown(std::function<void()> done) {
  impl_->Shutdown(std::move(done));
}

}  // namespace azurepass::daemons
