// Reads layouts, writes missing ones, and sends them to the subscribers.
//
// The store is not watched, because a layout matters only for racks that it
// does not place yet, and every process sees those in the list of workers. So
// the value is read when a service first appears and when a rack of a listed
// worker is unplaced, and is written right after such a read if the rack is
// still unplaced. A layout that lacks only racks without listed workers counts
// as complete.
//
// If the outcome of a write is not known, the next read resolves it.

#include <glog/logging.h>

#include <algorithm>
#include <random>
#include <utility>

#include "azurepass/layout/layout.h"

namespace azurepass::layout {
namespace {

MonotonicTime Now() { return BootClock::now(); }

struct LayoutRead {
  ServiceId service;
  store::GetReply reply;
};
struct LayoutWritten {
  Layout layout;
  store::WriteReply reply;
};
using Inbox = std::variant<Message, LayoutRead, LayoutWritten>;

}  // namespace

class Keeper::Impl {
 public:
  Impl(task::Loop& loop, Options options, task::Address<store::Request> store)
      : loop_(loop),
        options_(options),
        store_(std::move(store)),
        random_(options_.seed),
        mailbox_(loop, [this](Inbox inbox) { Handle(inbox); }) {}

  task::Address<Message> address() const { return mailbox_.address(); }

 private:
  struct Service {
    Service(task::Loop& loop, Duration first_backoff)
        : timer(loop), backoff(first_backoff) {}

    std::optional<Layout> layout;
    store::Version version = store::kAbsent;  // Of `layout`.
    Workers workers;                          // In the latest list.
    int64_t max_workers = 0;                  // Maximum listed so far.
    MonotonicTime last_growth;                // When it was reached.
    bool request_pending = false;             // A request is in flight.
    task::Timer timer;                        // For the next read.
    Duration backoff;                         // After the next failure.
  };

  void Handle(Inbox& inbox) {
    std::visit(Visitor{[this](Message& m) { OnMessage(m); },
                       [this](const LayoutRead& read) { OnRead(read); },
                       [this](const LayoutWritten& w) { OnWritten(w); }},
               inbox);
  }

  void OnMessage(Message& message) {
    std::visit(
        Visitor{[this](Subscribe& m) {
                  subscribers_.push_back(std::move(m.subscriber));
                  subscribers_.back().Send(Update{layouts_});
                },
                [this](const configuration::Update& m) { OnConfiguration(m); },
                [this](const vmlist::Update& m) { OnWorkers(m); }},
        message);
  }

  void OnConfiguration(const configuration::Update& update) {
    if (update.configuration == nullptr) return;
    for (const auto& [id, record] : update.configuration->services) {
      const auto [at, added] =
          services_.try_emplace(id, loop_, options_.min_backoff);
      if (!added) continue;
      Service& service = at->second;
      service.last_growth = Now();
      UpdateWorkers(id, service);
      ReadLayout(id, service);
    }
  }

  void OnWorkers(const vmlist::Update& update) {
    const auto* snapshot = std::get_if<vmlist::Snapshot>(&update);
    if (snapshot == nullptr) return;
    listed_workers_.clear();
    for (const auto& [vm, worker] : snapshot->workers) {
      listed_workers_[worker.service].push_back(worker);
    }
    for (auto& [id, service] : services_) {
      const bool has_grown = UpdateWorkers(id, service);
      if (service.request_pending || IsComplete(service)) continue;
      // A read that is scheduled already stays as it is, unless the list has
      // grown before the first layout; then the wait starts again.
      if (!service.timer.active() || (has_grown && !service.layout)) {
        ScheduleRead(id, service);
      }
    }
  }

  // Updates the service's workers from the latest list. Returns whether there
  // are more than ever before.
  bool UpdateWorkers(const ServiceId& id, Service& service) {
    const auto found = listed_workers_.find(id);
    service.workers =
        found == listed_workers_.end() ? Workers() : found->second;
    if (std::ssize(service.workers) <= service.max_workers) return false;
    service.max_workers = std::ssize(service.workers);
    service.last_growth = Now();
    return true;
  }

  static bool IsComplete(const Service& service) {
    return service.layout && Covers(*service.layout, service.workers);
  }

  MonotonicTime StableAt(const Service& service) const {
    return service.last_growth + (service.workers.empty()
                                      ? options_.stable_for_if_empty
                                      : options_.stable_for);
  }

  // --- Reading

  void ScheduleRead(const ServiceId& id, Service& service) {
    const MonotonicTime now = Now();
    const MonotonicTime from =
        service.layout ? now : std::max(now, StableAt(service));
    const auto delay = std::chrono::ceil<Duration>(from - now);
    service.timer.After(delay + RandomUpTo(options_.max_jitter),
                        [this, id] { ReadLayout(id, services_.at(id)); });
  }

  void ScheduleRetry(const ServiceId& id, Service& service) {
    service.timer.After(service.backoff / 2 + RandomUpTo(service.backoff / 2),
                        [this, id] { ReadLayout(id, services_.at(id)); });
    service.backoff = std::min(2 * service.backoff, options_.max_backoff);
  }

  void ReadLayout(const ServiceId& id, Service& service) {
    if (std::exchange(service.request_pending, true)) return;
    const task::Address<Inbox> inbox = mailbox_.address();
    store_.Send(store::Get{
        StoreKey(id), inbox.Map<store::GetReply>([id](store::GetReply reply) {
          return Inbox(LayoutRead{id, std::move(reply)});
        })});
  }

  void OnRead(const LayoutRead& read) {
    Service& service = services_.at(read.service);
    service.request_pending = false;
    const auto* value = std::get_if<store::Value>(&read.reply);
    if (value == nullptr) return ScheduleRetry(read.service, service);
    if (value->entry && !AcceptEntry(read.service, service, *value->entry)) {
      return ScheduleRetry(read.service, service);
    }
    service.backoff = options_.min_backoff;
    if (IsComplete(service)) return;
    if (service.layout) {
      return Write(service, Extend(*service.layout, service.workers));
    }
    if (Now() < StableAt(service)) return ScheduleRead(read.service, service);
    Write(service,
          Plan(read.service, service.workers, options_.partition_workers));
  }

  // --- Writing

  void Write(Service& service, Layout layout) {
    service.request_pending = true;
    const task::Address<Inbox> inbox = mailbox_.address();
    store::Put put;
    put.key = StoreKey(layout.service);
    put.value = Encode(layout);
    put.expected = service.version;
    put.reply_to = inbox.Map<store::WriteReply>(
        [layout = std::move(layout)](store::WriteReply reply) {
          return Inbox(LayoutWritten{layout, std::move(reply)});
        });
    store_.Send(std::move(put));
  }

  void OnWritten(const LayoutWritten& written) {
    const ServiceId& id = written.layout.service;
    Service& service = services_.at(id);
    service.request_pending = false;
    std::visit(Visitor{[&](const store::Written& done) {
                         LOG(INFO)
                             << "event=layout_written service=" << id.value()
                             << " workers=" << service.workers.size();
                         SetLayout(service, written.layout, done.version);
                       },
                       [&](const store::Conflict& conflict) {
                         if (!conflict.current ||
                             !AcceptEntry(id, service, *conflict.current)) {
                           return ScheduleRetry(id, service);
                         }
                         if (!IsComplete(service)) ScheduleRead(id, service);
                       },
                       [&](const store::Error& error) {
                         LOG(WARNING)
                             << "event=layout_unwritten service=" << id.value()
                             << " reason=\"" << error.message << "\"";
                         ScheduleRetry(id, service);
                       }},
               written.reply);
    if (!service.request_pending && !service.timer.active() &&
        !IsComplete(service)) {
      ScheduleRead(id, service);
    }
  }

  // Takes over the layout in `entry` if it is newer. Returns false if the value
  // can't be decoded.
  bool AcceptEntry(const ServiceId& id, Service& service,
                   const store::Entry& entry) {
    if (entry.version <= service.version) return true;
    std::optional<Layout> layout = Decode(entry.value);
    if (!layout || layout->service != id) {
      LOG(ERROR) << "event=unreadable_layout key=" << entry.key
                 << " revision=" << entry.version;
      return false;
    }
    SetLayout(service, *std::move(layout), entry.version);
    return true;
  }

  void SetLayout(Service& service, Layout layout, store::Version version) {
    LOG(INFO) << "event=layout service=" << layout.service.value()
              << " partitions=" << layout.partitions
              << " racks=" << layout.racks.size() << " revision=" << version;
    service.version = version;
    if (service.layout == layout) return;
    service.layout = std::move(layout);
    auto layouts = std::make_shared<Layouts>(*layouts_);
    (*layouts)[service.layout->service] = *service.layout;
    layouts_ = std::move(layouts);
    for (const auto& subscriber : subscribers_) {
      subscriber.Send(Update{layouts_});
    }
  }

  Duration RandomUpTo(Duration max) {
    std::uniform_int_distribution<Duration::rep> random(0, max.count());
    return Duration(random(random_));
  }

  task::Loop& loop_;
  const Options options_;
  const task::Address<store::Request> store_;
  std::mt19937_64 random_;
  std::map<ServiceId, Workers> listed_workers_;  // From the latest list.
  std::map<ServiceId, Service> services_;
  std::shared_ptr<const Layouts> layouts_ = std::make_shared<Layouts>();
  std::vector<task::Address<Update>> subscribers_;
  task::Mailbox<Inbox> mailbox_;
};

Keeper::Keeper(task::Loop& loop, Options options,
               task::Address<store::Request> store)
    : impl_(std::make_shared<Impl>(loop, options, std::move(store))) {}
Keeper::~Keeper() = default;

task::Address<Message> Keeper::address() const { return impl_->address(); }

}  // namespace azurepass::layout
