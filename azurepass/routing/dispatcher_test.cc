// Tests the dispatcher with fake owners, configuration and membership: late,
// reordered and lost answers, changes of owners, withdrawn keys.

#include <doctest/doctest.h>

#include <deque>
#include <set>

#include "azurepass/httpserver/testing/turn.h"
#include "azurepass/routing/routing.h"

namespace azurepass::routing {
namespace {

using httpserver::testing::TurnUntil;

constexpr char kSecret[] = "secret";
constexpr Duration kLongTimeout{60'000};

MonotonicTime Now() { return BootClock::now(); }

Options TestOptions() {
  Options options;
  options.member = MemberId("f1");
  options.partitions = {{PartitionId("p"), ServiceId("intake")}};
  options.min_backoff = Duration(1);
  options.max_backoff = Duration(4);
  return options;
}

Configuration TestConfiguration() {
  Configuration configuration;
  configuration.revision = Revision{7};
  Contract contract;
  contract.team = TeamId("rilapak");
  contract.queues = {{QueueId("lots"), ServiceId("intake")},
                     {QueueId("odd"), ServiceId("none")}};
  configuration.contracts[contract.team] = contract;
  KeyRecord key;
  key.id = KeyId("k1");
  key.team = contract.team;
  key.sha256 = configuration::HashSecret(kSecret);
  configuration.keys[key.id] = key;
  return configuration;
}

// A dispatcher with a fake peer that records calls, all on one loop.
class DispatcherHarness {
 public:
  explicit DispatcherHarness(Options options = TestOptions())
      : peers_(loop_, [this](entry::Call c) { calls.push_back(std::move(c)); }),
        dispatcher_(loop_, std::move(options), peers_.address()) {}

  // Returns one with a configuration in force and an owner of partition p.
  static std::unique_ptr<DispatcherHarness> WithOwner(
      Options options = TestOptions()) {
    auto harness = std::make_unique<DispatcherHarness>(std::move(options));
    harness->SetConfiguration(TestConfiguration());
    harness->SetOwner("s1", 1);
    return harness;
  }

  void SetConfiguration(
      const Configuration& configuration,
      configuration::Verdict verdict = configuration::Confirmed{}) {
    configuration::Update update;
    update.configuration = std::make_shared<Configuration>(configuration);
    update.verdict = std::move(verdict);
    update.valid_until = Now() + std::chrono::hours(1);
    dispatcher_.updates().Send(update);
  }
  // Configures a queue below "/lots/" whose service has this many partitions;
  // s1 owns the first, s2 the second, and so on.
  void SetLayout(int64_t partitions) {
    Configuration configuration = TestConfiguration();
    QueueRecord queue;
    queue.queue = QueueId("lots");
    queue.service = ServiceId("intake");
    queue.host = "h";
    queue.path_prefix = "/lots/";
    configuration.queues[queue.queue] = queue;
    SetConfiguration(configuration);
    layout::Layouts layouts;
    if (partitions > 0) {
      layouts[queue.service] = {queue.service, partitions, {}};
    }
    dispatcher_.layouts().Send(
        {std::make_shared<const layout::Layouts>(layouts)});
    membership::View view;
    view.known = true;
    for (int64_t i = 0; i < partitions; ++i) {
      const std::string member = "s" + std::to_string(i + 1);
      view.claims[layout::PartitionOf(queue.service, i)] = {
          MemberId(member), member + ":1", Epoch{1}, 1};
      view.members[MemberId(member)].record.member = MemberId(member);
      view.members[MemberId(member)].record.address = member + ":1";
    }
    dispatcher_.views().Send(view);
  }
  // Configures a queue below "/lots/" of this service. s1 owns the partition of
  // intake, s2 that of vision.
  void SetMovableQueue(const std::string& service, int64_t revision,
                       const std::vector<FormerQueue>& former,
                       bool intake_has_owner = true) {
    Configuration configuration = TestConfiguration();
    configuration.revision = Revision{revision};
    configuration.former_queues = former;
    configuration.queues[QueueId("lots")] = MovableQueue(service);
    layout::Layouts layouts;
    membership::View view;
    view.known = true;
    for (const auto& [name, member] :
         {std::pair("intake", "s1"), std::pair("vision", "s2")}) {
      const ServiceId id(name);
      configuration.services[id].service = id;
      layouts[id] = {id, 1, {}};
      const std::string address = std::string(member) + ":1";
      view.members[MemberId(member)].record.member = MemberId(member);
      view.members[MemberId(member)].record.address = address;
      if (id == ServiceId("intake") && !intake_has_owner) continue;
      view.claims[layout::PartitionOf(id, 0)] = {MemberId(member), address,
                                                 Epoch{1}, 1};
    }
    dispatcher_.layouts().Send(
        {std::make_shared<const layout::Layouts>(layouts)});
    dispatcher_.views().Send(view);
    SetConfiguration(configuration);
  }
  void SetMovedQueue(bool intake_has_owner) {
    SetMovableQueue("vision", 8, {ToFormerQueue(MovableQueue("intake"))},
                    intake_has_owner);
  }
  static QueueRecord MovableQueue(const std::string& service) {
    QueueRecord queue;
    queue.queue = QueueId("lots");
    queue.service = ServiceId(service);
    queue.host = "h";
    queue.path_prefix = "/lots/";
    return queue;
  }
  // Sets the owner of partition p; with an empty member it has none.
  void SetOwner(const std::string& member, int64_t epoch) {
    membership::View view;
    view.known = true;
    const std::string address = member.empty() ? "" : member + ":1";
    view.claims[PartitionId("p")] = {MemberId(member), address, Epoch{epoch},
                                     epoch};
    if (!member.empty()) {
      view.members[MemberId(member)].record.member = MemberId(member);
      view.members[MemberId(member)].record.address = address;
    }
    dispatcher_.views().Send(view);
  }
  // Sends a caller's request and returns its number.
  int64_t SendRequest(caller::Request request,
                      Duration time_left = kLongTimeout,
                      const std::string& key = kSecret) {
    const int64_t number = ++last_number_;
    caller::Responder responder(
        task::Address<caller::Response>([this, number](caller::Response r) {
          answers[number].push_back(std::move(r));
        }));
    dispatcher_.callers().Send(caller::Event(caller::Incoming{
        {number}, key, std::move(request), time_left, responder}));
    return number;
  }
  bool WaitForCalls(size_t count) {
    return TurnUntil(loop_, [&] { return calls.size() >= count; });
  }
  // Waits for the answer to a request and checks that there is exactly one.
  caller::Response ExpectAnswer(int64_t number) {
    REQUIRE(TurnUntil(loop_, [&] { return !answers[number].empty(); }));
    HandlePendingMessages();
    REQUIRE(answers[number].size() == 1);
    return answers[number][0];
  }
  Refusal ExpectRefusal(int64_t number) {
    const caller::Response response = ExpectAnswer(number);
    REQUIRE(std::holds_alternative<Refusal>(response));
    return std::get<Refusal>(response);
  }
  // Runs the loop for 10 ms, in which all messages in flight are handled.
  void HandlePendingMessages() {
    bool handled = false;
    task::Timer timer(loop_);
    timer.After(Duration(10), [&] { handled = true; });
    TurnUntil(loop_, [&] { return handled; });
  }
  task::Loop& loop() { return loop_; }
  Dispatcher& dispatcher() { return dispatcher_; }

  std::deque<entry::Call> calls;
  std::map<int64_t, std::vector<caller::Response>> answers;

 private:
  task::Loop loop_;
  int64_t last_number_ = 0;
  task::Mailbox<entry::Call> peers_;
  Dispatcher dispatcher_;
};

caller::Submit Submit(const std::string& queue = "lots") {
  caller::Submit submit;
  submit.request = RequestId("r1");
  submit.spec.queue = QueueId(queue);
  return submit;
}

caller::Get Get(const std::string& job, Duration wait = Duration(0)) {
  return {JobId(job), 0, wait};
}

JobView Job(const std::string& id) {
  JobView job;
  job.id = JobId(id);
  return job;
}

entry::CallResult Fail(entry::FailureCode code) {
  return entry::Failure{code, "test"};
}

entry::CallResult Refuse(RefusalCode code, Effect effect = Effect::kNotRun) {
  return entry::Response(Refusal{code, effect, "test", std::nullopt});
}

TEST_CASE("a submission is sent to the owner; only the first answer is used") {
  auto harness = DispatcherHarness::WithOwner();
  const int64_t number = harness->SendRequest(Submit());
  REQUIRE(harness->WaitForCalls(1));
  const entry::Call& call = harness->calls[0];
  CHECK(call.peer == "s1:1");
  const auto& sent = std::get<partition::SubmitJob>(call.request);
  CHECK(sent.partition == PartitionId("p"));
  CHECK(sent.team == TeamId("rilapak"));
  CHECK(sent.request == RequestId("r1"));
  CHECK(sent.revision == Revision{7});
  call.reply_to.Send(entry::Response(Job("p.1")));
  call.reply_to.Send(entry::Response(Job("p.2")));
  CHECK(std::get<JobView>(harness->ExpectAnswer(number)).id == JobId("p.1"));
}

// A dispatcher that has seen the queue below "/lots/" move from intake to
// vision. s1 owns intake's partition, s2 vision's.
std::unique_ptr<DispatcherHarness> MakeMovedQueue(
    bool intake_has_owner = true) {
  auto harness = std::make_unique<DispatcherHarness>();
  harness->SetMovedQueue(intake_has_owner);
  return harness;
}

// Guards against accepted jobs that are answered with "gone", and against a
// second acceptance, after a configuration has moved their queue.
TEST_CASE("a moved queue's workflows are looked up in its former service") {
  const caller::Destination to{"h", "/lots/5c0e7a21d94b36f8"};
  const RequestId request("5c0e7a21d94b36f8");
  const entry::CallResult view =
      entry::Response(WorkflowView{request, TeamId("rilapak"), {}});
  const entry::CallResult gone = Refuse(RefusalCode::kGone);
  struct Case {
    std::string name;
    caller::Request request;
    std::vector<std::string> peers;  // In the order of the calls.
    std::vector<entry::CallResult> results;
    bool found;
  };
  const Case cases[] = {
      {"a get of a new workflow",
       caller::GetWorkflow{to, request},
       {"s2:1"},
       {view},
       true},
      {"a get of an earlier one",
       caller::GetWorkflow{to, request},
       {"s2:1", "s1:1"},
       {gone, view},
       true},
      {"a get of none",
       caller::GetWorkflow{to, request},
       {"s2:1", "s1:1"},
       {gone, gone},
       false},
      {"a cancellation of an earlier one",
       caller::CancelWorkflow{to, request},
       {"s2:1", "s1:1"},
       {gone, view},
       true},
      {"the owner that has it can't be reached at first",
       caller::GetWorkflow{to, request},
       {"s2:1", "s1:1", "s1:1"},
       {gone, Fail(entry::FailureCode::kNotSent), view},
       true},
      {"the other owner can't be reached",
       caller::GetWorkflow{to, request},
       {"s2:1", "s1:1"},
       {Fail(entry::FailureCode::kNotSent), view},
       true},
      {"a repeated submission",
       caller::SubmitWorkflow{to, request, {}},
       {"s1:1"},
       {view},
       true},
      {"a first submission",
       caller::SubmitWorkflow{to, request, {}},
       {"s1:1", "s2:1"},
       {gone, view},
       true},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    auto harness = MakeMovedQueue();
    const int64_t number = harness->SendRequest(c.request);
    for (size_t i = 0; i < c.results.size(); ++i) {
      REQUIRE(harness->WaitForCalls(i + 1));
      CHECK(harness->calls[i].peer == c.peers[i]);
      harness->calls[i].reply_to.Send(c.results[i]);
    }
    const caller::Response response = harness->ExpectAnswer(number);
    CHECK(std::holds_alternative<WorkflowView>(response) == c.found);
    CHECK(harness->calls.size() == c.peers.size());
  }
}

TEST_CASE("an owner that can't be reached is not taken for one without a job") {
  auto harness = MakeMovedQueue(/*intake_has_owner=*/false);
  const caller::Destination to{"h", "/lots/5c0e7a21d94b36f8"};
  const RequestId request("5c0e7a21d94b36f8");
  const int64_t get =
      harness->SendRequest(caller::GetWorkflow{to, request}, Duration(100));
  REQUIRE(harness->WaitForCalls(1));
  harness->calls[0].reply_to.Send(Refuse(RefusalCode::kGone));
  CHECK(harness->ExpectRefusal(get).code == RefusalCode::kUnavailable);
  const int64_t submission = harness->SendRequest(
      caller::SubmitWorkflow{to, request, {}}, Duration(100));
  CHECK(harness->ExpectRefusal(submission).effect == Effect::kNotRun);
  CHECK(harness->calls.size() == 1);
}

// Guards against a submission that waits for its deadline, or is accepted a
// second time, while the owner in a former service can't tell whether it has
// it.
TEST_CASE(
    "a submission that can't be looked up is refused as not run in time") {
  struct Case {
    std::string name;
    std::optional<entry::CallResult> result;  // Of each lookup; may be none.
  };
  const Case cases[] = {
      {"the owner doesn't answer", std::nullopt},
      {"the owner's answers are lost", Fail(entry::FailureCode::kNoAnswer)},
      {"the owner can't be reached", Fail(entry::FailureCode::kNotSent)},
      {"the owner is behind the configuration",
       Refuse(RefusalCode::kStaleConfiguration)},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    Options options = TestOptions();
    options.not_run_submit_timeout = Duration(50);
    DispatcherHarness harness(options);
    harness.SetMovedQueue(/*intake_has_owner=*/true);
    const MonotonicTime asked = Now();
    const int64_t number = harness.SendRequest(caller::SubmitWorkflow{
        {"h", "/lots/5c0e7a21d94b36f8"}, RequestId("5c0e7a21d94b36f8"), {}});
    size_t answered = 0;
    REQUIRE(TurnUntil(harness.loop(), [&] {
      for (; c.result && answered < harness.calls.size(); ++answered) {
        harness.calls[answered].reply_to.Send(*c.result);
      }
      return !harness.answers[number].empty();
    }));
    const Refusal refusal = harness.ExpectRefusal(number);
    CHECK(Now() - asked < kLongTimeout / 2);
    CHECK(refusal.effect == Effect::kNotRun);
    CHECK(refusal.retry_after.has_value());
    REQUIRE_FALSE(harness.calls.empty());
    for (const entry::Call& call : harness.calls) {
      CHECK(std::holds_alternative<partition::FindWorkflow>(call.request));
    }
  }
}

// Guards against a second acceptance by a submission that was on its way to the
// former service when its queue moved.
TEST_CASE("a submission under way is routed again when its queue has moved") {
  DispatcherHarness harness;
  harness.SetMovableQueue("intake", 7, {});
  const int64_t number = harness.SendRequest(caller::SubmitWorkflow{
      {"h", "/lots/5c0e7a21d94b36f8"}, RequestId("5c0e7a21d94b36f8"), {}});
  REQUIRE(harness.WaitForCalls(1));
  CHECK(harness.calls[0].peer == "s1:1");
  harness.SetMovedQueue(true);
  harness.calls[0].reply_to.Send(Fail(entry::FailureCode::kNoAnswer));
  REQUIRE(harness.WaitForCalls(2));
  CHECK(harness.calls[1].peer == "s1:1");
  CHECK(std::get<partition::FindWorkflow>(harness.calls[1].request).revision ==
        Revision{8});
  harness.calls[1].reply_to.Send(Refuse(RefusalCode::kGone));
  REQUIRE(harness.WaitForCalls(3));
  CHECK(harness.calls[2].peer == "s2:1");
  CHECK(std::holds_alternative<partition::SubmitWorkflow>(
      harness.calls[2].request));
  harness.calls[2].reply_to.Send(entry::Response(WorkflowView{}));
  CHECK(std::holds_alternative<WorkflowView>(harness.ExpectAnswer(number)));
}

TEST_CASE("a moved queue counts the workflows of both services") {
  auto harness = MakeMovedQueue();
  const int64_t number =
      harness->SendRequest(caller::CountWaiting{{"h", "/lots/"}});
  REQUIRE(harness->WaitForCalls(2));
  for (const entry::Call& call : harness->calls) {
    call.reply_to.Send(entry::Response(partition::WaitingCount{3}));
  }
  CHECK(std::get<partition::WaitingCount>(harness->ExpectAnswer(number))
            .workflows == 6);
}

caller::SubmitWorkflow SubmitPerpetual(int32_t tasks) {
  caller::SubmitWorkflow submit{
      {"h", "/lots/5c0e7a21d94b36f8"}, RequestId("5c0e7a21d94b36f8"), {}};
  submit.spec.steps.resize(1);
  submit.spec.steps[0].job.policy = ServicePolicy{};
  submit.spec.steps[0].job.perpetual = true;
  submit.spec.steps[0].job.tasks = tasks;
  return submit;
}

Options DividingOptions() {
  Options options = TestOptions();
  options.min_divided_tasks = 8;
  return options;
}

entry::CallResult ViewOfParts(int32_t parts,
                              WorkflowState state = WorkflowState::kQueued) {
  return entry::Response(WorkflowView{RequestId("5c0e7a21d94b36f8"),
                                      TeamId("rilapak"), state, parts});
}

// Guards against a lasting step that waits for ever, because it is wider than
// the workers that may run it in one partition.
TEST_CASE("a wide perpetual step is divided over all partitions") {
  DispatcherHarness harness(DividingOptions());
  harness.SetLayout(3);
  const int64_t number = harness.SendRequest(SubmitPerpetual(34));
  std::set<std::string> peers;
  for (int32_t part = 0; part < 3; ++part) {
    REQUIRE(harness.WaitForCalls(part + 1));
    CHECK(harness.answers[number].empty());
    const entry::Call& call = harness.calls[part];
    const auto& sent = std::get<partition::SubmitWorkflow>(call.request);
    CHECK(sent.spec.steps[0].job.share == TaskShare{part, 3});
    CHECK(sent.spec.steps[0].job.tasks == 34);
    peers.insert(call.peer);
    call.reply_to.Send(ViewOfParts(3));
  }
  CHECK(std::holds_alternative<WorkflowView>(harness.ExpectAnswer(number)));
  CHECK(peers.size() == 3);
  CHECK(harness.calls.size() == 3);
}

TEST_CASE("only workflows of one wide perpetual step are divided") {
  caller::SubmitWorkflow two_steps = SubmitPerpetual(34);
  two_steps.spec.steps.push_back(two_steps.spec.steps[0]);
  caller::SubmitWorkflow repeated = SubmitPerpetual(34);
  repeated.spec.occurrences = 2;
  caller::SubmitWorkflow batch = SubmitPerpetual(34);
  batch.spec.steps[0].job.perpetual = false;
  caller::SubmitWorkflow gang = SubmitPerpetual(34);
  gang.spec.steps[0].job.policy = GangPolicy{};
  for (const auto& submit :
       {SubmitPerpetual(7), two_steps, repeated, batch, gang}) {
    DispatcherHarness harness(DividingOptions());
    harness.SetLayout(3);
    harness.SendRequest(submit);
    REQUIRE(harness.WaitForCalls(1));
    const auto& sent =
        std::get<partition::SubmitWorkflow>(harness.calls[0].request);
    CHECK(sent.spec.steps[0].job.share == TaskShare{});
  }
}

// Guards against tasks that no partition runs, because a step was divided for
// the service that its queue had before.
TEST_CASE("a divided submission that is routed again is divided anew") {
  DispatcherHarness harness(DividingOptions());
  harness.SetLayout(3);
  const int64_t number = harness.SendRequest(SubmitPerpetual(34));
  REQUIRE(harness.WaitForCalls(1));
  harness.SetMovedQueue(true);  // To a service with one partition.
  harness.calls[0].reply_to.Send(Refuse(RefusalCode::kStaleConfiguration));
  REQUIRE(harness.WaitForCalls(2));
  harness.calls[1].reply_to.Send(Refuse(RefusalCode::kGone));
  REQUIRE(harness.WaitForCalls(3));
  const auto& sent =
      std::get<partition::SubmitWorkflow>(harness.calls[2].request);
  CHECK(harness.calls[2].peer == "s2:1");
  CHECK(sent.spec.steps[0].job.share == TaskShare{});
  harness.calls[2].reply_to.Send(ViewOfParts(1));
  CHECK(std::holds_alternative<WorkflowView>(harness.ExpectAnswer(number)));
}

TEST_CASE("a submission is not answered as not run once a part is accepted") {
  DispatcherHarness harness(DividingOptions());
  harness.SetLayout(3);
  const int64_t number = harness.SendRequest(SubmitPerpetual(34));
  REQUIRE(harness.WaitForCalls(1));
  harness.calls[0].reply_to.Send(ViewOfParts(3));
  REQUIRE(harness.WaitForCalls(2));
  harness.calls[1].reply_to.Send(Refuse(RefusalCode::kQueueFull));
  CHECK(harness.ExpectRefusal(number).effect == Effect::kUnknown);
}

// Guards against tasks that run on after the cancellation was acknowledged.
TEST_CASE("a cancellation is answered once all parts are cancelled") {
  for (const int32_t parts : {3, 0}) {
    CAPTURE(parts);
    DispatcherHarness harness(DividingOptions());
    harness.SetLayout(3);
    const int64_t number = harness.SendRequest(caller::CancelWorkflow{
        {"h", "/lots/5c0e7a21d94b36f8"}, RequestId("5c0e7a21d94b36f8")});
    REQUIRE(harness.WaitForCalls(1));
    harness.calls[0].reply_to.Send(
        ViewOfParts(parts, WorkflowState::kCancelled));
    REQUIRE(harness.WaitForCalls(2));
    harness.calls[1].reply_to.Send(Fail(entry::FailureCode::kNoAnswer));
    REQUIRE(harness.WaitForCalls(3));
    CHECK(harness.calls[2].peer == harness.calls[1].peer);
    harness.calls[2].reply_to.Send(Refuse(RefusalCode::kGone));
    REQUIRE(harness.WaitForCalls(4));
    CHECK(harness.answers[number].empty());
    harness.calls[3].reply_to.Send(ViewOfParts(parts));
    const auto view = std::get<WorkflowView>(harness.ExpectAnswer(number));
    CHECK(view.state == WorkflowState::kCancelled);
    CHECK(std::set<std::string>{harness.calls[0].peer, harness.calls[1].peer,
                                harness.calls[3].peer}
              .size() == 3);
  }
}

TEST_CASE("answers in another order are matched to their own requests") {
  auto harness = DispatcherHarness::WithOwner();
  std::vector<int64_t> numbers;
  numbers.reserve(20);
  for (int i = 0; i < 20; ++i) {
    numbers.push_back(harness->SendRequest(Get("p." + std::to_string(i))));
  }
  REQUIRE(harness->WaitForCalls(20));
  for (int i = 19; i >= 0; --i) {
    const auto& get = std::get<partition::GetJob>(harness->calls[i].request);
    harness->calls[i].reply_to.Send(entry::Response(Job(get.job.value())));
  }
  for (int i = 0; i < 20; ++i) {
    CHECK(std::get<JobView>(harness->ExpectAnswer(numbers[i])).id ==
          JobId("p." + std::to_string(i)));
  }
}

TEST_CASE("an inadmissible request is refused as not run and is never sent") {
  struct Case {
    caller::Request request;
    std::string key;
    RefusalCode code;
  };
  const Case cases[] = {
      {Submit(), "other", RefusalCode::kUnauthenticated},
      {Submit("no-such"), kSecret, RefusalCode::kNotFound},
      {Submit("odd"), kSecret, RefusalCode::kNotFound},
      {Get("q.1"), kSecret, RefusalCode::kNotFound},
      {Get("nonsense"), kSecret, RefusalCode::kNotFound},
      {caller::Cancel{JobId("q.1")}, kSecret, RefusalCode::kNotFound},
  };
  auto harness = DispatcherHarness::WithOwner();
  for (const Case& c : cases) {
    const Refusal refusal = harness->ExpectRefusal(
        harness->SendRequest(c.request, kLongTimeout, c.key));
    CHECK(refusal.code == c.code);
    CHECK(refusal.effect == Effect::kNotRun);
  }
  CHECK(harness->calls.empty());
}

TEST_CASE("nothing is sent without a configuration that is in force") {
  DispatcherHarness harness;
  harness.SetOwner("s1", 1);
  CHECK(harness.ExpectRefusal(harness.SendRequest(Submit())).code ==
        RefusalCode::kStaleConfiguration);
  harness.SetConfiguration(TestConfiguration(),
                           configuration::Stale{"cut off"});
  CHECK(harness.ExpectRefusal(harness.SendRequest(Submit())).code ==
        RefusalCode::kStaleConfiguration);
  CHECK(harness.calls.empty());
}

TEST_CASE("withdrawing a key refuses new and pending requests at once") {
  auto harness = DispatcherHarness::WithOwner();
  const int64_t held = harness->SendRequest(Get("p.1", kLongTimeout));
  const int64_t submitted = harness->SendRequest(Submit());
  REQUIRE(harness->WaitForCalls(2));
  Configuration configuration = TestConfiguration();
  configuration.keys[KeyId("k1")].withdrawn = true;
  harness->SetConfiguration(configuration);
  CHECK(harness->ExpectRefusal(harness->SendRequest(Submit())).code ==
        RefusalCode::kUnauthenticated);
  CHECK(harness->ExpectRefusal(held).effect == Effect::kNotRun);
  const Refusal refusal = harness->ExpectRefusal(submitted);
  CHECK(refusal.code == RefusalCode::kUnauthenticated);
  CHECK(refusal.effect == Effect::kUnknown);
  CHECK(harness->calls.size() == 2);
}

TEST_CASE("the reported effect accounts for all earlier attempts") {
  using entry::FailureCode;
  struct Case {
    std::string name;
    caller::Request request;
    std::vector<entry::CallResult> results;
    RefusalCode code;
    Effect effect;
  };
  const Case cases[] = {
      {"refused by the owner",
       Submit(),
       {Refuse(RefusalCode::kQueueFull)},
       RefusalCode::kQueueFull,
       Effect::kNotRun},
      {"refused after nothing was sent",
       Submit(),
       {Fail(FailureCode::kNotSent), Refuse(RefusalCode::kQueueFull)},
       RefusalCode::kQueueFull,
       Effect::kNotRun},
      {"refused by a former owner first",
       Submit(),
       {Refuse(RefusalCode::kNotOwner), Refuse(RefusalCode::kNeverFits)},
       RefusalCode::kNeverFits,
       Effect::kNotRun},
      {"refused after an answer was lost",
       Submit(),
       {Fail(FailureCode::kNoAnswer), Refuse(RefusalCode::kQueueFull)},
       RefusalCode::kQueueFull,
       Effect::kUnknown},
      {"unknown to a former owner",
       Submit(),
       {Refuse(RefusalCode::kNotOwner, Effect::kUnknown),
        Refuse(RefusalCode::kQueueFull)},
       RefusalCode::kQueueFull,
       Effect::kUnknown},
      {"a cancellation after a lost answer",
       caller::Cancel{JobId("p.1")},
       {Fail(FailureCode::kNoAnswer), Refuse(RefusalCode::kStoreUnavailable)},
       RefusalCode::kStoreUnavailable,
       Effect::kUnknown},
      {"a read after a lost answer",
       Get("p.1"),
       {Fail(FailureCode::kNoAnswer), Refuse(RefusalCode::kNotFound)},
       RefusalCode::kNotFound,
       Effect::kNotRun},
      {"an answer of another kind",
       Submit(),
       {entry::Response(entry::Gossip{})},
       RefusalCode::kInternal,
       Effect::kUnknown},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    auto harness = DispatcherHarness::WithOwner();
    const int64_t number = harness->SendRequest(c.request);
    for (size_t i = 0; i < c.results.size(); ++i) {
      REQUIRE(harness->WaitForCalls(i + 1));
      harness->calls[i].reply_to.Send(c.results[i]);
    }
    const Refusal refusal = harness->ExpectRefusal(number);
    CHECK(refusal.code == c.code);
    CHECK(refusal.effect == c.effect);
    CHECK(harness->calls.size() == c.results.size());
  }
}

TEST_CASE("a request is refused at its deadline with the known effect") {
  auto silent = DispatcherHarness::WithOwner();
  const Refusal unanswered =
      silent->ExpectRefusal(silent->SendRequest(Submit(), Duration(30)));
  CHECK(unanswered.code == RefusalCode::kUnavailable);
  CHECK(unanswered.effect == Effect::kUnknown);
  REQUIRE(silent->calls.size() == 1);
  CHECK(silent->calls[0].timeout <= Duration(30));
  // A late answer is dropped.
  silent->calls[0].reply_to.Send(entry::Response(Job("p.1")));
  silent->HandlePendingMessages();
  CHECK(silent->answers[1].size() == 1);

  DispatcherHarness ownerless;
  ownerless.SetConfiguration(TestConfiguration());
  const Refusal unsent =
      ownerless.ExpectRefusal(ownerless.SendRequest(Submit(), Duration(30)));
  CHECK(unsent.code == RefusalCode::kUnavailable);
  CHECK(unsent.effect == Effect::kNotRun);
}

TEST_CASE("a request waits for an owner and is then sent once") {
  DispatcherHarness harness;
  harness.SetConfiguration(TestConfiguration());
  harness.SetOwner("", 1);
  const int64_t number = harness.SendRequest(Submit());
  harness.HandlePendingMessages();
  CHECK(harness.calls.empty());
  harness.SetOwner("s2", 2);
  REQUIRE(harness.WaitForCalls(1));
  CHECK(harness.calls[0].peer == "s2:1");
  harness.calls[0].reply_to.Send(entry::Response(Job("p.1")));
  CHECK(std::holds_alternative<JobView>(harness.ExpectAnswer(number)));
  CHECK(harness.calls.size() == 1);
}

TEST_CASE("a held read moves to the new owner with the rest of its wait") {
  auto harness = DispatcherHarness::WithOwner();
  const int64_t number = harness->SendRequest(Get("p.1", Duration(5'000)));
  REQUIRE(harness->WaitForCalls(1));
  CHECK(harness->calls[0].timeout > Duration(5'000));
  harness->HandlePendingMessages();
  harness->SetOwner("s2", 2);
  REQUIRE(harness->WaitForCalls(2));
  CHECK(harness->calls[1].peer == "s2:1");
  const auto& again = std::get<partition::GetJob>(harness->calls[1].request);
  CHECK(again.wait < Duration(5'000));
  CHECK(again.wait > Duration(0));
  harness->calls[0].reply_to.Send(entry::Response(Job("late")));
  harness->calls[1].reply_to.Send(entry::Response(Job("p.1")));
  CHECK(std::get<JobView>(harness->ExpectAnswer(number)).id == JobId("p.1"));
}

TEST_CASE("at shutdown held reads are sent again without a wait") {
  auto harness = DispatcherHarness::WithOwner();
  const int64_t number = harness->SendRequest(Get("p.1", kLongTimeout));
  REQUIRE(harness->WaitForCalls(1));
  harness->dispatcher().drain().Send(Drain{});
  REQUIRE(harness->WaitForCalls(2));
  CHECK(std::get<partition::GetJob>(harness->calls[1].request).wait ==
        Duration(0));
  harness->calls[1].reply_to.Send(entry::Response(Job("p.1")));
  CHECK(std::holds_alternative<JobView>(harness->ExpectAnswer(number)));
}

// Guards against requests that a process leaves unanswered when it exits.
TEST_CASE("before the process exits, what is open is answered by its effect") {
  auto harness = DispatcherHarness::WithOwner();
  const int64_t sent = harness->SendRequest(Submit(), kLongTimeout);
  const int64_t read = harness->SendRequest(Get("p.1", kLongTimeout));
  REQUIRE(harness->WaitForCalls(2));
  harness->SetOwner("", 2);
  const int64_t waits = harness->SendRequest(Submit(), kLongTimeout);
  harness->dispatcher().stop().Send(Stop{});
  const int64_t late = harness->SendRequest(Submit(), kLongTimeout);
  const struct {
    int64_t number;
    Effect effect;
  } cases[] = {{sent, Effect::kUnknown},
               {read, Effect::kNotRun},
               {waits, Effect::kNotRun},
               {late, Effect::kNotRun}};
  for (const auto& request : cases) {
    CAPTURE(request.number);
    const auto answer = harness->ExpectAnswer(request.number);
    REQUIRE(std::holds_alternative<Refusal>(answer));
    const auto& refusal = std::get<Refusal>(answer);
    CHECK(refusal.code == RefusalCode::kShuttingDown);
    CHECK(refusal.effect == request.effect);
    CHECK(refusal.retry_after.has_value());
  }
  CHECK(harness->calls.size() == 2);
}

TEST_CASE("the retries of all requests together stay within the budget") {
  constexpr int kRequests = 200;
  Options options = TestOptions();
  options.retries = {.per_request = 0.1, .per_second = 0, .burst = 10};
  auto harness = DispatcherHarness::WithOwner(options);
  std::vector<int64_t> numbers;
  numbers.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    numbers.push_back(harness->SendRequest(Submit(), Duration(300)));
  }
  size_t answered = 0;
  size_t failed_calls = 0;
  REQUIRE(TurnUntil(harness->loop(), [&] {
    for (; failed_calls < harness->calls.size(); ++failed_calls) {
      harness->calls[failed_calls].reply_to.Send(
          Fail(entry::FailureCode::kNotSent));
    }
    answered = harness->answers.size();
    return answered == kRequests;
  }));
  // One call for each request, a tenth more for retries, and the burst.
  CHECK(harness->calls.size() <= kRequests + kRequests / 10 + 10);
  CHECK(harness->calls.size() > kRequests);
  for (const int64_t number : numbers) {
    CHECK(harness->ExpectRefusal(number).effect == Effect::kNotRun);
  }
}

TEST_CASE(
    "open requests of a team are limited; answered ones free their place") {
  Options options = TestOptions();
  options.max_open_per_team = 3;
  auto harness = DispatcherHarness::WithOwner(options);
  for (int i = 0; i < 3; ++i) harness->SendRequest(Get("p.1", kLongTimeout));
  REQUIRE(harness->WaitForCalls(3));
  const Refusal refusal =
      harness->ExpectRefusal(harness->SendRequest(Get("p.1")));
  CHECK(refusal.code == RefusalCode::kQueueFull);
  CHECK(refusal.retry_after.has_value());
  harness->calls[0].reply_to.Send(entry::Response(Job("p.1")));
  harness->dispatcher().callers().Send(caller::Event(caller::Abandoned{{2}}));
  harness->HandlePendingMessages();
  harness->SendRequest(Get("p.1"));
  harness->SendRequest(Get("p.1"));
  CHECK(harness->WaitForCalls(5));
}

TEST_CASE("status queries every scheduler and marks those without an answer") {
  auto harness = DispatcherHarness::WithOwner();
  std::optional<operators::CellResponse> answer;
  harness->dispatcher().operators().Send(
      {operators::GetStatus{}, kLongTimeout,
       task::Address<operators::CellResponse>(
           [&](operators::CellResponse r) { answer = std::move(r); })});
  REQUIRE(harness->WaitForCalls(1));
  CHECK(std::holds_alternative<entry::GetStatus>(harness->calls[0].request));
  harness->calls[0].reply_to.Send(Fail(entry::FailureCode::kNoAnswer));
  REQUIRE(TurnUntil(harness->loop(), [&] { return answer.has_value(); }));
  const auto& status = std::get<operators::CellStatus>(*answer);
  CHECK(status.answered_by == MemberId("f1"));
  CHECK(status.may_start);
  REQUIRE(status.members.size() == 1);
  CHECK_FALSE(status.members[0].answered);
  REQUIRE(status.partitions.size() == 1);
  CHECK(status.partitions[0].owner == MemberId("s1"));
  CHECK_FALSE(status.partitions[0].answered);
}

TEST_CASE("a submission without an owner is refused long before its deadline") {
  Options options = TestOptions();
  options.not_run_submit_timeout = Duration(50);
  DispatcherHarness harness(options);
  harness.SetConfiguration(TestConfiguration());
  harness.SetOwner("", 1);
  const MonotonicTime asked = BootClock::now();
  const int64_t number = harness.SendRequest(Submit());
  const Refusal refusal = harness.ExpectRefusal(number);
  CHECK(BootClock::now() - asked < kLongTimeout / 2);
  CHECK(refusal.effect == Effect::kNotRun);
  CHECK(refusal.retry_after.has_value());
}

TEST_CASE("a submission that may have run has a timeout of its own") {
  Options options = TestOptions();
  options.not_run_submit_timeout = Duration(20);
  options.unknown_submit_timeout = Duration(150);
  auto harness = DispatcherHarness::WithOwner(options);
  const int64_t number = harness->SendRequest(Submit());
  REQUIRE(harness->WaitForCalls(1));
  const Refusal refusal = harness->ExpectRefusal(number);
  CHECK(refusal.effect == Effect::kUnknown);
}

Options LayoutOptions() {
  Options options = TestOptions();
  options.partitions.clear();
  return options;
}

const caller::Destination kLots{"h", "/lots/1"};

PartitionId PartitionOfCall(const entry::Call& call) {
  return std::visit(
      [](const auto& request) {
        if constexpr (requires { request.partition; }) {
          return request.partition;
        } else {
          return PartitionId();
        }
      },
      call.request);
}

// Guards against a retry, get or cancel that goes to another partition than the
// one that holds the workflow.
TEST_CASE("all requests about a workflow go to the same partition") {
  DispatcherHarness harness(LayoutOptions());
  harness.SetLayout(4);
  std::map<PartitionId, int> counts;
  for (int i = 0; i < 40; ++i) {
    const RequestId id("r" + std::to_string(i));
    WorkflowSpec spec;
    spec.steps.emplace_back();
    harness.SendRequest(caller::SubmitWorkflow{kLots, id, spec});
    harness.SendRequest(caller::SubmitWorkflow{kLots, id, spec});
    harness.SendRequest(caller::GetWorkflow{kLots, id});
    harness.SendRequest(caller::CancelWorkflow{kLots, id});
    REQUIRE(harness.WaitForCalls(4));
    const PartitionId partition = PartitionOfCall(harness.calls[0]);
    ++counts[partition];
    for (const entry::Call& call : harness.calls) {
      CHECK(PartitionOfCall(call) == partition);
    }
    harness.calls.clear();
  }
  CHECK(counts.size() == 4);
}

TEST_CASE("a request is refused with a retry time while there is no layout") {
  DispatcherHarness harness(LayoutOptions());
  harness.SetLayout(0);
  const Refusal refusal = harness.ExpectRefusal(
      harness.SendRequest(caller::GetWorkflow{kLots, RequestId("r")}));
  CHECK(refusal.code == RefusalCode::kUnavailable);
  CHECK(refusal.effect == Effect::kNotRun);
  CHECK(refusal.retry_after.has_value());
  CHECK(harness.calls.empty());
}

// Guards against a count that leaves out workflows of other partitions.
TEST_CASE("a count is the sum over all partitions or a refusal") {
  DispatcherHarness harness(LayoutOptions());
  harness.SetLayout(3);
  const int64_t counted = harness.SendRequest(caller::CountWaiting{kLots});
  REQUIRE(harness.WaitForCalls(3));
  std::set<PartitionId> asked;
  for (const entry::Call& call : harness.calls) {
    asked.insert(PartitionOfCall(call));
  }
  CHECK(asked.size() == 3);
  for (int64_t i = 0; i < 3; ++i) {
    CHECK(harness.answers[counted].empty());
    harness.calls[i].reply_to.Send(
        entry::Response(partition::WaitingCount{10 + i}));
    harness.HandlePendingMessages();
  }
  const caller::Response sum = harness.ExpectAnswer(counted);
  REQUIRE(std::holds_alternative<partition::WaitingCount>(sum));
  CHECK(std::get<partition::WaitingCount>(sum).workflows == 33);

  harness.calls.clear();
  const int64_t partial =
      harness.SendRequest(caller::CountWaiting{kLots}, Duration(40));
  REQUIRE(harness.WaitForCalls(3));
  harness.calls[0].reply_to.Send(entry::Response(partition::WaitingCount{5}));
  CHECK(harness.ExpectRefusal(partial).code == RefusalCode::kUnavailable);
}

// Guards against a use after free: ending one request of a count removes the
// others, which the loop over withdrawn requests may still visit.
TEST_CASE("a withdrawn key or an abandoned request ends the whole count") {
  DispatcherHarness harness(LayoutOptions());
  harness.SetLayout(3);
  const int64_t withdrawn = harness.SendRequest(caller::CountWaiting{kLots});
  REQUIRE(harness.WaitForCalls(3));
  Configuration configuration = TestConfiguration();
  configuration.keys.at(KeyId("k1")).withdrawn = true;
  harness.SetConfiguration(configuration);
  CHECK(harness.ExpectRefusal(withdrawn).code == RefusalCode::kUnauthenticated);

  harness.SetLayout(3);
  harness.calls.clear();
  const int64_t left = harness.SendRequest(caller::CountWaiting{kLots});
  REQUIRE(harness.WaitForCalls(3));
  harness.dispatcher().callers().Send(caller::Event(caller::Abandoned{{left}}));
  for (const entry::Call& call : harness.calls) {
    call.reply_to.Send(entry::Response(partition::WaitingCount{1}));
  }
  harness.HandlePendingMessages();
  CHECK(harness.answers[left].empty());
}

}  // namespace
}  // namespace azurepass::routing
