// Commands against a scripted frontend: what they ask, print and return.

#include "azurepass/cli/cli.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <deque>
#include <fstream>
#include <sstream>

#include "azurepass/cli/internal/output.h"
#include "azurepass/httpserver/httpserver.h"

namespace azurepass::cli {
namespace {

struct Scripted {
  std::string start;  // Method and path of the request that is expected.
  int status = 200;
  std::string body;
};

// Answers requests in the script's order, on a loop of its own.
class Frontend {
 public:
  explicit Frontend(std::deque<Scripted> script)
      : script_(std::move(script)), server_(loop_, Local(), [this](auto event) {
          if (auto* r = std::get_if<httpserver::Received>(&event)) Answer(*r);
        }) {
    loop_.Start();
  }
  ~Frontend() { loop_.Stop(); }
  std::string address() const { return server_.listening_on(); }

 private:
  static httpserver::Options Local() {
    httpserver::Options options;
    options.address = "127.0.0.1:0";
    return options;
  }
  void Answer(const httpserver::Received& received) {
    static constexpr std::string_view kMethods[] = {"GET", "POST", "PUT",
                                                    "DELETE", "OTHER"};
    std::string start(kMethods[static_cast<int>(received.request.method)]);
    start += " ";
    for (const std::string& part : received.request.path) start += "/" + part;
    httpserver::Response response{
        599, "text/plain", "unexpected: " + start, {}};
    if (!script_.empty() && script_.front().start == start) {
      response = {
          script_.front().status, "application/json", script_.front().body, {}};
      script_.pop_front();
    }
    server_.Answer(received.id, response);
  }

  std::deque<Scripted> script_;
  task::Loop loop_;
  httpserver::Server server_;
};

struct Ran {
  ExitCode code;
  std::string out;
  std::string err;
};

Ran RunWith(const std::vector<std::string>& arguments,
            const Options& options = {}, const std::string& input = "") {
  std::istringstream in(input);
  std::ostringstream out;
  std::ostringstream err;
  const ExitCode code =
      Run(options, arguments, {in, out, err, std::nullopt, false});
  return {code, out.str(), err.str()};
}

Ran RunAgainst(const std::deque<Scripted>& script,
               const std::vector<std::string>& arguments, Options options = {},
               const std::string& input = "") {
  const Frontend frontend(script);
  options.server = frontend.address();
  return RunWith(arguments, options, input);
}

std::string RefusalBody(const std::string& code, const std::string& effect) {
  return R"({"code":")" + code + R"(","effect":")" + effect +
         R"(","message":"m"})";
}

TEST_CASE("exit codes say what happened") {
  struct Case {
    int status;
    std::string body;
    ExitCode code;
  };
  const Case cases[] = {
      {200, R"({"keys":[]})", ExitCode::kOk},
      {401, RefusalBody("unauthenticated", "not_run"), ExitCode::kRefused},
      {404, RefusalBody("not_found", "not_run"), ExitCode::kRefused},
      {409, RefusalBody("version_conflict", "not_run"), ExitCode::kConflict},
      {409, RefusalBody("version_conflict", "unknown"), ExitCode::kUnknown},
      {429, RefusalBody("queue_full", "not_run"), ExitCode::kRefused},
      {503, RefusalBody("store_unavailable", "not_run"),
       ExitCode::kUnavailable},
      {503, RefusalBody("store_unavailable", "unknown"), ExitCode::kUnknown},
      {502, "a balancer's page", ExitCode::kUnavailable},
  };
  for (const Case& c : cases) {
    CAPTURE(c.body);
    const Ran ran =
        RunAgainst({{"GET /v1/keys", c.status, c.body}}, {"key", "list"});
    CHECK(ran.code == c.code);
    CHECK(ran.err.empty() == (c.code == ExitCode::kOk));
  }
  using internal::CodeOf;
  using internal::Unreachable;
  CHECK(CodeOf(Unreachable{false, ""}, true) == ExitCode::kUnavailable);
  CHECK(CodeOf(Unreachable{true, ""}, true) == ExitCode::kUnknown);
  CHECK(CodeOf(Unreachable{true, ""}, false) == ExitCode::kUnavailable);
}

TEST_CASE("a wrong command line is told with the next step") {
  Options options;
  options.server = "127.0.0.1:1";
  const std::vector<std::vector<std::string>> cases = {
      {},
      {"nonsense"},
      {"contract"},
      {"contract", "show"},
      {"contract", "delete", "t"},
      {"contract", "put", "/no/such/file"},
      {"validate", "/no/such/file"}};
  for (const auto& arguments : cases) {
    const Ran ran = RunWith(arguments, options);
    CHECK(ran.code == ExitCode::kUsage);
    CHECK_FALSE(ran.err.empty());
  }
  CHECK(RunWith({"key", "list"}).code == ExitCode::kUsage);  // No server.
  CHECK(RunWith({"key", "list"}, options).code == ExitCode::kUnavailable);
}

TEST_CASE("contracts are put from a document with comments") {
  const std::string contract =
      "{ // new\n \"team\":\"t\",\"zones\":[\"a\"],\"queues\":[]}";
  const Ran put =
      RunAgainst({{"PUT /v1/contracts/t", 200, R"({"team":"t","version":4})"}},
                 {"contract", "put", "-"}, {}, contract);
  CHECK(put.code == ExitCode::kOk);
  CHECK(put.out == "contract of t accepted, version 4\n");
  const Ran lost = RunAgainst(
      {{"PUT /v1/contracts/t", 409,
        R"({"code":"version_conflict","effect":"not_run","message":"m",)"
        R"("current":{"version":9}})"}},
      {"contract", "put", "-"}, {}, contract);
  CHECK(lost.code == ExitCode::kConflict);
  CHECK(lost.err.find(R"({"version":9})") != std::string::npos);
}

TEST_CASE("a zone is taken out with the version just read") {
  const Ran ran =
      RunAgainst({{"GET /v1/zones", 200,
                   R"({"zones":[{"zone":"a","in_service":true,"version":7}]})"},
                  {"PUT /v1/zones/a", 200,
                   R"({"zone":"a","in_service":false,"version":8})"}},
                 {"zone", "out", "a"});
  CHECK(ran.code == ExitCode::kOk);
  CHECK(ran.out == "zone a is out, version 8\n");
}

TEST_CASE("a submitted job is followed to its end") {
  const auto job = [](const std::string& state, bool final) {
    return R"({"id":"p.1","version":3,"final":)" +
           std::string(final ? "true" : "false") + R"(,"tasks":[{"state":")" +
           state + R"("}]})";
  };
  Options options;
  options.wait = true;
  const std::string spec = R"({"queue":"q","task":{"slots":1}})";
  const Ran good =
      RunAgainst({{"POST /v1/jobs", 200, job("queued", false)},
                  {"GET /v1/jobs/p.1", 200, job("running", false)},
                  {"GET /v1/jobs/p.1", 200, job("succeeded", true)}},
                 {"job", "submit", "-"}, options, spec);
  CHECK(good.code == ExitCode::kOk);
  CHECK(good.out.find("1 succeeded") != std::string::npos);
  const Ran bad = RunAgainst({{"POST /v1/jobs", 200, job("queued", false)},
                              {"GET /v1/jobs/p.1", 200, job("failed", true)}},
                             {"job", "submit", "-"}, options, spec);
  CHECK(bad.code == ExitCode::kRefused);
  options.request_id = "mine";
  const Ran unknown = RunAgainst(
      {{"POST /v1/jobs", 503, RefusalBody("unavailable", "unknown")}},
      {"job", "submit", "-"}, options, spec);
  CHECK(unknown.code == ExitCode::kUnknown);
  CHECK(unknown.err.find("--request_id=mine") != std::string::npos);
}

TEST_CASE("status is shown as a table, as JSON, and again and again") {
  const std::string body =
      R"({"answered_by":"f1","revision":5,"freshness":"confirmed",)"
      R"("may_start":true,"members":[{"member":"s1","role":"scheduler",)"
      R"("answered":true}],"partitions":[{"partition":"p","owner":"s1",)"
      R"("answered":true,"workers":8,"open_workers":7,"capacity":{"slots":64},)"
      R"("committed":{"slots":12}}]})";
  const Scripted status{"GET /v1/status", 200, body};
  const Ran table = RunAgainst({status}, {"status"});
  CHECK(table.out.find("7/8") != std::string::npos);
  CHECK(table.out.find("12/64") != std::string::npos);
  Options options;
  options.output = OutputFormat::kJson;
  const Ran json = RunAgainst({status}, {"status"}, options);
  CHECK(codec::Json::parse(json.out, nullptr, false) ==
        codec::Json::parse(body));
  options.output = OutputFormat::kTable;
  options.watch = true;
  options.interval = Duration(1);
  options.rounds = 3;
  const Ran watched = RunAgainst(
      {status,
       {"GET /v1/status", 503, RefusalBody("unavailable", "not_run")},
       status},
      {"status"}, options);
  CHECK(watched.code == ExitCode::kOk);
  CHECK(watched.err.find("unavailable") != std::string::npos);
}

TEST_CASE("a table fits its terminal and is whole elsewhere") {
  internal::Table table({"NAME", "REASON"});
  table.Add({"a", std::string(200, 'x')});
  std::istringstream lines(table.ToString(40));
  for (std::string line; std::getline(lines, line);) CHECK(line.size() <= 40);
  CHECK(table.ToString(std::nullopt).find(std::string(200, 'x')) !=
        std::string::npos);
}

TEST_CASE("every command is in the help, within 80 columns") {
  std::istringstream lines(Usage());
  for (std::string line; std::getline(lines, line);) {
    CAPTURE(line);
    CHECK(line.size() <= 80);
  }
  for (const char* command :
       {"contract list", "contract show", "contract put", "contract delete",
        "key create", "key list", "key withdraw", "zone list", "zone out",
        "zone back", "job submit", "job get", "job cancel", "job explain",
        "status", "validate"}) {
    CHECK(Usage().find(std::string("  ") + command + " ") != std::string::npos);
  }
}

}  // namespace
}  // namespace azurepass::cli
