// The keeper: follows the store, and pulls from peers while it does not answer.
//
// Peers are asked only without contact: a few in the first round and while one
// of them confirms; all of them, for the evidence of an outage, otherwise. They
// tell their contact and revision alone. The records are asked for from one of
// those that hold newer ones, one at a time: the whole from each of them would
// fill the link, so that none arrived in time.

#include <glog/logging.h>

#include <algorithm>
#include <random>
#include <utility>

#include "azurepass/configuration/configuration.h"
#include "azurepass/configuration/internal/queue_archive.h"
#include "azurepass/follow/follow.h"

namespace azurepass::configuration {
namespace {

MonotonicTime Now() { return BootClock::now(); }

struct Pulled {
  MemberId peer;
  std::string address;
  MonotonicTime sent;
  bool content = false;  // Records were asked for.
  entry::CallResult result;
};
using Inner =
    std::variant<Message, follow::Event, Pulled, internal::QueuesRecalled>;

follow::Options FollowOptionsOf(const Options& options) {
  return {std::string(kPrefix), options.watch_wait,   options.min_backoff,
          options.max_backoff,  options.page_entries, options.seed};
}

internal::QueueArchiveOptions ArchiveOptionsOf(const Options& options) {
  return {.max_delay = options.queue_record_delay,
          .min_backoff = options.min_backoff,
          .max_backoff = options.max_backoff,
          .seed = options.seed};
}

}  // namespace

class Keeper::Impl {
 public:
  Impl(task::Loop& loop, Options options, task::Address<store::Request> store,
       task::Address<entry::Call> peers)
      : options_(std::move(options)),
        client_(std::move(peers)),
        freshness_(options_.max_age, options_.contact_limit),
        random_(options_.seed),
        peer_timer_(loop),
        expiry_timer_(loop),
        mailbox_(loop, [this](Inner m) { Handle(std::move(m)); }),
        archive_(loop, ArchiveOptionsOf(options_), store, mailbox_.address()),
        follower_(loop, FollowOptionsOf(options_), std::move(store),
                  mailbox_.address()) {
    peer_timer_.Every(options_.peer_interval, [this] { AskPeers(); });
  }

  task::Address<Message> address() const { return mailbox_.address(); }

 private:
  void Handle(Inner message) {
    std::visit(Visitor{[this](Message& m) { HandleMessage(std::move(m)); },
                       [this](follow::Event& m) { OnStoreEvent(m); },
                       [this](Pulled& m) { OnPulled(std::move(m)); },
                       [this](const internal::QueuesRecalled& m) {
                         register_.Recall(m.queues);
                       }},
               message);
    Publish();
  }

  void HandleMessage(Message message) {
    std::visit(Visitor{[this](Subscribe& m) { OnSubscribe(std::move(m)); },
                       [this](PeersChanged& m) {
                         peers_ = m.peers;
                         freshness_.SetPeers(std::move(m.peers));
                       },
                       [this](AnswerPull& m) { OnAnswerPull(m); },
                       [this](ChangeAccepted& m) {
                         freshness_.OnAccepted(m.revision);
                       }},
               message);
  }

  void OnStoreEvent(const follow::Event& event) {
    std::visit(Visitor{[this](const follow::Replaced& replaced) {
                         register_.Replace(replaced.listing);
                         OnStoreAnswered(replaced.sent);
                       },
                       [this](const follow::Changed& changed) {
                         register_.Apply(changed.changes);
                         OnStoreAnswered(changed.sent);
                       },
                       [this](const follow::Failed& /*failed*/) {
                         freshness_.OnStoreFailed();
                       }},
               event);
  }

  void OnStoreAnswered(MonotonicTime sent) {
    freshness_.OnStoreConfirmed(sent);
    lonely_rounds_ = 0;
  }

  // --- Peers

  void AskPeers() {
    if (freshness_.in_contact(Now())) return;
    std::vector<Peer> asked;
    for (const Peer& peer : peers_) {
      if (!peer.gone) asked.push_back(peer);
    }
    std::shuffle(asked.begin(), asked.end(), random_);
    // Whoever confirmed last is the likeliest to do so again.
    std::stable_partition(asked.begin(), asked.end(), [this](const Peer& p) {
      return p.member == confirmed_by_;
    });
    const bool few = lonely_rounds_ == 0 || !confirmed_by_.empty();
    const int64_t bound = few ? options_.peer_fanout : options_.max_witnesses;
    if (static_cast<int64_t>(asked.size()) > bound) asked.resize(bound);
    for (const Peer& peer : asked) {
      Pull(peer.member, peer.address, /*content=*/false);
    }
    ++lonely_rounds_;
  }

  void Pull(const MemberId& member, const std::string& address, bool content) {
    const MonotonicTime sent = Now();
    client_.Send(
        {address,
         entry::PullConfiguration{register_.revision(), register_.digest(),
                                  content},
         content ? options_.content_timeout : options_.peer_timeout,
         mailbox_.address().Map<entry::CallResult>(
             [member, address, sent, content](entry::CallResult result) {
               return Pulled{member, address, sent, content, std::move(result)};
             })});
  }

  void OnPulled(Pulled pulled) {
    if (pulled.content) content_asked_ = false;
    const auto* failure = std::get_if<entry::Failure>(&pulled.result);
    if (failure != nullptr && failure->refused) {
      freshness_.OnPeerRefused(pulled.peer, pulled.sent);
    }
    auto* response = std::get_if<entry::Response>(&pulled.result);
    auto* answer = response == nullptr
                       ? nullptr
                       : std::get_if<entry::ConfigurationPulled>(response);
    // Another process may answer at an address that was a peer's.
    if (answer == nullptr || answer->member != pulled.peer) return;
    register_.Adopt(*answer);
    if (answer->withheld && !std::exchange(content_asked_, true)) {
      Pull(pulled.peer, pulled.address, /*content=*/true);
    }
    freshness_.OnPeerAnswered({pulled.peer, answer->configuration.revision,
                               answer->store_contact_age, answer->in_contact},
                              pulled.sent);
  }

  // A process that knows of an accepted change it does not hold neither
  // confirms what others hold nor witnesses an outage.
  void OnAnswerPull(const AnswerPull& asked) {
    const MonotonicTime now = Now();
    const bool behind = register_.revision() < freshness_.accepted();
    entry::ConfigurationPulled pulled = register_.Answer(asked.request);
    pulled.member = options_.member;
    pulled.store_contact_age =
        behind ? Duration::max() : freshness_.store_contact_age(now);
    pulled.in_contact = behind || freshness_.in_contact(now);
    if (!pulled.in_contact && contact_denied_.value_or(now) <= now) {
      contact_denied_ = now + kDenialStep;
    }
    asked.responder.Answer(std::move(pulled));
  }

  // --- Subscribers

  void OnSubscribe(Subscribe subscribe) {
    subscribers_.push_back(std::move(subscribe.subscriber));
    subscribers_.back().Send(MakeUpdate(Now()));
  }

  Update MakeUpdate(MonotonicTime now) const {
    Freshness::Decision decision = freshness_.Decide(register_.revision(), now);
    return {register_.configuration(),
            std::move(decision.verdict),
            decision.valid_until,
            freshness_.store_contact_age(now),
            register_.cursor(),
            freshness_.OthersCutUntil(now),
            contact_denied_};
  }

  // Tells subscribers what is new, and sets the time to look again.
  void Publish() {
    const MonotonicTime now = Now();
    const Update update = MakeUpdate(now);
    const bool may_start = update.MayStart(now);
    const auto* by_peer = std::get_if<ConfirmedByPeer>(&update.verdict);
    confirmed_by_ = by_peer == nullptr ? MemberId() : by_peer->peer;
    if (may_start) {
      expiry_timer_.After(std::chrono::ceil<Duration>(update.valid_until - now),
                          [this] { Publish(); });
    }
    const bool same = update.configuration == told_.configuration &&
                      update.verdict.index() == told_.verdict.index() &&
                      (!may_start || update.valid_until == told_.valid_until) &&
                      update.complete_through == told_.complete_through &&
                      update.others_cut_until == told_.others_cut_until &&
                      update.contact_denied == told_.contact_denied;
    if (same) return;
    LogChange(update);
    told_ = update;
    // Without a revision no configuration was read yet.
    if (update.configuration->revision > Revision{}) {
      archive_.Record(update.configuration);
    }
    for (const auto& subscriber : subscribers_) subscriber.Send(update);
  }

  // A line for a new configuration, and one for each change of the verdict.
  void LogChange(const Update& update) const {
    const Configuration& now = *update.configuration;
    if (update.configuration != told_.configuration) {
      LOG(INFO) << "event=configuration revision=" << now.revision.value
                << " contracts=" << now.contracts.size()
                << " keys=" << now.keys.size()
                << " queues=" << now.queues.size()
                << " services=" << now.services.size()
                << " zones=" << now.zones.size();
    }
    if (update.verdict.index() != told_.verdict.index()) {
      LOG(INFO) << "event=freshness revision=" << now.revision.value
                << " verdict=\"" << ToString(update.verdict) << "\"";
    }
  }

  const Options options_;
  const task::Address<entry::Call> client_;
  Register register_;
  Freshness freshness_;
  std::mt19937_64 random_;
  std::vector<Peer> peers_;
  int64_t lonely_rounds_ = 0;   // Of asking peers, since the last contact.
  MemberId confirmed_by_;       // In the latest verdict; empty when by none.
  bool content_asked_ = false;  // A call for records is under way.
  std::optional<MonotonicTime> contact_denied_;  // See Update.
  std::vector<task::Address<Update>> subscribers_;
  Update told_;  // The latest update sent.
  task::Timer peer_timer_;
  task::Timer expiry_timer_;
  task::Mailbox<Inner> mailbox_;
  internal::QueueArchive archive_;
  follow::Follower follower_;
};

Keeper::Keeper(task::Loop& loop, Options options,
               task::Address<store::Request> store,
               task::Address<entry::Call> peers)
    : impl_(std::make_shared<Impl>(loop, std::move(options), std::move(store),
                                   std::move(peers))) {}

Keeper::~Keeper() = default;

task::Address<Message> Keeper::address() const { return impl_->address(); }

}  // namespace azurepass::configuration
