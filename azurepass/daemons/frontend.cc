// The wiring. Tasks are members in the order in which they need each other.
//
// Shutdown, step by step: /readyz says no; after leave_delay held reads are
// answered with what is known and both HTTP servers drain; then the entry
// server drains and the member lease is given back. Each step begins when the
// one before is through. Whatever is open when the time for all of them is over
// is answered with what is known of it.

#include "azurepass/daemons/frontend.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "azurepass/caller/caller.h"
#include "azurepass/configuration/configuration.h"
#include "azurepass/daemons/internal/frontend_desk.h"
#include "azurepass/entry/entry.h"
#include "azurepass/membership/membership.h"
#include "azurepass/operators/operators.h"
#include "azurepass/routing/routing.h"
#include "azurepass/store/store.h"

namespace azurepass::daemons {
namespace {

// For clients that keep their connections to send one more request.
constexpr Duration kIdleTime{1'000};
// For the last answers to be written.
constexpr Duration kWriteTime{500};

routing::Options RoutingOptions(const AllSettings& all) {
  routing::Options options;
  options.member = all.process.member;
  options.seed = RandomNumber();
  options.min_divided_tasks = all.cell.budgets.min_divided_tasks;
  for (const auto& partition : all.cell.partitions) {
    options.partitions.push_back({partition.id, partition.service});
  }
  return options;
}

operators::KnownNames NamesOf(const settings::CellSettings& cell) {
  operators::KnownNames names;
  for (const ZoneId& zone : cell.Zones()) names.zones.insert(zone);
  for (const auto& partition : cell.partitions) {
    names.services.insert(partition.service);
  }
  return names;
}

}  // namespace

class Frontend::Impl {
 public:
  Impl(task::Loop& loop, const AllSettings& all, FrontendOptions options);
  ~Impl() { http_loop_.Stop(); }

  std::string callers_on() const { return callers_.listening_on(); }
  std::string operators_on() const {
    return operators_ ? operators_->listening_on() : "";
  }
  std::string entry_on() const { return entry_server_.listening_on(); }
  bool listening() const {
    return !callers_on().empty() && !entry_on().empty() &&
           (!operators_ || !operators_on().empty());
  }
  void Shutdown(std::function<void()> done);

 private:
  struct HttpDrained {};
  using Message = std::variant<HttpDrained, entry::Drained, membership::Left>;

  void Handle(const Message& message);
  void StartDraining();
  void AnswerAll();
  void Finish(const char* reason);

  const FrontendOptions options_;
  task::Loop http_loop_;
  // Where shutdown's steps report.
  task::Mailbox<Message> mailbox_;
  task::Timer shutdown_timer_;
  int servers_to_drain_ = 0;
  std::function<void()> done_;

  store::Client store_;
  entry::Client entry_client_;
  configuration::Keeper keeper_;
  // The entry server has to listen before the agent can tell its address.
  task::Relay<entry::Incoming> incoming_;
  entry::Server entry_server_;
  membership::Agent agent_;
  internal::FrontendDesk desk_;
  routing::Dispatcher dispatcher_;
  operators::ConfigurationWriter writer_;
  std::unique_ptr<operators::Server> operators_;  // Null: not configured.
  caller::Server callers_;
};

Frontend::Impl::Impl(task::Loop& loop, const AllSettings& all,
                     FrontendOptions options)
    : options_(options),
      mailbox_(loop, [this](const Message& m) { Handle(m); }),
      shutdown_timer_(loop),
      store_(loop, StoreOptions(all.cell)),
      entry_client_(loop, {}),
      keeper_(loop, KeeperOptions(all), store_.address(),
              entry_client_.address()),
      incoming_(loop),
      entry_server_(loop, EntryOptions(all.process.entry_address),
                    incoming_.address()),
      agent_(loop, MembershipOptions(all.cell),
             SelfRecord(all.process, entry_server_.listening_on(),
                        membership::Role::kFrontend),
             PartitionIds(all.cell), store_.address(), entry_client_.address()),
      desk_(loop, all.process.member, keeper_.address(), agent_.address()),
      dispatcher_(loop, RoutingOptions(all), entry_client_.address()),
      writer_(loop, NamesOf(all.cell), RandomNumber(), store_.address(),
              keeper_.address()),
      operators_(all.process.operator_address.empty()
                     ? nullptr
                     : std::make_unique<operators::Server>(
                           http_loop_,
                           HttpOptions(all.process.operator_address),
                           all.process.operator_key_sha256, writer_.address(),
                           dispatcher_.operators())),
      callers_(http_loop_, HttpOptions(all.process.http_address),
               dispatcher_.callers(), {{"routing", dispatcher_.metrics()}}) {
  incoming_.Connect(desk_.address());
  keeper_.address().Send(configuration::Subscribe{dispatcher_.updates()});
  keeper_.address().Send(configuration::Subscribe{desk_.address()});
  agent_.address().Send(membership::Subscribe{dispatcher_.views()});
  agent_.address().Send(membership::Subscribe{desk_.address()});
  http_loop_.Start();
}

void Frontend::Impl::Shutdown(std::function<void()> done) {
  done_ = std::move(done);
  LOG(INFO) << "event=shutdown step=leave";
  callers_.Leave();
  shutdown_timer_.After(options_.leave_delay, [this] { StartDraining(); });
}

void Frontend::Impl::StartDraining() {
  LOG(INFO) << "event=shutdown step=drain";
  shutdown_timer_.After(options_.drain_timeout, [this] { AnswerAll(); });
  const Duration idle_time = std::min(kIdleTime, options_.drain_timeout);
  dispatcher_.drain().Send(routing::Drain{});
  servers_to_drain_ = operators_ ? 2 : 1;
  callers_.Drain(idle_time,
                 mailbox_.address().Map<caller::Drained>(
                     [](caller::Drained) { return Message(HttpDrained{}); }));
  if (!operators_) return;
  operators_->Drain(idle_time, mailbox_.address().Map<operators::Drained>(
                                   [](operators::Drained) {
                                     return Message(HttpDrained{});
                                   }));
}

void Frontend::Impl::AnswerAll() {
  LOG(INFO) << "event=shutdown step=answer_all";
  shutdown_timer_.After(kWriteTime, [this] { Finish("drain timeout"); });
  dispatcher_.stop().Send(routing::Stop{});
}

void Frontend::Impl::Handle(const Message& message) {
  std::visit(
      Visitor{[this](const HttpDrained&) {
                if (--servers_to_drain_ > 0) return;
                LOG(INFO) << "event=shutdown step=entry";
                entry_server_.Drain(mailbox_.address());
              },
              [this](const entry::Drained&) {
                LOG(INFO) << "event=shutdown step=member";
                agent_.address().Send(membership::Leave{mailbox_.address()});
              },
              [this](const membership::Left&) { Finish("all done"); }},
      message);
}

void Frontend::Impl::Finish(const char* reason) {
  if (!done_) return;
  LOG(INFO) << "event=shutdown step=end reason=\"" << reason << "\"";
  shutdown_timer_.Cancel();
  std::exchange(done_, nullptr)();
}

Frontend::Frontend(task::Loop& loop, const AllSettings& settings,
                   FrontendOptions options)
    : impl_(std::make_unique<Impl>(loop, settings, options)) {}
Frontend::~Frontend() = default;

std::string Frontend::callers_on() const { return impl_->callers_on(); }
std::string Frontend::operators_on() const { return impl_->operators_on(); }
std::string Frontend::entry_on() const { return impl_->entry_on(); }
bool Frontend::listening() const { return impl_->listening(); }

void Frontend::Shutdown(std::function<void()> done) {
  impl_->Shutdown(std::move(done));
}

}  // namespace azurepass::daemons
