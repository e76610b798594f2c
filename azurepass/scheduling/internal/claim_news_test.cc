// Lines about claims name the former holder's state and what was known of the
// lease.

#include "azurepass/scheduling/internal/claim_news.h"

#include <doctest/doctest.h>

#include <vector>

namespace azurepass::scheduling {
namespace {

using std::chrono::milliseconds;

const MonotonicTime kNow{std::chrono::hours(1)};
const PartitionId kPartition("p");
const MemberId kSelf("me");

MonotonicTime Ago(int ms) { return kNow - milliseconds(ms); }

membership::View ViewOf(const membership::Claim& claim) {
  membership::View view;
  view.known = true;
  view.claims[kPartition] = claim;
  return view;
}

membership::Claim ClaimOf(const char* member, const char* address,
                          std::optional<membership::Departure> departure = {}) {
  return {MemberId(member), address, Epoch{7}, 3, {}, Ago(900), departure};
}

// Without it the log does not tell a claim by the only member that was back
// from one that larger members left to a small one.
TEST_CASE("a claim's line tells which members could have claimed instead") {
  const auto member = [](const char* id, int64_t millicores, int since_ms,
                         bool leaving = false) {
    membership::Member member;
    member.record.member = MemberId(id);
    member.record.millicores = millicores;
    member.record.leaving = leaving;
    member.since = Ago(since_ms);
    return member;
  };
  membership::View view;
  CHECK(CandidatesText(view, kSelf, Duration(500), kNow) ==
        " processors=0 members=0 larger=0 larger_settled=0");
  for (const membership::Member& m :
       {member("me", 120, 900), member("alike", 120, 900),
        member("young", 500, 499), member("settled", 500, 500),
        member("leaving", 500, 900, true)}) {
    view.members[m.record.member] = m;
  }
  CHECK(CandidatesText(view, kSelf, Duration(500), kNow) ==
        " processors=120 members=5 larger=2 larger_settled=1");
}

TEST_CASE("a claim's line tells what became of the former holder") {
  struct Case {
    membership::View view;
    std::string state;
    std::string rest;
  };
  const std::vector<Case> cases = {
      {{}, "none", ""},
      {ViewOf(ClaimOf("", "")), "given_back",
       " former= former_epoch=7 claim_age_ms=900"},
      {ViewOf(ClaimOf("me", "a:1")), "former_start",
       " former=me former_epoch=7 claim_age_ms=900"},
      {ViewOf(ClaimOf("m2", "a:1")), "alive",
       " former=m2 former_epoch=7 claim_age_ms=900"},
      {ViewOf(ClaimOf("m2", "")), "never_seen",
       " former=m2 former_epoch=7 claim_age_ms=900"},
      {ViewOf(ClaimOf("m2", "", membership::Departure{Ago(40), false})),
       "key_gone",
       " former=m2 former_epoch=7 claim_age_ms=900 former_gone_ms=40"},
      {ViewOf(ClaimOf("m2", "", membership::Departure{Ago(40), true})), "left",
       " former=m2 former_epoch=7 claim_age_ms=900 former_gone_ms=40"},
  };
  for (const Case& c : cases) {
    CAPTURE(c.state);
    CHECK(FormerHolderState(c.view, kPartition, kSelf) == c.state);
    CHECK(FormerHolderText(c.view, kPartition, kSelf, kNow) ==
          " former_state=" + c.state + c.rest);
  }
}

TEST_CASE("a claim tells how long ago former renewals had ended") {
  CHECK(RenewalsText(Ago(2'500), kNow) == " renewals_ended_ms=2500");
  CHECK(RenewalsText(std::nullopt, kNow) == " renewals_ended_ms=none");
}

TEST_CASE("a claim that was not taken tells why") {
  const membership::ClaimRecord first{kPartition, MemberId("m2"), Epoch{8}};
  struct Case {
    store::WriteReply reply;
    std::string why;
    std::string text;
  };
  const std::vector<Case> cases = {
      {store::Written{4}, "no_authority", ""},
      {store::Conflict{store::Entry{"k", membership::Encode(first), 4}},
       "conflict", " holder=m2 holder_epoch=8"},
      {store::Conflict{}, "conflict", " holder=unknown"},
      {store::Conflict{store::Entry{"k", "{", 4}}, "conflict",
       " holder=unreadable"},
      {store::Error{store::ErrorCode::kOutcomeUnknown, "no answer"},
       "outcome_unknown", " message=\"no answer\""},
  };
  for (const Case& c : cases) {
    CAPTURE(c.why);
    CHECK(WhyNotTaken(c.reply) == c.why);
    CHECK(NotTakenText(c.reply) == c.text);
  }
}

TEST_CASE("a lost claim tells what was known of the lease") {
  Authority authority{Ago(12), Ago(2'512), {}, {}, {}};
  CHECK(AuthorityText(authority, kNow) ==
        " authority_left_ms=-12 renewed_age_ms=2512 last_failure=none");
  authority.timer_late = milliseconds(12);
  authority.store_contact_age = Duration(2'600);
  authority.last_failure = membership::LeaseFailed{
      {store::ErrorCode::kOutcomeUnknown, "no answer"}, Ago(1'500), Ago(500)};
  CHECK(AuthorityText(authority, kNow) ==
        " authority_left_ms=-12 renewed_age_ms=2512 timer_late_ms=12"
        " store_contact_ms=2600 last_failure=outcome_unknown"
        " failure_age_ms=500 failure_took_ms=1000 failure=\"no answer\"");
  CHECK(AuthorityText({Ago(-5), {}, {}, Duration::max(), {}}, kNow) ==
        " authority_left_ms=5 renewed_age_ms=none store_contact_ms=none"
        " last_failure=none");
}

}  // namespace
}  // namespace azurepass::scheduling
