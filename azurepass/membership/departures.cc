// When claims of members whose keys went are free; see membership.h.

#include "azurepass/membership/membership.h"

namespace azurepass::membership {

void Departures::OnGone(const MemberId& member, MonotonicTime now) {
  std::erase_if(gone_, [&](const auto& item) {
    return item.second + 2 * lease_ttl_ <= now;
  });
  gone_.try_emplace(member, now);
}

MonotonicTime Departures::FreeAt(const MemberId& member) const {
  const auto gone = gone_.find(member);
  if (gone == gone_.end()) return {};
  const bool in_trouble = trouble_at_ + lease_ttl_ >= gone->second;
  return in_trouble ? gone->second + lease_ttl_ : MonotonicTime();
}

std::optional<MonotonicTime> Departures::GoneAt(const MemberId& member) const {
  const auto gone = gone_.find(member);
  if (gone == gone_.end()) return std::nullopt;
  return gone->second;
}

}  // namespace azurepass::membership
