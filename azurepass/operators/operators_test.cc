// The operators' interface, from HTTP to a fake store: requests that can't be
// read, races, and answers that the store loses.

#include "azurepass/operators/operators.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

#include "azurepass/httpserver/testing/turn.h"

namespace azurepass::operators {
namespace {

using httpserver::testing::Ask;

constexpr char kKey[] = "operator";
constexpr char kContract[] =
    R"({"team":"rilapak","share":2,"zones":["a"],)"
    R"("queues":[{"name":"lots","service":"intake"}],"version":0})";

// A store in memory whose next writes can fail, before or after their effect.
class MemoryStore {
 public:
  enum class Fault { kNone, kUnavailable, kLostBefore, kLostAfter };

  explicit MemoryStore(task::Loop& loop)
      : mailbox_(loop, [this](const store::Request& r) {
          std::visit([this](const auto& request) { On(request); }, r);
        }) {}
  task::Address<store::Request> address() const { return mailbox_.address(); }

  std::map<std::string, store::Entry> entries;
  std::deque<Fault> faults;  // Of the next writes.
  int writes = 0;

 private:
  void On(const store::Get& get) {
    auto found = entries.find(get.key);
    store::Value value{std::nullopt, Revision{revision_}};
    if (found != entries.end()) value.entry = found->second;
    get.reply_to.Send(value);
  }
  void On(const store::List& list) {
    store::Listing listing{{}, Revision{revision_}};
    const std::string& start = std::max(list.prefix, list.from);
    for (auto it = entries.lower_bound(start); it != entries.end(); ++it) {
      if (!it->first.starts_with(list.prefix)) break;
      if (static_cast<int64_t>(listing.entries.size()) == list.limit) break;
      listing.entries.push_back(it->second);
    }
    list.reply_to.Send(listing);
  }
  void On(const store::Put& put) {
    Write(put.key, put.expected, put.reply_to, [&] {
      entries[put.key] = {put.key, put.value, ++revision_};
    });
  }
  void On(const store::Delete& del) {
    Write(del.key, del.expected, del.reply_to, [&] {
      ++revision_;
      entries.erase(del.key);
    });
  }
  template <class Other>
  void On(const Other& /*unused*/) {}

  template <class Effective>
  void Write(const std::string& key, std::optional<store::Version> expected,
             const task::Address<store::WriteReply>& reply_to,
             Effective effect) {
    ++writes;
    Fault fault = Fault::kNone;
    if (!faults.empty()) {
      fault = faults.front();
      faults.pop_front();
    }
    const store::Error lost{store::ErrorCode::kOutcomeUnknown, "lost"};
    if (fault == Fault::kUnavailable) {
      return reply_to.Send(
          store::Error{store::ErrorCode::kUnavailable, "down"});
    }
    if (fault == Fault::kLostBefore) return reply_to.Send(lost);
    auto found = entries.find(key);
    const bool there = found != entries.end();
    const store::Version version = there ? found->second.version : 0;
    const bool holds = !expected || *expected == version;
    std::optional<store::Entry> current;
    if (there) current = found->second;
    if (holds) effect();
    if (fault == Fault::kLostAfter) return reply_to.Send(lost);
    if (!holds) return reply_to.Send(store::Conflict{current});
    reply_to.Send(store::Written{revision_});
  }

  int64_t revision_ = 0;
  task::Mailbox<store::Request> mailbox_;
};

class Bench {
 public:
  using Fault = MemoryStore::Fault;

  Bench()
      : store(loop_),
        cell_(loop_,
              [](const CellCall& call) {
                call.reply_to.Send(
                    CellStatus{MemberId("f1"), {}, "", true, {}, {}});
              }),
        writer_(loop_, {{ZoneId("a"), ZoneId("b")}, {ServiceId("intake")}}, 1,
                store.address(), {}),
        server_(loop_, Local(), configuration::HashSecret(kKey),
                writer_.address(), cell_.address()) {}

  // Returns the status line's code; the body is in `body`.
  int Do(const std::string& start, const std::string& content = "",
         const std::string& key = kKey) {
    const std::string answer =
        Ask(loop_, server_.listening_on(), start, key, content);
    const size_t end = answer.find("\r\n\r\n");
    REQUIRE(end != std::string::npos);
    body = codec::Json::parse(answer.substr(end + 4), nullptr, false);
    return std::stoi(answer.substr(9, 3));
  }
  int64_t Version() const { return body.value("version", int64_t{-1}); }

  codec::Json body;

 private:
  static httpserver::Options Local() {
    httpserver::Options options;
    options.address = "127.0.0.1:0";
    return options;
  }
  task::Loop loop_;

 public:
  MemoryStore store;

 private:
  task::Mailbox<CellCall> cell_;
  ConfigurationWriter writer_;
  Server server_;
};

TEST_CASE("what can't be read is refused with its code") {
  struct Case {
    std::string start;
    std::string content;
    std::string key;
    int status;
    std::string code;
  };
  const std::string put = "PUT /v1/contracts/rilapak";
  const Case cases[] = {
      {"GET /v1/status", "", "", 401, "unauthenticated"},
      {"GET /v1/status", "", "wrong", 401, "unauthenticated"},
      {"GET /v2/status", "", kKey, 404, "not_found"},
      {"GET /v1/else", "", kKey, 404, "not_found"},
      {"POST /v1/status", "", kKey, 400, "invalid_request"},
      {put, "", kKey, 400, "invalid_request"},
      {put, "{\"team\":", kKey, 400, "invalid_request"},
      {put, std::string(100'000, '['), kKey, 413, "too_large"},
      {put, R"({"team":"other","zones":["a"],"queues":[]})", kKey, 400,
       "invalid_request"},
      {put, R"({"team":"rilapak","zones":["moon"],"queues":[]})", kKey, 400,
       "invalid_request"},
      {put, R"({"team":"rilapak","share":0,"zones":["a"],"queues":[]})", kKey,
       400, "invalid_request"},
      {"DELETE /v1/contracts/rilapak", "", kKey, 400, "invalid_request"},
      {"DELETE /v1/contracts/rilapak?version=x", "", kKey, 400,
       "invalid_request"},
      {"PUT /v1/zones/a", R"({"in_service":true})", kKey, 400,
       "invalid_request"},
      {"PUT /v1/zones/a", R"({"in_service":"no","version":0})", kKey, 400,
       "invalid_request"},
      {"PUT /v1/zones/moon", R"({"in_service":true,"version":0})", kKey, 404,
       "not_found"},
      {"POST /v1/keys", R"({"team":"nobody"})", kKey, 404, "not_found"},
      {"DELETE /v1/keys/none", "", kKey, 404, "not_found"},
      {"GET /v1/contracts/none", "", kKey, 404, "not_found"},
      {"GET /v1/jobs/p.1", "", kKey, 404, "not_found"},
  };
  Bench bench;
  for (const Case& c : cases) {
    CAPTURE(c.start);
    CAPTURE(c.content.substr(0, 60));
    CHECK(bench.Do(c.start, c.content, c.key) == c.status);
    CHECK(bench.body.value("code", "") == c.code);
    CHECK(bench.body.value("effect", "") == "not_run");
  }
  CHECK(bench.store.writes == 0);
  CHECK(bench.Do("GET /v1/status") == 200);
}

TEST_CASE("contracts and keys from their creation to their end") {
  Bench bench;
  CHECK(bench.Do("PUT /v1/contracts/rilapak", kContract) == 200);
  const std::string version = std::to_string(bench.Version());
  CHECK(bench.Do("GET /v1/contracts") == 200);
  CHECK(bench.body["contracts"].size() == 1);
  CHECK(bench.Do("POST /v1/keys", R"({"team":"rilapak"})") == 201);
  const std::string id = bench.body.value("id", "");
  const std::string secret = bench.body.value("secret", "");
  CHECK(secret.size() == 68);
  const std::string stored = bench.store.entries["config/keys/" + id].value;
  CHECK(stored.find(secret) == std::string::npos);
  CHECK(stored.find(configuration::HashSecret(secret)) != std::string::npos);

  const std::string remove = "DELETE /v1/contracts/rilapak?version=" + version;
  CHECK(bench.Do(remove) == 400);  // A key still works.
  CHECK(bench.Do("DELETE /v1/keys/" + id) == 200);
  CHECK(bench.body.value("withdrawn", false));
  CHECK(bench.Do("DELETE /v1/keys/" + id) == 200);
  CHECK(bench.Do("GET /v1/keys") == 200);
  CHECK(bench.body["keys"].size() == 1);
  CHECK_FALSE(bench.body["keys"][0].contains("sha256"));
  CHECK(bench.Do(remove) == 200);
  CHECK(bench.Do("GET /v1/contracts/rilapak") == 404);
}

TEST_CASE("the operator who lost a race sees what is there now") {
  Bench bench;
  const std::string out = R"({"in_service":false,"version":0})";
  CHECK(bench.Do("PUT /v1/zones/a", out) == 200);
  const int64_t version = bench.Version();
  CHECK(bench.Do("PUT /v1/zones/a", R"({"in_service":true,"version":0})") ==
        409);
  CHECK(bench.body.value("code", "") == "version_conflict");
  CHECK(bench.body.value("effect", "") == "not_run");
  CHECK(bench.body["current"].value("in_service", true) == false);
  CHECK(bench.body["current"].value("version", int64_t{0}) == version);
  CHECK(bench.Do("GET /v1/zones") == 200);
  CHECK(bench.body["zones"].size() == 2);
}

TEST_CASE("a lost answer is settled before the operator is answered") {
  using Fault = Bench::Fault;
  struct Case {
    std::vector<Fault> faults;
    int status;
    std::string effect;
    size_t stored;
  };
  const Case cases[] = {
      {{Fault::kUnavailable}, 503, "not_run", 0},
      {{Fault::kLostAfter}, 200, "", 1},
      {{Fault::kLostBefore}, 200, "", 1},
      {{Fault::kLostBefore, Fault::kLostAfter}, 200, "", 1},
      {{Fault::kLostBefore, Fault::kUnavailable, Fault::kLostBefore},
       200,
       "",
       1},
  };
  for (const Case& c : cases) {
    Bench bench;
    bench.store.faults.assign(c.faults.begin(), c.faults.end());
    CHECK(bench.Do("PUT /v1/contracts/rilapak", kContract) == c.status);
    CHECK(bench.body.value("effect", "") == c.effect);
    CHECK(bench.store.entries.size() == c.stored);
    if (c.stored == 0) continue;
    CHECK(bench.Version() ==
          bench.store.entries["config/contracts/rilapak"].version);
  }
}

TEST_CASE("lost answers to a withdrawal and a deletion") {
  using Fault = Bench::Fault;
  Bench bench;
  CHECK(bench.Do("PUT /v1/contracts/rilapak", kContract) == 200);
  const std::string version = std::to_string(bench.Version());
  CHECK(bench.Do("POST /v1/keys", R"({"team":"rilapak"})") == 201);
  const std::string id = bench.body.value("id", "");
  bench.store.faults = {Fault::kLostAfter};
  CHECK(bench.Do("DELETE /v1/keys/" + id) == 200);
  CHECK(bench.body.value("withdrawn", false));
  bench.store.faults = {Fault::kLostAfter};
  CHECK(bench.Do("DELETE /v1/contracts/rilapak?version=" + version) == 200);
  CHECK(bench.store.entries.size() == 1);
}

}  // namespace
}  // namespace azurepass::operators
