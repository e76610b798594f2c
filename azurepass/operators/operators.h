// Operators: who write contracts, keys and the state of availability zones,
// and look at the cell, over HTTP and JSON.
//
//   GET    /v1/contracts             All contracts.
//   GET    /v1/contracts/TEAM
//   PUT    /v1/contracts/TEAM        A contract; "version" is the one seen, 0
//                                    for a new one.
//   DELETE /v1/contracts/TEAM?version=SEEN
//   POST   /v1/keys                  {"team"}; the answer holds the secret,
//                                    which is told this once.
//   GET    /v1/keys
//   DELETE /v1/keys/ID               Withdraws; for good.
//   GET    /v1/zones
//   PUT    /v1/zones/ZONE            {"in_service", "version"}
//   GET    /v1/status
//   GET    /v1/jobs/ID/explain
//
// with "Authorization: Bearer KEY", the operators' key. A write whose version
// is not the current one is answered 409 with code, effect and "current": what
// is there now.
//
// Usage: construct a Server with the listeners for the two kinds of requests,
// configuration and cell; a ConfigurationWriter is the first of them.

#ifndef AZUREPASS_OPERATORS_OPERATORS_H_
#define AZUREPASS_OPERATORS_OPERATORS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "azurepass/configuration/configuration.h"
#include "azurepass/core/core.h"
#include "azurepass/httpserver/httpserver.h"
#include "azurepass/metrics/metrics.h"
#include "azurepass/placement/placement.h"
#include "azurepass/store/store.h"
#include "azurepass/task/task.h"

namespace azurepass::operators {

// ---------------------------------------------------------------------------
// Requests about the configuration

struct ListContracts {};
struct GetContract {
  TeamId team;
};
struct PutContract {
  Contract contract;  // Its version is the one seen.
};
struct DeleteContract {
  TeamId team;
  store::Version version = store::kAbsent;  // As seen.
};
struct ListKeys {};
struct CreateKey {
  TeamId team;
};
struct WithdrawKey {
  KeyId key;
};
struct ListZones {};
struct PutZone {
  ZoneRecord zone;  // Its version is the one seen.
};
using ConfigurationRequest =
    std::variant<ListContracts, GetContract, PutContract, DeleteContract,
                 ListKeys, CreateKey, WithdrawKey, ListZones, PutZone>;

struct ContractList {
  std::vector<Contract> contracts;
  Revision revision;
};
struct KeyList {
  std::vector<KeyRecord> keys;
  Revision revision;
};
// All zones of the cell; one without a record is in service, at version 0.
struct ZoneList {
  std::vector<ZoneRecord> zones;
  Revision revision;
};
struct KeyCreated {
  KeyRecord record;
  std::string secret;  // Kept nowhere else.
};
struct Deleted {};
// Somebody wrote first. With the effect "unknown" the request's own write may
// have been accepted and then replaced.
struct Conflict {
  Effect effect = Effect::kNotRun;
  std::variant<std::monostate, Contract, KeyRecord, ZoneRecord> current;
};
using ConfigurationResponse =
    std::variant<ContractList, Contract, KeyList, KeyRecord, KeyCreated,
                 ZoneList, ZoneRecord, Deleted, Conflict, Refusal>;

// ---------------------------------------------------------------------------
// Requests about the cell

struct GetStatus {};
struct ExplainJob {
  JobId job;
};
using CellRequest = std::variant<GetStatus, ExplainJob>;

struct MemberStatus {
  MemberId member;
  std::string role;  // "frontend" or "scheduler".
  ZoneId zone;
  std::string address;
  bool leaving = false;
  bool suspected = false;
  bool answered = false;  // The request for its status.
  Revision revision;      // In force there.
};
struct PartitionStatus {
  PartitionId partition;
  ServiceId service;
  MemberId owner;  // Empty: nobody.
  Epoch epoch;
  bool answered = false;  // Without it the rest is unknown.
  placement::CellStatus cell;
  std::map<TeamId, Resources> committed;
};
struct CellStatus {
  MemberId answered_by;
  Revision revision;      // In force in the answering process.
  std::string freshness;  // Of its configuration.
  bool may_start = false;
  std::vector<MemberStatus> members;
  std::vector<PartitionStatus> partitions;
};
using CellResponse = std::variant<CellStatus, placement::Explanation, Refusal>;

// ---------------------------------------------------------------------------
// The server

template <class RequestType, class ResponseType>
struct Call {
  RequestType request;
  Duration time_left{0};  // Answer by then, once.
  task::Address<ResponseType> reply_to;
};
using ConfigurationCall = Call<ConfigurationRequest, ConfigurationResponse>;
using CellCall = Call<CellRequest, CellResponse>;

using Request = std::variant<ConfigurationRequest, CellRequest>;

inline constexpr Duration kAnswerTime{10'000};

// Reads a request; the other side is what to answer at once.
std::variant<Request, Refusal> Read(const httpserver::Request& http);

httpserver::Response ToHttp(const ConfigurationResponse& response);
httpserver::Response ToHttp(const CellResponse& response);

struct Drained {};

class Server {
 public:
  // `key_sha256` is the hash of the operators' key, as settings hold it.
  Server(task::Loop& loop, httpserver::Options options, std::string key_sha256,
         task::Address<ConfigurationCall> configuration,
         task::Address<CellCall> cell);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // "IP:PORT" with the port the kernel chose; empty when listening failed.
  std::string listening_on() const;

  // Stops listening and tells `done` once every open request is answered and
  // every connection is closed; see httpserver::Server::Drain. Callable from
  // any thread.
  void Drain(Duration idle_time, task::Address<Drained> done);

  task::Address<metrics::Scrape> metrics() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// ---------------------------------------------------------------------------
// The writer of the configuration

// What contracts may name.
struct KnownNames {
  std::set<ZoneId> zones;
  std::set<ServiceId> services;
};

// What is wrong with a contract, with the path of the field; empty when it may
// be written.
std::optional<std::string> Problem(const Contract& contract,
                                   const KnownNames& known);

// Answers each request about the configuration from the store itself. A write
// is reported as accepted only when the store has it; when its answer was lost,
// the writer reads back and knows its own write by the change id in the value.
// "Not run" is said only of a write that was certainly without effect.
class ConfigurationWriter {
 public:
  // `accepted` is told the revision of each accepted change. `seed` is of the
  // jitter of retries; secrets and ids come from the kernel.
  ConfigurationWriter(task::Loop& loop, KnownNames known, uint64_t seed,
                      task::Address<store::Request> store,
                      task::Address<configuration::ChangeAccepted> accepted);
  ~ConfigurationWriter();
  ConfigurationWriter(const ConfigurationWriter&) = delete;
  ConfigurationWriter& operator=(const ConfigurationWriter&) = delete;

  task::Address<ConfigurationCall> address() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace azurepass::operators

#endif  // AZUREPASS_OPERATORS_OPERATORS_H_
