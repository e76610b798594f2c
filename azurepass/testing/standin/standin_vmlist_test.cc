// The VM list's poller against the stand-in: lag, leaving, gone, faults.

#include <doctest/doctest.h>

#include <deque>

#include "azurepass/testing/standin/fixture.h"
#include "azurepass/vmlist/vmlist.h"

namespace azurepass::testing {
namespace {

using vmlist::Snapshot;
using vmlist::Unavailable;
using vmlist::Update;

StandinOptions TwoVms(Duration lag) {
  StandinOptions options;
  options.store = false;
  options.workers = false;
  options.vmlist_lag = lag;
  for (const char* vm : {"a", "b"}) {
    options.cell.emplace_back().vm = VmId(vm);
  }
  return options;
}

// Keeps the updates of a poller for the test's thread.
class Listener {
 public:
  explicit Listener(const std::string& address)
      : mailbox_(loop_, [this](Update u) { Handle(std::move(u)); }),
        waits_(loop_,
               [this](task::Address<Update> to) {
                 wait_ = std::move(to);
                 Serve();
               }),
        poller_(loop_, {address, Duration(20), Duration(1'000)},
                mailbox_.address()) {
    loop_.Start();
  }
  ~Listener() { loop_.Stop(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  Update Next() {
    auto [to, update] = Expect<Update>();
    waits_.address().Send(to);
    const std::optional<Update> got = Await(update);
    REQUIRE(got.has_value());
    return *got;
  }
  // The next snapshot of at least this generation, as "a=live b=leaving".
  std::string NextVms(int64_t generation) {
    for (;;) {
      const Update update = Next();
      const auto* snapshot = std::get_if<Snapshot>(&update);
      if (snapshot == nullptr || snapshot->generation < generation) continue;
      std::string text;
      for (const auto& [vm, state] : snapshot->vms) {
        text += vm.value() + (state == VmState::kLive ? "=live " : "=leaving ");
      }
      return text;
    }
  }
  void NextUnavailable() {
    while (!std::holds_alternative<Unavailable>(Next())) {
    }
  }

 private:
  void Handle(Update update) {
    updates_.push_back(std::move(update));
    Serve();
  }
  void Serve() {
    if (!wait_ || updates_.empty()) return;
    Update update = std::move(updates_.front());
    updates_.pop_front();
    std::exchange(wait_, {}).Send(std::move(update));
  }

  task::Loop loop_;
  std::deque<Update> updates_;
  task::Address<Update> wait_;
  task::Mailbox<Update> mailbox_;
  task::Mailbox<task::Address<Update>> waits_;
  vmlist::Poller poller_;
};

TEST_CASE("live, leaving, gone and back") {
  StandinFixture standin(TwoVms(Duration(0)));
  const std::string& address = standin.addresses().vmlist;
  Listener listener(address);
  CHECK(listener.NextVms(1) == "a=live b=live ");
  standin.Status("POST", address, "/v1/vms?vm=b&state=leaving");
  CHECK(listener.NextVms(2) == "a=live b=leaving ");
  standin.Status("POST", standin.addresses().control,
                 "/v1/vms?vm=b&state=gone");
  CHECK(listener.NextVms(3) == "a=live ");
  standin.Status("POST", address, "/v1/vms?vm=b&state=live");
  CHECK(listener.NextVms(4) == "a=live b=live ");
  CHECK(standin.Status("POST", address, "/v1/vms?vm=b&state=x") ==
        http::kBadRequest);
}

TEST_CASE("the list lags behind") {
  StandinFixture standin(TwoVms(Duration(3'600'000)));
  const std::string& address = standin.addresses().vmlist;
  Listener listener(address);
  standin.Status("POST", address, "/v1/vms?vm=b&state=gone");
  for (int i = 0; i < 3; ++i) CHECK(listener.NextVms(1) == "a=live b=live ");
  standin.Status("POST", address, "/v1/vms?lag_ms=100");
  standin.Status("POST", address, "/v1/vms?vm=a&state=leaving");
  // The earlier change is still held back, and changes stay in order.
  CHECK(listener.NextVms(1) == "a=live b=live ");
}

TEST_CASE("each fault is reported, and the list comes back") {
  for (const char* rule :
       {R"({"fault": "unavailable"})", R"({"fault": "refuse"})",
        R"({"fault": "lose_answer"})", R"({"fault": "hang"})"}) {
    CAPTURE(rule);
    StandinFixture standin(TwoVms(Duration(0)));
    Listener listener(standin.addresses().vmlist);
    CHECK(listener.NextVms(1) == "a=live b=live ");
    standin.SetFault("vmlist", rule);
    listener.NextUnavailable();
    standin.SetFault("vmlist", R"({"fault": "none"})");
    CHECK(listener.NextVms(1) == "a=live b=live ");
  }
}

TEST_CASE("an unchanged list is not sent again") {
  StandinFixture standin(TwoVms(Duration(0)));
  const std::string& address = standin.addresses().vmlist;
  CHECK(standin.Status("GET", address, "/v1/vms?after=0") == http::kOk);
  CHECK(standin.Status("GET", address, "/v1/vms?after=1") ==
        http::kNotModified);
}

}  // namespace
}  // namespace azurepass::testing
