// Bounds of the parser, paths of the reader, and round trips of core types.

#include "azurepass/codec/codec.h"

#include <doctest/doctest.h>

namespace azurepass::codec {
namespace {

template <class T>
std::variant<T, Error> TryDecode(std::string_view text) {
  return Try([&] { return Decode<T>(text); });
}

struct BadSpec {
  std::string text;
  ErrorCode code;
  std::string path;
};

TEST_CASE("a bad job is refused with the path of its first problem") {
  const BadSpec cases[] = {
      {"", ErrorCode::kMalformed, ""},
      {"{\"queue\":", ErrorCode::kMalformed, ""},
      {"[]", ErrorCode::kWrongType, ""},
      {"{}", ErrorCode::kMissingField, "queue"},
      {R"({"queue":7})", ErrorCode::kWrongType, "queue"},
      {R"({"queue":"q"})", ErrorCode::kMissingField, "task"},
      {R"({"queue":"q","task":{"slots":-1}})", ErrorCode::kOutOfRange,
       "task.slots"},
      {R"({"queue":"q","task":{"slots":0}})", ErrorCode::kOutOfRange,
       "task.slots"},
      {R"({"queue":"q","task":{"slots":99999999999999999999}})",
       ErrorCode::kWrongType, "task.slots"},
      {R"({"queue":"q","task":{"slots":18446744073709551615}})",
       ErrorCode::kOutOfRange, "task.slots"},
      {R"({"queue":"q","task":{"slots":1.5}})", ErrorCode::kWrongType,
       "task.slots"},
      {R"({"queue":"q","task":{"slots":1,"disks":1}})",
       ErrorCode::kUnknownField, "task.disks"},
      {R"({"queue":"q","task":{"slots":1},"tasks":0})", ErrorCode::kOutOfRange,
       "tasks"},
      {R"({"queue":"q","task":{"slots":1},"policy":"x"})",
       ErrorCode::kOutOfRange, "policy"},
      {R"({"queue":"q","task":{"slots":1},"color":"x"})",
       ErrorCode::kUnknownField, "color"},
  };
  for (const BadSpec& bad : cases) {
    CAPTURE(bad.text);
    auto outcome = TryDecode<JobSpec>(bad.text);
    const Error* error = std::get_if<Error>(&outcome);
    REQUIRE(error != nullptr);
    CHECK(error->code == bad.code);
    CHECK(error->path == bad.path);
  }
}

TEST_CASE("size and nesting are bounded, however deep the text is") {
  const std::string deep(100'000, '[');
  auto outcome = Try([&] { return Parse(deep); });
  CHECK(std::get<Error>(outcome).code == ErrorCode::kTooLarge);
  const std::string huge(2 << 20, ' ');
  outcome = Try([&] { return Parse(huge); });
  CHECK(std::get<Error>(outcome).code == ErrorCode::kTooLarge);
}

TEST_CASE("comments are read where settings allow them") {
  const char* text = "{ // a note\n \"slots\": 3 /* another */ }";
  ParseLimits limits;
  CHECK(std::holds_alternative<Error>(
      Try([&] { return Decode<Resources>(text, limits); })));
  limits.allow_comments = true;
  auto outcome = Try([&] { return Decode<Resources>(text, limits); });
  CHECK(std::get<Resources>(outcome) == Resources(3, 0, 0, 0, 0));
}

template <class T>
T ThroughJsonAndCbor(const T& value) {
  auto outcome = Try([&]() -> leaf::result<T> {
    BOOST_LEAF_AUTO(document, ParseCbor(ToCbor(Write(value))));
    return Read<T>(document);
  });
  REQUIRE(std::holds_alternative<T>(outcome));
  return std::get<T>(outcome);
}

TEST_CASE("core types survive their encodings") {
  JobSpec spec;
  spec.queue = QueueId("lots");
  spec.policy = GangPolicy{};
  spec.priority = Priority::kUrgent;
  spec.tasks = 4;
  spec.task = Resources(1, 2, 3, 4, 5);
  spec.repeatable = false;
  spec.deadline = Duration(1'234);
  CHECK(ThroughJsonAndCbor(spec) == spec);

  Contract contract;
  contract.team = TeamId("rilapak");
  contract.share = 3;
  contract.upper_limit[Dimension::kSlots] = 9;
  contract.zones = {ZoneId("plovdiv-a")};
  contract.queues = {{QueueId("lots"), ServiceId("intake")}};
  contract.version = 12;
  CHECK(ThroughJsonAndCbor(contract) == contract);

  Configuration configuration;
  configuration.revision = Revision{7};
  configuration.contracts[contract.team] = contract;
  configuration.keys[KeyId("k")] = {KeyId("k"), contract.team, "ab", true, 3};
  configuration.zones[ZoneId("z")] = {ZoneId("z"), false, 4};
  CHECK(ThroughJsonAndCbor(configuration) == configuration);
}

}  // namespace
}  // namespace azurepass::codec
