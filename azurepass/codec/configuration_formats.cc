// The formats of what operators decide: contracts, keys, zones, queues,
// services.

#include <charconv>
#include <cstdint>
#include <limits>
#include <string>

#include "azurepass/codec/codec.h"

namespace azurepass::codec {
namespace {

constexpr int64_t kMaxInt = std::numeric_limits<int64_t>::max();
constexpr Duration kMaxDuration{int64_t{366} * 24 * 3'600 * 1'000};

// A stored record carries the id of the change that wrote it, by which its
// writer settles a lost answer. Nobody else needs it.
void SkipChangeId(ObjectReader& reader) { reader.String("change", ""); }

constexpr int kHexadecimal = 16;

}  // namespace

PermitTerms Format<PermitTerms>::Read(ObjectReader& reader) {
  PermitTerms value;
  value.per_call =
      reader.Millis("per_call_ms", Duration(0), kMaxDuration, Duration(0));
  value.per_worker = std::chrono::microseconds(
      reader.Int("per_worker_us", 0, kMaxDuration.count(), 0));
  value.validity = reader.Millis("validity_ms", Duration(0), kMaxDuration);
  return value;
}

Json Format<PermitTerms>::Write(const PermitTerms& value) {
  return {{"per_call_ms", value.per_call.count()},
          {"per_worker_us", value.per_worker.count()},
          {"validity_ms", value.validity.count()}};
}

QueueRecord Format<QueueRecord>::Read(ObjectReader& reader) {
  constexpr double kMaxStretch = 1e6;
  QueueRecord queue;
  queue.queue = reader.Name<QueueId>("queue");
  queue.service = reader.Name<ServiceId>("service");
  queue.host = reader.String("host", "");
  queue.path_prefix = reader.String("path_prefix", "");
  queue.priority = static_cast<int32_t>(reader.Int("priority", 0, 100, 0));
  queue.max_attempts =
      static_cast<int32_t>(reader.Int("max_attempts", 1, 1'000, kMaxAttempts));
  queue.needs_key = reader.Bool("needs_key", true);
  queue.stretch = reader.Number("stretch", 0, kMaxStretch, 1);
  queue.objective =
      reader.Millis("objective_ms", Duration(0), kMaxDuration, Duration(0));
  if (reader.Has("permits")) {
    queue.permits = reader.Object<PermitTerms>("permits");
  }
  queue.version = reader.Int("version", 0, kMaxInt, 0);
  SkipChangeId(reader);
  return queue;
}

Json Format<QueueRecord>::Write(const QueueRecord& value) {
  Json out = {{"queue", value.queue.value()},
              {"service", value.service.value()},
              {"host", value.host},
              {"path_prefix", value.path_prefix},
              {"priority", value.priority},
              {"max_attempts", value.max_attempts},
              {"needs_key", value.needs_key},
              {"stretch", value.stretch},
              {"objective_ms", value.objective.count()},
              {"version", value.version}};
  if (value.permits) out["permits"] = codec::Write(*value.permits);
  return out;
}

FormerQueue Format<FormerQueue>::Read(ObjectReader& reader) {
  FormerQueue former;
  former.queue = reader.Name<QueueId>("queue");
  former.service = reader.Name<ServiceId>("service");
  const std::string route = reader.String("route");
  const char* end = route.data() + route.size();
  const auto parsed =
      std::from_chars(route.data(), end, former.route, kHexadecimal);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    reader.Fail(ErrorCode::kOutOfRange, "route",
                "must be a hash in hexadecimal");
  }
  former.needs_key = reader.Bool("needs_key", true);
  if (reader.Has("permits")) {
    former.permits = reader.Object<PermitTerms>("permits");
  }
  return former;
}

Json Format<FormerQueue>::Write(const FormerQueue& value) {
  char route[2 * sizeof(value.route)];
  const auto end = std::to_chars(std::begin(route), std::end(route),
                                 value.route, kHexadecimal);
  Json out = {{"queue", value.queue.value()},
              {"service", value.service.value()},
              {"route", std::string(std::begin(route), end.ptr)}};
  if (!value.needs_key) out["needs_key"] = false;
  if (value.permits) out["permits"] = codec::Write(*value.permits);
  return out;
}

ServiceRecord Format<ServiceRecord>::Read(ObjectReader& reader) {
  ServiceRecord service;
  service.service = reader.Name<ServiceId>("service");
  service.standby = reader.Bool("standby", false);
  service.version = reader.Int("version", 0, kMaxInt, 0);
  SkipChangeId(reader);
  return service;
}

Json Format<ServiceRecord>::Write(const ServiceRecord& value) {
  return {{"service", value.service.value()},
          {"standby", value.standby},
          {"version", value.version}};
}

QueueSpec Format<QueueSpec>::Read(ObjectReader& reader) {
  QueueSpec queue;
  queue.name = reader.Name<QueueId>("name");
  queue.service = reader.Name<ServiceId>("service");
  return queue;
}

Json Format<QueueSpec>::Write(const QueueSpec& value) {
  return {{"name", value.name.value()}, {"service", value.service.value()}};
}

// In an upper limit a dimension that is left out has no bound, so it can't be
// read as Resources, where such a dimension is 0.
Contract Format<Contract>::Read(ObjectReader& reader) {
  Contract contract;
  contract.team = reader.Name<TeamId>("team");
  contract.share = reader.Int("share", 1, 1'000'000, 1);
  const Json& limit = reader.Raw("upper_limit");
  if (!limit.is_null()) {
    ObjectReader nested(limit, "upper_limit");
    for (Dimension d : kAllDimensions) {
      contract.upper_limit[d] =
          nested.Int(DimensionName(d), 0, kUnlimitedAmount, kUnlimitedAmount);
    }
    if (std::optional<Error> error = nested.Finish()) {
      reader.Fail(error->code, error->path, error->problem);
    }
  }
  contract.zones = reader.Names<ZoneId>("zones");
  if (reader.ok() && contract.zones.empty()) {
    reader.Fail(ErrorCode::kOutOfRange, "zones", "must name a zone");
  }
  contract.queues = reader.Objects<QueueSpec>("queues");
  contract.version = reader.Int("version", 0, kMaxInt, 0);
  SkipChangeId(reader);
  return contract;
}

Json Format<Contract>::Write(const Contract& value) {
  Json limit = Json::object();
  for (Dimension d : kAllDimensions) {
    if (value.upper_limit[d] >= kUnlimitedAmount) continue;
    limit[std::string(DimensionName(d))] = value.upper_limit[d];
  }
  return {{"team", value.team.value()},
          {"share", value.share},
          {"upper_limit", limit},
          {"zones", WriteNames(value.zones)},
          {"queues", WriteAll(value.queues)},
          {"version", value.version}};
}

KeyRecord Format<KeyRecord>::Read(ObjectReader& reader) {
  KeyRecord key;
  key.id = reader.Name<KeyId>("id");
  key.team = reader.Name<TeamId>("team");
  key.sha256 = reader.String("sha256");
  key.withdrawn = reader.Bool("withdrawn", false);
  key.version = reader.Int("version", 0, kMaxInt, 0);
  SkipChangeId(reader);
  return key;
}

Json Format<KeyRecord>::Write(const KeyRecord& value) {
  return {{"id", value.id.value()},
          {"team", value.team.value()},
          {"sha256", value.sha256},
          {"withdrawn", value.withdrawn},
          {"version", value.version}};
}

ZoneRecord Format<ZoneRecord>::Read(ObjectReader& reader) {
  ZoneRecord zone;
  zone.zone = reader.Name<ZoneId>("zone");
  zone.in_service = reader.Bool("in_service", true);
  zone.version = reader.Int("version", 0, kMaxInt, 0);
  SkipChangeId(reader);
  return zone;
}

Json Format<ZoneRecord>::Write(const ZoneRecord& value) {
  return {{"zone", value.zone.value()},
          {"in_service", value.in_service},
          {"version", value.version}};
}

Configuration Format<Configuration>::Read(ObjectReader& reader) {
  Configuration value;
  value.revision = Revision{reader.Int("revision", 0, kMaxInt)};
  for (Contract& contract : reader.Objects<Contract>("contracts")) {
    const TeamId team = contract.team;
    value.contracts[team] = std::move(contract);
  }
  for (KeyRecord& key : reader.Objects<KeyRecord>("keys")) {
    const KeyId id = key.id;
    value.keys[id] = std::move(key);
  }
  for (ZoneRecord& zone : reader.Objects<ZoneRecord>("zones")) {
    const ZoneId id = zone.zone;
    value.zones[id] = std::move(zone);
  }
  for (QueueRecord& queue : reader.Objects<QueueRecord>("queues", false)) {
    const QueueId id = queue.queue;
    value.queues[id] = std::move(queue);
  }
  for (ServiceRecord& service :
       reader.Objects<ServiceRecord>("services", false)) {
    const ServiceId id = service.service;
    value.services[id] = std::move(service);
  }
  return value;
}

Json Format<Configuration>::Write(const Configuration& value) {
  Json contracts = Json::array();
  for (const auto& [team, c] : value.contracts) {
    contracts.push_back(codec::Write(c));
  }
  Json keys = Json::array();
  for (const auto& [id, key] : value.keys) keys.push_back(codec::Write(key));
  Json zones = Json::array();
  for (const auto& [id, z] : value.zones) zones.push_back(codec::Write(z));
  Json out = {{"revision", value.revision.value},
              {"contracts", contracts},
              {"keys", keys},
              {"zones", zones}};
  for (const auto& [id, queue] : value.queues) {
    out["queues"].push_back(codec::Write(queue));
  }
  for (const auto& [id, service] : value.services) {
    out["services"].push_back(codec::Write(service));
  }
  return out;
}

}  // namespace azurepass::codec
