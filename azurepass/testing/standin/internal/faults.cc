// Reading and applying fault rules.

#include "azurepass/testing/standin/internal/faults.h"

namespace azurepass::testing::internal {

void FaultSwitch::Set(FaultRule rule) {
  rule_ = rule;
  if (const auto* chance = std::get_if<Probability>(&rule_.extent)) {
    random_.seed(chance->seed);
  }
}

Fault FaultSwitch::Next() {
  const bool applies = std::visit(
      Visitor{[](const Always&) { return true; },
              [](Count& count) { return count.left-- > 0; },
              [this](const Probability& chance) {
                return std::uniform_real_distribution<double>()(random_) <
                       chance.value;
              }},
      rule_.extent);
  const Fault fault = applies ? rule_.fault : NoFault{};
  const auto* count = std::get_if<Count>(&rule_.extent);
  if (count != nullptr && count->left <= 0) rule_ = FaultRule{};
  return fault;
}

}  // namespace azurepass::testing::internal

namespace azurepass::codec {
namespace {

using testing::internal::Always;
using testing::internal::AnswerUnavailable;
using testing::internal::Count;
using testing::internal::Extent;
using testing::internal::FailTasks;
using testing::internal::Fault;
using testing::internal::FaultRule;
using testing::internal::Hang;
using testing::internal::LoseAnswer;
using testing::internal::LoseRequest;
using testing::internal::NoFault;
using testing::internal::Probability;
using testing::internal::RefuseConnections;
using testing::internal::Slow;

constexpr int64_t kMaxInt = std::numeric_limits<int64_t>::max();
constexpr Duration kMaxDelay{3'600'000};

constexpr std::pair<std::string_view, Fault> kFaults[] = {
    {"none", NoFault{}},
    {"unavailable", AnswerUnavailable{}},
    {"refuse", RefuseConnections{}},
    {"lose_request", LoseRequest{}},
    {"lose_answer", LoseAnswer{}},
    {"hang", Hang{}},
    {"slow", Slow{}},
    {"fail_tasks", FailTasks{}}};

Fault ReadFault(ObjectReader& reader) {
  Fault fault = reader.Choice("fault", kFaults);
  if (auto* slow = std::get_if<Slow>(&fault)) {
    slow->delay = reader.Millis("delay_ms", Duration(0), kMaxDelay);
  }
  return fault;
}

Extent ReadExtent(ObjectReader& reader) {
  if (reader.Has("count")) return Count{reader.Int("count", 1, kMaxInt)};
  if (!reader.Has("probability")) return Always{};
  return Probability{reader.Number("probability", 0, 1),
                     static_cast<uint64_t>(reader.Int("seed", 0, kMaxInt, 0))};
}

}  // namespace

FaultRule Format<FaultRule>::Read(ObjectReader& reader) {
  return {ReadFault(reader), ReadExtent(reader)};
}

}  // namespace azurepass::codec
