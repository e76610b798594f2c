// What a process has to do with one partition.

#ifndef AZUREPASS_SCHEDULING_INTERNAL_HOLDING_H_
#define AZUREPASS_SCHEDULING_INTERNAL_HOLDING_H_

#include <optional>
#include <variant>

#include "azurepass/core/core.h"
#include "azurepass/store/store.h"

namespace azurepass::scheduling {

struct NotHeld {};
// A conditional write for `epoch` is in flight.
struct Claiming {
  Epoch epoch;
};
struct Held {
  Epoch epoch;
  store::Version version = store::kAbsent;
};
// Told to hand over; the claim goes back when that is done.
struct HandingOver {
  Epoch epoch;
  store::Version version = store::kAbsent;
};
using Holding = std::variant<NotHeld, Claiming, Held, HandingOver>;

inline std::optional<Epoch> EpochOf(const Holding& holding) {
  return std::visit(
      Visitor{
          [](const NotHeld&) -> std::optional<Epoch> { return {}; },
          [](const auto& held) -> std::optional<Epoch> { return held.epoch; },
      },
      holding);
}

}  // namespace azurepass::scheduling

#endif  // AZUREPASS_SCHEDULING_INTERNAL_HOLDING_H_
