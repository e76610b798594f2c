// The endpoint client: carries out what its sessions ask for.
//
// Each session has a number of its own; answers and timers of a session that
// was closed or replaced are told by it and dropped. The starts whose outcome
// it did not learn are handed to the next session with that worker.

#include <glog/logging.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "azurepass/endpoint/endpoint.h"
#include "azurepass/endpoint/internal/http_carrier.h"
#include "azurepass/endpoint/internal/session.h"

namespace azurepass::endpoint {
namespace {

using internal::Answered;
using internal::Channel;
using internal::FencedBy;
using internal::Session;
using internal::StartNoted;
using internal::StartStep;
using internal::Unanswered;

const char* NameOf(StartStep step) {
  switch (step) {
    case StartStep::kUnanswered:
      return "unanswered";
    case StartStep::kRefused:
      return "refused";
    case StartStep::kRevoked:
      return "revoked";
    case StartStep::kRuns:
      return "runs";
    case StartStep::kNotStarted:
      return "not_started";
  }
  return "unknown";
}

void Log(const VmId& vm, Epoch epoch, const StartNoted& noted) {
  LOG(INFO) << "event=start step=" << NameOf(noted.step)
            << " attempt=" << ToString(noted.attempt) << " vm=" << vm.value()
            << " epoch=" << epoch.value << " age_ms=" << noted.age.count();
}

// What a result means to the session.
internal::Event EventOf(Channel channel, ExchangeResult& result) {
  return std::visit(
      Visitor{[&](ExchangeAnswer& answer) -> internal::Event {
                return Answered{channel, std::move(answer)};
              },
              [](const ExchangeFenced& fenced) -> internal::Event {
                return FencedBy{fenced.theirs};
              },
              [&](const ExchangeFailed& failed) -> internal::Event {
                return Unanswered{channel, failed.replaced};
              }},
      result);
}

}  // namespace

class Client::Impl {
 public:
  Impl(task::Loop& loop, Options options, task::Address<Carry> carrier)
      : loop_(loop),
        options_(options),
        carrier_(std::move(carrier)),
        mailbox_(loop, [this](Inbox m) { Handle(std::move(m)); }),
        counters_mailbox_(loop, [this](const task::Address<Counters>& to) {
          to.Send(CurrentCounters());
        }) {}
  // Over HTTP.
  Impl(task::Loop& loop, Options options,
       std::unique_ptr<internal::HttpCarrier> http)
      : Impl(loop, options, http->address()) {
    http_ = std::move(http);
  }

  task::Address<Request> address() const { return mailbox_.address(); }
  task::Address<task::Address<Counters>> counters() const {
    return counters_mailbox_.address();
  }

 private:
  struct Entry {
    Entry(task::Loop& loop, Session s)
        : session(std::move(s)), held(loop), orders(loop) {}

    Session session;
    int64_t number = 0;
    PartitionId partition;
    std::string address;
    task::Address<Update> listener;
    task::Timer held;
    task::Timer orders;
  };

  // The answer to an exchange of the session of this number.
  struct Carried {
    VmId vm;
    int64_t number = 0;
    Channel channel = Channel::kHeld;
    ExchangeResult result;
  };
  using Inbox = std::variant<Request, Carried>;

  void Handle(Inbox message);
  void OnRequest(Request request);
  void Begin(const Open& open);
  // What the next session with that worker has to know of this one.
  void Keep(const VmId& vm, const Session& session);
  void Tell(const VmId& vm, int64_t number, internal::Event event);
  void Perform(const VmId& vm, Entry& entry,
               std::vector<internal::Output> outputs);
  void Send(const VmId& vm, const Entry& entry,
            const internal::Exchange& exchange);
  Counters CurrentCounters() const;
  static MonotonicTime Now() { return BootClock::now(); }

  task::Loop& loop_;
  Options options_;
  int64_t sessions_begun_ = 0;
  int64_t failures_ = 0;
  int64_t last_life_ = 0;  // The highest of all sessions that were closed.
  std::optional<MonotonicTime> authorized_until_;
  std::map<VmId, std::unique_ptr<Entry>> entries_;
  // Of sessions that were closed, for the next one under the same epoch.
  struct DoubtfulStarts {
    Epoch epoch;
    std::vector<internal::DoubtfulStart> starts;
  };
  std::map<VmId, DoubtfulStarts> doubtful_;
  std::unique_ptr<internal::HttpCarrier> http_;  // Null: a carrier was given.
  task::Address<Carry> carrier_;
  int64_t exchanges_ = 0;
  task::Mailbox<Inbox> mailbox_;
  task::Mailbox<task::Address<Counters>> counters_mailbox_;
};

void Client::Impl::Handle(Inbox message) {
  std::visit(
      Visitor{[this](Request& request) { OnRequest(std::move(request)); },
              [this](Carried& carried) {
                ++exchanges_;
                if (std::holds_alternative<ExchangeFailed>(carried.result)) {
                  ++failures_;
                }
                Tell(carried.vm, carried.number,
                     EventOf(carried.channel, carried.result));
              }},
      message);
}

void Client::Impl::OnRequest(Request request) {
  std::visit(
      Visitor{[this](const Open& open) { Begin(open); },
              [this](endpoint::Send& send) {
                const auto found = entries_.find(send.vm);
                if (found == entries_.end()) return;
                Tell(send.vm, found->second->number,
                     internal::Ordered{std::move(send.orders)});
              },
              [this](const SetRenewal& set) {
                const auto found = entries_.find(set.vm);
                if (found == entries_.end()) return;
                Tell(set.vm, found->second->number,
                     internal::RenewalSet{set.renews});
              },
              [this](const Acknowledge& acknowledge) {
                const auto found = entries_.find(acknowledge.vm);
                if (found == entries_.end()) return;
                Tell(acknowledge.vm, found->second->number,
                     internal::Recorded{acknowledge.number, acknowledge.life});
              },
              [this](const Close& close) {
                const auto found = entries_.find(close.vm);
                if (found == entries_.end()) return;
                Keep(close.vm, found->second->session);
                entries_.erase(found);
              },
              [this](const Authorize& authorize) {
                authorized_until_ = authorize.until;
                for (auto& [vm, entry] : entries_) {
                  Perform(vm, *entry,
                          entry->session.Handle(
                              internal::Authorized{authorize.until}, Now()));
                }
              }},
      request);
}

void Client::Impl::Begin(const Open& open) {
  const VmId& vm = open.worker.vm;
  const MonotonicTime now = Now();
  const uint64_t seed = std::hash<std::string>()(vm.value());
  const auto former = entries_.find(vm);
  if (former != entries_.end()) Keep(vm, former->second->session);
  internal::Former inherited;
  inherited.life = last_life_;
  if (auto kept = doubtful_.extract(vm);
      !kept.empty() && kept.mapped().epoch == open.epoch) {
    inherited.doubtful = std::move(kept.mapped().starts);
  }
  auto entry = std::make_unique<Entry>(
      loop_, Session(vm, open.epoch, options_, authorized_until_, seed,
                     inherited, now, open.renews));
  entry->number = ++sessions_begun_;
  entry->partition = open.partition;
  entry->address = open.worker.address;
  entry->listener = open.listener;
  Entry& kept = *(entries_[vm] = std::move(entry));
  Perform(vm, kept, kept.session.Start(now));
}

void Client::Impl::Keep(const VmId& vm, const Session& session) {
  last_life_ = std::max(last_life_, session.life());
  std::vector<internal::DoubtfulStart> starts = session.Doubtful();
  if (starts.empty()) return;
  doubtful_[vm] = {session.epoch(), std::move(starts)};
}

void Client::Impl::Tell(const VmId& vm, int64_t number, internal::Event event) {
  const auto found = entries_.find(vm);
  if (found == entries_.end() || found->second->number != number) return;
  Entry& entry = *found->second;
  Perform(vm, entry, entry.session.Handle(std::move(event), Now()));
}

void Client::Impl::Perform(const VmId& vm, Entry& entry,
                           std::vector<internal::Output> outputs) {
  for (internal::Output& output : outputs) {
    std::visit(
        Visitor{
            [&](const internal::Exchange& exchange) {
              Send(vm, entry, exchange);
            },
            [&](const internal::Wake& wake) {
              task::Timer& timer =
                  wake.channel == Channel::kHeld ? entry.held : entry.orders;
              timer.After(wake.delay, [this, vm, wake, number = entry.number] {
                Tell(vm, number, internal::Woken{wake.channel});
              });
            },
            [&](Update& update) { entry.listener.Send(std::move(update)); },
            [&](const StartNoted& noted) {
              Log(vm, entry.session.epoch(), noted);
            }},
        output);
  }
}

void Client::Impl::Send(const VmId& vm, const Entry& entry,
                        const internal::Exchange& exchange) {
  carrier_.Send(
      {entry.partition, vm, entry.address, exchange.request,
       exchange.request.hold + options_.request_timeout,
       mailbox_.address().Map<ExchangeResult>(
           [vm, number = entry.number,
            channel = exchange.channel](ExchangeResult result) {
             return Inbox(Carried{vm, number, channel, std::move(result)});
           })});
}

Counters Client::Impl::CurrentCounters() const {
  Counters counters{exchanges_, failures_, 0, 0, 0};
  if (http_ == nullptr) return counters;
  const http::Traffic& traffic = http_->traffic();
  counters.connections = traffic.connections;
  counters.bytes_sent = traffic.bytes_sent;
  counters.bytes_received = traffic.bytes_received;
  return counters;
}

Client::Client(task::Loop& loop, Options options)
    : impl_(std::make_shared<Impl>(
          loop, options, std::make_unique<internal::HttpCarrier>(loop))) {}

Client::Client(task::Loop& loop, Options options, task::Address<Carry> carrier)
    : impl_(std::make_shared<Impl>(loop, options, std::move(carrier))) {}

Client::~Client() = default;

task::Address<Request> Client::address() const { return impl_->address(); }

task::Address<task::Address<Counters>> Client::counters() const {
  return impl_->counters();
}

}  // namespace azurepass::endpoint
