// Bounds of the parser, paths of the reader, and round trips of core types.

#include "azurepass/codec/codec.h"

#include <doctest/doctest.h>

#include <chrono>

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

std::string Times(size_t count, const std::string& text) {
  std::string all;
  for (size_t i = 0; i < count; ++i) all += text;
  return all;
}

// Each nested object once made the parser look through all before it: a minute
// for one value of the largest size.
TEST_CASE("the time of a parse grows with the text, not with its square") {
  constexpr size_t kObjects = 200'000;
  constexpr std::chrono::seconds kAmple{3};  // Some 30 ms are taken.
  std::string in_object = "{";
  for (size_t i = 0; i < kObjects; ++i) {
    in_object += "\"" + std::to_string(i) + "\":{},";
  }
  in_object += "\"last\":1}";
  const std::string in_array = "[" + Times(kObjects, "{},") + "1]";
  for (const std::string& text : {in_array, in_object}) {
    const auto start = std::chrono::steady_clock::now();
    auto outcome = Try([&] { return Parse(text, {.max_bytes = 16 << 20}); });
    CHECK(std::chrono::steady_clock::now() - start < kAmple);
    CHECK(std::get<Json>(outcome).size() == kObjects + 1);
  }
}

TEST_CASE("CBOR of any nesting or announced length is refused, not followed") {
  constexpr size_t kLevels = 1'000'000;
  const std::string lists(kLevels, '\x81');
  const std::string objects = Times(kLevels / 2, "\xa1\x60");
  for (const std::string& bytes : {lists, objects}) {
    auto outcome = Try([&] { return ParseCbor(bytes); });
    CHECK(std::get<Error>(outcome).code == ErrorCode::kTooLarge);
  }
  // A list and an object that announce 2^63 elements.
  for (const char* head : {"\x9b", "\xbb"}) {
    const std::string bytes = head + std::string("\x80\0\0\0\0\0\0\0", 8);
    auto outcome = Try([&] { return ParseCbor(bytes); });
    CHECK(std::get<Error>(outcome).code == ErrorCode::kMalformed);
  }
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
