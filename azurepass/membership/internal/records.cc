// What the store holds of members and claims, as JSON.

#include <limits>

#include "azurepass/codec/codec.h"
#include "azurepass/membership/membership.h"

namespace azurepass::codec {
namespace {

constexpr int64_t kMaxInt = std::numeric_limits<int64_t>::max();
constexpr int64_t kMaxMillicores = 1'000'000;

constexpr std::pair<std::string_view, membership::Role> kRoles[] = {
    {"scheduler", membership::Role::kScheduler},
    {"frontend", membership::Role::kFrontend}};

}  // namespace

template <>
struct Format<membership::MemberRecord> {
  static membership::MemberRecord Read(ObjectReader& reader) {
    membership::MemberRecord record;
    record.member = reader.Name<MemberId>("member");
    record.address = reader.String("address");
    record.incarnation = reader.Int("incarnation", 0, kMaxInt);
    record.role = reader.Choice("role", kRoles);
    record.zone = reader.Name<ZoneId>("zone");
    record.vm = reader.Name<VmId>("vm", VmId());
    record.leaving = reader.Bool("leaving", false);
    record.millicores = reader.Int("millicores", 1, kMaxMillicores,
                                   membership::kWholeProcessor);
    return record;
  }
  static Json Write(const membership::MemberRecord& record) {
    const bool scheduler = record.role == membership::Role::kScheduler;
    return {{"member", record.member.value()},
            {"address", record.address},
            {"incarnation", record.incarnation},
            {"role", kRoles[scheduler ? 0 : 1].first},
            {"zone", record.zone.value()},
            {"vm", record.vm.value()},
            {"leaving", record.leaving},
            {"millicores", record.millicores}};
  }
};

template <>
struct Format<membership::ClaimRecord> {
  static membership::ClaimRecord Read(ObjectReader& reader) {
    membership::ClaimRecord record;
    record.partition = reader.Name<PartitionId>("partition");
    record.member = reader.Name<MemberId>("member");
    record.epoch = Epoch{reader.Int("epoch", 0, kMaxInt)};
    return record;
  }
  static Json Write(const membership::ClaimRecord& record) {
    return {{"partition", record.partition.value()},
            {"member", record.member.value()},
            {"epoch", record.epoch.value}};
  }
};

}  // namespace azurepass::codec

namespace azurepass::membership {
namespace {

constexpr std::string_view kMembers = "cluster/members/";
constexpr std::string_view kClaims = "cluster/claims/";

template <class T>
std::optional<T> Decode(std::string_view text) {
  auto decoded = codec::Try([&] { return codec::Decode<T>(text); });
  if (T* record = std::get_if<T>(&decoded)) return std::move(*record);
  return std::nullopt;
}

}  // namespace

std::string StoreKey(const MemberId& member) {
  return std::string(kMembers) + member.value();
}

std::string StoreKey(const PartitionId& partition) {
  return std::string(kClaims) + partition.value();
}

std::string Encode(const MemberRecord& record) {
  return codec::Write(record).dump();
}

std::string Encode(const ClaimRecord& record) {
  return codec::Write(record).dump();
}

std::optional<MemberRecord> DecodeMember(std::string_view text) {
  return Decode<MemberRecord>(text);
}

std::optional<ClaimRecord> DecodeClaim(std::string_view text) {
  return Decode<ClaimRecord>(text);
}

}  // namespace azurepass::membership
