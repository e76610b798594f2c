// The session's transitions, one at a time. The safety of its leases is shown
// by testing/standin/standin_lease_test.cc.

#include "azurepass/endpoint/internal/session.h"

#include <doctest/doctest.h>

namespace azurepass::endpoint::internal {
namespace {

constexpr Duration kSecond{1'000};

StartTask Start(int index) {
  StartTask start;
  start.attempt = {{JobId("p.1"), index}, 1};
  return start;
}

ExchangeAnswer Answer(const std::string& token,
                      const std::vector<int>& running = {}) {
  ExchangeAnswer answer;
  answer.token = token;
  for (const int index : running) {
    answer.running.push_back(Start(index).attempt);
  }
  return answer;
}

ExchangeAnswer Taken(const std::string& token) {
  ExchangeAnswer answer = Answer(token);
  answer.taken = true;
  return answer;
}

// A session and what it last put out, as text: "held", "held-list", "orders-N"
// for exchanges, "wake" and the updates' names.
struct Fixture {
  Options options{};
  MonotonicTime now{};
  Former former{};
  Session session{VmId("w"), Epoch{3}, options, std::nullopt, 1, former, now};
  std::vector<Output> outputs{};

  static std::string NameOf(const Exchange& exchange) {
    if (exchange.channel == Channel::kOrders) {
      return "orders-" + std::to_string(exchange.request.orders.size());
    }
    return exchange.request.list ? "held-list" : "held";
  }
  static std::string NameOf(const Update& update) {
    static const char* const names[] = {"opened",      "events",    "fenced",
                                        "unreachable", "reachable", "replaced"};
    return names[update.index()];
  }
  std::string Text() const {
    std::string text;
    for (const Output& output : outputs) {
      text +=
          std::visit(Visitor{[](const Exchange& e) { return NameOf(e); },
                             [](const Wake&) { return std::string("wake"); },
                             [](const Update& u) { return NameOf(u); },
                             [](const StartNoted&) { return std::string(); }},
                     output);
      if (!text.empty() && text.back() != ' ') text += ' ';
    }
    return text;
  }
  std::string Begin() {
    outputs = session.Start(now);
    return Text();
  }
  std::string On(Event event) {
    outputs = session.Handle(std::move(event), now);
    return Text();
  }
  template <class T>
  T Get(size_t index) const {
    return std::get<T>(std::get<Update>(outputs.at(index)));
  }
  // What was said of the attempt, in short; empty when nothing was.
  std::string Said(const AttemptId& attempt) const {
    std::string said;
    for (const Output& output : outputs) {
      const auto* update = std::get_if<Update>(&output);
      const auto* events =
          update == nullptr ? nullptr : std::get_if<Events>(update);
      if (events == nullptr) continue;
      for (const WorkerEvent& event : events->events) {
        if (event.attempt != attempt) continue;
        said += event.kind == WorkerEventKind::kStarted ? "started" : "ended";
        said += event.number == 0 ? "-0 " : " ";
      }
    }
    return said;
  }
  // The attempts that the orders under way start and stop: "+1 -2 ".
  std::string OrdersSent() const {
    std::string text;
    for (const Output& output : outputs) {
      const auto* exchange = std::get_if<Exchange>(&output);
      if (exchange == nullptr) continue;
      for (const Order& order : exchange->request.orders) {
        const bool start = std::holds_alternative<StartTask>(order);
        const AttemptId attempt =
            std::visit([](const auto& o) { return o.attempt; }, order);
        text += start ? '+' : '-';
        text += std::to_string(attempt.task.index) + " ";
      }
    }
    return text;
  }
  void Open() {
    CHECK(Begin() == "held-list ");
    CHECK(On(Answered{Channel::kHeld, Answer("t1")}) == "opened held ");
  }
};

// Guards against tasks that wait for the lease of a worker that has ended, and
// whose address another worker has taken over.
TEST_CASE("a worker whose address another one has is told as replaced, once") {
  for (const Channel channel : {Channel::kHeld, Channel::kOrders}) {
    Fixture f;
    f.Open();
    const MonotonicTime last_answer = f.now;
    f.now += kSecond;
    if (channel == Channel::kOrders) f.On(Ordered{{Start(0)}});
    CHECK(f.On(Unanswered{channel, true}) == "replaced wake ");
    CHECK(f.Get<Replaced>(0).last_answer == last_answer);
    CHECK(f.Get<Replaced>(0).epoch == Epoch{3});
    f.now += kSecond;
    f.On(Woken{channel});
    const std::string again = f.On(Unanswered{channel, true});
    CHECK(again.find("replaced") == std::string::npos);
  }
}

TEST_CASE("events come before the list, and none comes twice") {
  Fixture f;
  CHECK(f.Begin() == "held-list ");
  ExchangeAnswer answer = Answer("t1", {2});
  answer.events = {{1, Start(1).attempt, WorkerEventKind::kStarted, ""},
                   {2, Start(1).attempt, WorkerEventKind::kSucceeded, ""}};
  CHECK(f.On(Answered{Channel::kHeld, answer}) == "events opened wake ");
  CHECK(f.On(Recorded{2, f.session.life()}) == "held ");
  CHECK(std::get<Exchange>(f.outputs[0]).request.acknowledged == 2);
  CHECK(f.On(Answered{Channel::kHeld, answer}) == "held ");
}

// A worker forgets what is acknowledged, and its owner may die before it has
// recorded an end.
TEST_CASE("events are acknowledged once they are recorded, not before") {
  Fixture f;
  f.Open();
  ExchangeAnswer answer = Answer("t2");
  answer.events = {{1, Start(1).attempt, WorkerEventKind::kStarted, ""},
                   {2, Start(1).attempt, WorkerEventKind::kSucceeded, ""}};
  CHECK(f.On(Answered{Channel::kHeld, answer}) == "events wake ");
  CHECK(f.On(Recorded{1, f.session.life()}).empty());
  // The record takes long: the lease is renewed meanwhile, without a hold.
  CHECK(f.On(Woken{Channel::kHeld}) == "held-list ");
  CHECK(std::get<Exchange>(f.outputs[0]).request.acknowledged == 1);
  CHECK(std::get<Exchange>(f.outputs[0]).request.token == "t2");
  CHECK(f.On(Answered{Channel::kHeld, answer}) == "wake ");
  CHECK(f.On(Recorded{2, f.session.life()}) == "held ");
  CHECK(std::get<Exchange>(f.outputs[0]).request.acknowledged == 2);
}

TEST_CASE("a record of a worker's former life acknowledges nothing") {
  Fixture f;
  f.Open();
  ExchangeAnswer answer = Answer("t2");
  answer.events = {{7, Start(1).attempt, WorkerEventKind::kSucceeded, ""}};
  f.On(Answered{Channel::kHeld, answer});
  CHECK(f.On(Woken{Channel::kHeld}) == "held-list ");
  ExchangeAnswer restarted = Answer("u1");
  restarted.restarted = true;
  CHECK(f.On(Answered{Channel::kHeld, restarted}) == "held-list ");
  CHECK(f.On(Recorded{7, 1}).empty());
  CHECK(f.On(Answered{Channel::kHeld, Answer("u1")}) == "opened held ");
  CHECK(f.On(Answered{Channel::kHeld, Answer("u2")}) == "held ");
  CHECK(std::get<Exchange>(f.outputs[0]).request.acknowledged == 0);
}

// The number alone told neither life: the new one's events up to it were
// forgotten before they were recorded.
TEST_CASE("a record of a former life acknowledges no event of the new one") {
  Fixture f;
  f.Open();
  ExchangeAnswer answer = Answer("t2");
  answer.events = {{7, Start(1).attempt, WorkerEventKind::kSucceeded, ""}};
  f.On(Answered{Channel::kHeld, answer});
  CHECK(f.Get<Events>(0).events[0].life == 1);
  f.On(Woken{Channel::kHeld});
  ExchangeAnswer restarted = Answer("u1");
  restarted.restarted = true;
  f.On(Answered{Channel::kHeld, restarted});
  ExchangeAnswer anew = Answer("u2");
  anew.events = {{8, Start(2).attempt, WorkerEventKind::kSucceeded, ""}};
  CHECK(f.On(Answered{Channel::kHeld, anew}) == "events opened wake ");
  CHECK(f.Get<Events>(0).events[0].life == 2);
  CHECK(f.On(Recorded{7, 1}).empty());
  CHECK(f.On(Woken{Channel::kHeld}) == "held-list ");
  CHECK(std::get<Exchange>(f.outputs[0]).request.acknowledged == 0);
  // Nor does it in a session opened after a restart that this one did not see.
  Fixture next{.former = {f.session.life(), {}}};
  next.Begin();
  next.On(Answered{Channel::kHeld, anew});
  CHECK(next.Get<Events>(0).events[0].life == 3);
  CHECK(next.On(Recorded{8, 2}).empty());
  CHECK(next.On(Recorded{8, 3}) == "held ");
}

// A call of a former life, carried out in the new one, began what the owner had
// seen end, and nobody stopped it.
TEST_CASE("what runs without an order of the session is revoked") {
  Fixture f;
  CHECK(f.Begin() == "held-list ");
  // The owner judges what is listed as the session opens.
  CHECK(f.On(Answered{Channel::kHeld, Answer("t1", {4})}) == "opened held ");
  f.On(Ordered{{Start(1)}});
  ExchangeAnswer taken = Taken("t2");
  taken.events = {{0, Start(1).attempt, WorkerEventKind::kStarted, ""}};
  f.On(Answered{Channel::kOrders, taken});
  CHECK(f.On(Answered{Channel::kHeld, Answer("t3", {1, 4, 7})}) ==
        "orders-1 held ");
  CHECK(f.OrdersSent() == "-7 ");
  f.On(Answered{Channel::kOrders, Taken("t4")});
  CHECK(f.On(Answered{Channel::kHeld, Answer("t5", {1, 4})}) == "held-list ");
  CHECK(f.On(Answered{Channel::kHeld, Answer("t6", {1, 4})}) == "events held ");
  CHECK(f.Said(Start(7).attempt) == "ended-0 ");
  // An attempt that ended does not run again.
  ExchangeAnswer ended = Answer("t7", {4});
  ended.events = {{1, Start(1).attempt, WorkerEventKind::kSucceeded, ""}};
  f.On(Answered{Channel::kHeld, ended});
  CHECK(f.On(Recorded{1, 1}) == "held ");
  CHECK(f.On(Answered{Channel::kHeld, Answer("t8", {1, 4})}) ==
        "orders-1 held ");
  CHECK(f.OrdersSent() == "-1 ");
}

// Guards against tasks that run again because their ends were not in the first
// answer of a worker that keeps more of them than one answer holds.
TEST_CASE("a session says which is the last of the ends that a worker keeps") {
  struct Case {
    const char* name;
    bool reachable_again;  // Else it opens.
    int last_ends;         // In the answer to the third list.
  };
  const Case cases[] = {{"the last list has some", false, 1},
                        {"the last list has none", false, 0},
                        {"after a silence", true, 1}};
  for (const Case& c : cases) {
    CAPTURE(c.name);
    Fixture f;
    if (c.reachable_again) {
      f.Open();
      f.On(Unanswered{Channel::kHeld});
      f.On(Woken{Channel::kHeld});
      CHECK(f.On(Unanswered{Channel::kHeld}) == "wake unreachable ");
      CHECK(f.On(Woken{Channel::kHeld}) == "held-list ");
    } else {
      f.Begin();
    }
    ExchangeAnswer page = Answer("t2", {9});
    page.more_events = true;
    page.events = {{1, Start(1).attempt, WorkerEventKind::kSucceeded, ""}};
    if (c.reachable_again) {
      CHECK(f.On(Answered{Channel::kHeld, page}) == "events reachable wake ");
      CHECK(f.Get<Reachable>(1).more_events);
    } else {
      CHECK(f.On(Answered{Channel::kHeld, page}) == "events opened wake ");
      CHECK(f.Get<SessionOpened>(1).more_events);
    }
    CHECK(f.Get<Events>(0).more_events);
    // A hold would wait for another end if there were just as many as fit.
    CHECK(f.On(Recorded{1, f.session.life()}) == "held-list ");
    page.events = {{2, Start(2).attempt, WorkerEventKind::kSucceeded, ""}};
    CHECK(f.On(Answered{Channel::kHeld, page}) == "events wake ");
    CHECK(f.Get<Events>(0).more_events);
    CHECK(f.On(Recorded{2, f.session.life()}) == "held-list ");
    ExchangeAnswer last = Answer("t3", {9});
    if (c.last_ends > 0) {
      last.events = {{3, Start(3).attempt, WorkerEventKind::kSucceeded, ""}};
    }
    const std::string text = f.On(Answered{Channel::kHeld, last});
    CHECK(text == (c.last_ends > 0 ? "events wake " : "events held "));
    CHECK_FALSE(f.Get<Events>(0).more_events);
  }
}

// Its first sending may be carried out in the new life, after the list was made
// that lacks it.
TEST_CASE("a start sent twice is barred before a new life is said to lack it") {
  for (const bool reopened : {false, true}) {
    CAPTURE(reopened);
    Fixture f;
    f.Open();
    f.On(Ordered{{Start(1), Start(2)}});
    ExchangeAnswer one = Answer("t2");
    one.outcomes = {OrderOutcome::kUnknown, OrderOutcome::kSettled};
    one.events = {{0, Start(2).attempt, WorkerEventKind::kStarted, ""}};
    f.On(Answered{Channel::kOrders, one});
    f.On(Woken{Channel::kOrders});
    CHECK(f.OrdersSent() == "+1 ");
    ExchangeAnswer taken = Taken("t3");
    taken.events = {{0, Start(1).attempt, WorkerEventKind::kStarted, ""}};
    f.On(Answered{Channel::kOrders, taken});
    Fixture next{.former = {f.session.life(), f.session.Doubtful()}};
    Fixture& then = reopened ? next : f;
    ExchangeAnswer restarted = Answer("u1");
    restarted.restarted = true;
    if (reopened) {
      next.Begin();
    } else {
      CHECK(f.On(Answered{Channel::kHeld, restarted}) == "held-list ");
    }
    CHECK(then.On(Answered{Channel::kHeld, Answer("u1")}) ==
          "opened orders-1 held ");
    const std::vector<AttemptId> first = {Start(1).attempt};
    CHECK(then.Get<SessionOpened>(1).running == first);  // After its note.
    CHECK(then.OrdersSent() == "-1 ");
    then.On(Answered{Channel::kOrders, Taken("u2")});
    CHECK(then.On(Answered{Channel::kHeld, Answer("u3")}) == "held-list ");
    CHECK(then.On(Answered{Channel::kHeld, Answer("u4")}) == "events held ");
    CHECK(then.Said(Start(1).attempt) == "ended-0 ");
  }
}

TEST_CASE("answers to orders are passed on and need no acknowledgement") {
  Fixture f;
  f.Open();
  CHECK(f.On(Ordered{{Start(1)}}) == "orders-1 ");
  ExchangeAnswer taken = Answer("t2");
  taken.taken = true;
  taken.events = {{0, Start(1).attempt, WorkerEventKind::kStarted, ""}};
  CHECK(f.On(Answered{Channel::kOrders, taken}) == "events ");
  CHECK(f.On(Answered{Channel::kHeld, Answer("t3")}) == "held ");
}

TEST_CASE("orders wait for the session, then for each other, until taken") {
  Fixture f;
  CHECK(f.Begin() == "held-list ");
  CHECK(f.On(Ordered{{Start(1)}}).empty());
  CHECK(f.On(Answered{Channel::kHeld, Answer("t1")}) ==
        "opened orders-1 held ");
  CHECK(f.On(Ordered{{Start(2), Start(3)}}).empty());
  ExchangeAnswer taken = Answer("t2");
  taken.taken = true;
  CHECK(f.On(Answered{Channel::kOrders, taken}) == "orders-2 ");
  // Not taken: once at once with the new token, then after a delay.
  CHECK(f.On(Answered{Channel::kOrders, Answer("t3")}) == "orders-2 ");
  CHECK(std::get<Exchange>(f.outputs[0]).request.token == "t3");
  CHECK(f.On(Answered{Channel::kOrders, Answer("t4")}) == "wake ");
  CHECK(f.On(Woken{Channel::kOrders}) == "orders-2 ");
  CHECK(f.On(Unanswered{Channel::kOrders}) == "wake ");
  CHECK(f.On(Woken{Channel::kOrders}) == "orders-2 ");
}

TEST_CASE("a list is asked for when no orders are under way, and names them") {
  Fixture f;
  f.Open();
  CHECK(f.On(Ordered{{Start(1)}}) == "orders-1 ");
  CHECK(f.On(Unanswered{Channel::kHeld}) == "wake ");
  CHECK(f.On(Woken{Channel::kHeld}).empty());  // Orders are under way.
  CHECK(f.On(Unanswered{Channel::kOrders}) == "wake held-list ");
  CHECK(f.On(Woken{Channel::kOrders}).empty());  // The held one fails.
  CHECK(f.On(Unanswered{Channel::kHeld}) == "wake unreachable ");
  CHECK(f.On(Woken{Channel::kHeld}) == "held-list ");
  CHECK(f.On(Answered{Channel::kHeld, Answer("t2", {7})}) ==
        "reachable orders-1 held ");
  const std::vector<AttemptId> both = {Start(1).attempt, Start(7).attempt};
  CHECK(f.Get<Reachable>(0).running == both);
}

TEST_CASE("a start that waited too long is not sent, a stop is") {
  Fixture f;
  f.Open();
  CHECK(f.On(Ordered{{Start(1)}}) == "orders-1 ");
  f.On(Ordered{{Start(2), StopTask{Start(1).attempt, StopKind::kStop}}});
  f.now += f.options.start_validity;
  CHECK(f.On(Unanswered{Channel::kOrders}) == "wake ");
  CHECK(f.On(Woken{Channel::kOrders}) == "orders-3 ");
  f.now += Duration(1);
  CHECK(f.On(Unanswered{Channel::kOrders}) == "wake ");
  // Both starts may still be carried out.
  CHECK(f.On(Woken{Channel::kOrders}) == "orders-3 ");
  CHECK(f.OrdersSent() == "-1 -2 -1 ");  // The first one is the owner's.
}

TEST_CASE("a start that was never sent in time is reported as not started") {
  Fixture f;
  f.Open();
  CHECK(f.On(Ordered{{Start(1)}}) == "orders-1 ");
  f.On(Ordered{{Start(2)}});
  f.now += f.options.start_validity + Duration(1);
  CHECK(f.On(Answered{Channel::kOrders, Taken("t2")}) == "events ");
  CHECK(f.Said(Start(1).attempt).empty());
  CHECK(f.Said(Start(2).attempt) == "ended-0 ");
}

// The first sending may be carried out after the second was refused; the task
// ran on two workers when the refusal was taken as its outcome.
TEST_CASE("a start sent before without an answer is not settled by a refusal") {
  struct Case {
    const char* name;
    ExchangeAnswer list;  // The answer after the stop was taken.
    std::string said;     // Of the attempt.
    std::string then;
  };
  const AttemptId attempt = Start(1).attempt;
  const WorkerEvent done{9, attempt, WorkerEventKind::kSucceeded, ""};
  const WorkerEvent other{9, Start(5).attempt, WorkerEventKind::kSucceeded, ""};
  const auto list = [](const std::vector<int>& running,
                       std::vector<WorkerEvent> events, bool more) {
    ExchangeAnswer answer = Answer("t9", running);
    answer.events = std::move(events);
    answer.more_events = more;
    return answer;
  };
  const Case cases[] = {
      {"it never began", list({}, {}, false), "ended-0 ", "events held "},
      {"another one ended", list({}, {other}, false), "ended-0 ",
       "events events wake "},
      {"it runs", list({1}, {}, false), "started-0 ", "events held "},
      {"it ended", list({}, {done}, false), "ended ", "events wake "},
      {"its end may come", list({}, {other}, true), "", "events wake "},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    Fixture f;
    f.Open();
    CHECK(f.On(Ordered{{Start(1)}}) == "orders-1 ");
    CHECK(f.On(Unanswered{Channel::kOrders}) == "wake ");
    CHECK(f.On(Woken{Channel::kOrders}) == "orders-1 ");
    ExchangeAnswer refused = Taken("t2");
    refused.events = {{0, attempt, WorkerEventKind::kStopped, "refused"}};
    CHECK(f.On(Answered{Channel::kOrders, refused}) == "orders-1 ");
    CHECK(f.OrdersSent() == "-1 ");
    // A list made before the stop was taken says nothing.
    CHECK(f.On(Answered{Channel::kHeld, Answer("t3")}) == "held ");
    CHECK(f.On(Unanswered{Channel::kOrders}) == "wake ");
    CHECK(f.On(Woken{Channel::kOrders}) == "orders-1 ");
    CHECK(f.On(Answered{Channel::kOrders, Taken("t4")}).empty());
    CHECK(f.On(Answered{Channel::kHeld, Answer("t5")}) == "held-list ");
    // Nor does one that was lost.
    CHECK(f.On(Unanswered{Channel::kHeld}) == "wake ");
    CHECK(f.On(Woken{Channel::kHeld}) == "held-list ");
    CHECK(f.On(Answered{Channel::kHeld, c.list}) == c.then);
    CHECK(f.Said(attempt) == c.said);
  }
}

// An answer to the second sending may be overtaken by a list that shows the
// first one carried out.
TEST_CASE("a refusal says nothing of a start that a list has shown") {
  Fixture f;
  f.Open();
  f.On(Ordered{{Start(1)}});
  f.On(Unanswered{Channel::kOrders});
  CHECK(f.On(Woken{Channel::kOrders}) == "orders-1 ");
  CHECK(f.On(Answered{Channel::kHeld, Answer("t2", {1})}) == "events held ");
  CHECK(f.Said(Start(1).attempt) == "started-0 ");
  ExchangeAnswer refused = Taken("t3");
  refused.events = {
      {0, Start(1).attempt, WorkerEventKind::kStopped, "refused"}};
  CHECK(f.On(Answered{Channel::kOrders, refused}).empty());
}

TEST_CASE("a start that the worker calls over is settled by a list") {
  Fixture f;
  f.Open();
  f.On(Ordered{{Start(1)}});
  ExchangeAnswer over = Answer("t2");
  over.outcomes = {OrderOutcome::kOver};
  CHECK(f.On(Answered{Channel::kOrders, over}).empty());
  CHECK(f.On(Answered{Channel::kHeld, Answer("t3")}) == "held-list ");
  CHECK(f.On(Answered{Channel::kHeld, Answer("t4")}) == "events held ");
  CHECK(f.Said(Start(1).attempt) == "ended-0 ");
}

// One call without an answer had all orders of its exchange sent again, also
// those whose refusal the owner had been told of.
TEST_CASE("each order of an exchange has its own outcome") {
  Fixture f;
  f.Open();
  f.On(Ordered{{Start(1), Start(2), Start(3), Start(4)}});
  ExchangeAnswer mixed = Answer("t2");
  mixed.outcomes = {OrderOutcome::kUnknown, OrderOutcome::kSettled,
                    OrderOutcome::kNotTaken, OrderOutcome::kSettled};
  mixed.events = {{0, Start(2).attempt, WorkerEventKind::kStopped, "refused"},
                  {0, Start(4).attempt, WorkerEventKind::kStarted, ""}};
  CHECK(f.On(Answered{Channel::kOrders, mixed}) == "events wake ");
  CHECK(f.Said(Start(2).attempt) == "ended-0 ");
  CHECK(f.Said(Start(4).attempt) == "started-0 ");
  f.On(Woken{Channel::kOrders});
  CHECK(f.OrdersSent() == "+1 +3 ");
  // A refusal settles what was certainly not carried out before.
  ExchangeAnswer refused = Taken("t3");
  refused.events = {{0, Start(1).attempt, WorkerEventKind::kStopped, "refused"},
                    {0, Start(3).attempt, WorkerEventKind::kStopped, ""}};
  f.On(Answered{Channel::kOrders, refused});
  CHECK(f.Said(Start(1).attempt).empty());
  CHECK(f.Said(Start(3).attempt) == "ended-0 ");
  CHECK(f.OrdersSent() == "-1 ");
}

// A session that was opened anew under the same epoch took what its worker did
// not list as lost, though orders of the session before were still under way.
TEST_CASE(
    "doubtful starts are handed to the next session, which revokes them") {
  Fixture f;
  f.Open();
  f.On(Ordered{{Start(1), Start(2)}});
  f.On(Ordered{{Start(3)}});  // Not sent.
  const std::vector<AttemptId> both = {Start(1).attempt, Start(2).attempt};
  const std::vector<DoubtfulStart> doubtful = {{both[0]}, {both[1]}};
  CHECK(f.session.Doubtful() == doubtful);
  Fixture next{.former = {f.session.life(), f.session.Doubtful()}};
  CHECK(next.Begin() == "held-list ");
  CHECK(next.On(Answered{Channel::kHeld, Answer("t1", {2})}) ==
        "opened orders-2 held ");
  CHECK(next.Get<SessionOpened>(0).running == both);
  CHECK(next.OrdersSent() == "-1 -2 ");
  CHECK(next.session.Doubtful() == doubtful);
  CHECK(next.On(Answered{Channel::kOrders, Taken("t2")}).empty());
  CHECK(next.On(Answered{Channel::kHeld, Answer("t3")}) == "held-list ");
  CHECK(next.On(Answered{Channel::kHeld, Answer("t4", {2})}) ==
        "events events held ");
  CHECK(next.Said(Start(1).attempt) == "ended-0 ");
  CHECK(next.Said(Start(2).attempt) == "started-0 ");
  // Its first sending may still meet a new life.
  CHECK(next.session.Doubtful() ==
        std::vector<DoubtfulStart>{{Start(2).attempt, true}});
}

TEST_CASE("the end of the lease counts from the receipt of the last token") {
  Fixture f;
  f.Open();
  f.now += kSecond;
  CHECK(f.On(Answered{Channel::kHeld, Answer("t2")}) == "held ");
  const MonotonicTime received = f.now;
  CHECK(f.On(Ordered{{Start(1)}}) == "orders-1 ");
  f.now += kSecond;
  CHECK(f.On(Unanswered{Channel::kHeld}) == "wake ");
  // A token that comes by now is not to be used.
  CHECK(f.On(Answered{Channel::kOrders, Answer("t3")}).empty());
  f.now += kSecond;
  CHECK(f.On(Woken{Channel::kHeld}) == "held-list ");
  CHECK(std::get<Exchange>(f.outputs[0]).request.token == "t2");
  f.now += kSecond;
  // The start was not taken in time.
  CHECK(f.On(Unanswered{Channel::kHeld}) == "wake unreachable events ");
  const auto told = f.Get<Unreachable>(1);
  CHECK(told.last_answer == received);
  // Its clock may be 2% slow.
  CHECK(told.lease_until == received + f.options.lease + f.options.lease / 50 +
                                f.options.lease_margin);
}

TEST_CASE("a lease is renewed only while the owner allows it") {
  Fixture f;
  f.Open();
  const auto lease_asked = [&] {
    return std::get<Exchange>(f.outputs.back()).request.lease;
  };
  CHECK(f.On(Answered{Channel::kHeld, Answer("t2")}) == "held ");
  CHECK(lease_asked() == f.options.lease);
  CHECK(f.On(RenewalSet{false}).empty());
  CHECK(f.On(Answered{Channel::kHeld, Answer("t3")}) == "held ");
  CHECK(lease_asked() <= Duration(1));
  CHECK(f.On(Ordered{{Start(1)}}) == "orders-1 ");
  CHECK(lease_asked() <= Duration(1));
  CHECK(f.On(RenewalSet{true}).empty());
  CHECK(f.On(Answered{Channel::kHeld, Answer("t4")}) == "held ");
  CHECK(lease_asked() == f.options.lease);
}

TEST_CASE("a restarted worker opens anew and gets none of the old orders") {
  Fixture f;
  f.Open();
  CHECK(f.On(Ordered{{Start(1)}}) == "orders-1 ");
  ExchangeAnswer restarted = Answer("u1");
  restarted.restarted = true;
  // The order channel leaves it to the held one.
  CHECK(f.On(Answered{Channel::kOrders, restarted}) == "orders-1 ");
  CHECK(std::get<Exchange>(f.outputs[0]).request.token == "t1");
  f.On(Ordered{{Start(2), StopTask{Start(7).attempt, StopKind::kStop}}});
  // The order under way may be carried out by the new life, after this answer's
  // list was made; the other was never sent.
  CHECK(f.On(Answered{Channel::kHeld, restarted}) == "events ");
  CHECK(f.Said(Start(2).attempt) == "ended-0 ");
  ExchangeAnswer late = Taken("u2");
  late.events = {{0, Start(1).attempt, WorkerEventKind::kStopped, "refused"}};
  CHECK(f.On(Answered{Channel::kOrders, late}) == "held-list ");
  CHECK(f.On(Answered{Channel::kHeld, Answer("u3")}) ==
        "opened orders-1 held ");
  CHECK(f.Get<SessionOpened>(0).running == std::vector{Start(1).attempt});
  CHECK(f.OrdersSent() == "-1 ");
}

TEST_CASE("fenced is the last word; nothing is sent without permission") {
  Fixture f;
  f.Open();
  CHECK(f.On(Authorized{f.now}).empty());
  CHECK(f.On(Answered{Channel::kHeld, Answer("t2")}).empty());
  CHECK(f.On(Ordered{{Start(1)}}).empty());
  CHECK(f.On(Authorized{f.now + kSecond}) == "orders-1 held ");
  CHECK(f.On(FencedBy{Epoch{4}}) == "fenced ");
  CHECK(f.session.ended());
  CHECK(f.On(Unanswered{Channel::kHeld}).empty());
}

// Guards against a start carried out in the worker's new life although its
// revocation was taken by the former one alone.
TEST_CASE("a stop taken by a former life bars nothing in the new one") {
  Fixture f;
  f.Open();
  CHECK(f.On(Ordered{{Start(1)}}) == "orders-1 ");
  CHECK(f.On(Unanswered{Channel::kOrders}) == "wake ");
  f.now += f.options.start_validity + Duration(1);
  CHECK(f.On(Woken{Channel::kOrders}) == "orders-1 ");
  CHECK(f.OrdersSent() == "-1 ");
  ExchangeAnswer taken = Answer("t2");
  taken.outcomes = {OrderOutcome::kSettled};
  f.On(Answered{Channel::kOrders, taken});
  ExchangeAnswer restarted = Answer("u1");
  restarted.restarted = true;
  f.On(Answered{Channel::kHeld, restarted});
  CHECK(f.Said(Start(1).attempt).empty());
  // The session with the new life opens first.
  f.On(Answered{Channel::kHeld, Answer("u2")});
  CHECK(f.Said(Start(1).attempt).empty());
  CHECK(f.OrdersSent() == "-1 ");
}

// Guards against ends of a worker's new life that are forgotten unread, by the
// number of the last one recorded of its former life.
TEST_CASE("an exchange after a failure acknowledges nothing") {
  Fixture f;
  f.Open();
  ExchangeAnswer ends = Answer("t2");
  ends.events = {{57, Start(3).attempt, WorkerEventKind::kSucceeded, ""}};
  f.On(Answered{Channel::kHeld, ends});
  f.On(Recorded{57, f.session.life()});
  f.On(Unanswered{Channel::kHeld});
  f.On(Woken{Channel::kHeld});
  CHECK(std::get<Exchange>(f.outputs.at(0)).request.acknowledged == 0);
}

// Guards against an attempt that stays listed as one that may run after its end
// was told, so that its worker gets no more starts.
TEST_CASE("the end of a revoked start settles it") {
  Fixture f{.former = {0, {{Start(1).attempt}}}};
  CHECK(f.Begin() == "held-list ");
  ExchangeAnswer answer = Answer("t1");
  answer.events = {{5, Start(1).attempt, WorkerEventKind::kSucceeded, ""}};
  CHECK(f.On(Answered{Channel::kHeld, answer}).starts_with("events opened "));
  CHECK(f.Said(Start(1).attempt) == "ended ");
  CHECK(f.Get<SessionOpened>(1).running.empty());
  CHECK(f.session.Doubtful().empty());
}

}  // namespace
}  // namespace azurepass::endpoint::internal
