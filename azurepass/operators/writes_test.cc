// Which contracts may be written, and how lost answers are settled: the pure
// parts.

#include <doctest/doctest.h>

#include "azurepass/operators/internal/secrets.h"
#include "azurepass/operators/internal/settled_write.h"
#include "azurepass/operators/operators.h"

namespace azurepass::operators {
namespace {

Contract GoodContract() {
  Contract contract;
  contract.team = TeamId("rilapak");
  contract.zones = {ZoneId("plovdiv-a")};
  contract.queues = {{QueueId("lots"), ServiceId("intake")}};
  return contract;
}

TEST_CASE("a contract names only what the cell has, and each thing once") {
  const KnownNames known{{ZoneId("plovdiv-a"), ZoneId("plovdiv-b")},
                         {ServiceId("intake")}};
  CHECK(Problem(GoodContract(), known) == std::nullopt);
  struct Case {
    std::string path;
    std::function<void(Contract&)> spoil;
  };
  const Case cases[] = {
      {"team: ", [](Contract& c) { c.team = TeamId(); }},
      {"team: ", [](Contract& c) { c.team = TeamId("a/b"); }},
      {"team: ", [](Contract& c) { c.team = TeamId(std::string(65, 'a')); }},
      {"share: ", [](Contract& c) { c.share = 0; }},
      {"upper_limit: ",
       [](Contract& c) { c.upper_limit[Dimension::kMillicores] = -1; }},
      {"zones: ", [](Contract& c) { c.zones.clear(); }},
      {"zones[1]: ", [](Contract& c) { c.zones.emplace_back("moon"); }},
      {"zones[1]: ", [](Contract& c) { c.zones.push_back(c.zones[0]); }},
      {"queues[0].name: ", [](Contract& c) { c.queues[0].name = QueueId(); }},
      {"queues[1].name: ",
       [](Contract& c) { c.queues.push_back(c.queues[0]); }},
      {"queues[0].service: ",
       [](Contract& c) { c.queues[0].service = ServiceId("moon"); }},
  };
  for (const Case& c : cases) {
    CAPTURE(c.path);
    Contract contract = GoodContract();
    c.spoil(contract);
    const std::optional<std::string> problem = Problem(contract, known);
    REQUIRE(problem.has_value());
    CHECK(problem->starts_with(c.path));
  }
}

TEST_CASE("random texts have their length and differ") {
  const auto a = internal::RandomHex(internal::kSecretBytes);
  const auto b = internal::RandomHex(internal::kSecretBytes);
  REQUIRE(a.has_value());
  CHECK(a->size() == 64);
  CHECK(a != b);
  CHECK(internal::EqualInConstantTime(*a, *a));
  CHECK_FALSE(internal::EqualInConstantTime(*a, *b));
  CHECK_FALSE(internal::EqualInConstantTime(*a, ""));
}

// --- SettledWrite

using internal::Accepted;
using internal::Failed;
using internal::Lost;
using internal::ReadBack;
using internal::SendWrite;
using internal::SettledWrite;
using internal::Step;
using internal::WaitAndReadBack;
using Reply = std::variant<store::WriteReply, store::GetReply>;

constexpr char kKey[] = "config/zones/a";

store::Entry Stored(const std::string& change, store::Version version) {
  return {kKey, R"({"change":")" + change + "\"}", version};
}
Reply Written(store::Version version) {
  return store::WriteReply(store::Written{version});
}
Reply ConflictWith(std::optional<store::Entry> entry) {
  return store::WriteReply(store::Conflict{std::move(entry)});
}
Reply WriteError(store::ErrorCode code) {
  return store::WriteReply(store::Error{code, "test"});
}
Reply Found(std::optional<store::Entry> entry) {
  return store::GetReply(store::Value{std::move(entry), Revision{9}});
}
Reply ReadError() {
  return store::GetReply(store::Error{store::ErrorCode::kUnavailable, "test"});
}

struct Course {
  std::string name;
  bool deletion;
  std::vector<Reply> replies;
  Step last;
};

TEST_CASE("a write ends as accepted or not run only when that is certain") {
  const auto unknown = WriteError(store::ErrorCode::kOutcomeUnknown);
  const auto unavailable = WriteError(store::ErrorCode::kUnavailable);
  const store::Entry old = Stored("old", 5);
  const store::Entry ours = Stored("ours", 6);
  const store::Entry other = Stored("other", 7);
  const Course courses[] = {
      {"accepted", false, {Written(6)}, Accepted{6}},
      {"lost race", false, {ConflictWith(other)}, Lost{Effect::kNotRun, other}},
      {"refused", false, {unavailable}, Failed{Effect::kNotRun, ""}},
      {"unknown", false, {unknown}, ReadBack{}},
      {"was written", false, {unknown, Found(ours)}, Accepted{6}},
      {"was not written", false, {unknown, Found(old)}, SendWrite{}},
      {"written again", false, {unknown, Found(old), Written(6)}, Accepted{6}},
      {"arrived late",
       false,
       {unknown, Found(old), ConflictWith(ours)},
       Accepted{6}},
      {"replaced or late",
       false,
       {unknown, Found(other)},
       Lost{Effect::kUnknown, other}},
      {"removed since",
       false,
       {unknown, Found(std::nullopt)},
       Lost{Effect::kUnknown, std::nullopt}},
      {"unreadable", false, {unknown, ReadError()}, WaitAndReadBack{}},
      {"refused after unknown",
       false,
       {unknown, Found(old), unavailable},
       WaitAndReadBack{}},
      {"deleted", true, {Written(6)}, Accepted{6}},
      {"was deleted", true, {unknown, Found(std::nullopt)}, Accepted{}},
      {"deletion lost its race",
       true,
       {ConflictWith(std::nullopt)},
       Lost{Effect::kNotRun, std::nullopt}},
      {"deletion repeated", true, {unknown, Found(old)}, SendWrite{}},
  };
  const MonotonicTime start{};
  for (const Course& course : courses) {
    CAPTURE(course.name);
    internal::Change change{kKey, ours.value, "ours", 5};
    if (course.deletion) change = {kKey, std::nullopt, "", 5};
    SettledWrite write(change, start + Duration(1'000), 1);
    Step step = SendWrite{};
    for (const Reply& reply : course.replies) {
      step =
          std::visit([&](const auto& r) { return write.On(r, start); }, reply);
    }
    REQUIRE(step.index() == course.last.index());
    if (const auto* accepted = std::get_if<Accepted>(&step)) {
      CHECK(accepted->version == std::get<Accepted>(course.last).version);
    }
    if (const auto* lost = std::get_if<Lost>(&step)) {
      const auto& expected = std::get<Lost>(course.last);
      CHECK(lost->effect == expected.effect);
      CHECK(lost->current.has_value() == expected.current.has_value());
    }
    if (const auto* failed = std::get_if<Failed>(&step)) {
      CHECK(failed->effect == std::get<Failed>(course.last).effect);
    }
  }
}

TEST_CASE("settling ends at the deadline, with the effect unknown") {
  const MonotonicTime start{};
  SettledWrite write({kKey, "{}", "ours", 5}, start + Duration(1'000), 1);
  write.On(store::WriteReply(
               store::Error{store::ErrorCode::kOutcomeUnknown, "test"}),
           start);
  const store::GetReply failure =
      store::Error{store::ErrorCode::kUnavailable, "test"};
  Duration waited(0);
  int reads = 0;
  for (Step step = ReadBack{}; !std::holds_alternative<Failed>(step); ++reads) {
    step = write.On(failure, start + waited);
    if (const auto* wait = std::get_if<WaitAndReadBack>(&step)) {
      CHECK(wait->delay > Duration(0));
      waited += wait->delay;
    } else {
      CHECK(std::get<Failed>(step).effect == Effect::kUnknown);
    }
  }
  CHECK(reads < 12);
}

}  // namespace
}  // namespace azurepass::operators
