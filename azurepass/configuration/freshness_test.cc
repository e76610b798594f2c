// The rule of freshness, case by case, on a clock that the test holds.

#include <doctest/doctest.h>

#include "azurepass/configuration/configuration.h"

namespace azurepass::configuration {
namespace {

constexpr Duration kContactLimit{2'000};

MonotonicTime At(int64_t millis) {
  return MonotonicTime(std::chrono::hours(1)) + Duration(millis);
}

Peer PeerOf(const std::string& name, bool gone = false) {
  return {MemberId(name), "10.0.0.1:1", gone};
}

PeerAnswer AnswerOf(const std::string& name, int64_t revision, Duration age,
                    bool in_contact) {
  return {MemberId(name), Revision{revision}, age, in_contact};
}

template <class Expected>
bool Is(const Freshness& freshness, int64_t held, int64_t at) {
  return std::holds_alternative<Expected>(
      freshness.Decide(Revision{held}, At(at)).verdict);
}

TEST_CASE("the store confirms from the send of the request") {
  Freshness freshness(kMaxAge, kContactLimit);
  CHECK(Is<Stale>(freshness, 0, 0));
  CHECK(freshness.store_contact_age(At(0)) == Duration::max());
  freshness.OnStoreConfirmed(At(100));
  CHECK(Is<Confirmed>(freshness, 0, 3'099));
  CHECK(Is<Stale>(freshness, 0, 3'100));
  CHECK(freshness.Decide(Revision{}, At(200)).valid_until == At(3'100));
  freshness.OnStoreConfirmed(At(50));  // A late answer to an older request.
  CHECK(Is<Confirmed>(freshness, 0, 3'099));
}

TEST_CASE("contact ends with a failure or with silence") {
  Freshness freshness(kMaxAge, kContactLimit);
  freshness.OnStoreConfirmed(At(0));
  CHECK(freshness.in_contact(At(1'999)));
  CHECK_FALSE(freshness.in_contact(At(2'000)));
  freshness.OnStoreFailed();
  CHECK_FALSE(freshness.in_contact(At(1)));
  CHECK(Is<Confirmed>(freshness, 0, 2'999));
  freshness.OnStoreConfirmed(At(10));
  CHECK(freshness.in_contact(At(11)));
}

TEST_CASE("a peer's confirmation is as old as its contact and our question") {
  Freshness freshness(kMaxAge, kContactLimit);
  freshness.OnPeerAnswered(AnswerOf("a", 5, Duration(1'000), true), At(2'000));
  CHECK(Is<ConfirmedByPeer>(freshness, 5, 3'999));
  CHECK(Is<Stale>(freshness, 5, 4'000));
  CHECK(Is<ConfirmedByPeer>(freshness, 6, 3'999));
  CHECK(Is<Stale>(freshness, 4, 3'999));  // The peer holds a newer one.
  freshness.OnPeerAnswered(AnswerOf("a", 5, kMaxAge, true), At(2'500));
  CHECK(Is<Stale>(freshness, 5, 2'600));
}

TEST_CASE("a change known to be accepted outdates every confirmation") {
  Freshness freshness(kMaxAge, kContactLimit);
  freshness.OnStoreConfirmed(At(0));
  freshness.OnAccepted(Revision{9});
  CHECK(Is<Stale>(freshness, 8, 1));
  CHECK(Is<Confirmed>(freshness, 9, 1));
}

TEST_CASE("an outage is evident when every other member says so") {
  const auto without = [](const char* name, int64_t revision = 5) {
    return AnswerOf(name, revision, Duration::max(), false);
  };
  const auto with_peers = [](std::vector<Peer> peers) {
    Freshness freshness(kMaxAge, kContactLimit);
    freshness.SetPeers(std::move(peers));
    return freshness;
  };
  SUBCASE("each answered") {
    Freshness freshness = with_peers({PeerOf("a"), PeerOf("b")});
    freshness.OnPeerAnswered(without("a"), At(0));
    CHECK(Is<Stale>(freshness, 5, 10));
    freshness.OnPeerAnswered(without("b"), At(500));
    CHECK(Is<OutageEvident>(freshness, 5, 2'999));
    CHECK(Is<Stale>(freshness, 5, 3'000));  // The answer of a is too old.
    CHECK(Is<Stale>(freshness, 4, 600));    // A peer holds a newer one.
  }
  SUBCASE("evidence is there before the own confirmation has aged") {
    Freshness freshness = with_peers({PeerOf("a"), PeerOf("b")});
    freshness.OnStoreConfirmed(At(0));
    freshness.OnPeerAnswered(without("a"), At(500));
    CHECK_FALSE(freshness.OthersCutUntil(At(700)).has_value());
    freshness.OnPeerAnswered(without("b"), At(600));
    CHECK(Is<Confirmed>(freshness, 5, 700));
    CHECK(freshness.OthersCutUntil(At(700)) == At(500) + kMaxAge);
    freshness.OnPeerAnswered(AnswerOf("a", 5, kMaxAge * 2, true), At(800));
    CHECK_FALSE(freshness.OthersCutUntil(At(900)).has_value());
  }
  SUBCASE("one says that it has contact, one is new") {
    Freshness freshness = with_peers({PeerOf("a")});
    freshness.OnPeerAnswered(without("a"), At(0));
    CHECK(Is<OutageEvident>(freshness, 5, 10));
    freshness.OnPeerAnswered(AnswerOf("a", 5, kMaxAge * 2, true), At(20));
    CHECK(Is<Stale>(freshness, 5, 30));
    freshness.OnPeerAnswered(without("a"), At(40));
    freshness.SetPeers({PeerOf("a"), PeerOf("c")});
    CHECK(Is<Stale>(freshness, 5, 50));
  }
  SUBCASE("one is gone after it had said that it had no contact") {
    Freshness freshness = with_peers({PeerOf("a"), PeerOf("b", true)});
    freshness.OnStoreConfirmed(At(0));
    freshness.OnPeerAnswered(without("b"), At(500));
    freshness.OnPeerAnswered(without("a"), At(9'000));
    CHECK(Is<OutageEvident>(freshness, 5, 9'010));
  }
  SUBCASE("one is gone that had contact, or had said so before we had any") {
    Freshness freshness = with_peers({PeerOf("a"), PeerOf("b", true)});
    freshness.OnPeerAnswered(without("a"), At(9'000));
    CHECK(Is<Stale>(freshness, 5, 9'010));
    freshness.OnPeerAnswered(without("b"), At(500));
    freshness.OnStoreConfirmed(At(600));
    CHECK(Is<Stale>(freshness, 5, 9'010));
  }
  SUBCASE("one ended after it had said that it had no contact") {
    Freshness freshness = with_peers({PeerOf("a"), PeerOf("b")});
    freshness.OnStoreConfirmed(At(0));
    freshness.OnPeerAnswered(without("b"), At(500));
    freshness.OnPeerAnswered(without("a"), At(9'000));
    CHECK(Is<Stale>(freshness, 5, 9'010));
    freshness.OnPeerRefused(MemberId("b"), At(8'000));
    CHECK(Is<OutageEvident>(freshness, 5, 10'999));
    CHECK(Is<Stale>(freshness, 5, 11'000));  // It may be back by now.
    freshness.OnPeerAnswered(AnswerOf("b", 5, kMaxAge * 2, true), At(9'500));
    CHECK(Is<Stale>(freshness, 5, 9'600));
  }
  SUBCASE("one ended that had said nothing since we had contact") {
    Freshness freshness = with_peers({PeerOf("a"), PeerOf("b")});
    freshness.OnPeerAnswered(without("b"), At(500));
    freshness.OnStoreConfirmed(At(600));
    freshness.OnPeerAnswered(without("a"), At(9'000));
    freshness.OnPeerRefused(MemberId("b"), At(9'000));
    CHECK(Is<Stale>(freshness, 5, 9'010));
  }
  SUBCASE("no list, an empty one, or one of which all are gone") {
    Freshness unknown(kMaxAge, kContactLimit);
    unknown.OnPeerAnswered(without("a"), At(0));
    CHECK(Is<Stale>(unknown, 5, 1));
    CHECK(Is<Stale>(with_peers({}), 5, 1));
    CHECK(Is<Stale>(with_peers({PeerOf("a", true)}), 5, 1));
  }
}

TEST_CASE("each verdict says whether it permits starts, and why") {
  const struct {
    Verdict verdict;
    bool may_start;
    std::string text;
  } cases[] = {
      {Confirmed{Duration(5)}, true, "confirmed by the store 5 ms ago"},
      {ConfirmedByPeer{Duration(5), MemberId("a")}, true,
       "confirmed by a 5 ms ago"},
      {OutageEvident{Duration(5), 6}, true,
       "outage evident by 6 members, the oldest answer 5 ms old"},
      {Stale{"alone"}, false, "stale: alone"},
  };
  for (const auto& c : cases) {
    CHECK(MayStart(c.verdict) == c.may_start);
    CHECK(ToString(c.verdict) == c.text);
    const Update update{nullptr,     c.verdict,  At(10),
                        Duration(0), Revision{}, std::nullopt};
    CHECK(update.MayStart(At(9)) == c.may_start);
    CHECK_FALSE(update.MayStart(At(10)));  // Also in a paused process.
  }
}

}  // namespace
}  // namespace azurepass::configuration
