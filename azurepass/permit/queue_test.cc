// Tests the order and the deadlines of this VM's calls to the service.

#include <doctest/doctest.h>
#include <glib.h>

#include <string>
#include <vector>

#include "azurepass/permit/permit.h"

namespace azurepass::permit {
namespace {

struct Fixture {
  task::Loop loop;
  std::vector<ServiceRequest> calls;
  std::vector<std::string> results;  // "JOB issued" or "JOB failed".
  Queue queue{loop, task::Address<ServiceRequest>([this](ServiceRequest r) {
                calls.push_back(std::move(r));
              })};

  void Run() {
    while (g_main_context_iteration(loop.context(), FALSE)) {
    }
  }
  void Send(const std::string& job, Duration timeout) {
    queue.address().Send(
        {JobId(job),
         {VmId("vm")},
         timeout,
         task::Address<Result>([this, job](const Result& r) {
           const bool issued = std::holds_alternative<Issued>(r);
           results.push_back(job + (issued ? " issued" : " failed"));
         })});
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

}  // namespace
}  // namespace azurepass::permit
