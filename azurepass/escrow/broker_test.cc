// Two brokers that share a book through a store that loses answers and goes
// down.

#include <doctest/doctest.h>

#include <string>

#include "azurepass/escrow/escrow.h"
#include "azurepass/testing/fake_store.h"
#include "azurepass/testing/inbox.h"

namespace azurepass::escrow {
namespace {

using testing::FakeStore;
using testing::Faults;
using testing::Inbox;
using testing::SetFaults;

constexpr Dimension kSlots = Dimension::kSlots;
const TeamId kTeam("rilapak");

Resources Slots(int64_t slots) { return Resources(slots, 0, 0, 0, 0); }

Options QuickOptions() {
  Options options;
  options.raise_interval = Duration(5);
  options.give_back_interval = Duration(20);
  options.refresh_interval = Duration(50);
  return options;
}

// An owner as the broker sees it: obeys each grant, and has in use all that it
// may use of what it wants.
class FakeOwner {
 public:
  FakeOwner(task::Loop& loop, FakeStore& store, int64_t port,
            const std::string& partition)
      : broker_(loop, QuickOptions(), store.Port(port)),
        partition_(partition) {}

  void Adopt() {
    broker_.address().Send(escrow::Adopt{partition_, grants_.address()});
  }
  void Want(int64_t slots, int64_t limit) {
    wanted_ = slots;
    limit_ = kUnlimited;
    limit_[kSlots] = limit;
    Report();
  }
  // Takes what has come by now.
  void Settle(Duration quiet) {
    while (auto granted = grants_.TakeWithin(quiet)) {
      obeyed_ = granted->sequence;
      allowance_ = granted->allowances.at(kTeam);
      Report();
    }
  }
  int64_t Allowed() const { return BoundOf(allowance_, committed_)[kSlots]; }
  int64_t committed() const { return committed_[kSlots]; }

 private:
  void Report() {
    const Resources bound = BoundOf(allowance_, committed_);
    committed_ = Slots(std::min(wanted_, bound[kSlots]));
    Demand demand;
    demand.need = {committed_, Slots(wanted_)};
    demand.bound = BoundOf(allowance_, committed_);
    demand.limit = limit_;
    broker_.address().Send(Demands{partition_, obeyed_, {{kTeam, demand}}});
  }

  Inbox<Granted> grants_;
  Broker broker_;
  const PartitionId partition_;
  int64_t wanted_ = 0;
  int64_t obeyed_ = 0;
  Resources limit_ = kUnlimited;
  Resources committed_;
  Allowance allowance_;
};

struct Fixture {
  task::Loop loop;
  FakeStore store{loop};
  FakeOwner first{loop, store, 1, "p-0"};
  FakeOwner second{loop, store, 2, "p-1"};

  Fixture() {
    first.Adopt();
    second.Adopt();
    loop.Start();
  }
  // Brokers must end before the loop does, and nothing may run meanwhile.
  ~Fixture() { loop.Stop(); }

  // Both owners obey what they are granted until the predicate holds of what
  // they may use; checks the limit at each step.
  template <class Holds>
  bool Reach(int64_t limit, Holds holds) {
    constexpr int kRounds = 1'000;
    for (int round = 0; round < kRounds; ++round) {
      if (holds(first.Allowed(), second.Allowed())) return true;
      first.Settle(Duration(5));
      second.Settle(Duration(5));
      CHECK(first.committed() + second.committed() <= limit);
    }
    return false;
  }
};

TEST_CASE("what one partition gives back another takes, within the limit") {
  Fixture f;
  f.first.Want(10, 10);
  CHECK(f.Reach(10, [](int64_t first, int64_t) { return first == 10; }));
  f.second.Want(4, 10);
  f.first.Want(0, 10);
  CHECK(f.Reach(10, [](int64_t first, int64_t second) {
    return first == 0 && second >= 4;
  }));
}

TEST_CASE("a book written before there were turns is read as it stands") {
  Fixture f;
  Inbox<store::WriteReply> written;
  const std::string zero =
      R"("connections":0,"millicores":0,"memory_mib":0,"accelerators":0})";
  f.store.Port(3).Send(
      store::Put{BookKey(kTeam),
                 R"({"lines":[{"partition":"p-0","granted":{"slots":7,)" +
                     zero + R"(,"wanted":{"slots":7,)" + zero + "}]}",
                 store::kAbsent, "", written.address()});
  CHECK(std::holds_alternative<store::Written>(written.Take()));
  f.second.Want(10, 10);
  CHECK(f.Reach(10, [](int64_t, int64_t second) { return second == 3; }));
}

TEST_CASE("lost answers of the store leave no grant counted twice") {
  Fixture f;
  f.store.control().Send(SetFaults{{}, Faults{.lost_answers = 6}});
  f.first.Want(8, 10);
  f.second.Want(8, 10);
  // Neither gives back what is in use, so that the split may be uneven.
  CHECK(f.Reach(
      10, [](int64_t first, int64_t second) { return first + second == 10; }));
}

TEST_CASE("in an outage each keeps what it was granted, a limit is obeyed") {
  Fixture f;
  f.first.Want(6, 10);
  CHECK(f.Reach(10, [](int64_t first, int64_t) { return first >= 6; }));
  f.store.control().Send(SetFaults{{}, Faults{.outage = true}});
  f.first.Settle(Duration(150));
  CHECK(f.first.Allowed() >= 6);
  f.first.Want(6, 3);
  CHECK(f.Reach(6, [](int64_t first, int64_t) { return first <= 3; }));
}

}  // namespace
}  // namespace azurepass::escrow
