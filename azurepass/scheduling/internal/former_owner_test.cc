// By when a former owner has stopped renewing leases of workers.

#include "azurepass/scheduling/internal/former_owner.h"

#include <doctest/doctest.h>

namespace azurepass::scheduling {
namespace {

const MonotonicTime kNow{std::chrono::hours(1)};
const PartitionId kPartition("p");
const MemberId kSelf("me");
constexpr Duration kEvidenceAge{3'000};

MonotonicTime Ago(int ms) { return kNow - Duration(ms); }

membership::Claim ClaimOf(const char* member,
                          std::optional<membership::Departure> departure = {}) {
  return {MemberId(member), "", Epoch{7}, 3, {}, Ago(900), departure};
}

// Guards against tasks on a silent worker that wait for the age of evidence
// which the former owner cannot have had, or from a claim of a process that
// replaced the former owner before (LOST).
TEST_CASE("a former owner's renewals end with its key, but for an outage") {
  const membership::Departure departure{Ago(2'500), false};
  const ContactTold calm{Ago(60'000), std::nullopt, kEvidenceAge};
  const struct {
    const char* name;
    std::optional<membership::Claim> claim;
    ContactTold told;
    std::optional<MonotonicTime> ended;
    std::optional<Epoch> first_tried{};
  } cases[] = {
      {"never claimed", std::nullopt, calm, kNow},
      {"given back", ClaimOf(""), calm, Ago(900)},
      {"claimed by this process", ClaimOf("me"), calm, kNow, Epoch{7}},
      {"claimed again by this process", ClaimOf("me"), calm, kNow, Epoch{5}},
      {"claimed by a former start", ClaimOf("me"), calm, Ago(60'000)},
      {"claimed by a former start, and tried in vain since", ClaimOf("me"),
       calm, Ago(60'000), Epoch{8}},
      {"its key was seen to go", ClaimOf("m2", departure), calm, Ago(2'500)},
      {"its key was never seen", ClaimOf("m2"), calm, kNow},
      {"this process has just started",
       ClaimOf("m2", departure),
       {Ago(1'000), std::nullopt, kEvidenceAge},
       std::nullopt},
      {"this process started a while ago",
       ClaimOf("m2", departure),
       {Ago(4'000), std::nullopt, kEvidenceAge},
       Ago(4'000) + kEvidenceAge},
      {"this process denied its contact a while ago",
       ClaimOf("m2", departure),
       {Ago(60'000), Ago(9'000), kEvidenceAge},
       Ago(2'500)},
      {"this process has just denied its contact",
       ClaimOf("m2", departure),
       {Ago(60'000), Ago(100), kEvidenceAge},
       std::nullopt},
  };
  for (const auto& c : cases) {
    CAPTURE(c.name);
    membership::View view;
    if (c.claim) view.claims[kPartition] = *c.claim;
    CHECK(RenewalsEndedBy(view, kPartition, kSelf, c.first_tried, c.told,
                          kNow) == c.ended);
  }
}

}  // namespace
}  // namespace azurepass::scheduling
