// Agents on a loop with a fake store and a switchboard instead of sockets: who
// is a member, who should hold what, the lease, a cut, leaving.

#include <doctest/doctest.h>

#include "azurepass/membership/membership.h"
#include "azurepass/testing/fake_store.h"
#include "azurepass/testing/inbox.h"

namespace azurepass::membership {
namespace {

using testing::FakeStore;
using testing::Inbox;
using testing::SetFaults;

constexpr Duration kLease{400};

Options ShortOptions(int64_t index, Duration lease = kLease) {
  Options options;
  options.lease_ttl = lease;
  options.watch_wait = Duration(100);
  options.gossip_interval = Duration(50);
  options.suspect_after = Duration(1'000);
  options.min_backoff = Duration(10);
  options.max_backoff = Duration(50);
  options.seed = static_cast<uint64_t>(index) + 1;
  return options;
}

MemberRecord RecordOf(int64_t index) {
  const std::string number = std::to_string(index);
  return {MemberId("m" + number),
          "10.0.0." + number + ":1",
          1,
          Role::kScheduler,
          ZoneId("a"),
          VmId("vm-" + number)};
}

class Cluster {
 public:
  explicit Cluster(int64_t size, Duration lease = kLease) : store_(loop_) {
    std::vector<PartitionId> partitions;
    for (int64_t i = 0; i < 2 * size; ++i) {
      partitions.emplace_back("p" + std::to_string(i));
    }
    for (int64_t i = 0; i < size; ++i) {
      inboxes_.push_back(std::make_unique<Inbox<View>>());
      agents_.push_back(std::make_unique<Agent>(loop_, ShortOptions(i, lease),
                                                RecordOf(i), partitions,
                                                store_.Port(i), Switchboard()));
      agents_[i]->address().Send(Subscribe{inboxes_[i]->address()});
    }
    loop_.Start();
  }
  ~Cluster() { loop_.Stop(); }

  FakeStore& store() { return store_; }
  Agent& agent(int64_t index) { return *agents_[index]; }
  void SetOutage(int64_t port, bool outage) {
    store_.control().Send(SetFaults{port, {outage, 0, Duration(0)}});
  }
  template <class Wanted>
  View Await(int64_t index, Wanted wanted) {
    return inboxes_[index]->TakeUntil(wanted);
  }
  View AwaitMembers(int64_t index, size_t members, size_t partitions) {
    return Await(index, [=](const View& view) {
      return view.known && view.members.size() == members &&
             view.wanted.size() == partitions;
    });
  }

 private:
  task::Address<entry::Call> Switchboard() {
    return task::Address<entry::Call>([this](const entry::Call& call) {
      for (size_t to = 0; to < agents_.size(); ++to) {
        const MemberRecord record = RecordOf(static_cast<int64_t>(to));
        if (record.address != call.peer) continue;
        const auto reply = call.reply_to;
        agents_[to]->address().Send(
            GossipReceived{std::get<entry::Gossip>(call.request),
                           entry::Responder(task::Address<entry::Response>(
                               [reply](entry::Response response) {
                                 reply.Send(std::move(response));
                               }))});
      }
    });
  }

  std::vector<std::unique_ptr<Inbox<View>>> inboxes_;
  task::Loop loop_;
  FakeStore store_;
  std::vector<std::unique_ptr<Agent>> agents_;
};

TEST_CASE("members find each other and share the partitions") {
  Cluster cluster(3);
  for (int64_t i = 0; i < 3; ++i) {
    const View view = cluster.AwaitMembers(i, 3, 2);
    CHECK(view.lease_ok);
    CHECK(view.members.at(MemberId("m0")).record == RecordOf(0));
  }
}

TEST_CASE("what a member tells of itself reaches the others") {
  Cluster cluster(3);
  cluster.agent(0).address().Send(
      SelfChanged{Revision{77}, Duration(5), {PartitionId("p0")}});
  for (int64_t i = 1; i < 3; ++i) {
    const View view = cluster.Await(i, [](const View& seen) {
      auto found = seen.members.find(MemberId("m0"));
      return found != seen.members.end() && found->second.news &&
             found->second.news->revision == Revision{77};
    });
    CHECK_FALSE(view.members.at(MemberId("m0")).suspected);
  }
}

TEST_CASE("a member without the store loses its lease and gets it back") {
  Cluster cluster(2);
  const View before = cluster.AwaitMembers(0, 2, 2);
  CHECK(before.lease_ok);
  cluster.AwaitMembers(1, 2, 2);
  cluster.SetOutage(0, true);
  const View lost =
      cluster.Await(0, [](const View& view) { return !view.lease_ok; });
  CHECK(lost.lease_valid_until <= BootClock::now());
  cluster.AwaitMembers(1, 1, 4);  // The other one wants all.
  cluster.SetOutage(0, false);
  cluster.Await(0, [](const View& view) { return view.lease_ok; });
  cluster.AwaitMembers(1, 2, 2);
}

TEST_CASE("a lost answer to a renewal costs no lease") {
  Cluster cluster(1);
  cluster.AwaitMembers(0, 1, 2);
  cluster.store().control().Send(SetFaults{0, {false, 1, Duration(0)}});
  MonotonicTime last;
  for (int i = 0; i < 4; ++i) {
    const View view = cluster.Await(0, [&](const View& seen) {
      CHECK(seen.lease_ok);
      return seen.lease_valid_until > last;
    });
    last = view.lease_valid_until;
  }
}

// The lease stood in the store all the time; the owner gave its partitions up
// and claimed them anew in the next epoch, every few seconds (LOST).
TEST_CASE("a slow store costs no lease") {
  constexpr Duration kLongLease{1'500};
  constexpr Duration kAnswerTime{600};
  Cluster cluster(1, kLongLease);
  cluster.AwaitMembers(0, 1, 2);
  cluster.store().control().Send(SetFaults{0, {false, 0, kAnswerTime}});
  MonotonicTime last;
  for (int i = 0; i < 5; ++i) {
    const View view = cluster.Await(0, [&](const View& seen) {
      CHECK(seen.lease_ok);
      return seen.lease_valid_until > last;
    });
    last = view.lease_valid_until;
  }
}

// A link to the store on which the first grant and the first write get lost.
class SilentAtFirst {
 public:
  explicit SilentAtFirst(task::Address<store::Request> store)
      : store_(std::move(store)) {}

  task::Address<store::Request> address() {
    return task::Address<store::Request>([this](store::Request request) {
      if (!IsLost(request)) store_.Send(std::move(request));
    });
  }

 private:
  bool IsLost(const store::Request& request) {
    return std::visit(
        Visitor{[this](const store::GrantLease&) { return ++grants_ == 1; },
                [this](const store::Put&) { return ++writes_ == 1; },
                [](const auto&) { return false; }},
        request);
  }

  const task::Address<store::Request> store_;
  int grants_ = 0;
  int writes_ = 0;
};

// The client's timeout is nearly as long as a lease, so that a member whose
// grant went unanswered was away for two seconds more.
TEST_CASE("a grant and a key that go unanswered are asked for again") {
  Inbox<View> views;
  task::Loop loop;
  FakeStore store(loop);
  SilentAtFirst link(store.Port(0));
  Agent agent(loop, ShortOptions(0), RecordOf(0), {}, link.address(), {});
  agent.address().Send(Subscribe{views.address()});
  loop.Start();
  views.TakeUntil([](const View& view) {
    return view.lease_ok && view.members.size() == 1;
  });
  loop.Stop();
}

// A link to the store on which every other watch is cut.
class CutWatches {
 public:
  explicit CutWatches(task::Address<store::Request> store)
      : store_(std::move(store)) {}

  task::Address<store::Request> address() {
    return task::Address<store::Request>([this](store::Request request) {
      const auto* watch = std::get_if<store::Watch>(&request);
      if (watch == nullptr || ++watches_ % 2 == 1) {
        return store_.Send(std::move(request));
      }
      watch->reply_to.Send(store::Error{});
    });
  }

 private:
  const task::Address<store::Request> store_;
  int watches_ = 0;
};

// Guards against a cut watch that counts as trouble with the store, so that the
// successor of a holder that is gone waits for a lease (LOST).
TEST_CASE("a cut watch does not delay a takeover") {
  Inbox<View> views;
  task::Loop loop;
  FakeStore store(loop);
  CutWatches link(store.Port(0));
  Agent agent(loop, ShortOptions(0), RecordOf(0), {PartitionId("p0")},
              link.address(), {});
  agent.address().Send(Subscribe{views.address()});
  loop.Start();
  const task::Address<store::Request> other = store.Port(1);
  const MemberRecord holder = RecordOf(1);
  const ClaimRecord claim{PartitionId("p0"), holder.member, Epoch{1}};
  Inbox<store::WriteReply> written;
  const auto put = [&](const std::string& key, const std::string& value) {
    other.Send(store::Put{key, value, std::nullopt, "", written.address()});
    REQUIRE(std::holds_alternative<store::Written>(written.Take()));
  };
  put(StoreKey(holder.member), Encode(holder));
  put(StoreKey(claim.partition), Encode(claim));
  views.TakeUntil([](const View& view) {
    return view.members.size() == 2 && view.claims.size() == 1;
  });
  // The trouble that counts from this member's start is over.
  Inbox<int> nothing;
  nothing.TakeWithin(2 * kLease);
  other.Send(store::Delete{StoreKey(holder.member), {}, written.address()});
  const View view = views.TakeUntil(
      [](const View& seen) { return seen.members.size() == 1; });
  CHECK(view.claims.at(claim.partition).free_at <= BootClock::now());
  loop.Stop();
}

TEST_CASE("an expired lease is replaced by a new one") {
  Cluster cluster(1);
  cluster.AwaitMembers(0, 1, 2);
  cluster.store().control().Send(testing::ExpireLeases{});
  cluster.Await(0, [](const View& view) { return !view.lease_ok; });
  cluster.AwaitMembers(0, 1, 2);
}

TEST_CASE("a leaving member wants nothing, then is gone") {
  Cluster cluster(2);
  for (int64_t i = 0; i < 2; ++i) cluster.AwaitMembers(i, 2, 2);
  cluster.agent(0).address().Send(Drain{});
  cluster.AwaitMembers(0, 2, 0);
  CHECK(
      cluster.AwaitMembers(1, 2, 4).members.at(MemberId("m0")).record.leaving);
  Inbox<Left> left;
  cluster.agent(0).address().Send(Leave{left.address()});
  left.Take();
  cluster.AwaitMembers(1, 1, 4);
}

TEST_CASE("claims are shown with their holder, as long as it is there") {
  Cluster cluster(2);
  for (int64_t i = 0; i < 2; ++i) cluster.AwaitMembers(i, 2, 2);
  const MonotonicTime before = BootClock::now();
  const ClaimRecord claim{PartitionId("p0"), MemberId("m0"), Epoch{3}};
  cluster.store().Port(9).Send(store::Put{
      StoreKey(claim.partition), Encode(claim), store::kAbsent, "", {}});
  const View held = cluster.Await(
      1, [](const View& view) { return view.claims.size() == 1; });
  CHECK(held.claims.at(claim.partition).member == MemberId("m0"));
  CHECK(held.claims.at(claim.partition).epoch == Epoch{3});
  CHECK(held.claims.at(claim.partition).address == "10.0.0.0:1");
  CHECK(held.claims.at(claim.partition).version > 0);
  CHECK_FALSE(held.claims.at(claim.partition).departure);
  // Guards against a claim of unknown age: its next owner would count former
  // owners' last renewals from its own claim on.
  CHECK(held.claims.at(claim.partition).since >= before);
  CHECK(held.claims.at(claim.partition).since <= BootClock::now());
  cluster.agent(0).address().Send(Leave{});
  const View gone = cluster.Await(1, [&](const View& view) {
    return view.claims.at(claim.partition).address.empty();
  });
  const Claim& left = gone.claims.at(claim.partition);
  CHECK(left.since == held.claims.at(claim.partition).since);
  REQUIRE(left.departure);
  CHECK(left.departure->at > left.since);
  CHECK_FALSE(left.departure->leaving);
}

TEST_CASE("a claim's holder that had said it would leave is known to have") {
  Cluster cluster(2);
  for (int64_t i = 0; i < 2; ++i) cluster.AwaitMembers(i, 2, 2);
  const ClaimRecord claim{PartitionId("p0"), MemberId("m0"), Epoch{3}};
  cluster.store().Port(9).Send(store::Put{
      StoreKey(claim.partition), Encode(claim), store::kAbsent, "", {}});
  cluster.agent(0).address().Send(Drain{});
  cluster.Await(1, [](const View& view) {
    return view.claims.size() == 1 &&
           view.members.at(MemberId("m0")).record.leaving;
  });
  cluster.agent(0).address().Send(Leave{});
  const View gone = cluster.Await(1, [&](const View& view) {
    return view.claims.at(claim.partition).address.empty();
  });
  REQUIRE(gone.claims.at(claim.partition).departure);
  CHECK(gone.claims.at(claim.partition).departure->leaving);
}

TEST_CASE("a failed renewal is told to who asks, with the store's error") {
  Cluster cluster(1);
  const View before = cluster.AwaitMembers(0, 1, 2);
  Inbox<LeaseFailed> failures;
  cluster.agent(0).address().Send(Subscribe{{}, failures.address()});
  cluster.SetOutage(0, true);
  const LeaseFailed failed = failures.Take();
  CHECK(failed.error.code == store::ErrorCode::kUnavailable);
  CHECK(failed.sent <= failed.answered);
  const View lost =
      cluster.Await(0, [](const View& view) { return !view.lease_ok; });
  CHECK(lost.lease_renewed >= before.lease_renewed);
  CHECK(lost.lease_renewed + Duration(400) <= BootClock::now());
}

TEST_CASE("a member that is silent for long is suspected") {
  Cluster cluster(2);
  cluster.AwaitMembers(0, 2, 2);
  // A member key without a process behind it.
  MemberRecord ghost = RecordOf(7);
  cluster.store().Port(9).Send(
      store::Put{StoreKey(ghost.member), Encode(ghost), std::nullopt, "", {}});
  const View view = cluster.Await(0, [&](const View& seen) {
    auto found = seen.members.find(ghost.member);
    return found != seen.members.end() && found->second.suspected;
  });
  CHECK_FALSE(view.members.at(MemberId("m1")).suspected);
}

}  // namespace
}  // namespace azurepass::membership
