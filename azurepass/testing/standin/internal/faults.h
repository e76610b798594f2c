// Faults of a stand-in: what goes wrong with a request, and with which ones.
//
// One rule is in force at a time. POST /v1/faults replaces it:
//
//   {"fault": "slow", "delay_ms": 300, "count": 5}
//   {"fault": "lose_answer", "probability": 0.2, "seed": 7}
//   {"fault": "none"}
//
// Without count or probability a rule holds until it is replaced.

#ifndef AZUREPASS_TESTING_STANDIN_INTERNAL_FAULTS_H_
#define AZUREPASS_TESTING_STANDIN_INTERNAL_FAULTS_H_

#include <cstdint>
#include <random>
#include <variant>

#include "azurepass/codec/codec.h"
#include "azurepass/core/core.h"

namespace azurepass::testing::internal {

struct NoFault {};
// 503, without effect.
struct AnswerUnavailable {};
// The listener is closed: connections are refused. Ignores count.
struct RefuseConnections {};
// The connection is closed before the request has an effect.
struct LoseRequest {};
// The connection is closed after the request had its effect.
struct LoseAnswer {};
// Neither effect nor answer; the connection stays open.
struct Hang {};
// The request is taken up after a delay.
struct Slow {
  Duration delay{0};
};
// Workers alone: every task fails as it starts.
struct FailTasks {};
using Fault = std::variant<NoFault, AnswerUnavailable, RefuseConnections,
                           LoseRequest, LoseAnswer, Hang, Slow, FailTasks>;

// To how many requests a rule applies.
struct Always {};
struct Count {
  int64_t left = 0;
};
struct Probability {
  double value = 1;
  uint64_t seed = 0;
};
using Extent = std::variant<Always, Count, Probability>;

struct FaultRule {
  Fault fault;
  Extent extent;
};

// The rule in force.
class FaultSwitch {
 public:
  void Set(FaultRule rule);
  // What happens to the request that has just come.
  Fault Next();
  // What is in force, without using up a count.
  const Fault& current() const { return rule_.fault; }

 private:
  FaultRule rule_;
  std::mt19937_64 random_;
};

}  // namespace azurepass::testing::internal

namespace azurepass::codec {

template <>
struct Format<testing::internal::FaultRule> {
  static testing::internal::FaultRule Read(ObjectReader& reader);
};

}  // namespace azurepass::codec

#endif  // AZUREPASS_TESTING_STANDIN_INTERNAL_FAULTS_H_
