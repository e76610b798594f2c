// The JSON format of a layout in the store.

#include <limits>

#include "azurepass/codec/codec.h"
#include "azurepass/layout/layout.h"

namespace azurepass::codec {
namespace {

// More than the number of owners in a cell. Bounds the memory that a damaged
// value can use.
constexpr int64_t kMaxPartitions = 10'000;

}  // namespace

template <>
struct Format<std::pair<RackId, int64_t>> {
  static std::pair<RackId, int64_t> Read(ObjectReader& reader) {
    return {reader.Name<RackId>("rack"),
            reader.Int("partition", 0, kMaxPartitions - 1)};
  }
};

template <>
struct Format<layout::Layout> {
  static layout::Layout Read(ObjectReader& reader) {
    layout::Layout layout;
    layout.service = reader.Name<ServiceId>("service");
    layout.partitions = reader.Int("partitions", 1, kMaxPartitions);
    for (auto& [rack, index] :
         reader.Objects<std::pair<RackId, int64_t>>("racks")) {
      if (reader.ok() && index >= layout.partitions) {
        reader.Fail(ErrorCode::kOutOfRange, "racks",
                    "names a partition that does not exist");
      }
      layout.racks[rack] = index;
    }
    return layout;
  }
  static Json Write(const layout::Layout& layout) {
    Json racks = Json::array();
    for (const auto& [rack, index] : layout.racks) {
      racks.push_back({{"rack", rack.value()}, {"partition", index}});
    }
    return {{"service", layout.service.value()},
            {"partitions", layout.partitions},
            {"racks", std::move(racks)}};
  }
};

}  // namespace azurepass::codec

namespace azurepass::layout {
namespace {

constexpr std::string_view kLayouts = "cluster/layout/";

}  // namespace

std::string StoreKey(const ServiceId& service) {
  return std::string(kLayouts) + service.value();
}

std::string Encode(const Layout& layout) { return codec::Write(layout).dump(); }

std::optional<Layout> Decode(std::string_view text) {
  auto decoded = codec::Try([&] { return codec::Decode<Layout>(text); });
  if (auto* layout = std::get_if<Layout>(&decoded)) return std::move(*layout);
  return std::nullopt;
}

}  // namespace azurepass::layout
