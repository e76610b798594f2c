// The pure parts of membership: the table of heartbeats, the choice of peers,
// rounds of gossip on a clock that the test holds, and the assignment.

#include "azurepass/membership/membership.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <set>

namespace azurepass::membership {
namespace {

MonotonicTime At(int64_t millis) {
  return MonotonicTime(std::chrono::hours(1)) + Duration(millis);
}

MemberId Member_(int64_t index) {
  return MemberId("scheduler-" + std::to_string(index));
}

entry::MemberNews NewsOf(int64_t index, int64_t incarnation,
                         int64_t heartbeat) {
  entry::MemberNews news;
  news.member = Member_(index);
  news.address = "10.0.0.1:70";
  news.incarnation = incarnation;
  news.heartbeat = heartbeat;
  return news;
}

TEST_CASE("records read back from the store's text") {
  const MemberRecord member{Member_(1),  "10.0.0.1:7", 12,  Role::kFrontend,
                            ZoneId("a"), VmId("vm-1"), true};
  CHECK(DecodeMember(Encode(member)) == member);
  CHECK(StoreKey(member.member) == "cluster/members/scheduler-1");
  const ClaimRecord claim{PartitionId("vision"), Member_(1), Epoch{4}};
  CHECK(DecodeClaim(Encode(claim)) == claim);
  CHECK(StoreKey(claim.partition) == "cluster/claims/vision");
  for (const char* text : {"", "{}", "[1]", R"({"partition":1})"}) {
    CHECK_FALSE(DecodeMember(text).has_value());
    CHECK_FALSE(DecodeClaim(text).has_value());
  }
}

TEST_CASE("news is merged by incarnation and heartbeat") {
  const struct {
    int64_t incarnation;
    int64_t heartbeat;
    bool newer;
  } cases[] = {{5, 10, false},
               {5, 9, false},
               {4, 99, false},
               {5, 11, true},
               {6, 1, true}};
  for (const auto& c : cases) {
    Table table(NewsOf(0, 1, 1));
    table.Merge({NewsOf(1, 5, 10)}, At(0));
    table.Merge({NewsOf(1, c.incarnation, c.heartbeat)}, At(100));
    CHECK(table.HeardAt(Member_(1)) == At(c.newer ? 100 : 0));
  }
  Table table(NewsOf(0, 1, 1));
  table.Merge({NewsOf(0, 9, 9), entry::MemberNews()}, At(0));
  CHECK(table.members().empty());
}

TEST_CASE("what is passed on is short, aged and bounded") {
  Table table(NewsOf(0, 1, 1));
  for (int64_t i = 1; i <= 20; ++i) {
    entry::MemberNews news = NewsOf(i, 1, 1);
    news.store_contact_age = i == 1 ? Duration::max() : Duration(50);
    news.owned = {PartitionId("p")};
    table.Merge({news}, At(0));
  }
  const auto sent = table.NewsToSend(8, 7, At(300));
  REQUIRE(sent.size() == 8);
  CHECK(sent[0].member == Member_(0));
  CHECK(sent[0].address == "10.0.0.1:70");
  std::set<MemberId> seen;
  for (const entry::MemberNews& news : sent) {
    CHECK(seen.insert(news.member).second);
    if (news.member == Member_(0)) continue;
    CHECK(news.address.empty());
    CHECK(news.owned.empty());
    const bool never = news.member == Member_(1);
    CHECK(news.store_contact_age == (never ? Duration::max() : Duration(350)));
  }
  // A short form does not wipe out what the full one told.
  entry::MemberNews brief = NewsOf(3, 1, 2);
  brief.address.clear();
  table.Merge({brief}, At(400));
  CHECK(table.Find(Member_(3))->address == "10.0.0.1:70");
  CHECK(table.Find(Member_(3))->owned.size() == 1);
}

TEST_CASE("peers are chosen without repetition and all in the long run") {
  std::vector<MemberId> all;
  for (int64_t i = 0; i < 10; ++i) all.push_back(Member_(i));
  std::set<MemberId> ever;
  for (uint64_t random = 0; random < 100; ++random) {
    const auto chosen = ChooseGossipPeers(all, 3, random);
    CHECK(std::set<MemberId>(chosen.begin(), chosen.end()).size() == 3);
    ever.insert(chosen.begin(), chosen.end());
  }
  CHECK(ever.size() == 10);
  CHECK(ChooseGossipPeers({Member_(1)}, 3, 1).size() == 1);
  CHECK(ChooseGossipPeers({}, 3, 1).empty());
}

// The longest that any live member was silent to any other, in `rounds` rounds
// of one second with a fan-out of 3 and the default bound, after a warm-up of
// as many. A member beyond `live` has been dead since the warm-up.
Duration LongestSilence(int64_t members, int64_t rounds) {
  const Options options;
  std::mt19937_64 random(11);
  std::vector<Table> tables;
  std::vector<MemberId> names;
  for (int64_t i = 0; i < members; ++i) {
    tables.emplace_back(NewsOf(i, 1, 1));
    names.push_back(Member_(i));
  }
  Duration longest{0};
  for (int64_t round = 0; round < 2 * rounds; ++round) {
    const MonotonicTime now = At(round * 1'000);
    for (int64_t from = 0; from < members; ++from) {
      tables[from].Beat(Revision(), Duration(0), {});
      for (const MemberId& peer :
           ChooseGossipPeers(names, options.gossip_fanout, random())) {
        const auto to = std::find(names.begin(), names.end(), peer);
        Table& asked = tables[to - names.begin()];
        asked.Merge(tables[from].NewsToSend(options.news_bound, random(), now),
                    now);
        tables[from].Merge(asked.NewsToSend(1, random(), now), now);
      }
    }
    if (round < rounds) continue;
    for (int64_t i = 0; i < members * members; ++i) {
      if (i / members == i % members) continue;
      const auto heard = tables[i / members].HeardAt(Member_(i % members));
      const auto silence = now - heard.value_or(At(0));
      longest =
          std::max(longest, std::chrono::duration_cast<Duration>(silence));
    }
  }
  return longest;
}

TEST_CASE("live members are not suspected, at any size") {
  for (const int64_t members : {4, 8, 16, 32, 64}) {
    const Duration longest = LongestSilence(members, 100);
    MESSAGE(
        members << " members: longest silence " << longest.count() << " ms of "
                << SuspicionAfter(Options().suspect_after, members).count());
    CHECK(longest < SuspicionAfter(Options().suspect_after, members));
  }
}

std::vector<PartitionId> Partitions(int64_t count) {
  std::vector<PartitionId> partitions;
  for (int64_t i = 0; i < count; ++i) {
    partitions.emplace_back("partition-" + std::to_string(i));
  }
  return partitions;
}

Processors Members(int64_t count) {
  Processors members;
  for (int64_t i = 0; i < count; ++i) members[Member_(i)] = kWholeProcessor;
  return members;
}

TEST_CASE("the assignment is whole, balanced within one and agreed on") {
  const bool ok = rc::check([] {
    auto partitions = Partitions(*rc::gen::inRange(0, 60));
    auto members = Members(*rc::gen::inRange(1, 20));
    const auto holders = Assign(partitions, members);
    RC_ASSERT(holders.size() == partitions.size());
    std::map<MemberId, size_t> loads;
    for (const auto& [partition, member] : holders) ++loads[member];
    const size_t low = partitions.size() / members.size();
    for (const auto& [member, processors] : members) {
      RC_ASSERT(loads[member] >= low);
      RC_ASSERT(loads[member] <= low + 1);
    }
    std::reverse(partitions.begin(), partitions.end());
    RC_ASSERT(Assign(partitions, members) == holders);
  });
  CHECK(ok);
  CHECK(Assign(Partitions(3), {}).empty());
}

TEST_CASE("little moves when a member leaves") {
  int64_t moved = 0;
  int64_t kept = 0;
  for (int64_t gone = 0; gone < 7; ++gone) {
    Processors rest = Members(7);
    rest.erase(Member_(gone));
    const auto before = Assign(Partitions(25), Members(7));
    const auto after = Assign(Partitions(25), rest);
    for (const auto& [partition, member] : before) {
      if (member == Member_(gone)) continue;
      ++(after.at(partition) == member ? kept : moved);
    }
  }
  MESSAGE("of others' partitions, " << moved << " moved and " << kept
                                    << " stayed");
  CHECK(moved * 4 < kept);
}

// Guards against a service's owner on the smallest VM while large ones idle.
TEST_CASE("partitions go by processors, and stay with a holder that lives") {
  const bool ok = rc::check([] {
    const auto partitions = Partitions(*rc::gen::inRange(1, 40));
    Processors members;
    const int64_t count = *rc::gen::inRange(1, 20);
    for (int64_t i = 0; i < count; ++i) {
      members[Member_(i)] = *rc::gen::element(120, 250, 500);
    }
    const auto holders = Assign(partitions, members);
    RC_ASSERT(holders.size() == partitions.size());
    std::map<MemberId, int64_t> loads;
    for (const auto& [partition, member] : holders) ++loads[member];
    for (const auto& [small, little] : members) {
      for (const auto& [large, much] : members) {
        if (4 * little > much) continue;
        RC_ASSERT(loads[small] <= loads[large]);
        // The small one has one only if another of the large would be more.
        RC_ASSERT(loads[small] * much <= (loads[large] + 1) * little);
      }
    }
    // Who leaves gives its own away, and nobody else's moves.
    const MemberId gone = Member_(*rc::gen::inRange<int64_t>(0, count));
    Processors rest = members;
    rest.erase(gone);
    const auto after = Assign(partitions, rest, holders);
    RC_ASSERT(after.size() == (rest.empty() ? 0 : partitions.size()));
    for (const auto& [partition, member] : after) {
      const MemberId& before = holders.at(partition);
      RC_ASSERT(before == gone || before == member);
    }
    // Who joins takes none that is held.
    RC_ASSERT(Assign(partitions, members, after) == after || rest.empty());
  });
  CHECK(ok);
}

TEST_CASE("a member that goes alone is replaced at once") {
  constexpr Duration kTtl{2'500};
  const MonotonicTime start{};
  const MemberId member("m");
  Departures departures(kTtl);
  departures.OnTrouble(start);
  const MonotonicTime gone = start + kTtl + Duration(1);
  departures.OnGone(member, gone);
  CHECK(departures.FreeAt(member) <= gone);
}

TEST_CASE("members that go after trouble with the store have time to return") {
  constexpr Duration kTtl{2'500};
  const MonotonicTime start{};
  const MemberId member("m");
  Departures departures(kTtl);
  departures.OnTrouble(start);
  const MonotonicTime gone = start + Duration(1'000);
  departures.OnGone(member, gone);
  departures.OnGone(member, gone + Duration(100));  // Told twice.
  CHECK(departures.FreeAt(member) == gone + kTtl);
  departures.OnBack(member);
  CHECK(departures.FreeAt(member) <= gone);
}

// Guards against a small VM that claims everything because it is back first
// after an outage of the store, and can't carry it (LOST).
TEST_CASE("a claim is left to members with far more room") {
  constexpr Duration kTtl{2'400};
  constexpr int64_t kSmall = 120;
  constexpr int64_t kLarge = 500;
  const auto at = [](int64_t millis) { return At(millis); };
  const Candidate small{0, kSmall};
  const MonotonicTime gone = at(0);
  const MonotonicTime after_return = gone + kTtl;
  const struct {
    const char* what;
    MonotonicTime free_at;
    Candidate self;
    std::vector<Candidate> others;
    int64_t until_ms;
  } cases[] = {
      {"nobody else", after_return, small, {}, 2'400},
      {"small ones", after_return, small, {{0, kSmall, true, at(500)}}, 2'400},
      {"a large one that may claim by then",
       after_return,
       small,
       {{0, kLarge, true, at(-5'000)}},
       2'400},
      {"a large one that has just come",
       after_return,
       small,
       {{0, kLarge, true, at(1'000)}},
       4'000},
      {"a large one that has come late",
       after_return,
       small,
       {{0, kLarge, true, at(2'300)}},
       4'200},
      {"a large one that may return",
       after_return,
       small,
       {{0, kLarge, false, at(0)}},
       3'600},
      {"one alike that may return",
       after_return,
       {2, kLarge},
       {{0, kLarge, false, at(0)}},
       2'400},
      {"a large one that went long before",
       after_return,
       small,
       {{0, kLarge, false, at(-9'000)}},
       2'400},
      {"the holder alone is gone", gone, small, {{0, kLarge, false, at(0)}}, 0},
      {"a large one that holds one",
       after_return,
       small,
       {{1, kLarge, true, at(1'000)}},
       4'000},
      {"a large one that is full",
       after_return,
       small,
       {{2, kLarge, true, at(1'000)}},
       2'400},
      {"a large one among large ones",
       after_return,
       {0, kLarge},
       {{0, kLarge, true, at(1'000)}},
       2'400},
      {"a small one that holds much",
       after_return,
       {3, kSmall},
       {{2, kLarge, true, at(1'000)}},
       4'000},
      {"a large one that holds much",
       after_return,
       {2, kLarge},
       {{0, kLarge, true, at(1'000)}},
       4'000}};
  for (const auto& c : cases) {
    CAPTURE(c.what);
    CHECK(YieldUntil(c.free_at, gone, kTtl, c.self, c.others) ==
          at(c.until_ms));
  }
}

std::map<PartitionId, MemberId> HeldBy(const std::vector<int64_t>& holders) {
  std::map<PartitionId, MemberId> held;
  for (size_t i = 0; i < holders.size(); ++i) {
    held[PartitionId("p" + std::to_string(i))] = Member_(holders[i]);
  }
  return held;
}

const Processors kTwoSmallOneLarge = {
    {Member_(0), 120}, {Member_(1), 120}, {Member_(2), 500}};

// Guards against partitions that stay with a VM which has several times the
// load that another one would have, and against moves between others.
TEST_CASE("a partition moves to a larger member with far more room") {
  const struct {
    std::vector<int64_t> holders;
    std::string moved;
    int64_t from;
  } cases[] = {{{0}, "p0", 0},        {{2, 0}, "", 0},
               {{1, 0, 0}, "p1", 0},  {{0, 1}, "p0", 0},
               {{2, 2, 2, 2}, "", 0}, {{2, 1, 1, 1}, "p1", 1},
               {{7, 2, 2, 0}, "", 0}, {{}, "", 0}};
  for (const auto& c : cases) {
    const auto next = NextRelocation(kTwoSmallOneLarge, HeldBy(c.holders));
    REQUIRE(next.has_value() == !c.moved.empty());
    if (next) {
      CHECK(*next == Relocation{PartitionId(c.moved), Member_(c.from)});
    }
  }
  const Processors alike = {{Member_(0), 500}, {Member_(1), 500}};
  CHECK_FALSE(NextRelocation(alike, HeldBy({0, 0, 0, 0, 0})));
}

// Guards against a small VM that claims what it has lost again and again.
TEST_CASE("lost partitions are left to larger members with room for them") {
  const struct {
    std::vector<int64_t> holders;
    std::set<PartitionId> left;
  } cases[] = {{{0}, {PartitionId("p0")}},
               {{2, 0}, {PartitionId("p1")}},
               {{2, 2, 0}, {}},
               {{0, 0, 0}, {PartitionId("p0"), PartitionId("p1")}},
               {{1, 2}, {}}};
  for (const auto& c : cases) {
    CHECK(PartitionsToLeave(Member_(0), kTwoSmallOneLarge, HeldBy(c.holders)) ==
          c.left);
  }
}
}  // namespace
}  // namespace azurepass::membership
