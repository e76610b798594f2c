// Reading and writing the VM list.

#include "azurepass/vmlist/internal/wire.h"

namespace azurepass::codec {
namespace {

constexpr std::string_view kLive = "live";
constexpr std::string_view kLeaving = "leaving";

}  // namespace

vmlist::Snapshot Format<vmlist::Snapshot>::Read(ObjectReader& reader) {
  vmlist::Snapshot snapshot;
  snapshot.generation =
      reader.Int("generation", 1, std::numeric_limits<int64_t>::max());
  const Json& vms = reader.Raw("vms");
  if (!vms.is_object()) {
    reader.Fail(ErrorCode::kWrongType, "vms", "must be an object");
    return snapshot;
  }
  for (const auto& [vm, state] : vms.items()) {
    const bool live = state == kLive;
    if (!live && state != kLeaving) {
      reader.Fail(ErrorCode::kOutOfRange, "vms." + vm,
                  "must be one of live, leaving");
      return snapshot;
    }
    snapshot.vms[VmId(vm)] = live ? VmState::kLive : VmState::kLeaving;
  }
  return snapshot;
}

Json Format<vmlist::Snapshot>::Write(const vmlist::Snapshot& value) {
  Json vms = Json::object();
  for (const auto& [vm, state] : value.vms) {
    vms[vm.value()] = state == VmState::kLive ? kLive : kLeaving;
  }
  return {{"generation", value.generation}, {"vms", std::move(vms)}};
}

}  // namespace azurepass::codec
