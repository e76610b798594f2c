// Spreads requests over the VMs by the decision time outstanding at each.
//
// Cheap requests, which are those of small and urgent work, go before expensive
// ones and fill up the backlogs, so that an expensive request would be sent
// only when a VM has no backlog, that is while there are few requests. An
// expensive request therefore yields to cheaper ones for a bounded time, in
// proportion to its cost. Then it is sent next, to the first VM whose backlog
// is within the bound without it.

#include <glog/logging.h>

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "azurepass/permit/permit.h"

namespace azurepass::permit {
namespace {

// The key of this VM among the targets; the key of a peer is its address.
constexpr char kLocal[] = "";

// A request yields to cheaper ones for this multiple of its cost. The most
// expensive requests take 0.75 s, and lasting work counts as missed after an
// absence of 3 s. The backlog ahead of the request and its own decision leave
// 1.6 s of these.
constexpr int kPatience = 2;

}  // namespace

class Broker::Impl {
 public:
  Impl(task::Loop& loop, Options options, task::Address<Question> service,
       task::Address<entry::Call> peers)
      : options_(options),
        service_(std::move(service)),
        peers_(std::move(peers)),
        mailbox_(loop, [this](Inbox m) { Handle(std::move(m)); }) {
    desks_[kLocal];
  }

  task::Address<Message> address() const { return mailbox_.address(); }

 private:
  // A VM whose calls reach the service. Invariant: `backlog` is the sum of the
  // costs of the requests that were sent there and are not answered.
  struct Desk {
    Duration backlog{0};
    // Breaks ties between equal backlogs; the lowest comes first. Several
    // brokers share the VMs and do not see each other's requests, so each
    // broker uses a different order.
    uint64_t order = 0;
    bool gone = false;  // No longer a member; removed once all its requests are
                        // answered.
  };
  // Returns the order of a peer, which is never 0: that is the order of this
  // VM.
  uint64_t OrderOf(const std::string& address) const {
    return std::hash<std::string>()(address + '/' +
                                    std::to_string(options_.seed)) |
           1;
  }
  struct Answered {
    std::string desk;
    Duration cost{0};
    JobId job;
    task::Address<Answer> reply_to;
    Answer answer;
  };
  struct Waiting {
    Ask ask;
    MonotonicTime due;  // Yields to cheaper requests until then.
  };
  using Inbox = std::variant<Message, Answered>;

  void Handle(Inbox message) {
    std::visit(Visitor{[this](Message& m) { OnMessage(std::move(m)); },
                       [this](Answered& a) { OnAnswered(a); }},
               message);
    Drain();
  }

  void OnMessage(Message message) {
    std::visit(Visitor{[this](Ask& ask) { Wait(std::move(ask)); },
                       [this](const PeersChanged& changed) {
                         for (auto& [address, desk] : desks_) {
                           desk.gone = address != kLocal;
                         }
                         for (const std::string& address : changed.addresses) {
                           Desk& desk = desks_[address];
                           desk.gone = false;
                           desk.order = OrderOf(address);
                         }
                         DropIdle();
                       }},
               message);
  }

  void OnAnswered(Answered& answered) {
    if (const auto* failed = std::get_if<Failed>(&answered.answer)) {
      LOG(WARNING) << "event=permits_failed job=" << answered.job.value()
                   << " by=" << answered.desk << " reason=\"" << failed->message
                   << "\"";
    }
    desks_[answered.desk].backlog -= answered.cost;
    DropIdle();
    answered.reply_to.Send(std::move(answered.answer));
  }

  void DropIdle() {
    std::erase_if(desks_, [](const auto& item) {
      return item.second.gone && item.second.backlog <= Duration(0);
    });
  }

  void Wait(Ask ask) {
    const int64_t serial = ++last_serial_;
    const MonotonicTime due = BootClock::now() + kPatience * ask.cost;
    by_cost_.emplace(ask.cost, serial);
    by_due_.emplace(due, serial);
    waiting_.emplace(serial, Waiting{std::move(ask), due});
  }

  // Sends waiting requests while a VM has room for them. No timer is needed:
  // while requests wait, others are outstanding, and each result leads here.
  void Drain() {
    while (!waiting_.empty()) {
      const auto least = std::min_element(
          desks_.begin(), desks_.end(), [](const auto& a, const auto& b) {
            return std::tuple(a.second.gone, a.second.backlog, a.second.order) <
                   std::tuple(b.second.gone, b.second.backlog, b.second.order);
          });
      Desk& desk = least->second;
      const auto [due, oldest] = *by_due_.begin();
      const bool overdue = due <= BootClock::now();
      const auto [cost, cheapest] = *by_cost_.begin();
      const bool full = overdue
                            ? desk.backlog > options_.max_backlog
                            : desk.backlog > Duration(0) &&
                                  desk.backlog + cost > options_.max_backlog;
      if (full) return;
      Ask ask = Take(overdue ? oldest : cheapest);
      desk.backlog += ask.cost;
      Put(least->first, desk.backlog + options_.slack, std::move(ask));
    }
  }

  Ask Take(int64_t serial) {
    const auto found = waiting_.find(serial);
    Ask ask = std::move(found->second.ask);
    by_cost_.erase({ask.cost, serial});
    by_due_.erase({found->second.due, serial});
    waiting_.erase(found);
    return ask;
  }

  void Put(const std::string& desk, Duration timeout, Ask ask) {
    const auto answered = [desk, cost = ask.cost, job = ask.job,
                           to = ask.reply_to](Answer answer) {
      return Inbox(Answered{desk, cost, job, to, std::move(answer)});
    };
    if (desk == kLocal) {
      service_.Send({ask.job, std::move(ask.workers), timeout,
                     mailbox_.address().Map<Answer>(answered)});
      return;
    }
    peers_.Send({desk, entry::RelayPermits{ask.job, std::move(ask.workers)},
                 timeout,
                 mailbox_.address().Map<entry::CallResult>(
                     [answered](entry::CallResult result) {
                       return answered(AnswerOf(result));
                     })});
  }

  static Answer AnswerOf(entry::CallResult& result) {
    if (const auto* failure = std::get_if<entry::Failure>(&result)) {
      return Failed{failure->message};
    }
    auto& response = std::get<entry::Response>(result);
    if (auto* relayed = std::get_if<entry::PermitsRelayed>(&response)) {
      return Issued{std::move(relayed->permits), relayed->validity};
    }
    const auto* refusal = std::get_if<Refusal>(&response);
    return Failed{refusal != nullptr ? refusal->message : "another answer"};
  }

  const Options options_;
  const task::Address<Question> service_;
  const task::Address<entry::Call> peers_;
  std::map<std::string, Desk> desks_;
  // Invariant: each waiting request is in both by_cost_ and by_due_.
  std::map<int64_t, Waiting> waiting_;
  std::set<std::pair<Duration, int64_t>> by_cost_;
  std::set<std::pair<MonotonicTime, int64_t>> by_due_;
  int64_t last_serial_ = 0;
  task::Mailbox<Inbox> mailbox_;
};

Broker::Broker(task::Loop& loop, Options options,
               task::Address<Question> service,
               task::Address<entry::Call> peers)
    : impl_(std::make_shared<Impl>(loop, options, std::move(service),
                                   std::move(peers))) {}
Broker::~Broker() = default;

task::Address<Message> Broker::address() const { return impl_->address(); }

}  // namespace azurepass::permit
