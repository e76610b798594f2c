// Store keys to records and back.

#include "azurepass/configuration/internal/records.h"

#include <string>
#include <utility>

#include "azurepass/codec/codec.h"
#include "azurepass/configuration/configuration.h"

namespace azurepass::configuration {
namespace {

constexpr std::string_view kContracts = "config/contracts/";
constexpr std::string_view kKeys = "config/keys/";
constexpr std::string_view kZones = "config/zones/";
constexpr std::string_view kQueues = "config/queues/";
constexpr std::string_view kServices = "config/services/";

template <class IdType>
std::string Join(std::string_view prefix, const IdType& id) {
  return std::string(prefix) + id.value();
}

}  // namespace

std::string StoreKey(const TeamId& team) { return Join(kContracts, team); }
std::string StoreKey(const KeyId& key) { return Join(kKeys, key); }
std::string StoreKey(const ZoneId& zone) { return Join(kZones, zone); }
std::string StoreKey(const QueueId& queue) { return Join(kQueues, queue); }
std::string StoreKey(const ServiceId& service) {
  return Join(kServices, service);
}

namespace internal {
namespace {

template <class IdType>
std::optional<RecordId> Rest(std::string_view key, std::string_view prefix) {
  if (!key.starts_with(prefix) || key.size() == prefix.size()) return {};
  return IdType(std::string(key.substr(prefix.size())));
}

template <class T>
std::optional<T> Decode(const std::string& text) {
  auto decoded = codec::Try([&] { return codec::Decode<T>(text); });
  if (T* value = std::get_if<T>(&decoded)) return std::move(*value);
  return std::nullopt;
}

const TeamId& IdOf(const Contract& contract) { return contract.team; }
const KeyId& IdOf(const KeyRecord& key) { return key.id; }
const ZoneId& IdOf(const ZoneRecord& zone) { return zone.zone; }
const QueueId& IdOf(const QueueRecord& queue) { return queue.queue; }
const ServiceId& IdOf(const ServiceRecord& service) { return service.service; }

template <class T, class IdType>
std::optional<Record> DecodeAs(const store::Entry& entry, const IdType& id) {
  std::optional<T> record = Decode<T>(entry.value);
  if (!record || IdOf(*record) != id) return std::nullopt;
  record->version = entry.version;
  return *std::move(record);
}

auto& MapOf(Configuration& configuration, const TeamId& /*id*/) {
  return configuration.contracts;
}
auto& MapOf(Configuration& configuration, const KeyId& /*id*/) {
  return configuration.keys;
}
auto& MapOf(Configuration& configuration, const ZoneId& /*id*/) {
  return configuration.zones;
}
auto& MapOf(Configuration& configuration, const QueueId& /*id*/) {
  return configuration.queues;
}
auto& MapOf(Configuration& configuration, const ServiceId& /*id*/) {
  return configuration.services;
}

}  // namespace

std::optional<RecordId> ParseStoreKey(std::string_view key) {
  if (auto id = Rest<TeamId>(key, kContracts)) return id;
  if (auto id = Rest<KeyId>(key, kKeys)) return id;
  if (auto id = Rest<QueueId>(key, kQueues)) return id;
  if (auto id = Rest<ServiceId>(key, kServices)) return id;
  return Rest<ZoneId>(key, kZones);
}

std::optional<Record> ParseEntry(const store::Entry& entry) {
  const std::optional<RecordId> id = ParseStoreKey(entry.key);
  if (!id) return std::nullopt;
  return std::visit(
      Visitor{
          [&](const TeamId& team) { return DecodeAs<Contract>(entry, team); },
          [&](const KeyId& key) { return DecodeAs<KeyRecord>(entry, key); },
          [&](const ZoneId& zone) { return DecodeAs<ZoneRecord>(entry, zone); },
          [&](const QueueId& queue) {
            return DecodeAs<QueueRecord>(entry, queue);
          },
          [&](const ServiceId& service) {
            return DecodeAs<ServiceRecord>(entry, service);
          }},
      *id);
}

bool PutNewer(Configuration& configuration, const Record& record) {
  return std::visit(
      [&](const auto& value) {
        auto& map = MapOf(configuration, IdOf(value));
        auto found = map.find(IdOf(value));
        if (found != map.end() && found->second.version >= value.version) {
          return false;
        }
        map[IdOf(value)] = value;
        return true;
      },
      record);
}

bool RemoveOlder(Configuration& configuration, const RecordId& id,
                 Revision at) {
  return std::visit(
      [&](const auto& value) {
        auto& map = MapOf(configuration, value);
        auto found = map.find(value);
        if (found == map.end() || found->second.version > at.value) {
          return false;
        }
        map.erase(found);
        return true;
      },
      id);
}

}  // namespace internal
}  // namespace azurepass::configuration
