// Keepers on a loop with a fake store and peers that reach each other through
// a switchboard: start, change, outage, cut, compaction, return.

#include <doctest/doctest.h>

#include <random>

#include "azurepass/codec/codec.h"
#include "azurepass/configuration/configuration.h"
#include "azurepass/testing/fake_store.h"
#include "azurepass/testing/inbox.h"

namespace azurepass::configuration {
namespace {

using testing::FakeStore;
using testing::Faults;
using testing::Inbox;
using testing::SetFaults;

// Short, so that tests are quick; their ratios are those of the defaults.
Options ShortOptions(int64_t index) {
  Options options;
  options.member = MemberId("m" + std::to_string(index));
  options.max_age = Duration(600);
  options.contact_limit = Duration(400);
  options.watch_wait = Duration(100);
  options.peer_interval = Duration(100);
  options.peer_timeout = Duration(200);
  options.min_backoff = Duration(20);
  options.max_backoff = Duration(100);
  options.queue_record_delay = Duration(20);
  // A number of all 64 bits, as processes draw it.
  options.seed = std::mt19937_64(static_cast<uint64_t>(index))();
  return options;
}

// Some keepers that call each other without sockets.
class Cluster {
 public:
  explicit Cluster(int64_t size) : store_(loop_), reachable_(size, true) {
    for (int64_t i = 0; i < size; ++i) {
      inboxes_.push_back(std::make_unique<Inbox<Update>>());
      keepers_.push_back(std::make_unique<Keeper>(
          loop_, ShortOptions(i), store_.Port(i), Switchboard(i)));
      keepers_[i]->address().Send(Subscribe{inboxes_[i]->address()});
    }
    for (int64_t i = 0; i < size; ++i) SendPeers(i);
  }
  ~Cluster() { loop_.Stop(); }
  void Start() { loop_.Start(); }

  void Set(std::optional<int64_t> port, Faults faults) {
    store_.control().Send(SetFaults{port, faults});
  }
  FakeStore& store() { return store_; }
  Keeper& keeper(int64_t index) { return *keepers_[index]; }
  // Before Start only.
  void CutOff(int64_t index) { reachable_[index] = false; }

  int64_t WriteZone(const std::string& name, bool in_service) {
    const ZoneRecord zone{ZoneId(name), in_service, 0};
    Inbox<store::WriteReply> reply;
    store_.Port(-1).Send(store::Put{StoreKey(zone.zone),
                                    codec::Write(zone).dump(), std::nullopt, "",
                                    reply.address()});
    return std::get<store::Written>(reply.Take()).version;
  }
  int64_t WriteQueue(const std::string& service,
                     const std::string& name = "grade") {
    QueueRecord queue;
    queue.queue = QueueId(name);
    queue.service = ServiceId(service);
    queue.path_prefix = "/" + name + "/";
    Inbox<store::WriteReply> reply;
    store_.Port(-1).Send(store::Put{StoreKey(queue.queue),
                                    codec::Write(queue).dump(), std::nullopt,
                                    "", reply.address()});
    return std::get<store::Written>(reply.Take()).version;
  }
  store::Listing List(const std::string& prefix) {
    Inbox<store::ListReply> reply;
    store_.Port(-1).Send(store::List{prefix, prefix, 10'000, reply.address()});
    return std::get<store::Listing>(reply.Take());
  }
  // What keepers have written. The tests write the rest.
  std::vector<store::Entry> WrittenByKeepers() {
    std::vector<store::Entry> entries = List("").entries;
    std::erase_if(entries, [](const store::Entry& entry) {
      return entry.key.starts_with(kPrefix);
    });
    return entries;
  }
  // Returns whether the archive of queues has this text within 2 s.
  bool AwaitRecorded(const std::string& text) {
    for (int i = 0; i < 100; ++i) {
      for (const store::Entry& entry : WrittenByKeepers()) {
        if (entry.value.find(text) != std::string::npos) return true;
      }
      Inbox<int64_t> nothing;
      nothing.TakeWithin(Duration(20));
    }
    return false;
  }
  // Adds a keeper that has seen no configuration yet. After Start.
  void AddKeeper() {
    const auto index = static_cast<int64_t>(keepers_.size());
    inboxes_.push_back(std::make_unique<Inbox<Update>>());
    keepers_.push_back(std::make_unique<Keeper>(
        loop_, ShortOptions(index), store_.Port(index),
        task::Address<entry::Call>([](const entry::Call& call) {
          call.reply_to.Send(
              entry::Failure{entry::FailureCode::kNotSent, "cut"});
        })));
    keepers_.back()->address().Send(Subscribe{inboxes_.back()->address()});
  }
  Update AwaitFormerQueue(int64_t index) {
    return inboxes_[index]->TakeUntil([](const Update& update) {
      return !update.configuration->former_queues.empty();
    });
  }
  // Below another prefix than the configuration's.
  int64_t WriteOther() {
    Inbox<store::WriteReply> reply;
    store_.Port(-1).Send(
        store::Put{"other/key", "value", std::nullopt, "", reply.address()});
    return std::get<store::Written>(reply.Take()).version;
  }
  Update AwaitThrough(int64_t index, int64_t revision) {
    return inboxes_[index]->TakeUntil([revision](const Update& update) {
      return update.complete_through.value >= revision;
    });
  }
  template <class Expected>
  Update Await(int64_t index) {
    return inboxes_[index]->TakeUntil([](const Update& update) {
      return std::holds_alternative<Expected>(update.verdict);
    });
  }
  Update AwaitRevision(int64_t index, int64_t revision) {
    return inboxes_[index]->TakeUntil([revision](const Update& update) {
      return update.configuration->revision.value >= revision;
    });
  }

 private:
  static std::string AddressOf(int64_t index) {
    return "10.0.0." + std::to_string(index) + ":1";
  }
  // Carries calls of keeper `from`. Runs on the loop.
  task::Address<entry::Call> Switchboard(int64_t from) {
    return task::Address<entry::Call>([this, from](const entry::Call& call) {
      for (size_t to = 0; to < keepers_.size(); ++to) {
        if (AddressOf(static_cast<int64_t>(to)) != call.peer) continue;
        if (!reachable_[from] || !reachable_[to]) break;
        const auto reply = call.reply_to;
        return keepers_[to]->address().Send(
            AnswerPull{std::get<entry::PullConfiguration>(call.request),
                       entry::Responder(task::Address<entry::Response>(
                           [reply](entry::Response response) {
                             reply.Send(std::move(response));
                           }))});
      }
      call.reply_to.Send(entry::Failure{entry::FailureCode::kNotSent, "cut"});
    });
  }
  void SendPeers(int64_t to) {
    PeersChanged changed;
    for (size_t i = 0; i < keepers_.size(); ++i) {
      const auto index = static_cast<int64_t>(i);
      if (index == to) continue;
      changed.peers.push_back({MemberId("m" + std::to_string(index)),
                               AddressOf(index), /*gone=*/false});
    }
    const task::Address<PeersChanged> address = keepers_[to]->address();
    address.Send(std::move(changed));
  }

  std::vector<std::unique_ptr<Inbox<Update>>> inboxes_;
  task::Loop loop_;
  FakeStore store_;
  std::vector<std::unique_ptr<Keeper>> keepers_;
  std::vector<bool> reachable_;
};

TEST_CASE("a change reaches every keeper, each confirmed") {
  Cluster cluster(3);
  cluster.Start();
  for (int64_t i = 0; i < 3; ++i) cluster.Await<Confirmed>(i);
  const int64_t revision = cluster.WriteZone("plovdiv-a", false);
  for (int64_t i = 0; i < 3; ++i) {
    const Update update = cluster.AwaitRevision(i, revision);
    CHECK_FALSE(update.configuration->zones.at(ZoneId("plovdiv-a")).in_service);
  }
}

// Guards against a process that starts after a queue moved and takes a repeated
// submission for a new one, because it has not seen the earlier service.
TEST_CASE("a keeper that starts late recalls the queues of before") {
  Cluster cluster(2);
  cluster.Start();
  cluster.AwaitRevision(0, cluster.WriteQueue("intake"));
  REQUIRE(cluster.AwaitRecorded("intake"));
  cluster.WriteQueue("vision");
  cluster.AddKeeper();
  const Update update = cluster.AwaitFormerQueue(2);
  REQUIRE(update.configuration->former_queues.size() == 1);
  CHECK(update.configuration->former_queues[0].service == ServiceId("intake"));
}

// Guards against a start, a claim or a member's renewal that waits behind the
// archive on a narrow link: members list and watch all that is below
// "cluster/".
TEST_CASE("queues are recorded outside of what members watch") {
  Cluster cluster(2);
  cluster.Start();
  cluster.WriteQueue("intake");
  REQUIRE(cluster.AwaitRecorded("intake"));
  CHECK(cluster.List("cluster/").entries.empty());
}

// Guards against links that are filled by writes of the whole archive, which
// are too large to be answered in time and so are repeated.
TEST_CASE("a new queue is recorded without those recorded before") {
  Cluster cluster(2);
  cluster.Start();
  constexpr int kQueues = 50;  // Fewer than entries that are merged.
  for (int i = 0; i < kQueues; ++i) {
    cluster.WriteQueue("intake", "grade-" + std::to_string(i));
  }
  REQUIRE(cluster.AwaitRecorded("grade-49"));
  const int64_t revision = cluster.WriteQueue("vision", "damage");
  REQUIRE(cluster.AwaitRecorded("damage"));
  size_t bytes = 0;
  for (const store::Entry& entry : cluster.WrittenByKeepers()) {
    if (entry.version > revision) bytes += entry.value.size();
  }
  CHECK(bytes < 200);
}

// Guards against a list that grows with each new queue, and that every process
// reads whole at its start.
TEST_CASE("many configurations with a new queue leave few entries") {
  Cluster cluster(1);
  cluster.Start();
  constexpr int kQueues = 80;  // More than entries that are merged.
  for (int i = 0; i < kQueues; ++i) {
    const std::string name = "grade-" + std::to_string(i) + "-";
    cluster.WriteQueue("intake", name);
    REQUIRE(cluster.AwaitRecorded(name));
  }
  CHECK(cluster.List("queues/").entries.size() <= 65);
}

TEST_CASE("a keeper cut from the store learns from its peers") {
  Cluster cluster(3);
  cluster.Start();
  for (int64_t i = 0; i < 3; ++i) cluster.Await<Confirmed>(i);
  cluster.Set(0, {true, 0, Duration(0)});
  const int64_t revision = cluster.WriteZone("plovdiv-a", false);
  cluster.AwaitRevision(0, revision);
  CHECK(cluster.Await<ConfirmedByPeer>(0).configuration->revision.value >=
        revision);
  cluster.Set(0, {});
  cluster.Await<Confirmed>(0);
}

TEST_CASE("a keeper that is cut from all goes stale and comes back") {
  Cluster cluster(3);
  cluster.CutOff(0);
  cluster.Start();
  for (int64_t i = 0; i < 3; ++i) cluster.Await<Confirmed>(i);
  cluster.Set(0, {true, 0, Duration(0)});
  cluster.Await<Stale>(0);
  cluster.Set(0, {});
  cluster.Await<Confirmed>(0);
}

TEST_CASE("an outage for all is evident to all, and passes") {
  Cluster cluster(3);
  cluster.Start();
  for (int64_t i = 0; i < 3; ++i) cluster.Await<Confirmed>(i);
  cluster.Set(std::nullopt, {true, 0, Duration(0)});
  for (int64_t i = 0; i < 3; ++i) cluster.Await<OutageEvident>(i);
  cluster.Set(std::nullopt, {});
  const int64_t revision = cluster.WriteZone("plovdiv-a", false);
  for (int64_t i = 0; i < 3; ++i) cluster.AwaitRevision(i, revision);
}

TEST_CASE("a keeper that starts in an outage stays stale until the store is") {
  Cluster cluster(1);
  cluster.Set(std::nullopt, {true, 0, Duration(0)});
  cluster.Start();
  CHECK(cluster.Await<Stale>(0).configuration->revision == Revision{0});
  cluster.Set(std::nullopt, {});
  cluster.Await<Confirmed>(0);
}

TEST_CASE("a compacted history is read again as a whole") {
  Cluster cluster(1);
  cluster.Start();
  cluster.AwaitRevision(0, cluster.WriteZone("plovdiv-a", false));
  cluster.Set(0, {true, 0, Duration(0)});
  cluster.Await<Stale>(0);
  const int64_t revision = cluster.WriteZone("plovdiv-b", false);
  cluster.store().control().Send(testing::Compact{});
  cluster.Set(0, {});
  const Update update = cluster.AwaitRevision(0, revision);
  CHECK(update.configuration->zones.size() == 2);
}

// The load: an outage of the store for some 30 processes, of which one lacks a
// large configuration that all others hold. Guards against 30 whole
// configurations on its way to it at a time, none of which arrives in time.
TEST_CASE("records are asked for from one peer at a time") {
  constexpr int kPeers = 30;
  task::Loop loop;
  FakeStore store(loop);
  store.control().Send(SetFaults{std::nullopt, {true, 0, Duration(0)}});
  int content_open = 0;
  int most_content_open = 0;
  int content_calls = 0;
  int evidence_calls = 0;
  task::Timer answer(loop);
  Register theirs;
  theirs.Replace({{{StoreKey(ZoneId("a")),
                    codec::Write(ZoneRecord{ZoneId("a"), false, 0}).dump(), 3}},
                  Revision{7}});
  Keeper keeper(
      loop, ShortOptions(0), store.Port(0),
      task::Address<entry::Call>([&](const entry::Call& call) {
        const auto pull = std::get<entry::PullConfiguration>(call.request);
        entry::ConfigurationPulled pulled = theirs.Answer(pull);
        pulled.member = MemberId("peer-" + call.peer);
        pulled.in_contact = true;
        if (!pull.content) {
          ++evidence_calls;
          return call.reply_to.Send(entry::Response(std::move(pulled)));
        }
        ++content_calls;
        most_content_open = std::max(most_content_open, ++content_open);
        // The first one fails, as over a link that is too narrow.
        answer.After(Duration(150), [&, call, pulled] {
          --content_open;
          if (content_calls == 1) {
            return call.reply_to.Send(
                entry::Failure{entry::FailureCode::kNotSent, "timeout"});
          }
          call.reply_to.Send(entry::Response(pulled));
        });
      }));
  Inbox<Update> updates;
  keeper.address().Send(Subscribe{updates.address()});
  PeersChanged peers;
  for (int i = 0; i < kPeers; ++i) {
    const std::string name = std::to_string(i);
    peers.peers.push_back({MemberId("peer-" + name), name, /*gone=*/false});
  }
  const task::Address<PeersChanged> address = keeper.address();
  address.Send(std::move(peers));
  loop.Start();
  const Update update = updates.TakeUntil([](const Update& u) {
    return std::holds_alternative<ConfirmedByPeer>(u.verdict);
  });
  loop.Stop();
  CHECK(update.configuration->zones.size() == 1);
  CHECK(evidence_calls > 3);
  CHECK(content_calls == 2);
  CHECK(most_content_open == 1);
}

TEST_CASE("a copy is complete through revisions without a change of it") {
  Cluster cluster(1);
  cluster.Start();
  const int64_t zone = cluster.WriteZone("plovdiv-a", false);
  cluster.AwaitRevision(0, zone);
  const int64_t other = cluster.WriteOther();
  const Update update = cluster.AwaitThrough(0, other);
  CHECK(update.configuration->revision.value < other);
}

TEST_CASE("a keeper behind a change it knows of is no witness") {
  Cluster cluster(1);
  cluster.Start();
  cluster.Await<Confirmed>(0);
  cluster.keeper(0).address().Send(ChangeAccepted{Revision{1'000'000}});
  cluster.Await<Stale>(0);
  Inbox<entry::Response> answer;
  cluster.keeper(0).address().Send(AnswerPull{
      entry::PullConfiguration{}, entry::Responder(answer.address())});
  const auto pulled = std::get<entry::ConfigurationPulled>(answer.Take());
  CHECK(pulled.in_contact);
  CHECK(pulled.store_contact_age == Duration::max());
}

}  // namespace
}  // namespace azurepass::configuration
