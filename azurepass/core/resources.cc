// Arithmetic on resource vectors.

#include <algorithm>

#include "azurepass/core/core.h"

namespace azurepass {

std::string_view DimensionName(Dimension dimension) {
  switch (dimension) {
    case Dimension::kSlots:
      return "slots";
    case Dimension::kConnections:
      return "connections";
    case Dimension::kMillicores:
      return "millicores";
    case Dimension::kMemoryMib:
      return "memory_mib";
    case Dimension::kAccelerators:
      return "accelerators";
  }
  return "unknown";
}

Resources& Resources::operator+=(const Resources& other) {
  for (int d = 0; d < kDimensions; ++d) amounts_[d] += other.amounts_[d];
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  for (int d = 0; d < kDimensions; ++d) amounts_[d] -= other.amounts_[d];
  return *this;
}

Resources operator*(Resources a, int64_t times) {
  for (int64_t& amount : a.amounts_) amount *= times;
  return a;
}

bool Resources::FitsIn(const Resources& room) const {
  for (int d = 0; d < kDimensions; ++d) {
    if (amounts_[d] > room.amounts_[d]) return false;
  }
  return true;
}

std::optional<Dimension> Resources::FirstExcess(const Resources& room) const {
  for (Dimension d : kAllDimensions) {
    if ((*this)[d] > room[d]) return d;
  }
  return std::nullopt;
}

bool Resources::IsNonNegative() const {
  return std::all_of(amounts_.begin(), amounts_.end(),
                     [](int64_t amount) { return amount >= 0; });
}

double Resources::DominantShare(const Resources& capacity) const {
  double share = 0;
  for (int d = 0; d < kDimensions; ++d) {
    if (capacity.amounts_[d] <= 0) continue;
    share = std::max(share, static_cast<double>(amounts_[d]) /
                                static_cast<double>(capacity.amounts_[d]));
  }
  return share;
}

Resources Resources::Min(const Resources& a, const Resources& b) {
  Resources result;
  for (Dimension d : kAllDimensions) result[d] = std::min(a[d], b[d]);
  return result;
}

Resources Resources::Max(const Resources& a, const Resources& b) {
  Resources result;
  for (Dimension d : kAllDimensions) result[d] = std::max(a[d], b[d]);
  return result;
}

}  // namespace azurepass
