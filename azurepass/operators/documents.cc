// Requests and answers of operators as JSON documents.

#include <limits>

#include "azurepass/caller/caller.h"
#include "azurepass/codec/codec.h"
#include "azurepass/operators/operators.h"

namespace azurepass::operators {
namespace {

using httpserver::JsonResponse;
using httpserver::Method;

// The body of POST /v1/keys.
struct KeyWanted {
  TeamId team;
};
// The body of PUT /v1/zones/ZONE.
struct ZoneWanted {
  bool in_service = true;
  store::Version version = store::kAbsent;
};

}  // namespace
}  // namespace azurepass::operators

namespace azurepass::codec {

template <>
struct Format<operators::KeyWanted> {
  static operators::KeyWanted Read(ObjectReader& reader) {
    return {reader.Name<TeamId>("team")};
  }
};
template <>
struct Format<operators::ZoneWanted> {
  static operators::ZoneWanted Read(ObjectReader& reader) {
    operators::ZoneWanted wanted;
    wanted.in_service = reader.Bool("in_service");
    wanted.version =
        reader.Int("version", 0, std::numeric_limits<int64_t>::max());
    return wanted;
  }
};

}  // namespace azurepass::codec

namespace azurepass::operators {
namespace {

using Outcome = std::variant<Request, Refusal>;

Refusal Refuse(RefusalCode code, std::string message) {
  return {code, Effect::kNotRun, std::move(message), std::nullopt};
}

Refusal NoSuchResource() {
  return Refuse(RefusalCode::kNotFound,
                "no such resource; there are /v1/contracts, /v1/keys, "
                "/v1/zones, /v1/status and /v1/jobs/ID/explain");
}

Refusal NotAllowed() {
  return Refuse(RefusalCode::kInvalidRequest,
                "this resource does not take that method");
}

Request About(ConfigurationRequest request) { return request; }
Request About(CellRequest request) { return request; }

template <class T, class Make>
Outcome ReadBody(const std::string& body, Make make) {
  auto outcome = codec::Try([&] { return codec::Decode<T>(body); });
  if (auto* error = std::get_if<codec::Error>(&outcome)) {
    return httpserver::ToRefusal(*error);
  }
  return make(std::get<T>(std::move(outcome)));
}

Outcome ReadPutContract(const httpserver::Request& http, const TeamId& team) {
  return ReadBody<Contract>(http.body, [&](Contract contract) -> Outcome {
    if (contract.team != team) {
      return Refuse(RefusalCode::kInvalidRequest,
                    "team: must be " + team.value() + ", as in the path");
    }
    return About(PutContract{std::move(contract)});
  });
}

Outcome ReadDeleteContract(const httpserver::Request& http,
                           const TeamId& team) {
  std::optional<int64_t> version = httpserver::QueryInt(
      http, "version", 0, std::numeric_limits<int64_t>::max());
  if (!version || *version == store::kAbsent) {
    return Refuse(RefusalCode::kInvalidRequest,
                  "version: must be the contract's version as you saw it");
  }
  return About(DeleteContract{team, *version});
}

Outcome ReadContracts(const httpserver::Request& http) {
  if (http.path.size() == 2) {
    if (http.method == Method::kGet) return About(ListContracts{});
    return NotAllowed();
  }
  if (http.path.size() > 3) return NoSuchResource();
  const TeamId team(http.path[2]);
  if (http.method == Method::kGet) return About(GetContract{team});
  if (http.method == Method::kPut) return ReadPutContract(http, team);
  if (http.method == Method::kDelete) return ReadDeleteContract(http, team);
  return NotAllowed();
}

Outcome ReadKeys(const httpserver::Request& http) {
  if (http.path.size() == 2 && http.method == Method::kGet) {
    return About(ListKeys{});
  }
  if (http.path.size() == 2 && http.method == Method::kPost) {
    return ReadBody<KeyWanted>(http.body, [](KeyWanted wanted) -> Outcome {
      return About(CreateKey{std::move(wanted.team)});
    });
  }
  if (http.path.size() > 3) return NoSuchResource();
  if (http.path.size() == 3 && http.method == Method::kDelete) {
    return About(WithdrawKey{KeyId(http.path[2])});
  }
  return NotAllowed();
}

Outcome ReadZones(const httpserver::Request& http) {
  if (http.path.size() == 2 && http.method == Method::kGet) {
    return About(ListZones{});
  }
  if (http.path.size() > 3) return NoSuchResource();
  if (http.path.size() == 3 && http.method == Method::kPut) {
    return ReadBody<ZoneWanted>(
        http.body, [&](const ZoneWanted& wanted) -> Outcome {
          return About(PutZone{
              {ZoneId(http.path[2]), wanted.in_service, wanted.version}});
        });
  }
  return NotAllowed();
}

Outcome ReadStatus(const httpserver::Request& http) {
  if (http.path.size() > 2) return NoSuchResource();
  if (http.method != Method::kGet) return NotAllowed();
  return About(GetStatus{});
}

Outcome ReadJobs(const httpserver::Request& http) {
  if (http.path.size() != 4 || http.path[3] != "explain") {
    return NoSuchResource();
  }
  if (http.method != Method::kGet) return NotAllowed();
  return About(ExplainJob{JobId(http.path[2])});
}

// A key's document leaves the hash out.
codec::Json ToJson(const KeyRecord& key) {
  return {{"id", key.id.value()},
          {"team", key.team.value()},
          {"withdrawn", key.withdrawn},
          {"version", key.version}};
}

codec::Json ToJson(const Conflict& conflict) {
  Refusal refusal = Refuse(RefusalCode::kVersionConflict,
                           "somebody wrote first; \"current\" is there now");
  refusal.effect = conflict.effect;
  if (conflict.effect == Effect::kUnknown) {
    refusal.message =
        "the answer to this write was lost, and \"current\" is there now: it "
        "either came first or replaced this write";
  }
  codec::Json out = codec::Write(refusal);
  out["current"] = std::visit(
      Visitor{[](std::monostate) { return codec::Json(nullptr); },
              [](const KeyRecord& key) { return ToJson(key); },
              [](const auto& record) { return codec::Write(record); }},
      conflict.current);
  return out;
}

codec::Json ToJson(const MemberStatus& member) {
  return {
      {"member", member.member.value()}, {"role", member.role},
      {"zone", member.zone.value()},     {"address", member.address},
      {"leaving", member.leaving},       {"suspected", member.suspected},
      {"answered", member.answered},     {"revision", member.revision.value}};
}

codec::Json ToJson(const PartitionStatus& partition) {
  codec::Json teams = codec::Json::object();
  for (const auto& [team, committed] : partition.committed) {
    teams[team.value()] = codec::Write(committed);
  }
  const placement::CellStatus& cell = partition.cell;
  return {{"partition", partition.partition.value()},
          {"service", partition.service.value()},
          {"owner", partition.owner.value()},
          {"epoch", partition.epoch.value},
          {"answered", partition.answered},
          {"workers", cell.workers},
          {"open_workers", cell.open_workers},
          {"quarantined_workers", cell.quarantined_workers},
          {"queued_tasks", cell.queued_tasks},
          {"committed_tasks", cell.committed_tasks},
          {"capacity", codec::Write(cell.capacity)},
          {"committed", codec::Write(cell.committed)},
          {"teams", teams}};
}

codec::Json ToJson(const CellStatus& status) {
  codec::Json members = codec::Json::array();
  for (const auto& member : status.members) members.push_back(ToJson(member));
  codec::Json partitions = codec::Json::array();
  for (const auto& partition : status.partitions) {
    partitions.push_back(ToJson(partition));
  }
  return {{"answered_by", status.answered_by.value()},
          {"revision", status.revision.value},
          {"freshness", status.freshness},
          {"may_start", status.may_start},
          {"members", members},
          {"partitions", partitions}};
}

template <class Record>
httpserver::Response ListResponse(const std::string& name,
                                  const std::vector<Record>& records,
                                  Revision revision) {
  return JsonResponse(
      200, {{name, codec::WriteAll(records)}, {"revision", revision.value}});
}

}  // namespace

Outcome Read(const httpserver::Request& http) {
  if (http.path.size() < 2 || http.path[0] != "v1") return NoSuchResource();
  const std::string& resource = http.path[1];
  if (resource == "contracts") return ReadContracts(http);
  if (resource == "keys") return ReadKeys(http);
  if (resource == "zones") return ReadZones(http);
  if (resource == "status") return ReadStatus(http);
  if (resource == "jobs") return ReadJobs(http);
  return NoSuchResource();
}

httpserver::Response ToHttp(const ConfigurationResponse& response) {
  return std::visit(
      Visitor{
          [](const ContractList& list) {
            return ListResponse("contracts", list.contracts, list.revision);
          },
          [](const KeyList& list) {
            codec::Json keys = codec::Json::array();
            for (const auto& key : list.keys) keys.push_back(ToJson(key));
            return JsonResponse(
                200, {{"keys", keys}, {"revision", list.revision.value}});
          },
          [](const ZoneList& list) {
            return ListResponse("zones", list.zones, list.revision);
          },
          [](const KeyCreated& created) {
            codec::Json out = ToJson(created.record);
            out["secret"] = created.secret;
            return JsonResponse(201, out);
          },
          [](const KeyRecord& key) { return JsonResponse(200, ToJson(key)); },
          [](const Deleted&) {
            return JsonResponse(200, {{"deleted", true}});
          },
          [](const Conflict& conflict) {
            return JsonResponse(409, ToJson(conflict));
          },
          [](const Refusal& refusal) {
            return httpserver::ToResponse(refusal);
          },
          [](const auto& record) {
            return JsonResponse(200, codec::Write(record));
          }},
      response);
}

httpserver::Response ToHttp(const CellResponse& response) {
  return std::visit(Visitor{[](const CellStatus& status) {
                              return JsonResponse(200, ToJson(status));
                            },
                            [](const placement::Explanation& explanation) {
                              return JsonResponse(200,
                                                  caller::ToJson(explanation));
                            },
                            [](const Refusal& refusal) {
                              return httpserver::ToResponse(refusal);
                            }},
                    response);
}

}  // namespace azurepass::operators
