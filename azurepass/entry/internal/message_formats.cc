// The formats of entry's messages.
//
// Types of other packages that travel here are read and written through
// Wire<T>, so that a package that shows the same type to people in another
// form can specialise codec::Format for the type itself.

#include "azurepass/entry/internal/message_formats.h"

#include <concepts>
#include <limits>
#include <utility>

namespace azurepass::entry::internal {
namespace {

template <class T>
struct Wire {
  T value;
};

template <class T>
codec::Json WriteWire(T value) {
  return codec::Write(Wire<T>{std::move(value)});
}

template <class T>
codec::Json WriteWires(const std::vector<T>& values) {
  codec::Json list = codec::Json::array();
  for (const T& value : values) list.push_back(WriteWire(value));
  return list;
}

template <class T>
std::vector<T> ReadWires(codec::ObjectReader& reader, std::string_view name) {
  std::vector<T> values;
  for (Wire<T>& wire : reader.Objects<Wire<T>>(name)) {
    values.push_back(std::move(wire.value));
  }
  return values;
}

}  // namespace
}  // namespace azurepass::entry::internal

namespace azurepass::codec {
namespace {

using entry::internal::ReadWires;
using entry::internal::Wire;
using entry::internal::WriteWires;

constexpr int64_t kMaxInt = std::numeric_limits<int64_t>::max();
constexpr double kMaxScore = 1e300;

constexpr std::pair<std::string_view, placement::WaitReason> kWaitReasons[] = {
    {"none", placement::WaitReason::kNone},
    {"no_room", placement::WaitReason::kNoRoom},
    {"allowance", placement::WaitReason::kAllowance},
    {"zones_out", placement::WaitReason::kZonesOut},
    {"gang_incomplete", placement::WaitReason::kGangIncomplete},
    {"behind_others", placement::WaitReason::kBehindOthers},
    {"retry_backoff", placement::WaitReason::kRetryBackoff},
    {"retry_budget", placement::WaitReason::kRetryBudget},
    {"no_permit", placement::WaitReason::kNoPermit}};

constexpr std::pair<std::string_view, Dimension> kDimensionNames[] = {
    {"slots", Dimension::kSlots},
    {"connections", Dimension::kConnections},
    {"millicores", Dimension::kMillicores},
    {"memory_mib", Dimension::kMemoryMib},
    {"accelerators", Dimension::kAccelerators}};

constexpr std::pair<std::string_view, WorkflowState> kWorkflowStates[] = {
    {"queued", WorkflowState::kQueued},
    {"running", WorkflowState::kRunning},
    {"completed", WorkflowState::kCompleted},
    {"failed", WorkflowState::kFailed},
    {"cancelled", WorkflowState::kCancelled}};

std::string_view WaitReasonSpelling(placement::WaitReason reason) {
  for (const auto& [spelling, value] : kWaitReasons) {
    if (value == reason) return spelling;
  }
  return kWaitReasons[0].first;
}

int64_t Count(ObjectReader& reader, std::string_view name) {
  return reader.Int(name, 0, kMaxInt);
}

Duration Age(ObjectReader& reader, std::string_view name) {
  return reader.Millis(name, Duration(0), Duration::max());
}

}  // namespace

// --- Requests

template <>
struct Format<Wire<partition::SubmitJob>> {
  static Wire<partition::SubmitJob> Read(ObjectReader& reader) {
    partition::SubmitJob submit;
    submit.partition = reader.Name<PartitionId>("partition");
    submit.team = reader.Name<TeamId>("team");
    submit.request = reader.Name<RequestId>("request");
    submit.spec = reader.Object<JobSpec>("spec");
    submit.revision = Revision{Count(reader, "revision")};
    return {submit};
  }
  static Json Write(const Wire<partition::SubmitJob>& wire) {
    const partition::SubmitJob& submit = wire.value;
    return {{"partition", submit.partition.value()},
            {"team", submit.team.value()},
            {"request", submit.request.value()},
            {"spec", codec::Write(submit.spec)},
            {"revision", submit.revision.value}};
  }
};

template <>
struct Format<Wire<partition::GetJob>> {
  static Wire<partition::GetJob> Read(ObjectReader& reader) {
    partition::GetJob get;
    get.team = reader.Name<TeamId>("team");
    get.job = reader.Name<JobId>("job");
    get.known_version = Count(reader, "known");
    get.wait = Age(reader, "wait_ms");
    return {get};
  }
  static Json Write(const Wire<partition::GetJob>& wire) {
    return {{"team", wire.value.team.value()},
            {"job", wire.value.job.value()},
            {"known", wire.value.known_version},
            {"wait_ms", wire.value.wait.count()}};
  }
};

template <>
struct Format<Wire<partition::CancelJob>> {
  static Wire<partition::CancelJob> Read(ObjectReader& reader) {
    partition::CancelJob cancel;
    cancel.team = reader.Name<TeamId>("team");
    cancel.job = reader.Name<JobId>("job");
    return {cancel};
  }
  static Json Write(const Wire<partition::CancelJob>& wire) {
    return {{"team", wire.value.team.value()}, {"job", wire.value.job.value()}};
  }
};

template <>
struct Format<Wire<partition::ExplainJob>> {
  static Wire<partition::ExplainJob> Read(ObjectReader& reader) {
    partition::ExplainJob explain;
    explain.team = reader.Name<TeamId>("team");
    explain.job = reader.Name<JobId>("job");
    return {explain};
  }
  static Json Write(const Wire<partition::ExplainJob>& wire) {
    return {{"team", wire.value.team.value()}, {"job", wire.value.job.value()}};
  }
};

template <>
struct Format<Wire<entry::GetStatus>> {
  static Wire<entry::GetStatus> Read(ObjectReader& /*reader*/) { return {}; }
  static Json Write(const Wire<entry::GetStatus>& /*wire*/) {
    return Json::object();
  }
};

// Gossip is sent each second by everyone: its field names are short.
template <>
struct Format<Wire<entry::MemberNews>> {
  static Wire<entry::MemberNews> Read(ObjectReader& reader) {
    entry::MemberNews news;
    news.member = reader.Name<MemberId>("m");
    news.address = reader.String("a", "");
    news.incarnation = Count(reader, "i");
    news.heartbeat = Count(reader, "h");
    news.revision = Revision{Count(reader, "r")};
    news.store_contact_age = Age(reader, "c");
    news.owned = reader.Names<PartitionId>("o", /*required=*/false);
    return {news};
  }
  static Json Write(const Wire<entry::MemberNews>& wire) {
    const entry::MemberNews& news = wire.value;
    Json out = {
        {"m", news.member.value()}, {"a", news.address},
        {"i", news.incarnation},    {"h", news.heartbeat},
        {"r", news.revision.value}, {"c", news.store_contact_age.count()}};
    if (!news.address.empty()) out["a"] = news.address;
    if (!news.owned.empty()) out["o"] = WriteNames(news.owned);
    return out;
  }
};

template <>
struct Format<Wire<entry::Gossip>> {
  static Wire<entry::Gossip> Read(ObjectReader& reader) {
    return {{ReadWires<entry::MemberNews>(reader, "news")}};
  }
  static Json Write(const Wire<entry::Gossip>& wire) {
    return {{"news", WriteWires(wire.value.news)}};
  }
};

template <>
struct Format<Wire<entry::PullConfiguration>> {
  static Wire<entry::PullConfiguration> Read(ObjectReader& reader) {
    entry::PullConfiguration pull;
    pull.after = Revision{Count(reader, "after")};
    // Processes of a former build tell neither.
    if (reader.Has("digest")) pull.digest = reader.String("digest");
    if (reader.Has("content")) pull.content = reader.Bool("content");
    return {pull};
  }
  static Json Write(const Wire<entry::PullConfiguration>& wire) {
    return {{"after", wire.value.after.value},
            {"digest", wire.value.digest},
            {"content", wire.value.content}};
  }
};

template <>
struct Format<Wire<partition::SubmitWorkflow>> {
  static Wire<partition::SubmitWorkflow> Read(ObjectReader& reader) {
    partition::SubmitWorkflow submit;
    submit.partition = reader.Name<PartitionId>("partition");
    submit.team = reader.Name<TeamId>("team");
    submit.request = reader.Name<RequestId>("request");
    submit.spec = reader.Object<WorkflowSpec>("spec");
    submit.revision = Revision{Count(reader, "revision")};
    return {submit};
  }
  static Json Write(const Wire<partition::SubmitWorkflow>& wire) {
    const partition::SubmitWorkflow& submit = wire.value;
    return {{"partition", submit.partition.value()},
            {"team", submit.team.value()},
            {"request", submit.request.value()},
            {"spec", codec::Write(submit.spec)},
            {"revision", submit.revision.value}};
  }
};

// GetWorkflow and CancelWorkflow, which have the same fields.
template <class Request>
requires std::same_as<Request, partition::GetWorkflow> ||
    std::same_as<Request, partition::CancelWorkflow>
struct Format<Wire<Request>> {
  static Wire<Request> Read(ObjectReader& reader) {
    Request request;
    request.partition = reader.Name<PartitionId>("partition");
    request.team = reader.Name<TeamId>("team");
    request.request = reader.Name<RequestId>("request");
    return {request};
  }
  static Json Write(const Wire<Request>& wire) {
    return {{"partition", wire.value.partition.value()},
            {"team", wire.value.team.value()},
            {"request", wire.value.request.value()}};
  }
};

template <>
struct Format<Wire<partition::CountWaiting>> {
  static Wire<partition::CountWaiting> Read(ObjectReader& reader) {
    return {
        {reader.Name<PartitionId>("partition"), reader.Name<QueueId>("queue")}};
  }
  static Json Write(const Wire<partition::CountWaiting>& wire) {
    return {{"partition", wire.value.partition.value()},
            {"queue", wire.value.queue.value()}};
  }
};

template <>
struct Format<Wire<partition::FindWorkflow>> {
  static Wire<partition::FindWorkflow> Read(ObjectReader& reader) {
    return {{reader.Name<PartitionId>("partition"), reader.Name<TeamId>("team"),
             reader.Name<RequestId>("request"),
             Revision{Count(reader, "revision")}}};
  }
  static Json Write(const Wire<partition::FindWorkflow>& wire) {
    return {{"partition", wire.value.partition.value()},
            {"team", wire.value.team.value()},
            {"request", wire.value.request.value()},
            {"revision", wire.value.revision.value}};
  }
};

template <>
struct Format<Wire<entry::RelayPermits>> {
  static Wire<entry::RelayPermits> Read(ObjectReader& reader) {
    entry::RelayPermits relay{reader.Name<JobId>("job"),
                              reader.Names<VmId>("workers"), Duration(0)};
    relay.cost =
        reader.Millis("cost_ms", Duration(0), kLongestDecision, relay.cost);
    return {std::move(relay)};
  }
  static Json Write(const Wire<entry::RelayPermits>& wire) {
    Json out = {{"job", wire.value.job.value()},
                {"workers", WriteNames(wire.value.workers)}};
    if (wire.value.cost > Duration(0)) {
      out["cost_ms"] = wire.value.cost.count();
    }
    return out;
  }

 private:
  static constexpr Duration kLongestDecision{std::chrono::hours(1)};
};

// --- Responses

template <>
struct Format<Wire<WorkflowView>> {
  static Wire<WorkflowView> Read(ObjectReader& reader) {
    WorkflowView view;
    view.request = reader.Name<RequestId>("request");
    view.team = reader.Name<TeamId>("team");
    view.state = reader.Choice("state", kWorkflowStates);
    view.parts =
        static_cast<int32_t>(reader.Int("parts", 0, kMaxTasksPerJob, 1));
    return {view};
  }
  static Json Write(const Wire<WorkflowView>& wire) {
    Json out = {{"request", wire.value.request.value()},
                {"team", wire.value.team.value()},
                {"state", WorkflowStateName(wire.value.state)}};
    if (wire.value.parts != 1) out["parts"] = wire.value.parts;
    return out;
  }
};

template <>
struct Format<Wire<partition::WaitingCount>> {
  static Wire<partition::WaitingCount> Read(ObjectReader& reader) {
    return {{Count(reader, "workflows")}};
  }
  static Json Write(const Wire<partition::WaitingCount>& wire) {
    return {{"workflows", wire.value.workflows}};
  }
};

template <>
struct Format<Wire<partition::Permit>> {
  static Wire<partition::Permit> Read(ObjectReader& reader) {
    return {{reader.Name<VmId>("vm"), reader.String("text")}};
  }
  static Json Write(const Wire<partition::Permit>& wire) {
    return {{"vm", wire.value.vm.value()}, {"text", wire.value.text}};
  }
};

template <>
struct Format<Wire<entry::PermitsRelayed>> {
  static Wire<entry::PermitsRelayed> Read(ObjectReader& reader) {
    entry::PermitsRelayed relayed;
    relayed.permits = ReadWires<partition::Permit>(reader, "permits");
    relayed.validity = Age(reader, "validity_ms");
    return {relayed};
  }
  static Json Write(const Wire<entry::PermitsRelayed>& wire) {
    return {{"permits", WriteWires(wire.value.permits)},
            {"validity_ms", wire.value.validity.count()}};
  }
};

template <>
struct Format<Wire<JobView>> {
  static Wire<JobView> Read(ObjectReader& reader) {
    return {Format<JobView>::Read(reader)};
  }
  static Json Write(const Wire<JobView>& wire) {
    return codec::Write(wire.value);
  }
};

template <>
struct Format<Wire<Refusal>> {
  static Wire<Refusal> Read(ObjectReader& reader) {
    return {Format<Refusal>::Read(reader)};
  }
  static Json Write(const Wire<Refusal>& wire) {
    return codec::Write(wire.value);
  }
};

template <>
struct Format<Wire<placement::GroupExplanation>> {
  static Wire<placement::GroupExplanation> Read(ObjectReader& reader) {
    placement::GroupExplanation group;
    group.zone = reader.Name<ZoneId>("zone");
    group.workers = Count(reader, "workers");
    group.closed = Count(reader, "closed");
    group.quarantined = Count(reader, "quarantined");
    group.without_room = Count(reader, "without_room");
    group.with_room = Count(reader, "with_room");
    if (reader.Has("tightest")) {
      group.tightest = reader.Choice("tightest", kDimensionNames);
    }
    if (reader.Has("best_score")) {
      group.best_score = reader.Number("best_score", -kMaxScore, kMaxScore);
    }
    group.verdict = reader.String("verdict");
    return {group};
  }
  static Json Write(const Wire<placement::GroupExplanation>& wire) {
    const placement::GroupExplanation& group = wire.value;
    Json out = {{"zone", group.zone.value()},
                {"workers", group.workers},
                {"closed", group.closed},
                {"quarantined", group.quarantined},
                {"without_room", group.without_room},
                {"with_room", group.with_room},
                {"verdict", group.verdict}};
    if (group.tightest) out["tightest"] = DimensionName(*group.tightest);
    if (group.best_score) out["best_score"] = *group.best_score;
    return out;
  }
};

template <>
struct Format<Wire<placement::Start>> {
  static Wire<placement::Start> Read(ObjectReader& reader) {
    placement::Start start;
    start.task.job = reader.Name<JobId>("job");
    start.task.index =
        static_cast<int32_t>(reader.Int("index", 0, kMaxTasksPerJob));
    start.vm = reader.Name<VmId>("vm");
    start.score = reader.Number("score", -kMaxScore, kMaxScore);
    start.considered = Count(reader, "considered");
    return {start};
  }
  static Json Write(const Wire<placement::Start>& wire) {
    return {{"job", wire.value.task.job.value()},
            {"index", wire.value.task.index},
            {"vm", wire.value.vm.value()},
            {"score", wire.value.score},
            {"considered", wire.value.considered}};
  }
};

template <>
struct Format<Wire<placement::Explanation>> {
  static Wire<placement::Explanation> Read(ObjectReader& reader) {
    placement::Explanation explanation;
    explanation.job = reader.Name<JobId>("job");
    explanation.revision = Revision{Count(reader, "revision")};
    explanation.waiting = reader.Choice("waiting", kWaitReasons);
    explanation.sentence = reader.String("sentence");
    explanation.groups =
        ReadWires<placement::GroupExplanation>(reader, "groups");
    explanation.policy = reader.String("policy");
    if (reader.Has("latest")) {
      explanation.latest =
          reader.Object<Wire<placement::Start>>("latest").value;
    }
    return {explanation};
  }
  static Json Write(const Wire<placement::Explanation>& wire) {
    const placement::Explanation& explanation = wire.value;
    Json out = {{"job", explanation.job.value()},
                {"revision", explanation.revision.value},
                {"waiting", WaitReasonSpelling(explanation.waiting)},
                {"sentence", explanation.sentence},
                {"groups", WriteWires(explanation.groups)},
                {"policy", explanation.policy}};
    if (explanation.latest) {
      out["latest"] = codec::Write(Wire<placement::Start>{*explanation.latest});
    }
    return out;
  }
};

template <>
struct Format<Wire<placement::CellStatus>> {
  static Wire<placement::CellStatus> Read(ObjectReader& reader) {
    placement::CellStatus cell;
    cell.workers = Count(reader, "workers");
    cell.open_workers = Count(reader, "open_workers");
    cell.quarantined_workers = Count(reader, "quarantined_workers");
    cell.queued_tasks = Count(reader, "queued_tasks");
    cell.committed_tasks = Count(reader, "committed_tasks");
    cell.capacity = reader.Object<Resources>("capacity");
    cell.committed = reader.Object<Resources>("committed");
    return {cell};
  }
  static Json Write(const Wire<placement::CellStatus>& wire) {
    const placement::CellStatus& cell = wire.value;
    return {{"workers", cell.workers},
            {"open_workers", cell.open_workers},
            {"quarantined_workers", cell.quarantined_workers},
            {"queued_tasks", cell.queued_tasks},
            {"committed_tasks", cell.committed_tasks},
            {"capacity", codec::Write(cell.capacity)},
            {"committed", codec::Write(cell.committed)}};
  }
};

using TeamCommitment = std::pair<TeamId, Resources>;

template <>
struct Format<Wire<TeamCommitment>> {
  static Wire<TeamCommitment> Read(ObjectReader& reader) {
    TeamCommitment commitment;
    commitment.first = reader.Name<TeamId>("team");
    commitment.second = reader.Object<Resources>("committed");
    return {commitment};
  }
  static Json Write(const Wire<TeamCommitment>& wire) {
    return {{"team", wire.value.first.value()},
            {"committed", codec::Write(wire.value.second)}};
  }
};

template <>
struct Format<Wire<partition::Status>> {
  static Wire<partition::Status> Read(ObjectReader& reader) {
    partition::Status status;
    status.partition = reader.Name<PartitionId>("partition");
    status.epoch = Epoch{Count(reader, "epoch")};
    status.cell = reader.Object<Wire<placement::CellStatus>>("cell").value;
    status.committed = ReadWires<TeamCommitment>(reader, "committed");
    return {status};
  }
  static Json Write(const Wire<partition::Status>& wire) {
    const partition::Status& status = wire.value;
    return {{"partition", status.partition.value()},
            {"epoch", status.epoch.value},
            {"cell", codec::Write(Wire<placement::CellStatus>{status.cell})},
            {"committed", WriteWires(status.committed)}};
  }
};

template <>
struct Format<Wire<entry::Status>> {
  static Wire<entry::Status> Read(ObjectReader& reader) {
    entry::Status status;
    status.member = reader.Name<MemberId>("member");
    status.revision = Revision{Count(reader, "revision")};
    status.partitions = ReadWires<partition::Status>(reader, "partitions");
    return {status};
  }
  static Json Write(const Wire<entry::Status>& wire) {
    return {{"member", wire.value.member.value()},
            {"revision", wire.value.revision.value},
            {"partitions", WriteWires(wire.value.partitions)}};
  }
};

template <>
struct Format<Wire<entry::ConfigurationPulled>> {
  static Wire<entry::ConfigurationPulled> Read(ObjectReader& reader) {
    entry::ConfigurationPulled pulled;
    pulled.member = reader.Name<MemberId>("member");
    pulled.configuration = reader.Object<Configuration>("configuration");
    if (reader.Has("since")) pulled.since = Revision{Count(reader, "since")};
    if (reader.Has("withheld")) pulled.withheld = reader.Bool("withheld");
    pulled.store_contact_age = Age(reader, "store_contact_age_ms");
    pulled.in_contact = reader.Bool("in_contact");
    return {pulled};
  }
  static Json Write(const Wire<entry::ConfigurationPulled>& wire) {
    const entry::ConfigurationPulled& pulled = wire.value;
    Json out = {{"member", pulled.member.value()},
                {"configuration", codec::Write(pulled.configuration)},
                {"store_contact_age_ms", pulled.store_contact_age.count()},
                {"in_contact", pulled.in_contact}};
    if (pulled.since) out["since"] = pulled.since->value;
    if (pulled.withheld) out["withheld"] = true;
    return out;
  }
};

}  // namespace azurepass::codec

namespace azurepass::entry::internal {
namespace {

using codec::Error;
using codec::ErrorCode;
using codec::Json;

// Where each alternative of Request and of Response goes by name. The order is
// that of the variant.
constexpr std::string_view kPaths[] = {
    "/v1/submit",        "/v1/get",
    "/v1/cancel",        "/v1/explain",
    "/v1/status",        "/v1/gossip",
    "/v1/pull",          "/v1/submit-workflow",
    "/v1/get-workflow",  "/v1/cancel-workflow",
    "/v1/count-waiting", "/v1/permits",
    "/v1/find-workflow"};
static_assert(std::size(kPaths) == std::variant_size_v<Request>);

constexpr std::string_view kKinds[] = {"job",      "explanation",   "status",
                                       "gossip",   "configuration", "refusal",
                                       "workflow", "waiting",       "permits"};
static_assert(std::size(kKinds) == std::variant_size_v<Response>);

// Reads the alternative of `Sum` whose name stands in `names`.
template <class Sum, size_t I = 0, size_t N>
std::variant<Sum, Error> ReadNamed(const std::string_view (&names)[N],
                                   std::string_view name,
                                   const Json& document) {
  if constexpr (I == N) {
    return Error{ErrorCode::kOutOfRange, "", "unknown kind of message"};
  } else {
    if (name != names[I]) return ReadNamed<Sum, I + 1>(names, name, document);
    using T = std::variant_alternative_t<I, Sum>;
    codec::ObjectReader reader(document, "");
    Wire<T> wire = codec::Format<Wire<T>>::Read(reader);
    if (std::optional<Error> error = reader.Finish()) return *error;
    return Sum(std::in_place_index<I>, std::move(wire.value));
  }
}

codec::ParseLimits LimitsOf(int64_t max_bytes) {
  codec::ParseLimits limits;
  limits.max_bytes = static_cast<size_t>(max_bytes);
  return limits;
}

std::variant<Json, Error> ParseBody(std::string_view body, int64_t max_bytes) {
  return codec::Try(
      [&] { return codec::ParseCbor(body, LimitsOf(max_bytes)); });
}

template <class Sum>
Json WriteAlternative(const Sum& sum) {
  return std::visit([](const auto& value) { return WriteWire(value); }, sum);
}

}  // namespace

std::string PathOf(const Request& request) {
  return std::string(kPaths[request.index()]);
}

std::string EncodeRequest(const Request& request) {
  return codec::ToCbor(WriteAlternative(request));
}

std::variant<Request, Error> DecodeRequest(std::string_view path,
                                           std::string_view body,
                                           int64_t max_bytes) {
  std::variant<Json, Error> document = ParseBody(body, max_bytes);
  if (Error* error = std::get_if<Error>(&document)) return *error;
  return ReadNamed<Request>(kPaths, path, std::get<Json>(document));
}

std::string EncodeResponse(const Response& response) {
  const Json document = {{"kind", kKinds[response.index()]},
                         {"value", WriteAlternative(response)}};
  return codec::ToCbor(document);
}

std::variant<Response, Error> DecodeResponse(std::string_view body,
                                             int64_t max_bytes) {
  std::variant<Json, Error> document = ParseBody(body, max_bytes);
  if (Error* error = std::get_if<Error>(&document)) return *error;
  codec::ObjectReader reader(std::get<Json>(document), "");
  const std::string kind = reader.String("kind");
  const Json& value = reader.Raw("value");
  if (std::optional<Error> error = reader.Finish()) return *error;
  return ReadNamed<Response>(kKinds, kind, value);
}

}  // namespace azurepass::entry::internal
