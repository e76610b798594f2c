// Client and server against each other, and each kind of failure.

#include "azurepass/http/http.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "azurepass/testing/await.h"
#include "azurepass/testing/slow_peer.h"

namespace azurepass::http {
namespace {

constexpr Duration kShort{100};
constexpr Duration kLong{30'000};

// Answers by path; counts what reached it.
class Peer {
 public:
  explicit Peer(task::Loop& loop)
      : server_(loop, [this](const ServerRequest& request,
                             const Responder& responder) {
          Handle(request, responder);
        }) {}

  std::string Listen(const std::string& address = "127.0.0.1:0") {
    const auto bound = server_.Listen(address);
    REQUIRE(std::holds_alternative<Server::Bound>(bound));
    return std::get<Server::Bound>(bound).address;
  }

 private:
  void Handle(const ServerRequest& request, const Responder& responder) {
    if (request.path == "/drop-second" && ++second_ < 2) {
      return responder.Answer(kOk, "first");
    }
    if (request.path == "/hang") {
      held_.push_back(responder);
    } else if (request.path == "/count") {
      responder.Answer(kOk, std::to_string(drops_));
    } else if (request.path.rfind("/drop", 0) == 0) {
      ++drops_;
      responder.Drop();
    } else {
      responder.Answer(kOk, request.method + " " + request.path + " " +
                                request.Query("q") + " " + request.body);
    }
  }

  int drops_ = 0;
  int second_ = 0;
  std::vector<Responder> held_;
  Server server_;
};

struct Fixture {
  task::Loop loop;
  Peer peer{loop};
  std::string address = peer.Listen();
  testing::HttpCaller caller{loop};
  Fixture() { loop.Start(); }
  ~Fixture() { loop.Stop(); }

  Result Send(const std::string& method, const std::string& target,
              Duration timeout = kLong, const std::string& body = "") {
    return caller.Send({method, address, target, body, timeout});
  }
};

std::string Body(const Result& result) {
  const auto* response = std::get_if<Response>(&result);
  return response == nullptr ? "failure" : response->body;
}

std::optional<FailureKind> Kind(const Result& result) {
  const auto* failure = std::get_if<Failure>(&result);
  if (failure == nullptr) return {};
  return failure->kind;
}

TEST_CASE("method, path, query and body arrive, and the answer comes back") {
  Fixture f;
  CHECK(Body(f.Send("PUT",
                    "/a/" + EscapePath("x y/%") + "?q=" + EscapeQuery("1&2"),
                    kLong, "body")) == "PUT /a/x y/% 1&2 body");
  CHECK(Body(f.Send("GET", "/plain")) == "GET /plain  ");
}

TEST_CASE("a held request times out with an unknown outcome") {
  Fixture f;
  CHECK(Kind(f.Send("POST", "/hang", kShort, "x")) == FailureKind::kNoAnswer);
  CHECK(Body(f.Send("GET", "/still-serving")) == "GET /still-serving  ");
}

TEST_CASE("a refused connection is certainly not sent") {
  Fixture f;
  // Port 1 of the loopback is reserved; nothing listens there.
  f.address = "127.0.0.1:1";
  CHECK(Kind(f.Send("PUT", "/x", kLong, "x")) == FailureKind::kNotSent);
  f.address = "not an address";
  CHECK(Kind(f.Send("PUT", "/x", kLong, "x")) == FailureKind::kNotSent);
}

TEST_CASE("a request whose kept connection breaks is not sent again") {
  for (const char* method : {"GET", "PUT", "DELETE", "POST"}) {
    CAPTURE(method);
    Fixture f;
    // The first answer leaves a kept connection, on which the second breaks.
    CHECK(Body(f.Send(method, "/drop-second")) == "first");
    CHECK(Kind(f.Send(method, "/drop-second")) == FailureKind::kNoAnswer);
    CHECK(Body(f.Send("GET", "/count")) == "1");
  }
}

TEST_CASE("requests of every method share a kept connection") {
  Fixture f;
  for (const char* method : {"POST", "GET", "PUT", "DELETE", "POST"}) {
    CHECK(!Kind(f.Send(method, "/x", kLong, "body")).has_value());
  }
  CHECK(f.caller.Traffic().requests == 5);
  CHECK(f.caller.Traffic().connections == 1);
}

TEST_CASE("an answer to a request whose server was closed goes nowhere") {
  task::Loop loop;
  std::vector<Responder> held;
  Server server(loop, [&](const ServerRequest&, const Responder& responder) {
    held.push_back(responder);
    server.Close();
  });
  const auto bound = server.Listen("127.0.0.1:0");
  testing::HttpCaller caller(loop);
  loop.Start();
  CHECK(Kind(caller.Send({"GET", std::get<Server::Bound>(bound).address, "/x",
                          "", kLong})) == FailureKind::kNoAnswer);
  loop.Stop();
  REQUIRE(held.size() == 1);
  CHECK(held[0].closed());
  held[0].Answer(kOk, "late");
}

TEST_CASE("a client that goes while a call is in flight leaves nothing") {
  task::Loop loop;
  Peer peer(loop);
  const std::string address = peer.Listen();
  auto caller = std::make_unique<testing::HttpCaller>(loop);
  loop.Start();
  auto held = caller->Start({"GET", address, "/hang", "", kLong});
  auto invalid = caller->Start({"GET", "not an address", "/", "", kLong});
  // Answered after the others have been sent.
  caller->Send({"GET", address, "/plain", "", kLong});
  loop.Stop();
  caller.reset();
  CHECK_THROWS_AS(held.get(), std::future_error);  // Its promise is gone.
}

// What is sent to a peer behind a narrow link, and how much of it came.
struct SlowCall {
  SlowCall(const testing::SlowPeerOptions& options,
           std::optional<Duration> stall_timeout)
      : peer(loop, options) {
    loop.Start();
    Request request{"GET", peer.address(), "/", "", kShort};
    request.stall_timeout = stall_timeout;
    request.on_progress = [this](int64_t received) {
      parts.push_back(received);
    };
    result = caller.Send(request);
    loop.Stop();
  }

  task::Loop loop;
  testing::SlowPeer peer;
  testing::HttpCaller caller{loop};
  std::vector<int64_t> parts;
  Result result;
};

// Guards against a document that is given up and asked for again and again
// because the link takes longer for it than a call may take.
TEST_CASE("an answer that keeps coming may take longer than the timeout") {
  // The second part is what the client reads at a time.
  for (const size_t part : {size_t{1'000}, size_t{16'384}}) {
    CAPTURE(part);
    testing::SlowPeerOptions options;
    options.body = std::string(60 * part, 'x');  // 300 ms.
    options.bytes_per_step = part;
    SlowCall bounded(options, std::nullopt);
    CHECK(Kind(bounded.result) == FailureKind::kNoAnswer);
    SlowCall patient(options, kShort);
    CHECK(Body(patient.result) == options.body);
    REQUIRE(patient.parts.size() > 2);
    CHECK(std::is_sorted(patient.parts.begin(), patient.parts.end()));
    CHECK(patient.parts.back() < std::ssize(options.body) + 100);
  }
}

TEST_CASE("an answer that stops in the middle fails, and tells what had come") {
  testing::SlowPeerOptions options;
  options.body = std::string(60'000, 'x');
  options.stall_after = 10'000;
  options.whole_from = 2;
  for (const bool drops : {false, true}) {
    CAPTURE(drops);
    options.drops = drops;
    const SlowCall call(options, kShort);
    CHECK(Kind(call.result) == FailureKind::kNoAnswer);
    CHECK(std::get<Failure>(call.result).received == 10'000);
  }
}

}  // namespace
}  // namespace azurepass::http
