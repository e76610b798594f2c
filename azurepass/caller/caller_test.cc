// What callers may send, with the code of each refusal.

#include "azurepass/caller/caller.h"

#include <doctest/doctest.h>

#include "azurepass/httpserver/testing/turn.h"

namespace azurepass::caller {
namespace {

using httpserver::testing::Ask;
using httpserver::testing::TurnUntil;

constexpr char kGoodBody[] =
    R"({"request_id":"r1","queue":"lots","task":{"slots":1}})";

// A listener that remembers what came and answers jobs, but for those whose
// request id is "held".
class Listener {
 public:
  explicit Listener(task::Loop& loop)
      : mailbox_(loop, [this](Event event) { Handle(std::move(event)); }) {}
  task::Address<Event> address() const { return mailbox_.address(); }
  std::vector<Incoming> incoming;
  int abandoned = 0;

 private:
  void Handle(Event event) {
    std::visit(Visitor{[this](Incoming& i) { Take(std::move(i)); },
                       [this](const Abandoned&) { ++abandoned; }},
               event);
  }
  void Take(Incoming message) {
    const auto* submit = std::get_if<Submit>(&message.request);
    if (submit == nullptr || submit->request.value() != "held") {
      JobView job;
      job.id = JobId("p.1");
      message.responder.Answer(job);
      message.responder.Answer(Refusal{});  // Too late to count.
    }
    incoming.push_back(std::move(message));
  }
  task::Mailbox<Event> mailbox_;
};

httpserver::Options TestOptions() {
  httpserver::Options options;
  options.address = "127.0.0.1:0";
  return options;
}

struct Bad {
  std::string start;
  std::string key;
  std::string body;
  std::string status;
  std::string code;
};

TEST_CASE("bad input is refused with its code, and the server serves on") {
  const std::string post = "POST /v1/jobs";
  const Bad cases[] = {
      {post, "", kGoodBody, "401", "unauthenticated"},
      {post, "k", "", "400", "invalid_request"},
      {post, "k", R"({"request_id":"r)", "400", "invalid_request"},
      {post, "k", std::string(100'000, '['), "413", "too_large"},
      {post, "k", std::string((1 << 20) + 1, ' '), "413", "too_large"},
      {post, "k", "[]", "400", "invalid_request"},
      {post, "k", R"({"queue":"q","task":{"slots":1}})", "400", "request_id"},
      {post, "k", R"({"request_id":"","queue":"q","task":{"slots":1}})", "400",
       "request_id"},
      {post, "k",
       R"({"request_id":")" + std::string(129, 'r') +
           R"(","queue":"q","task":{"slots":1}})",
       "400", "request_id"},
      {post, "k", R"({"request_id":"a\n","queue":"q","task":{"slots":1}})",
       "400", "request_id"},
      {post, "k", R"({"request_id":"r","queue":"q","task":{"slots":-1}})",
       "400", "task.slots"},
      {post, "k",
       R"({"request_id":"r","queue":"q","task":{"slots":9999999999999999999}})",
       "400", "task.slots"},
      {post, "k", R"({"request_id":"r","queue":7,"task":{"slots":1}})", "400",
       "queue"},
      {post, "k",
       R"({"request_id":"r","queue":"q","task":{"slots":1},"color":1})", "400",
       "color"},
      {"GET /v1/jobs", "k", "", "400", "POST"},
      {"PUT /v1/jobs/p.1", "k", "", "400", "invalid_request"},
      {"GET /v1/jobs/p.1?wait=-1", "k", "", "400", "wait"},
      {"GET /v1/jobs/p.1?wait=1e3", "k", "", "400", "wait"},
      {"GET /v1/jobs/p.1?known=99999999999999999999", "k", "", "400", "known"},
      {"GET /v1/jobs/p.1/else", "k", "", "404", "not_found"},
      {"GET /", "k", "", "404", "not_found"},
  };
  task::Loop loop;
  Listener listener(loop);
  Server server(loop, TestOptions(), listener.address());
  for (const Bad& bad : cases) {
    CAPTURE(bad.start);
    CAPTURE(bad.body.substr(0, 80));
    const std::string answer =
        Ask(loop, server.listening_on(), bad.start, bad.key, bad.body);
    REQUIRE(answer.size() > 12);
    CHECK(answer.substr(9, 3) == bad.status);
    CHECK(answer.find(bad.code) != std::string::npos);
    CHECK(answer.find(R"("effect":"not_run")") != std::string::npos);
    CHECK(listener.incoming.empty());
  }
  const std::string good =
      Ask(loop, server.listening_on(), post, "k", kGoodBody);
  CHECK(good.find(R"("id":"p.1")") != std::string::npos);
  REQUIRE(listener.incoming.size() == 1);
  CHECK(listener.incoming[0].key == "k");
}

TEST_CASE("each request becomes its message") {
  task::Loop loop;
  Listener listener(loop);
  Server server(loop, TestOptions(), listener.address());
  const std::string address = server.listening_on();
  Ask(loop, address, "GET /v1/jobs/p.7?wait=30&known=4", "k");
  Ask(loop, address, "DELETE /v1/jobs/p.7", "k");
  Ask(loop, address, "GET /v1/jobs/p.7/explain", "k");
  REQUIRE(listener.incoming.size() == 3);
  const auto& get = std::get<Get>(listener.incoming[0].request);
  CHECK(get.job == JobId("p.7"));
  CHECK(get.known == 4);
  CHECK(get.wait == std::chrono::seconds(30));
  CHECK(listener.incoming[0].time_left == get.wait + kAnswerTime);
  CHECK(std::get<Cancel>(listener.incoming[1].request).job == JobId("p.7"));
  CHECK(std::get<Explain>(listener.incoming[2].request).job == JobId("p.7"));
}

TEST_CASE("metrics and health need no key") {
  task::Loop loop;
  Listener listener(loop);
  Server server(loop, TestOptions(), listener.address());
  const std::string address = server.listening_on();
  Ask(loop, address, "DELETE /v1/jobs/p.7", "k");
  const std::string text = Ask(loop, address, "GET /metrics", "");
  CHECK(
      text.find("azurepass_caller_latency_seconds_count{kind=\"cancel\"} 1") !=
      std::string::npos);
  CHECK(Ask(loop, address, "GET /readyz", "").find("200 OK") !=
        std::string::npos);
  server.Leave();
  CHECK(Ask(loop, address, "GET /readyz", "").find("shutting down") !=
        std::string::npos);
}

TEST_CASE("a refusal carries its status and when to ask again") {
  const httpserver::Response response = ToHttp(
      Refusal{RefusalCode::kQueueFull, Effect::kNotRun, "full", Duration(1)});
  CHECK(response.status == 429);
  CHECK(response.retry_after == Duration(1));
}

TEST_CASE("a client that goes away is told of; a drain waits for the others") {
  task::Loop loop;
  Listener listener(loop);
  Server server(loop, TestOptions(), listener.address());
  const std::string body =
      R"({"request_id":"held","queue":"lots","task":{"slots":1}})";
  const std::string bytes =
      "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer k\r\n"
      "Content-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  httpserver::testing::RawClient gone(server.listening_on());
  gone.Send(bytes);
  CHECK(TurnUntil(loop, [&] {
    gone.Finished();
    return listener.incoming.size() == 1;
  }));
  gone.Reset();
  CHECK(TurnUntil(loop, [&] { return listener.abandoned == 1; }));

  httpserver::testing::RawClient stays(server.listening_on());
  stays.Send(bytes);
  CHECK(TurnUntil(loop, [&] {
    stays.Finished();
    return listener.incoming.size() == 2;
  }));
  bool drained = false;
  server.Drain(Duration(60'000),
               task::Address<Drained>([&](Drained) { drained = true; }));
  stays.CloseSending();
  listener.incoming[1].responder.Answer(JobView{});
  CHECK(TurnUntil(loop, [&] { return stays.Finished() && drained; }));
  CHECK(stays.received().find("200 OK") != std::string::npos);
}

}  // namespace
}  // namespace azurepass::caller
