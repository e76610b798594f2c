// The endpoint client: carries out what its sessions ask for.
//
// Each session has a number of its own; answers and timers of a session that
// was closed or replaced are told by it and dropped.

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "azurepass/endpoint/endpoint.h"
#include "azurepass/endpoint/internal/session.h"
#include "azurepass/endpoint/internal/wire.h"
#include "azurepass/http/http.h"

namespace azurepass::endpoint {
namespace {

using internal::Answered;
using internal::Channel;
using internal::ExchangeAnswer;
using internal::FencedAnswer;
using internal::FencedBy;
using internal::Session;
using internal::Unanswered;

// The held one, the orders, and a spare for one that is being given up.
constexpr int kConnectionsPerWorker = 4;

// What a result means to the session.
internal::Event EventOf(Channel channel, const http::Result& result) {
  const auto* response = std::get_if<http::Response>(&result);
  if (response == nullptr) return Unanswered{channel};
  if (response->status == http::kConflict) {
    auto fenced = codec::Try([response] {
      return codec::Decode<FencedAnswer>(response->body,
                                         internal::kDocumentLimits);
    });
    const auto* answer = std::get_if<FencedAnswer>(&fenced);
    if (answer != nullptr) return FencedBy{answer->epoch};
  }
  if (response->status != http::kOk) return Unanswered{channel};
  auto document = codec::Try([response] {
    return codec::Decode<ExchangeAnswer>(response->body,
                                         internal::kDocumentLimits);
  });
  auto* answer = std::get_if<ExchangeAnswer>(&document);
  if (answer == nullptr) return Unanswered{channel};
  return Answered{channel, std::move(*answer)};
}

}  // namespace

class Client::Impl {
 public:
  Impl(task::Loop& loop, Options options)
      : loop_(loop),
        options_(options),
        http_(loop, {kConnectionsPerWorker}),
        mailbox_(loop, [this](Request r) { Handle(std::move(r)); }),
        counters_mailbox_(loop, [this](const task::Address<Counters>& to) {
          to.Send(CurrentCounters());
        }) {}

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
    std::string address;
    task::Address<Update> listener;
    task::Timer held;
    task::Timer orders;
  };

  void Handle(Request request);
  void Begin(const Open& open);
  void Tell(const VmId& vm, int64_t number, internal::Event event);
  void Perform(const VmId& vm, Entry& entry,
               std::vector<internal::Output> outputs);
  void Send(const VmId& vm, const Entry& entry,
            const internal::Exchange& exchange);
  Counters CurrentCounters() const;
  static MonotonicTime Now() { return std::chrono::steady_clock::now(); }

  task::Loop& loop_;
  Options options_;
  int64_t sessions_begun_ = 0;
  int64_t failures_ = 0;
  std::optional<MonotonicTime> authorized_until_;
  std::map<VmId, std::unique_ptr<Entry>> entries_;
  http::Client http_;
  task::Mailbox<Request> mailbox_;
  task::Mailbox<task::Address<Counters>> counters_mailbox_;
};

void Client::Impl::Handle(Request request) {
  std::visit(Visitor{[this](const Open& open) { Begin(open); },
                     [this](endpoint::Send& send) {
                       const auto found = entries_.find(send.vm);
                       if (found == entries_.end()) return;
                       Tell(send.vm, found->second->number,
                            internal::Ordered{std::move(send.orders)});
                     },
                     [this](const Close& close) { entries_.erase(close.vm); },
                     [this](const Authorize& authorize) {
                       authorized_until_ = authorize.until;
                       for (auto& [vm, entry] : entries_) {
                         Perform(
                             vm, *entry,
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
  auto entry = std::make_unique<Entry>(
      loop_, Session(vm, open.epoch, options_, authorized_until_, seed, now));
  entry->number = ++sessions_begun_;
  entry->address = open.worker.address;
  entry->listener = open.listener;
  Entry& kept = *(entries_[vm] = std::move(entry));
  Perform(vm, kept, kept.session.Start(now));
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
            [&](Update& update) { entry.listener.Send(std::move(update)); }},
        output);
  }
}

void Client::Impl::Send(const VmId& vm, const Entry& entry,
                        const internal::Exchange& exchange) {
  const http::Request request{"POST", entry.address, "/v1/exchange",
                              codec::Write(exchange.request).dump(),
                              exchange.request.hold + options_.request_timeout};
  http_.Send(request, [this, vm, number = entry.number,
                       channel = exchange.channel](const http::Result& result) {
    if (std::holds_alternative<http::Failure>(result)) ++failures_;
    Tell(vm, number, EventOf(channel, result));
  });
}

Counters Client::Impl::CurrentCounters() const {
  const http::Traffic& traffic = http_.traffic();
  return {traffic.requests, failures_, traffic.connections, traffic.bytes_sent,
          traffic.bytes_received};
}

Client::Client(task::Loop& loop, Options options)
    : impl_(std::make_shared<Impl>(loop, options)) {}

Client::~Client() = default;

task::Address<Request> Client::address() const { return impl_->address(); }

task::Address<task::Address<Counters>> Client::counters() const {
  return impl_->counters();
}

}  // namespace azurepass::endpoint
