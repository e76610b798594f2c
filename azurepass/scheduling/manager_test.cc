// The manager's answers to other processes and its claims, without a network.

#include <doctest/doctest.h>

#include <set>

#include "azurepass/scheduling/scheduling.h"
#include "azurepass/testing/fake_store.h"
#include "azurepass/testing/inbox.h"

namespace azurepass::scheduling {
namespace {

// Asks a manager that knows of no partition; returns the code of its refusal.
RefusalCode CodeOfUnknown(bool partitions_from_layouts) {
  task::Loop loop;
  Options options;
  options.member = MemberId("n1");
  options.partitions_from_layouts = partitions_from_layouts;
  Manager manager(loop, options, Peers{});
  std::optional<RefusalCode> code;
  const entry::Responder responder(
      task::Address<entry::Response>([&](entry::Response response) {
        code = std::get<Refusal>(response).code;
        loop.Quit();
      }));
  manager.address().Send(entry::Incoming{
      partition::GetWorkflow{PartitionId("p"), TeamId("t"), RequestId("r")},
      Duration(1'000), responder});
  loop.Run();
  REQUIRE(code.has_value());
  return *code;
}

TEST_CASE(
    "an unknown partition may be another process's, unless settings name all") {
  CHECK(CodeOfUnknown(true) == RefusalCode::kNotOwner);
  CHECK(CodeOfUnknown(false) == RefusalCode::kNotFound);
}

const PartitionId kPartition("p");
const MemberId kSelf("n1");
constexpr Duration kLease{300};

// A manager with a store, told by hand what the membership agent would tell.
class OneMember {
 public:
  OneMember() : store_(loop_) {
    Options options;
    options.member = kSelf;
    options.sticky = true;
    options.cell.partitions.push_back({kPartition, ServiceId("s"), {}});
    Peers peers;
    peers.store = store_.Port(1);
    manager_ = std::make_unique<Manager>(loop_, options, peers);
    loop_.Start();
  }
  ~OneMember() { loop_.Stop(); }

  // Tells of the partition's claim as the store has it.
  void TellView(const std::string& lease, MonotonicTime valid_until,
                std::set<PartitionId> leave = {}) {
    membership::View view;
    view.known = true;
    view.members[kSelf].record.member = kSelf;
    view.wanted = {kPartition};
    view.leave = std::move(leave);
    if (const auto entry = ReadClaim()) {
      const auto claim = membership::DecodeClaim(entry->value);
      REQUIRE(claim.has_value());
      view.claims[kPartition] = {claim->member, "n1:1", claim->epoch,
                                 entry->version};
    }
    view.lease = lease;
    view.lease_valid_until = valid_until;
    view.lease_ok = BootClock::now() < valid_until;
    manager_->address().Send(view);
  }

  // Of the claim; empty if nobody has it.
  MemberId Holder() {
    const auto entry = ReadClaim();
    if (!entry) return {};
    return membership::DecodeClaim(entry->value).value().member;
  }

  int64_t ClaimedEpoch() {
    const auto entry = ReadClaim();
    if (!entry) return 0;
    return membership::DecodeClaim(entry->value).value().epoch.value;
  }

  void AwaitEpoch(int64_t epoch) {
    const MonotonicTime limit = BootClock::now() + testing::kLong;
    while (ClaimedEpoch() != epoch) {
      REQUIRE(BootClock::now() < limit);
      Pass(Duration(10));
    }
  }

  bool Owns() {
    testing::Inbox<entry::Response> responses;
    manager_->address().Send(entry::Incoming{
        partition::GetWorkflow{kPartition, TeamId("t"), RequestId("r")},
        Duration(100), entry::Responder(responses.address())});
    const auto response = responses.TakeWithin(testing::kLong);
    REQUIRE(response.has_value());
    const auto* refusal = std::get_if<Refusal>(&*response);
    return refusal == nullptr || refusal->code != RefusalCode::kNotOwner;
  }

  static void Pass(Duration time) {
    testing::Inbox<int> nothing;
    nothing.TakeWithin(time);
  }

 private:
  std::optional<store::Entry> ReadClaim() {
    testing::Inbox<store::GetReply> replies;
    store::Get get;
    get.key = membership::StoreKey(kPartition);
    get.reply_to = replies.address();
    store_.Port(9).Send(get);
    return std::get<store::Value>(replies.Take()).entry;
  }

  task::Loop loop_;
  testing::FakeStore store_;
  std::unique_ptr<Manager> manager_;
};

// Each late answer to a renewal cost all of a member's partitions a takeover
// by the member itself; with a slow store there was no end of them (LOST).
TEST_CASE("a lease that is renewed late costs no epoch") {
  OneMember member;
  member.TellView("lease-1", BootClock::now() + kLease);
  member.AwaitEpoch(1);
  member.TellView("lease-1", BootClock::now() + kLease);
  CHECK(member.Owns());
  OneMember::Pass(2 * kLease);
  CHECK_FALSE(member.Owns());
  member.TellView("lease-1", BootClock::now() + testing::kLong);
  CHECK(member.Owns());
  OneMember::Pass(2 * kLease);
  CHECK(member.ClaimedEpoch() == 1);
}

TEST_CASE("under another lease a partition is claimed anew") {
  OneMember member;
  member.TellView("lease-1", BootClock::now() + kLease);
  member.AwaitEpoch(1);
  OneMember::Pass(2 * kLease);
  member.TellView("lease-2", BootClock::now() + testing::kLong);
  member.AwaitEpoch(2);
}

// A small VM that had lost its lease claimed what it had held at once, and
// lost it again, epoch after epoch (LOST).
TEST_CASE("a lost claim that another member has far more room for is left") {
  OneMember member;
  member.TellView("lease-1", BootClock::now() + kLease);
  member.AwaitEpoch(1);
  OneMember::Pass(2 * kLease);
  member.TellView("lease-2", BootClock::now() + testing::kLong, {kPartition});
  const MonotonicTime limit = BootClock::now() + testing::kLong;
  while (!member.Holder().value().empty()) {
    REQUIRE(BootClock::now() < limit);
    OneMember::Pass(Duration(10));
  }
  CHECK(member.ClaimedEpoch() == 1);
}

}  // namespace
}  // namespace azurepass::scheduling
