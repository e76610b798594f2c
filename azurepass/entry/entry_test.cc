// Server and Client over real sockets of 127.0.0.1, with faults in between:
// crossed and late answers, a peer that dies, garbage, bounds, draining.

#include "azurepass/entry/entry.h"

#include <doctest/doctest.h>
#include <gio/gio.h>

#include <future>
#include <map>
#include <optional>
#include <utility>

#include "azurepass/testing/inbox.h"

namespace azurepass::entry {
namespace {

using testing::Inbox;
using testing::kLong;

constexpr int kCalls = 3'000;  // Of the tests under load.

struct ServerUnderTest {
  explicit ServerUnderTest(const ServerOptions& options = {"127.0.0.1:0"})
      : server(std::make_unique<Server>(loop, options, incoming.address())) {
    loop.Start();
  }
  ~ServerUnderTest() { Kill(); }
  void Kill() {
    loop.Stop();
    server.reset();
  }

  Inbox<Incoming> incoming;
  task::Loop loop;
  std::unique_ptr<Server> server;
};

struct ClientUnderTest {
  explicit ClientUnderTest(ClientOptions options = {})
      : client(std::make_unique<Client>(loop, options)) {
    loop.Start();
  }
  ~ClientUnderTest() { loop.Stop(); }

  void Send(const std::string& peer, Request request,
            Duration timeout = kLong) {
    client->address().Send(
        {peer, std::move(request), timeout, results.address()});
  }
  Response TakeResponse() {
    CallResult result = results.Take();
    if (auto* failure = std::get_if<Failure>(&result)) {
      FAIL("failed: " << failure->message);
    }
    return std::get<Response>(std::move(result));
  }
  Failure TakeFailure() {
    CallResult result = results.Take();
    REQUIRE(std::holds_alternative<Failure>(result));
    return std::get<Failure>(std::move(result));
  }

  Inbox<CallResult> results;
  task::Loop loop;
  std::unique_ptr<Client> client;
};

partition::CancelJob CancelOf(int number) {
  return {TeamId("rilapak"), MakeJobId(PartitionId("p"), number)};
}

Response ViewOf(const JobId& job) {
  JobView view;
  view.id = job;
  view.spec.task = Resources(1, 0, 0, 0, 0);
  return view;
}

// An address of 127.0.0.1 on which nobody listens.
std::string ClosedAddress() {
  ServerUnderTest server;
  return server.server->listening_on();
}

TEST_CASE("answers meet their requests when they come late and crossed") {
  ServerUnderTest server;
  ClientUnderTest client;
  std::vector<Inbox<CallResult>> replies(kCalls);
  for (int i = 0; i < kCalls; ++i) {
    client.client->address().Send({server.server->listening_on(), CancelOf(i),
                                   kLong, replies[i].address()});
  }
  std::vector<Incoming> held;
  held.reserve(kCalls);
  for (int i = 0; i < kCalls; ++i) held.push_back(server.incoming.Take());
  for (auto it = held.rbegin(); it != held.rend(); ++it) {
    CHECK(it->time_left == kLong);
    const auto& cancel = std::get<partition::CancelJob>(it->request);
    it->responder.Answer(ViewOf(cancel.job));
    it->responder.Answer(Refusal{});  // Only the first answer counts.
  }
  for (int i = 0; i < kCalls; ++i) {
    CallResult result = replies[i].Take();
    REQUIRE(std::holds_alternative<Response>(result));
    const auto& view = std::get<JobView>(std::get<Response>(result));
    CHECK(view.id == CancelOf(i).job);
  }
}

TEST_CASE("a peer that dies fails the calls it may have seen") {
  ServerUnderTest server;
  ClientUnderTest client;
  const std::string peer = server.server->listening_on();
  for (int i = 0; i < 10; ++i) client.Send(peer, CancelOf(i));
  for (int i = 0; i < 10; ++i) server.incoming.Take();
  server.Kill();
  for (int i = 0; i < 10; ++i) {
    CHECK(client.TakeFailure().code == FailureCode::kNoAnswer);
  }
  // The next call finds nobody there, and a new server is found again.
  client.Send(peer, CancelOf(11));
  CHECK(client.TakeFailure().code == FailureCode::kNotSent);
  ServerUnderTest successor({peer});
  REQUIRE(successor.server->listening_on() == peer);
  client.Send(peer, GetStatus{});
  successor.incoming.Take().responder.Answer(Status{});
  CHECK(std::holds_alternative<Status>(client.TakeResponse()));
}

TEST_CASE("calls that cannot leave are certainly not sent") {
  ClientUnderTest client({Duration(100), 4'096, 1'000});
  const struct {
    std::string peer;
    Duration timeout;
  } calls[] = {
      {ClosedAddress(), kLong},
      {"not an address", kLong},
      {"127.0.0.1:x", kLong},
      {ClosedAddress(), Duration(0)},
  };
  for (const auto& call : calls) {
    CAPTURE(call.peer);
    client.Send(call.peer, GetStatus{}, call.timeout);
    CHECK(client.TakeFailure().code == FailureCode::kNotSent);
  }
  ServerUnderTest server;
  partition::SubmitJob large;
  large.request = RequestId(std::string(2'000, 'r'));
  client.Send(server.server->listening_on(), large);
  CHECK(client.TakeFailure().code == FailureCode::kNotSent);
}

TEST_CASE("a call over the bound of streams is not sent") {
  ServerUnderTest server;
  ClientUnderTest client({Duration(1'000), 2, 1'000});
  for (int i = 0; i < 3; ++i) {
    client.Send(server.server->listening_on(), CancelOf(i));
  }
  CHECK(client.TakeFailure().code == FailureCode::kNotSent);
  for (int i = 0; i < 2; ++i) {
    server.incoming.Take().responder.Answer(Status{});
    client.TakeResponse();
  }
}

TEST_CASE("calls beyond the peer's bound of streams wait their turn") {
  ServerUnderTest server({"127.0.0.1:0", 1 << 20, 8});
  ClientUnderTest client;
  for (int i = 0; i < 200; ++i) {
    client.Send(server.server->listening_on(), CancelOf(i));
  }
  for (int i = 0; i < 200; ++i) {
    server.incoming.Take().responder.Answer(Status{});
  }
  for (int i = 0; i < 200; ++i) client.TakeResponse();
}

TEST_CASE("a call that is not answered in time fails, the others go on") {
  ServerUnderTest server;
  ClientUnderTest client;
  const std::string peer = server.server->listening_on();
  client.Send(peer, CancelOf(1), Duration(30));
  Incoming late = server.incoming.Take();
  CHECK(client.TakeFailure().code == FailureCode::kNoAnswer);
  late.responder.Answer(Status{});
  client.Send(peer, CancelOf(2));
  server.incoming.Take().responder.Answer(ViewOf(CancelOf(2).job));
  CHECK(std::get<JobView>(client.TakeResponse()).id == CancelOf(2).job);
}

TEST_CASE("a call that waits for a stream past its time is not sent") {
  ServerUnderTest server({"127.0.0.1:0", 1 << 20, 1});
  ClientUnderTest client;
  const std::string peer = server.server->listening_on();
  client.Send(peer, CancelOf(1));
  Incoming first = server.incoming.Take();
  client.Send(peer, CancelOf(2), Duration(30));
  CHECK(client.TakeFailure().code == FailureCode::kNotSent);
  first.responder.Answer(Status{});
  client.TakeResponse();
  client.Send(peer, CancelOf(3));
  const Incoming next = server.incoming.Take();
  CHECK(std::get<partition::CancelJob>(next.request).job == CancelOf(3).job);
}

TEST_CASE("draining finishes what is open and refuses the rest") {
  ServerUnderTest server;
  ClientUnderTest client;
  Inbox<Drained> drained;
  const std::string peer = server.server->listening_on();
  client.Send(peer, CancelOf(1));
  const Incoming open = server.incoming.Take();
  server.server->Drain(drained.address());
  // Calls that the server saw before it heard of the drain are answered.
  std::optional<CallResult> result;
  while (!result || std::holds_alternative<Response>(*result)) {
    client.Send(peer, CancelOf(2));
    do {
      std::optional<Incoming> seen = server.incoming.TakeWithin(Duration(1));
      if (seen) seen->responder.Answer(Status{});
      result = client.results.TakeWithin(Duration(1));
    } while (!result);
  }
  CHECK(std::get<Failure>(*result).code == FailureCode::kNotSent);
  open.responder.Answer(ViewOf(CancelOf(1).job));
  CHECK(std::get<JobView>(client.TakeResponse()).id == CancelOf(1).job);
  drained.Take();
}

TEST_CASE("a drain under load loses no answer and lies about none") {
  ServerUnderTest server;
  ClientUnderTest client;
  const std::string peer = server.server->listening_on();
  client.Send(peer, CancelOf(0));
  server.incoming.Take().responder.Answer(Status{});
  client.TakeResponse();
  for (int i = 0; i < kCalls; ++i) client.Send(peer, CancelOf(i));
  server.server->Drain();
  int answered = 0;
  int not_sent = 0;
  std::promise<int> seen_total;
  // Answers all that arrives until the last result is in.
  std::thread answering([&] {
    int seen = 0;
    while (true) {
      Incoming incoming = server.incoming.Take();
      if (incoming.time_left == Duration(0)) break;
      ++seen;
      incoming.responder.Answer(Status{});
    }
    seen_total.set_value(seen);
  });
  for (int i = 0; i < kCalls; ++i) {
    CallResult result = client.results.Take();
    if (std::holds_alternative<Response>(result)) {
      ++answered;
    } else {
      CHECK(std::get<Failure>(result).code == FailureCode::kNotSent);
      ++not_sent;
    }
  }
  server.incoming.address().Send({GetStatus{}, Duration(0), Responder()});
  answering.join();
  CHECK(seen_total.get_future().get() == answered);
  CHECK(answered + not_sent == kCalls);
}

// Sends raw bytes and waits until the server closes the connection.
void SendRaw(const std::string& address, const std::string& bytes) {
  GSocketClient* client = g_socket_client_new();
  GSocketConnection* connection = g_socket_client_connect_to_host(
      client, address.c_str(), 0, nullptr, nullptr);
  REQUIRE(connection != nullptr);
  GOutputStream* out = g_io_stream_get_output_stream(G_IO_STREAM(connection));
  g_output_stream_write_all(out, bytes.data(), bytes.size(), nullptr, nullptr,
                            nullptr);
  GInputStream* in = g_io_stream_get_input_stream(G_IO_STREAM(connection));
  char buffer[4'096];
  while (g_input_stream_read(in, buffer, sizeof(buffer), nullptr, nullptr) >
         0) {
  }
  g_object_unref(connection);
  g_object_unref(client);
}

TEST_CASE("garbage costs its own connection only") {
  ServerUnderTest server;
  ClientUnderTest client;
  const std::string peer = server.server->listening_on();
  client.Send(peer, CancelOf(1));
  const Incoming open = server.incoming.Take();
  const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  const std::string garbage[] = {
      "GET / HTTP/1.1\r\n\r\n", std::string(100'000, '\xff'),
      preface + std::string(1'000, '\xff'),
      preface + std::string("\0\0\0\1\5\0\0\0\1", 9),
      preface + std::string("\0\0\4\4\0\0\0\0\0zzzz", 13)};
  for (const std::string& bytes : garbage) SendRaw(peer, bytes);
  open.responder.Answer(ViewOf(CancelOf(1).job));
  CHECK(std::get<JobView>(client.TakeResponse()).id == CancelOf(1).job);
}

TEST_CASE("an oversized body is refused as not run") {
  ServerUnderTest server({"127.0.0.1:0", 1'000, 16});
  ClientUnderTest client;
  const std::string peer = server.server->listening_on();
  for (const size_t size : {size_t{2'000}, size_t{3'000'000}}) {
    partition::SubmitJob large;
    large.request = RequestId(std::string(size, 'r'));
    client.Send(peer, large);
    const auto refusal = std::get<Refusal>(client.TakeResponse());
    CHECK(refusal.code == RefusalCode::kTooLarge);
    CHECK(refusal.effect == Effect::kNotRun);
  }
  client.Send(peer, GetStatus{});
  server.incoming.Take().responder.Answer(Status{});
  client.TakeResponse();
}

}  // namespace
}  // namespace azurepass::entry
