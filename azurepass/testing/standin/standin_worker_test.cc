// The endpoint client against stand-in workers: orders, events, epochs, leases
// and each fault.

#include <doctest/doctest.h>

#include <deque>
#include <memory>
#include <set>

#include "azurepass/endpoint/endpoint.h"
#include "azurepass/testing/standin/fixture.h"

namespace azurepass::testing {
namespace {

using endpoint::SessionOpened;
using endpoint::Update;

const VmId kVm("vm-1");

WorkerSpec SpecOf(const VmId& vm) {
  WorkerSpec spec;
  spec.vm = vm;
  spec.zone = ZoneId("z");
  spec.rack = RackId("r");
  spec.service = ServiceId("s");
  spec.address = "127.0.0.1:0";
  spec.capacity = Resources(8, 64, 32'000, 65'536, 0);
  return spec;
}

StandinOptions OneWorker() {
  StandinOptions options;
  options.store = false;
  options.vmlist = false;
  options.cell = {SpecOf(kVm)};
  return options;
}

// A short lease, for tests that wait for it to lapse.
endpoint::Options QuickOptions() {
  endpoint::Options options;
  options.lease = Duration(5'000);
  options.lease_margin = Duration(200);
  options.hold = Duration(200);
  options.request_timeout = Duration(1'000);
  options.retry_delay = Duration(20);
  options.retry_delay_max = Duration(100);
  return options;
}

endpoint::Options PatientOptions() {
  endpoint::Options options = QuickOptions();
  options.lease = Duration(60'000);
  options.request_timeout = Duration(10'000);
  return options;
}

AttemptId Attempt(int index, int attempt = 1) {
  return {{JobId("p.1"), index}, attempt};
}

StartTask Start(int index, Duration run_time = Duration(0), int attempt = 1) {
  StartTask start;
  start.attempt = Attempt(index, attempt);
  start.team = TeamId("t");
  start.size = Resources(1, 1, 1'000, 1'024, 0);
  start.run_time = run_time;
  return start;
}

// An owner: a client and the updates that it got, in order.
class Owner {
 public:
  explicit Owner(const std::string& worker_address,
                 const endpoint::Options& options = PatientOptions())
      : address_(worker_address),
        client_(loop_, options),
        mailbox_(loop_, [this](Update u) { Handle(std::move(u)); }),
        waits_(loop_, [this](Wait wait) {
          wait_ = std::move(wait);
          Serve();
        }) {
    loop_.Start();
  }
  ~Owner() { loop_.Stop(); }
  Owner(const Owner&) = delete;
  Owner& operator=(const Owner&) = delete;

  void Open(int64_t epoch) {
    WorkerSpec spec = SpecOf(kVm);
    spec.address = address_;
    Send(endpoint::Open{spec, Epoch{epoch}, mailbox_.address()});
  }
  void Send(endpoint::Request request) {
    client_.address().Send(std::move(request));
  }
  void Order(const std::vector<azurepass::Order>& orders) {
    Send(endpoint::Send{kVm, orders});
  }

  // The next update of this type; those before it are dropped.
  template <class T>
  T Next() {
    for (;;) {
      auto [to, update] = Expect<Update>();
      waits_.address().Send(Wait{to});
      std::optional<Update> got = Await(update);
      REQUIRE(got.has_value());
      if (auto* wanted = std::get_if<T>(&*got)) return std::move(*wanted);
    }
  }
  // "0:started 0:succeeded ..." of the next `count` events, by task index.
  std::string NextEvents(size_t count) {
    std::string text;
    while (events_.size() < count) {
      for (WorkerEvent& e : Next<endpoint::Events>().events) {
        events_.push_back(std::move(e));
      }
    }
    for (size_t i = 0; i < count; ++i) {
      const WorkerEvent& event = events_.front();
      text += std::to_string(event.attempt.task.index) + ":" +
              NameOf(event.kind) + " ";
      events_.pop_front();
    }
    return text;
  }

 private:
  struct Wait {
    task::Address<Update> to;
  };

  static std::string NameOf(WorkerEventKind kind) {
    static const char* const names[] = {"started", "succeeded", "failed",
                                        "stopped", "checkpointed"};
    return names[static_cast<int>(kind)];
  }
  // Records every event at once, as an owner without a journal would.
  void Handle(Update update) {
    if (const auto* events = std::get_if<endpoint::Events>(&update);
        events != nullptr && !events->events.empty()) {
      const WorkerEvent& last = events->events.back();
      Send(endpoint::Acknowledge{kVm, last.number, last.life});
    }
    updates_.push_back(std::move(update));
    Serve();
  }
  void Serve() {
    if (!wait_ || updates_.empty()) return;
    const Wait wait = *std::exchange(wait_, {});
    Update update = std::move(updates_.front());
    updates_.pop_front();
    wait.to.Send(std::move(update));
  }

  std::string address_;
  task::Loop loop_;
  std::deque<Update> updates_;
  std::optional<Wait> wait_;
  std::deque<WorkerEvent> events_;  // Of the test's thread.
  endpoint::Client client_;
  task::Mailbox<Update> mailbox_;
  task::Mailbox<Wait> waits_;
};

struct Fixture {
  StandinFixture standin{OneWorker()};
  std::string address = standin.addresses().workers.at(kVm);

  void SetFault(const std::string& rule) {
    standin.SetFault(kVm.value(), rule);
  }
  codec::Json History() { return standin.GetJson(address, "/v1/history"); }
  size_t Starts() { return History()["attempts"].size(); }
};

TEST_CASE("a task starts, succeeds and is told of in order") {
  Fixture f;
  Owner owner(f.address);
  owner.Open(1);
  CHECK(owner.Next<SessionOpened>().running.empty());
  owner.Order({Start(0, Duration(50))});
  CHECK(owner.NextEvents(2) == "0:started 0:succeeded ");
  const auto attempt = f.History()["attempts"][0];
  CHECK(attempt["outcome"] == "succeeded");
  CHECK(attempt["end_ms"].get<int64_t>() - attempt["start_ms"].get<int64_t>() >=
        50);
}

TEST_CASE("stop, checkpoint, throttle, and orders that come twice") {
  Fixture f;
  Owner owner(f.address);
  owner.Open(1);
  owner.Next<SessionOpened>();
  owner.Order({Start(0), Start(1), Start(0)});
  CHECK(owner.NextEvents(2) == "0:started 1:started ");
  owner.Order({StopTask{Attempt(0), StopKind::kStop},
               ThrottleTask{Attempt(1), 500},
               StopTask{Attempt(1), StopKind::kCheckpoint}});
  CHECK(owner.NextEvents(2) == "0:stopped 1:checkpointed ");
  // What ended is never run again; a stop before its start wins.
  owner.Order({Start(0), Start(1), StopTask{Attempt(2), StopKind::kStop},
               Start(2), Start(3)});
  CHECK(owner.NextEvents(2) == "2:stopped 3:started ");
  CHECK(f.Starts() == 3);
}

TEST_CASE("starts beyond capacity or beside another attempt are violations") {
  Fixture f;
  Owner owner(f.address);
  owner.Open(1);
  owner.Next<SessionOpened>();
  StartTask large = Start(0);
  large.size = Resources(9, 1, 1, 1, 0);
  owner.Order({large, Start(1), Start(1, Duration(0), 2)});
  CHECK(owner.NextEvents(3) == "0:failed 1:started 1:failed ");
  const auto history = f.History();
  CHECK(history["violations"].size() == 2);
  CHECK(history["refused"][0]["reason"] == "over capacity: slots");
  CHECK(f.Starts() == 1);
}

TEST_CASE("a lost answer or request repeats the orders without running twice") {
  for (const char* rule : {R"({"fault": "lose_answer", "count": 3})",
                           R"({"fault": "lose_request", "count": 3})",
                           R"({"fault": "unavailable", "count": 3})"}) {
    CAPTURE(rule);
    Fixture f;
    Owner owner(f.address, QuickOptions());
    owner.Open(1);
    owner.Next<SessionOpened>();
    f.SetFault(rule);
    for (int i = 0; i < 4; ++i) owner.Order({Start(i, Duration(10))});
    std::set<std::string> events;
    for (int i = 0; i < 8; ++i) events.insert(owner.NextEvents(1));
    CHECK(events.size() == 8);
    CHECK(f.Starts() == 4);
  }
}

TEST_CASE(
    "a higher epoch fences the lower and learns what ran and what ended") {
  Fixture f;
  Owner first(f.address);
  first.Open(1);
  first.Next<SessionOpened>();
  first.Order({Start(0, Duration(10)), Start(1)});
  CHECK(first.NextEvents(3) == "0:started 1:started 0:succeeded ");
  Owner second(f.address);
  second.Open(2);
  // Acknowledged by the first owner, yet told again, before the list.
  CHECK(second.NextEvents(3) == "0:started 1:started 0:succeeded ");
  CHECK(second.Next<SessionOpened>().running ==
        std::vector<AttemptId>{Attempt(1)});
  CHECK(first.Next<endpoint::Fenced>().theirs == Epoch{2});
  first.Order({Start(2)});
  second.Order({Start(0), StopTask{Attempt(1), StopKind::kStop}});
  CHECK(second.NextEvents(1) == "1:stopped ");
  CHECK(f.Starts() == 2);
  Owner late(f.address);
  late.Open(1);
  CHECK(late.Next<endpoint::Fenced>().theirs == Epoch{2});
}

TEST_CASE("a worker that fails all, and one that fails no more") {
  Fixture f;
  Owner owner(f.address);
  owner.Open(1);
  owner.Next<SessionOpened>();
  f.SetFault(R"({"fault": "fail_tasks"})");
  owner.Order({Start(0)});
  CHECK(owner.NextEvents(2) == "0:started 0:failed ");
  f.SetFault(R"({"fault": "none"})");
  owner.Order({Start(1)});
  CHECK(owner.NextEvents(1) == "1:started ");
}

// Sleeps on a loop of its own.
void WaitUntil(MonotonicTime time) {
  task::Loop loop;
  task::Timer timer(loop);
  timer.After(std::chrono::ceil<Duration>(time - BootClock::now()),
              [&loop] { loop.Quit(); });
  loop.Run();
}

// A worker that is cut off while it runs task 0.
struct CutOff {
  Fixture f;
  Owner owner{f.address, QuickOptions()};
  MonotonicTime lease_until;

  void Begin() {
    owner.Open(1);
    owner.Next<SessionOpened>();
    owner.Order({Start(0)});
    CHECK(owner.NextEvents(1) == "0:started ");
  }
  void CheckReturn() {
    f.SetFault(R"({"fault": "none"})");
    CHECK(owner.NextEvents(1) == "0:stopped ");
    CHECK(owner.Next<endpoint::Reachable>().running.empty());
    const int64_t end = f.History()["attempts"][0]["end_ms"];
    CHECK(end <=
          std::chrono::floor<Duration>(lease_until.time_since_epoch()).count());
    owner.Order({Start(1)});
    CHECK(owner.NextEvents(1) == "1:started ");
  }
};

TEST_CASE("no answer: unreachable, stopped by the announced time, back again") {
  // The slow one takes up old exchanges when the lease has long lapsed.
  const char* const rules[] = {
      R"({"fault": "hang"})",        R"({"fault": "lose_request"})",
      R"({"fault": "lose_answer"})", R"({"fault": "refuse"})",
      R"({"fault": "unavailable"})", R"({"fault": "slow", "delay_ms": 4000})"};
  std::vector<std::unique_ptr<CutOff>> cases;
  for (const char* rule : rules) {
    CAPTURE(rule);
    cases.push_back(std::make_unique<CutOff>());
    cases.back()->Begin();
    cases.back()->f.SetFault(rule);
  }
  for (auto& c : cases) {
    c->lease_until = c->owner.Next<endpoint::Unreachable>().lease_until;
  }
  for (size_t i = 0; i < cases.size(); ++i) {
    CAPTURE(rules[i]);
    WaitUntil(cases[i]->lease_until);
    cases[i]->CheckReturn();
  }
}

TEST_CASE("a lease lives on while it is renewed") {
  Fixture f;
  endpoint::Options options = PatientOptions();
  options.lease = Duration(3'000);
  options.request_timeout = Duration(1'000);
  Owner owner(f.address, options);
  owner.Open(1);
  owner.Next<SessionOpened>();
  owner.Order({Start(0, Duration(6'000))});  // Twice the lease.
  CHECK(owner.NextEvents(2) == "0:started 0:succeeded ");
}

TEST_CASE("without permission to own nothing is sent and the lease lapses") {
  Fixture f;
  Owner owner(f.address, QuickOptions());
  owner.Open(1);
  owner.Next<SessionOpened>();
  owner.Order({Start(0)});
  CHECK(owner.NextEvents(1) == "0:started ");
  owner.Send(endpoint::Authorize{BootClock::now()});
  owner.Order({Start(1)});
  // Only a later permission lets the client ask again.
  WaitUntil(BootClock::now() + QuickOptions().lease);
  CHECK(f.History()["attempts"][0]["outcome"] == "stopped");
  CHECK(f.Starts() == 1);
  owner.Send(endpoint::Authorize{BootClock::now() + std::chrono::hours(1)});
  // The start has waited longer than it is valid: it is never sent.
  CHECK(owner.NextEvents(2) == "1:stopped 0:stopped ");
  owner.Order({Start(2)});
  CHECK(owner.NextEvents(1) == "2:started ");
  CHECK(f.Starts() == 2);
}

TEST_CASE("a replaced VM opens a new session and runs nothing of the old one") {
  Fixture f;
  Owner owner(f.address, QuickOptions());
  owner.Open(1);
  owner.Next<SessionOpened>();
  owner.Order({Start(0)});
  CHECK(owner.NextEvents(1) == "0:started ");
  CHECK(f.standin.Status("POST", f.standin.addresses().control,
                         "/v1/vms?vm=vm-1&state=replaced") == http::kOk);
  CHECK(owner.Next<SessionOpened>().running.empty());
  owner.Order({Start(1)});
  CHECK(owner.NextEvents(1) == "1:started ");
  CHECK(f.History()["former"][0]["attempts"][0]["outcome"] == "stopped");
}

TEST_CASE("garbage is refused and the worker keeps serving") {
  Fixture f;
  const char* const bodies[] = {
      "",
      "[]",
      R"({"epoch": 0, "lease_ms": 1})",
      R"({"epoch": 1, "lease_ms": -1})",
      R"({"epoch": 1, "lease_ms": 1, "orders": [{"order": "x"}]})",
      R"({"epoch": 1, "lease_ms": 1, "unknown": 1})",
      R"({"epoch": 99999999999999999999, "lease_ms": 1})"};
  for (const char* body : bodies) {
    CAPTURE(body);
    CHECK(f.standin.Status("POST", f.address, "/v1/exchange", body) ==
          http::kBadRequest);
  }
  CHECK(f.standin.Status("POST", f.address, "/v1/exchange",
                         R"({"epoch": 1, "lease_ms": 1, "token": "x"})") ==
        http::kOk);
}

}  // namespace
}  // namespace azurepass::testing
