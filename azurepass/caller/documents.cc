// Requests and answers of callers as JSON documents.

#include <algorithm>

#include "azurepass/caller/caller.h"

namespace azurepass::caller {
namespace {

// The body of POST /v1/jobs.
struct Submission {
  RequestId request;
  JobSpec spec;
};

bool IsPrintable(char c) { return c >= ' ' && c <= '~'; }

bool IsRequestId(const std::string& text) {
  return !text.empty() && text.size() <= kMaxRequestIdChars &&
         std::all_of(text.begin(), text.end(), IsPrintable);
}

Refusal Invalid(std::string message) {
  return {RefusalCode::kInvalidRequest, Effect::kNotRun, std::move(message),
          std::nullopt};
}

Refusal NoSuchResource() {
  return {RefusalCode::kNotFound, Effect::kNotRun,
          "no such resource; jobs are under /v1/jobs", std::nullopt};
}

}  // namespace
}  // namespace azurepass::caller

namespace azurepass::codec {

template <>
struct Format<caller::Submission> {
  static caller::Submission Read(ObjectReader& reader) {
    caller::Submission submission;
    submission.request = reader.Name<RequestId>("request_id");
    if (reader.ok() && !caller::IsRequestId(submission.request.value())) {
      reader.Fail(ErrorCode::kOutOfRange, "request_id",
                  "must be 1 to 128 printable characters");
    }
    submission.spec = Format<JobSpec>::Read(reader);
    return submission;
  }
};

}  // namespace azurepass::codec

namespace azurepass::caller {
namespace {

std::variant<Request, Refusal> ReadSubmit(const httpserver::Request& http) {
  auto outcome =
      codec::Try([&] { return codec::Decode<Submission>(http.body); });
  if (auto* error = std::get_if<codec::Error>(&outcome)) {
    return httpserver::ToRefusal(*error);
  }
  auto& submission = std::get<Submission>(outcome);
  return Submit{submission.request, std::move(submission.spec)};
}

std::variant<Request, Refusal> ReadGet(const httpserver::Request& http,
                                       JobId job) {
  std::optional<int64_t> wait =
      httpserver::QueryInt(http, "wait", 0, kMaxWait.count());
  if (!wait) {
    return Invalid("wait: must be a whole number of seconds, at most " +
                   std::to_string(kMaxWait.count()));
  }
  std::optional<int64_t> known = httpserver::QueryInt(
      http, "known", 0, std::numeric_limits<int64_t>::max());
  if (!known) return Invalid("known: must be a job's version");
  return Get{std::move(job), *known, std::chrono::seconds(*wait)};
}

codec::Json ToJson(const placement::GroupExplanation& group) {
  codec::Json out = {{"zone", group.zone.value()},
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

}  // namespace

std::variant<Request, Refusal> Read(const httpserver::Request& http) {
  using httpserver::Method;
  const std::vector<std::string>& path = http.path;
  if (path.size() < 2 || path[0] != "v1" || path[1] != "jobs") {
    return NoSuchResource();
  }
  if (path.size() == 2 && http.method == Method::kPost) return ReadSubmit(http);
  if (path.size() == 2) return Invalid("only POST is allowed on /v1/jobs");
  const JobId job(path[2]);
  if (path.size() == 3 && http.method == Method::kGet)
    return ReadGet(http, job);
  if (path.size() == 3 && http.method == Method::kDelete) return Cancel{job};
  if (path.size() == 3) return Invalid("only GET and DELETE are allowed here");
  if (path.size() > 4 || path[3] != "explain") return NoSuchResource();
  if (http.method != Method::kGet) return Invalid("only GET is allowed here");
  return Explain{job};
}

codec::Json ToJson(const placement::Explanation& explanation) {
  codec::Json groups = codec::Json::array();
  for (const auto& group : explanation.groups) groups.push_back(ToJson(group));
  codec::Json out = {
      {"job", explanation.job.value()},
      {"revision", explanation.revision.value},
      {"policy", explanation.policy},
      {"waiting", placement::WaitReasonName(explanation.waiting)},
      {"sentence", explanation.sentence},
      {"groups", groups}};
  if (explanation.latest) {
    out["latest"] = {{"task", ToString(explanation.latest->task)},
                     {"vm", explanation.latest->vm.value()},
                     {"score", explanation.latest->score},
                     {"considered", explanation.latest->considered}};
  }
  return out;
}

httpserver::Response ToHttp(const Response& response) {
  return std::visit(
      Visitor{[](const JobView& job) {
                return httpserver::JsonResponse(200, codec::Write(job));
              },
              [](const placement::Explanation& explanation) {
                return httpserver::JsonResponse(200, ToJson(explanation));
              },
              [](const Refusal& refusal) {
                return httpserver::ToResponse(refusal);
              },
              [](const WorkflowView& workflow) {
                return httpserver::JsonResponse(
                    200, {{"request_id", workflow.request.value()},
                          {"team", workflow.team.value()},
                          {"state", WorkflowStateName(workflow.state)}});
              },
              [](const partition::WaitingCount& count) {
                return httpserver::JsonResponse(200,
                                                {{"waiting", count.workflows}});
              }},
      response);
}

}  // namespace azurepass::caller
