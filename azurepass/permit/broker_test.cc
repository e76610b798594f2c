// Tests how the broker spreads requests over VMs.

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

#include "azurepass/permit/permit.h"

namespace azurepass::permit {
namespace {

// Collects what the broker sends, and runs the loop's pending events on demand.
struct Fixture {
  explicit Fixture(Options fixture_options = {}) : options(fixture_options) {}

  task::Loop loop;
  std::vector<ServiceRequest> local;
  std::vector<entry::Call> relayed;
  std::vector<Result> results;
  Options options;
  Broker broker{loop, options,
                task::Address<ServiceRequest>([this](ServiceRequest r) {
                  local.push_back(std::move(r));
                }),
                task::Address<entry::Call>([this](entry::Call c) {
                  relayed.push_back(std::move(c));
                })};

  void Run() {
    while (g_main_context_iteration(loop.context(), FALSE)) {
    }
  }
  void SendRequest(const std::string& job, Duration cost,
                   bool restart = false) {
    broker.address().Send(Request{JobId(job),
                                  {VmId("vm")},
                                  cost,
                                  task::Address<Result>([this](Result r) {
                                    results.push_back(std::move(r));
                                  }),
                                  restart});
    Run();
  }
};

TEST_CASE("requests go to the VM with the smallest backlog") {
  Fixture f;
  f.broker.address().Send(PeersChanged{{"10.0.0.2:1", "10.0.0.3:1"}});
  f.Run();
  for (int i = 0; i < 3; ++i)
    f.SendRequest("j" + std::to_string(i), Duration(500));
  CHECK(f.local.size() == 1);
  REQUIRE(f.relayed.size() == 2);
  CHECK(f.relayed[0].peer != f.relayed[1].peer);
}

// Guards against late results when several owners send requests at once: all
// brokers began with the same VMs, while other VMs had no backlog.
TEST_CASE("brokers begin with different VMs") {
  std::vector<std::string> addresses;
  addresses.reserve(16);
  for (int i = 0; i < 16; ++i) {
    addresses.push_back("10.0.0." + std::to_string(i + 2) + ":1");
  }
  std::set<std::string> first;
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    Options options;
    options.seed = seed;
    Fixture f(options);
    f.broker.address().Send(PeersChanged{addresses});
    f.Run();
    f.SendRequest("local", Duration(500));
    f.SendRequest("relayed", Duration(500));
    REQUIRE(f.local.size() == 1);
    REQUIRE(f.relayed.size() == 1);
    first.insert(f.relayed[0].peer);
  }
  CHECK(first.size() >= 4);
}

// Guards against delays of small, urgent work beside requests that take half a
// second each.
TEST_CASE("requests beyond the backlog wait, and the cheapest is sent first") {
  Fixture f;
  f.SendRequest("slow-1", Duration(560));
  f.SendRequest("slow-2", Duration(560));
  f.SendRequest("small", Duration(20));
  REQUIRE(f.local.size() == 2);  // The small request fits beside the first.
  CHECK(f.local[1].job == JobId("small"));
  f.local[0].reply_to.Send(Issued{{{VmId("vm"), "t"}}, Duration(2'000)});
  f.local[1].reply_to.Send(Failed{"gone"});
  f.Run();
  REQUIRE(f.local.size() == 3);
  CHECK(f.local[2].job == JobId("slow-2"));
  REQUIRE(f.results.size() == 2);
  CHECK(std::get<Issued>(f.results[0]).permits[0].text == "t");
  CHECK(std::holds_alternative<Failed>(f.results[1]));
}

// Guards against lasting tasks that have lost their run and whose requests,
// the most expensive ones, wait behind those of all other work (LOST).
TEST_CASE("requests for interrupted tasks go first, on half of the VMs") {
  Fixture f;
  f.broker.address().Send(
      PeersChanged{{"10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}});
  f.Run();
  for (int i = 0; i < 4; ++i) f.SendRequest("first", Duration(600));
  REQUIRE(f.local.size() + f.relayed.size() == 4);
  for (int i = 0; i < 8; ++i) f.SendRequest("cheap", Duration(400));
  for (int i = 0; i < 3; ++i) f.SendRequest("restart", Duration(1'000), true);
  for (size_t i = 0; i < 3; ++i) {
    f.relayed[i].reply_to.Send(
        entry::Response(entry::PermitsRelayed{{}, Duration(2'000)}));
  }
  f.local[0].reply_to.Send(Issued{});
  f.Run();
  int restarts = 0;
  for (size_t i = 3; i < f.relayed.size(); ++i) {
    restarts +=
        std::get<entry::RelayPermits>(f.relayed[i].request).job.value() ==
        "restart";
  }
  for (size_t i = 1; i < f.local.size(); ++i) {
    restarts += f.local[i].job.value() == "restart";
  }
  CHECK(restarts == 2);
  CHECK(f.local.size() + f.relayed.size() == 8);
}

// Guards against requests that keep an overloaded service busy with decisions
// that nobody waits for any more.
TEST_CASE("a VM at which requests fail is sent fewer at a time") {
  Options options;
  options.max_backlog = Duration(100);
  Fixture f(options);
  for (int i = 0; i < 20; ++i) f.SendRequest("j", Duration(20));
  CHECK(f.local.size() == 5);
  for (size_t i = 0; i < 5; ++i) f.local[i].reply_to.Send(Failed{"timeout"});
  f.Run();
  // The failed ones count for as long again, and failures of requests that were
  // sent before the first of them lower the limit no further.
  const MonotonicTime give_up = BootClock::now() + Duration(1'000);
  while (f.local.size() < 7 && BootClock::now() < give_up) f.Run();
  CHECK(f.local.size() == 7);
}

TEST_CASE("a withdrawn request is answered, and not sent") {
  Fixture f;
  f.SendRequest("sent", Duration(600));
  f.SendRequest("waiting", Duration(600));
  for (const char* job : {"sent", "waiting"}) {
    f.broker.address().Send(Withdraw{JobId(job)});
  }
  f.Run();
  REQUIRE(f.results.size() == 1);
  CHECK(std::get<Failed>(f.results[0]).message == "withdrawn");
  f.local[0].reply_to.Send(Issued{});
  f.Run();
  CHECK(f.local.size() == 1);
  CHECK(f.results.size() == 2);
}

TEST_CASE("the broker tells its counts") {
  Fixture f;
  f.SendRequest("sent", Duration(600));
  f.SendRequest("restart", Duration(600), true);
  f.SendRequest("waiting", Duration(600));
  std::string text;
  f.broker.address().Send(metrics::Scrape{task::Address<metrics::Report>(
      [&](metrics::Report report) { text = std::move(report.text); })});
  f.Run();
  CAPTURE(text);
  CHECK(text.find("azurepass_permit_requests_total 3") != std::string::npos);
  CHECK(text.find("azurepass_permit_outstanding 2") != std::string::npos);
  CHECK(text.find("azurepass_permit_waiting 1") != std::string::npos);
}

// Guards against starvation of expensive requests by a steady stream of cheap
// ones, beside which no VM ever has an empty backlog. Lasting work, whose
// requests are the most expensive, never got a permit and did not run again
// (LOST).
TEST_CASE("an expensive request yields for a bounded time") {
  Options options;
  options.max_backlog = Duration(20);
  Fixture f(options);
  f.SendRequest("first", Duration(10));
  f.SendRequest("expensive", Duration(15));
  const MonotonicTime give_up = BootClock::now() + Duration(500);
  size_t answered = 0;
  bool asked = false;
  while (!asked && BootClock::now() < give_up) {
    f.SendRequest("cheap", Duration(10));
    f.local[answered++].reply_to.Send(Issued{});
    f.Run();
    asked = f.local.back().job == JobId("expensive");
  }
  CHECK(asked);
}

// Guards against requests that cost so much that yielding in proportion alone
// takes up the time in which a lasting task has to run again: a takeover asks
// about all workers, with 100 of them for 1.36 s, and yielded for 2.7 s (LOST).
TEST_CASE("the most expensive request yields no longer than the bound") {
  Options options;
  options.max_backlog = Duration(20);
  options.max_yield = Duration(50);
  Fixture f(options);
  f.SendRequest("first", Duration(10));
  f.SendRequest("expensive", Duration(10'000));
  const MonotonicTime give_up = BootClock::now() + Duration(2'000);
  size_t answered = 0;
  bool asked = false;
  while (!asked && BootClock::now() < give_up) {
    f.SendRequest("cheap", Duration(10));
    f.local[answered++].reply_to.Send(Issued{});
    f.Run();
    asked = f.local.back().job == JobId("expensive");
  }
  CHECK(asked);
}

// Guards against owners in series that each leave the same steps for last, so
// that these are never asked about (LOST).
TEST_CASE("brokers differ in the order of requests of equal cost") {
  std::set<std::string> firsts;
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    Options options;
    options.max_backlog = Duration(20);
    options.seed = seed;
    Fixture f(options);
    f.SendRequest("outstanding", Duration(20));
    for (const char* job : {"a", "b", "c", "d"}) {
      f.SendRequest(job, Duration(20));
    }
    f.local[0].reply_to.Send(Issued{});
    f.Run();
    REQUIRE(f.local.size() == 2);
    firsts.insert(f.local[1].job.value());
  }
  CHECK(firsts.size() > 1);
}

// Guards against answers that come just after their request was given up,
// behind a request of another broker that takes as long, and are asked for
// again (LOST).
TEST_CASE("a request outlasts one like it that another broker sent before") {
  Options options;
  Fixture f(options);
  f.SendRequest("a", Duration(1'360));
  REQUIRE(f.local.size() == 1);
  CHECK(f.local[0].timeout == 2 * Duration(1'360) + options.slack);
}

// Guards against a request that is repeated at the back of the queue in which
// it has just timed out, again and again, while other VMs have none (LOST).
TEST_CASE("a failed request counts at its VM, and goes elsewhere next") {
  Options options;
  options.max_backlog = Duration(200);
  Fixture f(options);
  f.broker.address().Send(PeersChanged{{"10.0.0.2:1"}});
  f.Run();
  f.SendRequest("a", Duration(100));
  REQUIRE(f.local.size() == 1);
  f.local[0].reply_to.Send(Failed{"timeout"});
  f.Run();
  f.SendRequest("a", Duration(100));
  CHECK(f.local.size() == 1);
  REQUIRE(f.relayed.size() == 1);
  // Both VMs are taken; the time that the failed one counts for makes room.
  f.SendRequest("b", Duration(200));
  CHECK(f.local.size() == 1);
  while (f.local.size() == 1) {
    g_main_context_iteration(f.loop.context(), TRUE);
  }
  CHECK(f.local[1].job == JobId("b"));
}

TEST_CASE("the response of a peer is returned as a result") {
  Fixture f;
  f.broker.address().Send(PeersChanged{{"10.0.0.2:1"}});
  f.Run();
  f.SendRequest("a", Duration(300));
  f.SendRequest("b", Duration(300));
  f.SendRequest("c", Duration(300));
  REQUIRE(f.relayed.size() >= 1);
  f.relayed[0].reply_to.Send(entry::CallResult(entry::Response(
      entry::PermitsRelayed{{{VmId("vm"), "x"}}, Duration(900)})));
  f.Run();
  REQUIRE(f.results.size() == 1);
  CHECK(std::get<Issued>(f.results[0]).validity == Duration(900));
}

std::vector<std::string> Addresses(int count) {
  std::vector<std::string> addresses;
  addresses.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    addresses.push_back("10.0.0." + std::to_string(i + 2) + ":1");
  }
  return addresses;
}

Options Reserving(uint64_t seed = 1) {
  Options options;
  options.short_cost = Duration(100);
  options.reserved_percent = 25;
  options.seed = seed;
  return options;
}

// The load is one of long requests at twice what the service decides. Guards
// against short ones that meet a long request of another broker at each VM.
TEST_CASE(
    "long requests leave the VMs alone that are reserved for short ones") {
  std::set<std::string> long_peers;
  std::set<std::string> short_peers;
  // Two brokers, as of two owners: neither knows what the other has sent.
  for (uint64_t seed = 1; seed <= 2; ++seed) {
    Fixture f(Reserving(seed));
    f.broker.address().Send(PeersChanged{Addresses(12)});
    f.Run();
    for (int i = 0; i < 40; ++i) {
      f.SendRequest("long-" + std::to_string(i), Duration(1'700));
    }
    CHECK(f.relayed.size() == 9);  // One at each VM that is not reserved.
    for (const entry::Call& call : f.relayed) long_peers.insert(call.peer);
    f.relayed.clear();
    for (int i = 0; i < 6; ++i) {
      f.SendRequest("short-" + std::to_string(i), Duration(40));
    }
    REQUIRE(f.relayed.size() == 6);
    for (const entry::Call& call : f.relayed) {
      short_peers.insert(call.peer);
      const auto* relay = std::get_if<entry::RelayPermits>(&call.request);
      REQUIRE(relay != nullptr);
      CHECK(relay->cost == Duration(40));
    }
  }
  CHECK(long_peers.size() == 9);
  CHECK(short_peers.size() == 3);
  for (const std::string& peer : short_peers) {
    CHECK_FALSE(long_peers.contains(peer));
  }
}

// Guards against short requests that wait for a place at few VMs while others
// are idle.
TEST_CASE("a burst of short requests spills over to the other VMs") {
  Fixture f(Reserving());
  f.broker.address().Send(PeersChanged{Addresses(12)});
  f.Run();
  for (int i = 0; i < 60; ++i) {
    f.SendRequest("short-" + std::to_string(i), Duration(100));
  }
  std::set<std::string> peers;
  for (const entry::Call& call : f.relayed) peers.insert(call.peer);
  CHECK(f.relayed.size() + f.local.size() == 60);
  CHECK(peers.size() == 12);
}

entry::CallResult NoAnswer() {
  return entry::Failure{entry::FailureCode::kNoAnswer, "no answer in time"};
}

// The load is a third of the VMs unreachable. Guards against a VM that fails
// each request and, having no backlog, is sent the next one.
TEST_CASE("a VM that does not answer is left out and then probed once") {
  Options options;
  options.ejection = Duration(50);
  options.max_backlog = Duration(100);
  Fixture f(options);
  f.broker.address().Send(PeersChanged{Addresses(1)});
  f.Run();
  f.SendRequest("local", Duration(90));
  f.SendRequest("cut", Duration(90));
  REQUIRE(f.local.size() == 1);
  REQUIRE(f.relayed.size() == 1);
  f.relayed[0].reply_to.Send(NoAnswer());
  f.Run();
  REQUIRE(f.results.size() == 1);
  CHECK(std::holds_alternative<Failed>(f.results[0]));
  f.local[0].reply_to.Send(Issued{});
  f.Run();
  f.SendRequest("next", Duration(90));
  CHECK(f.local.size() == 2);
  CHECK(f.relayed.size() == 1);
  // The other VM is full, so that the end of the ejection lets the probe go.
  f.SendRequest("probe", Duration(90));
  f.SendRequest("behind", Duration(90));
  const MonotonicTime give_up = BootClock::now() + Duration(5'000);
  while (f.relayed.size() < 2 && BootClock::now() < give_up) {
    g_main_context_iteration(f.loop.context(), TRUE);
  }
  CHECK(f.relayed.size() == 2);
}

// Guards against VMs that are left out because they have much to do.
TEST_CASE("a VM that answers that it is busy is not left out") {
  Options options;
  options.ejection = Duration(60'000);
  Fixture f(options);
  f.broker.address().Send(PeersChanged{Addresses(1)});
  f.Run();
  f.SendRequest("local", Duration(500));
  f.SendRequest("busy", Duration(90));
  REQUIRE(f.relayed.size() == 1);
  f.relayed[0].reply_to.Send(entry::Response(
      Refusal{RefusalCode::kUnavailable, Effect::kNotRun, "busy", {}}));
  f.Run();
  f.SendRequest("next", Duration(90));
  CHECK(f.relayed.size() == 2);
}

}  // namespace
}  // namespace azurepass::permit
