// The store client against the stand-in store: each answer, and each fault.

#include <doctest/doctest.h>

#include "azurepass/store/store.h"
#include "azurepass/testing/standin/fixture.h"

namespace azurepass::testing {
namespace {

using store::ErrorCode;

constexpr double kPlenty = 1e6;

struct Fixture {
  StandinFixture standin;
  task::Loop loop;
  store::Client client;

  explicit Fixture(store::Options options = Plenty(),
                   StandinOptions standin_options = StoreOnly())
      : standin(std::move(standin_options)),
        client(loop, WithAddress(std::move(options))) {
    loop.Start();
  }
  ~Fixture() { loop.Stop(); }

  static store::Options Plenty() {
    store::Options options;
    options.writes_per_second = kPlenty;
    options.reads_per_second = kPlenty;
    options.request_timeout = Duration(20'000);
    return options;
  }
  static StandinOptions StoreOnly() {
    StandinOptions options;
    options.vmlist = false;
    options.workers = false;
    return options;
  }
  store::Options WithAddress(store::Options options) const {
    options.address = standin.addresses().store;
    return options;
  }

  template <class Reply, class Request>
  Reply Ask(Request request) {
    auto [reply_to, reply] = Expect<Reply>();
    request.reply_to = reply_to;
    client.address().Send(std::move(request));
    std::optional<Reply> answer = Await(reply);
    REQUIRE(answer.has_value());
    return *std::move(answer);
  }
  store::WriteReply Put(const std::string& key, const std::string& value,
                        std::optional<store::Version> expected = {},
                        const std::string& lease = "") {
    return Ask<store::WriteReply>(store::Put{key, value, expected, lease, {}});
  }
  store::WriteReply Delete(const std::string& key,
                           std::optional<store::Version> expected = {}) {
    return Ask<store::WriteReply>(store::Delete{key, expected, {}});
  }
  store::GetReply Get(const std::string& key) {
    return Ask<store::GetReply>(store::Get{key, {}});
  }
  std::string ValueOf(const std::string& key) {
    const auto reply = Get(key);
    const auto* value = std::get_if<store::Value>(&reply);
    if (value == nullptr) return "error";
    return value->entry ? value->entry->value : "absent";
  }
  store::WatchReply Watch(const std::string& prefix, int64_t after,
                          Duration wait) {
    return Ask<store::WatchReply>(
        store::Watch{prefix, Revision{after}, wait, {}});
  }
  void SetFault(const std::string& rule) { standin.SetFault("store", rule); }
};

template <class Reply>
std::optional<ErrorCode> CodeOf(const Reply& reply) {
  const auto* error = std::get_if<store::Error>(&reply);
  if (error == nullptr) return {};
  return error->code;
}

store::Version VersionOf(const store::WriteReply& reply) {
  const auto* written = std::get_if<store::Written>(&reply);
  return written == nullptr ? -1 : written->version;
}

TEST_CASE("conditional writes: the version found decides") {
  Fixture f;
  const store::Version first = VersionOf(f.Put("a/1", "x", store::kAbsent));
  CHECK(first > 0);
  const auto again = f.Put("a/1", "y", store::kAbsent);
  REQUIRE(std::holds_alternative<store::Conflict>(again));
  CHECK(std::get<store::Conflict>(again).current->value == "x");
  const store::Version second = VersionOf(f.Put("a/1", "y", first));
  CHECK(second > first);
  CHECK(std::holds_alternative<store::Conflict>(f.Delete("a/1", first)));
  CHECK(VersionOf(f.Put("a/1", "z")) > second);
  CHECK(f.ValueOf("a/1") == "z");
  CHECK(VersionOf(f.Delete("a/1")) > 0);
  CHECK(f.ValueOf("a/1") == "absent");
  const auto gone = f.Put("a/1", "w", second);
  REQUIRE(std::holds_alternative<store::Conflict>(gone));
  CHECK(!std::get<store::Conflict>(gone).current.has_value());
}

TEST_CASE("keys and values of any text survive; others are refused") {
  Fixture f;
  for (const std::string text :
       {"", "with space", "ü/ñ/日本", "a?b=c&d#e%41", "\"\\\n\t"}) {
    CAPTURE(text);
    CHECK(VersionOf(f.Put("k/" + text, text)) > 0);
    CHECK(f.ValueOf("k/" + text) == text);
  }
  CHECK(CodeOf(f.Put("k", "\xff\xfe")) == ErrorCode::kRejected);
  CHECK(CodeOf(f.Put("", "no key")) == ErrorCode::kRejected);
}

TEST_CASE("a value of 1 MiB is kept, a larger one refused") {
  Fixture f;
  constexpr size_t kMebibyte = size_t{1} << 20;
  CHECK(VersionOf(f.Put("big", std::string(kMebibyte, '\n'))) > 0);
  CHECK(f.ValueOf("big").size() == kMebibyte);
  CHECK(CodeOf(f.Put("big", std::string(kMebibyte + 1, 'x'))) ==
        ErrorCode::kRejected);
}

TEST_CASE("a listing is sorted, bounded and can be continued") {
  Fixture f;
  for (const char* key : {"p/3", "p/1", "q/1", "p/2", "o"}) f.Put(key, key);
  auto list = [&f](const std::string& from, int64_t limit) {
    const auto reply =
        f.Ask<store::ListReply>(store::List{"p/", from, limit, {}});
    std::string keys;
    for (const auto& e : std::get<store::Listing>(reply).entries) {
      keys += e.key + " ";
    }
    return keys;
  };
  CHECK(list("", 10) == "p/1 p/2 p/3 ");
  CHECK(list("", 2) == "p/1 p/2 ");
  CHECK(list("p/2", 10) == "p/2 p/3 ");
  CHECK(CodeOf(f.Ask<store::ListReply>(store::List{"p/", "", 0, {}})) ==
        ErrorCode::kRejected);
}

TEST_CASE("keys vanish with their lease; a renewed one stays") {
  Fixture f;
  const auto granted =
      f.Ask<store::GrantReply>(store::GrantLease{Duration(60'000), {}});
  const std::string lease = std::get<store::LeaseGranted>(granted).lease;
  CHECK(VersionOf(f.Put("m/1", "x", store::kAbsent, lease)) > 0);
  CHECK(std::holds_alternative<store::LeaseRenewed>(
      f.Ask<store::RenewReply>(store::RenewLease{lease, {}})));
  f.client.address().Send(store::RevokeLease{lease});
  // A watch tells of the removal, and of nothing else.
  const auto changed = f.Watch("m/", 1, Duration(20'000));
  REQUIRE(std::holds_alternative<store::Changes>(changed));
  REQUIRE(std::get<store::Changes>(changed).changes.size() == 1);
  CHECK(!std::get<store::Changes>(changed).changes[0].entry.has_value());
  CHECK(CodeOf(f.Ask<store::RenewReply>(store::RenewLease{lease, {}})) ==
        ErrorCode::kLeaseLost);
  CHECK(CodeOf(f.Put("m/1", "x", {}, lease)) == ErrorCode::kLeaseLost);
}

TEST_CASE("a lease that is not renewed runs out by itself") {
  Fixture f;
  const auto granted =
      f.Ask<store::GrantReply>(store::GrantLease{Duration(50), {}});
  f.Put("m/1", "x", {}, std::get<store::LeaseGranted>(granted).lease);
  const auto changed = f.Watch("m/", 1, Duration(20'000));
  REQUIRE(std::holds_alternative<store::Changes>(changed));
  CHECK(f.ValueOf("m/1") == "absent");
}

TEST_CASE("a watch answers with the changes, in time with none, or compacted") {
  StandinOptions options = Fixture::StoreOnly();
  options.store_history = 3;
  Fixture f(Fixture::Plenty(), options);
  f.Put("a", "1");
  const auto none = f.Watch("b", 1, Duration(10));
  CHECK(std::get<store::Changes>(none).changes.empty());
  auto [reply_to, held] = Expect<store::WatchReply>();
  f.client.address().Send(
      store::Watch{"b", Revision{1}, Duration(20'000), reply_to});
  f.Put("a", "2");
  f.Put("b", "3");
  const auto changes = Await(held);
  REQUIRE(changes.has_value());
  CHECK(std::get<store::Changes>(*changes).changes.size() == 1);
  CHECK(std::get<store::Changes>(*changes).revision == Revision{3});
  f.Put("a", "4");
  f.Put("a", "5");
  CHECK(CodeOf(f.Watch("b", 1, Duration(10))) == ErrorCode::kCompacted);
  CHECK(
      std::get<store::Changes>(f.Watch("a", 2, Duration(10))).changes.size() ==
      1);
}

TEST_CASE("each fault is reported as what it may have done") {
  struct Case {
    const char* rule;
    ErrorCode write;
    ErrorCode read;
    bool takes_effect;
  };
  const Case cases[] = {
      {R"({"fault": "unavailable"})", ErrorCode::kUnavailable,
       ErrorCode::kUnavailable, false},
      {R"({"fault": "refuse"})", ErrorCode::kUnavailable,
       ErrorCode::kUnavailable, false},
      {R"({"fault": "lose_request"})", ErrorCode::kOutcomeUnknown,
       ErrorCode::kUnavailable, false},
      {R"({"fault": "lose_answer"})", ErrorCode::kOutcomeUnknown,
       ErrorCode::kUnavailable, true},
      {R"({"fault": "hang"})", ErrorCode::kOutcomeUnknown,
       ErrorCode::kUnavailable, false},
      {R"({"fault": "slow", "delay_ms": 60000})", ErrorCode::kOutcomeUnknown,
       ErrorCode::kUnavailable, false},
  };
  for (const Case& c : cases) {
    CAPTURE(c.rule);
    store::Options options = Fixture::Plenty();
    options.request_timeout = Duration(300);
    Fixture f(options);
    // Leaves a kept connection, on which the next request may break.
    CHECK(f.ValueOf("key") == "absent");
    f.SetFault(c.rule);
    CHECK(CodeOf(f.Put("key", "x", store::kAbsent)) == c.write);
    CHECK(CodeOf(f.Get("key")) == c.read);
    f.SetFault(R"({"fault": "none"})");
    CHECK(f.ValueOf("key") == (c.takes_effect ? "x" : "absent"));
  }
}

TEST_CASE("a create whose answer was lost is never reported as a conflict") {
  Fixture f;
  for (int i = 0; i < 20; ++i) {
    const std::string key = "journal/" + std::to_string(i);
    f.SetFault(R"({"fault": "lose_answer", "count": 1})");
    CHECK(CodeOf(f.Put(key, "mine", store::kAbsent)) ==
          ErrorCode::kOutcomeUnknown);
    CHECK(f.ValueOf(key) == "mine");
  }
}

TEST_CASE("a seeded probability loses the same requests every time") {
  std::vector<std::string> runs;
  for (int run = 0; run < 2; ++run) {
    Fixture f;
    f.SetFault(R"({"fault": "unavailable", "probability": 0.5, "seed": 3})");
    std::string outcome;
    for (int i = 0; i < 40; ++i) {
      outcome += CodeOf(f.Get("key")).has_value() ? 'x' : '.';
    }
    runs.push_back(outcome);
  }
  CHECK(runs[0] == runs[1]);
  CHECK(runs[0].find('x') != std::string::npos);
  CHECK(runs[0].find('.') != std::string::npos);
}

TEST_CASE("over the budget a call waits, then is refused without effect") {
  store::Options options = Fixture::Plenty();
  options.request_timeout = Duration(300);
  options.writes_per_second = 0.001;  // One at once, no other in the test.
  options.queue_bound = 2;
  Fixture f(options);
  CHECK(VersionOf(f.Put("a", "1")) > 0);
  auto [first_to, first] = Expect<store::WriteReply>();
  auto [second_to, second] = Expect<store::WriteReply>();
  f.client.address().Send(store::Put{"b", "1", {}, "", first_to});
  f.client.address().Send(store::Put{"c", "1", {}, "", second_to});
  CHECK(CodeOf(f.Put("d", "1")) == ErrorCode::kUnavailable);  // Queue full.
  CHECK(CodeOf(*Await(first)) == ErrorCode::kUnavailable);
  CHECK(CodeOf(*Await(second)) == ErrorCode::kUnavailable);
  CHECK(f.ValueOf("b") == "absent");  // Reads have a budget of their own.
  const auto stats =
      f.standin.GetJson(f.standin.addresses().store, "/v1/stats");
  CHECK(stats["calls"]["put"] == 1);
}

TEST_CASE("a renewal overtakes writes that wait for the budget") {
  store::Options options = Fixture::Plenty();
  options.writes_per_second = 20;
  Fixture f(options);
  const auto granted =
      f.Ask<store::GrantReply>(store::GrantLease{Duration(60'000), {}});
  std::vector<std::future<store::WriteReply>> writes;
  for (int i = 0; i < 30; ++i) {
    auto [to, reply] = Expect<store::WriteReply>();
    writes.push_back(std::move(reply));
    f.client.address().Send(store::Put{"k", std::to_string(i), {}, "", to});
  }
  const std::string lease = std::get<store::LeaseGranted>(granted).lease;
  CHECK(std::holds_alternative<store::LeaseRenewed>(
      f.Ask<store::RenewReply>(store::RenewLease{lease, {}})));
  CHECK(writes.back().wait_for(std::chrono::seconds(0)) ==
        std::future_status::timeout);
  for (auto& write : writes) CHECK(VersionOf(*Await(write)) > 0);
}

TEST_CASE("garbage is refused and the store keeps serving") {
  Fixture f;
  const std::string& store = f.standin.addresses().store;
  const std::pair<const char*, const char*> requests[] = {
      {"PUT", "/v1/kv/k"},
      {"POST", "/v1/leases"},
      {"GET", "/v1/range?limit=x"},
      {"GET", "/v1/watch?after=-"},
      {"PATCH", "/v1/kv/k"},
      {"GET", "/elsewhere"},
      {"DELETE", "/v1/kv/k?expected=1x"}};
  for (const auto& request : requests) {
    CAPTURE(request.second);
    CHECK(f.standin.Status(request.first, store, request.second,
                           "{\"value\": ") == http::kBadRequest);
  }
  CHECK(f.standin.Status("POST", store, "/v1/faults", R"({"fault": "x"})") ==
        http::kBadRequest);
  CHECK(f.ValueOf("k") == "absent");
}

}  // namespace
}  // namespace azurepass::testing
