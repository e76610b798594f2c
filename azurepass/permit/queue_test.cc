// Tests the order and the deadlines of this VM's calls to the service.

#include <doctest/doctest.h>
#include <glib.h>

#include <string>
#include <vector>

#include "azurepass/permit/permit.h"

namespace azurepass::permit {
namespace {

struct Fixture {
  explicit Fixture(QueueOptions fixture_options = {})
      : options(fixture_options) {}

  QueueOptions options;
  task::Loop loop;
  std::vector<ServiceRequest> calls;
  std::vector<std::string> results;  // "JOB issued" or "JOB failed".
  Queue queue{loop, options,
              task::Address<ServiceRequest>(
                  [this](ServiceRequest r) { calls.push_back(std::move(r)); })};

  void Run() {
    while (g_main_context_iteration(loop.context(), FALSE)) {
    }
  }
  void Send(const std::string& job, Duration timeout,
            Duration cost = Duration(0)) {
    queue.address().Send(
        {JobId(job),
         {VmId("vm")},
         timeout,
         task::Address<Result>([this, job](const Result& r) {
           const bool issued = std::holds_alternative<Issued>(r);
           results.push_back(job + (issued ? " issued" : " failed"));
         }),
         cost});
    Run();
  }
  // Runs until there are so many results.
  void Await(size_t count) {
    while (results.size() < count) {
      g_main_context_iteration(loop.context(), TRUE);
    }
  }
};

TEST_CASE("calls are made in the order of arrival, two at a time") {
  Fixture f;
  for (const char* job : {"a", "b", "c"}) f.Send(job, Duration(10'000));
  REQUIRE(f.calls.size() == 2);
  CHECK(f.calls[0].job == JobId("a"));
  CHECK(f.calls[1].job == JobId("b"));
  f.calls[0].reply_to.Send(Issued{});
  f.Run();
  REQUIRE(f.calls.size() == 3);
  CHECK(f.calls[2].job == JobId("c"));
  CHECK(f.results == std::vector<std::string>{"a issued"});
}

// Guards against calls whose callers have given up and on which the service
// spends its time all the same, so that those behind them are late too (LOST).
TEST_CASE("a request that expires while it waits is refused and not sent") {
  Fixture f;
  f.Send("a", Duration(10'000));
  f.Send("b", Duration(10'000));
  f.Send("expires", Duration(20));
  f.Send("c", Duration(10'000));
  f.Await(1);
  CHECK(f.results == std::vector<std::string>{"expires failed"});
  f.calls[1].reply_to.Send(Issued{});
  f.Run();
  REQUIRE(f.calls.size() == 3);
  CHECK(f.calls[2].job == JobId("c"));
}

TEST_CASE("a call is made with the time that is left") {
  Fixture f;
  f.Send("a", Duration(10'000));
  f.Send("b", Duration(10'000));
  f.Send("c", Duration(10'000));
  bool passed = false;
  task::Timer timer(f.loop);
  timer.After(Duration(30), [&passed] { passed = true; });
  while (!passed) g_main_context_iteration(f.loop.context(), TRUE);
  f.calls[0].reply_to.Send(Issued{});
  f.Run();
  REQUIRE(f.calls.size() == 3);
  CHECK(f.calls[2].timeout <= Duration(9'971));
}

QueueOptions ByCost() {
  QueueOptions options;
  options.short_cost = Duration(100);
  return options;
}

// Guards against urgent work that waits behind the decisions on long requests
// of other owners at the same VM: a queue in order of arrival took all of them
// first, 5 s for three of fraud checks on 100 workers.
TEST_CASE("a burst of short requests passes long ones that wait") {
  Fixture f(ByCost());
  f.Send("long-1", Duration(20'000), Duration(1'700));
  f.Send("long-2", Duration(20'000), Duration(1'700));
  f.Send("short-1", Duration(20'000), Duration(40));
  f.Send("short-2", Duration(20'000), Duration(40));
  // Nothing is with the service behind the long one.
  REQUIRE(f.calls.size() == 1);
  f.calls[0].reply_to.Send(Issued{});
  f.Run();
  REQUIRE(f.calls.size() == 3);
  CHECK(f.calls[1].job == JobId("short-1"));
  CHECK(f.calls[2].job == JobId("short-2"));
}

// Guards against starvation of long requests, which are those of lasting work,
// by a steady stream of short ones (LOST).
TEST_CASE(
    "a long request yields to a stream of short ones for a bounded time") {
  QueueOptions options = ByCost();
  options.max_yield = Duration(30);
  Fixture f(options);
  f.Send("short", Duration(20'000), Duration(40));
  f.Send("long", Duration(20'000), Duration(1'700));
  const MonotonicTime give_up = BootClock::now() + Duration(5'000);
  size_t answered = 0;
  bool called = false;
  while (!called && BootClock::now() < give_up) {
    f.Send("short", Duration(20'000), Duration(40));
    f.calls[answered++].reply_to.Send(Issued{});
    f.Run();
    called = f.calls.back().job == JobId("long");
  }
  CHECK(called);
}

}  // namespace
}  // namespace azurepass::permit
