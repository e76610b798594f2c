// One request at a time: pages of a listing, then watches.

#include "azurepass/follow/follow.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

namespace azurepass::follow {
namespace {

// Between a watch whose history is gone and the listing that replaces it, so
// that a store which keeps no history is not asked without a pause.
constexpr Duration kRelistPause{10};

MonotonicTime Now() { return BootClock::now(); }

struct PageRead {
  store::ListReply reply;
};
struct Watched {
  store::WatchReply reply;
};
using Message = std::variant<PageRead, Watched>;

}  // namespace

class Follower::Impl {
 public:
  Impl(task::Loop& loop, Options options, task::Address<store::Request> store,
       task::Address<Event> listener)
      : options_(std::move(options)),
        store_(std::move(store)),
        listener_(std::move(listener)),
        random_(options_.seed),
        backoff_(options_.min_backoff),
        timer_(loop),
        mailbox_(loop, [this](Message m) { Handle(std::move(m)); }) {
    AskAfter(Duration(0));
  }

 private:
  void Handle(Message message) {
    std::visit(Visitor{[this](PageRead& m) { OnPage(m.reply); },
                       [this](Watched& m) { OnWatched(m.reply); }},
               message);
  }

  void AskAfter(Duration delay) {
    timer_.After(delay, [this] { Ask(); });
  }

  void Ask() {
    sent_ = Now();
    if (listed_) return Watch();
    listing_ = {};
    ReadPage("");
  }

  void ReadPage(std::string from) {
    store_.Send(store::List{
        options_.prefix, std::move(from), options_.page_entries,
        mailbox_.address().Map<store::ListReply>([](store::ListReply reply) {
          return PageRead{std::move(reply)};
        })});
  }

  void Watch() {
    store_.Send(store::Watch{
        options_.prefix, cursor_, options_.watch_wait,
        mailbox_.address().Map<store::WatchReply>([](store::WatchReply reply) {
          return Watched{std::move(reply)};
        })});
  }

  void OnPage(store::ListReply& reply) {
    std::visit(Visitor{[this](store::Listing& listing) { TakePage(listing); },
                       [this](const store::Error& error) { OnError(error); }},
               reply);
  }

  void TakePage(store::Listing& page) {
    if (listing_.entries.empty()) listing_.revision = page.revision;
    const bool last = store::IsLastPage(page, options_.page_entries);
    std::move(page.entries.begin(), page.entries.end(),
              std::back_inserter(listing_.entries));
    if (!last) return ReadPage(store::KeyAfter(listing_.entries.back().key));
    listed_ = true;
    cursor_ = listing_.revision;
    backoff_ = options_.min_backoff;
    listener_.Send(Replaced{std::exchange(listing_, {}), sent_});
    Ask();
  }

  void OnWatched(store::WatchReply& reply) {
    std::visit(
        Visitor{[this](store::Changes& changes) { TakeChanges(changes); },
                [this](const store::Error& error) { OnError(error); }},
        reply);
  }

  void TakeChanges(store::Changes& changes) {
    cursor_ = std::max(cursor_, changes.revision);
    backoff_ = options_.min_backoff;
    const Duration pause =
        changes.changes.empty() ? RestOfWait() : RestOf(options_.min_interval);
    listener_.Send(Changed{std::move(changes), sent_});
    AskAfter(pause);
  }

  // A store that does not hold watches must not make this spin.
  Duration RestOfWait() const { return RestOf(options_.watch_wait); }
  // What is left of a time that began with the latest request.
  Duration RestOf(Duration whole) const {
    const auto taken = std::chrono::ceil<Duration>(Now() - sent_);
    return std::max(Duration(0), whole - taken);
  }

  void OnError(const store::Error& error) {
    // The store answered; only the history is gone.
    if (error.code == store::ErrorCode::kCompacted && listed_) {
      listed_ = false;
      return AskAfter(kRelistPause);
    }
    std::uniform_int_distribution<int64_t> spread(backoff_.count() / 2,
                                                  backoff_.count());
    AskAfter(Duration(spread(random_)));
    backoff_ = std::min(2 * backoff_, options_.max_backoff);
    listener_.Send(Failed{error});
  }

  const Options options_;
  const task::Address<store::Request> store_;
  const task::Address<Event> listener_;
  std::mt19937_64 random_;
  Duration backoff_;
  bool listed_ = false;     // Else the next request is a listing.
  store::Listing listing_;  // Pages read so far.
  Revision cursor_;         // All up to here was reported, once listed_.
  MonotonicTime sent_;      // Of the request, or its first page.
  task::Timer timer_;
  task::Mailbox<Message> mailbox_;
};

Follower::Follower(task::Loop& loop, Options options,
                   task::Address<store::Request> store,
                   task::Address<Event> listener)
    : impl_(std::make_shared<Impl>(loop, std::move(options), std::move(store),
                                   std::move(listener))) {}

Follower::~Follower() = default;

}  // namespace azurepass::follow
