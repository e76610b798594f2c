// job submit|get|cancel|explain

#include <glib.h>

#include <map>
#include <ostream>

#include "azurepass/cli/internal/commands.h"

namespace azurepass::cli::internal {
namespace {

constexpr std::chrono::seconds kHeld{20};
constexpr Duration kRetryPause{1'000};
constexpr int kMaxRetries = 30;  // In a row, while waiting for a job.
constexpr size_t kMaxTaskRows = 50;

std::string PathOf(const std::string& job) { return "/v1/jobs/" + Escape(job); }

std::string NewRequestId() {
  gchar* uuid = g_uuid_string_random();
  std::string id(uuid);
  g_free(uuid);
  return id;
}

std::map<std::string, int> CountStates(const codec::Json& job) {
  std::map<std::string, int> counts;
  for (const codec::Json& task : job["tasks"]) ++counts[Show(task, "state")];
  return counts;
}

std::string Summary(const codec::Json& job) {
  std::string text = "job " + Show(job, "id") + ":";
  for (const auto& [state, count] : CountStates(job)) {
    text += " " + std::to_string(count) + " " + state;
  }
  return text;
}

void ShowJob(Context& context, const codec::Json& job) {
  std::ostream& out = context.streams.out;
  out << Summary(job) << "\n";
  Table table({"TASK", "STATE", "VM", "ATTEMPTS", "WAITED", "REASON"});
  size_t index = 0;
  for (const codec::Json& task : job["tasks"]) {
    if (index == kMaxTaskRows) break;
    table.Add({std::to_string(index++), Show(task, "state"), Show(task, "vm"),
               Show(task, "attempts"), Show(task, "waited_ms") + " ms",
               Show(task, "reason")});
  }
  out << table.ToString(context.streams.columns);
  if (job["tasks"].size() > kMaxTaskRows) {
    out << "... and " << job["tasks"].size() - kMaxTaskRows
        << " more; see --output=json\n";
  }
}

bool AllSucceeded(const codec::Json& job) {
  const auto counts = CountStates(job);
  return counts.size() == 1 && counts.contains("succeeded");
}

// Follows the job until it is final. Frontends may come and go meanwhile.
Result Follow(Context& context, const codec::Json& submitted) {
  const std::string path = PathOf(Show(submitted, "id"));
  Result latest = Reply{200, submitted};
  std::string line;
  int retries = 0;
  for (;;) {
    const codec::Json* job = Document(latest);
    if (job != nullptr) {
      retries = 0;
      if (context.streams.err_is_terminal) {
        const size_t before = line.size();
        line = Summary(*job);
        std::string blanks;
        if (before > line.size()) blanks.assign(before - line.size(), ' ');
        context.streams.err << "\r" << line << blanks << std::flush;
      }
      if (job->value("final", false)) break;
      const std::string known = Show(*job, "version");
      const std::string wait = std::to_string(kHeld.count());
      std::string held = path;
      held.append("?wait=").append(wait).append("&known=").append(known);
      latest = context.client.Get(held, kHeld);
      continue;
    }
    const bool may_recover = CodeOf(latest, false) == ExitCode::kUnavailable;
    if (!may_recover || ++retries > kMaxRetries) break;
    Pause(kRetryPause);
    latest = context.client.Get(path);
  }
  if (!line.empty()) context.streams.err << "\n";
  return latest;
}

ExitCode Submit(Context& context) {
  Streams& streams = context.streams;
  auto read = ReadDocument(context.arguments[0], streams);
  if (const auto* problem = std::get_if<std::string>(&read)) {
    return ComplainOfUsage(*problem, streams);
  }
  auto& spec = std::get<codec::Json>(read);
  if (!context.options.request_id.empty()) {
    spec["request_id"] = context.options.request_id;
  }
  if (!spec.contains("request_id")) spec["request_id"] = NewRequestId();
  Result result = context.client.Post("/v1/jobs", spec);
  if (CodeOf(result, true) == ExitCode::kUnknown) {
    Complain(result, true, streams);
    streams.err << "next: run the same command with --request_id="
                << Show(spec, "request_id")
                << "; it finds the job or submits it, never twice\n";
    return ExitCode::kUnknown;
  }
  const codec::Json* job = Document(result);
  if (job == nullptr) return Complain(result, true, streams);
  if (!context.options.wait) {
    return Finish(context, result, true, [&](const codec::Json& document) {
      streams.out << Show(document, "id") << "\n";
    });
  }
  const codec::Json submitted = *job;
  result = Follow(context, submitted);
  const ExitCode code =
      Finish(context, result, false,
             [&](const codec::Json& document) { ShowJob(context, document); });
  if (code != ExitCode::kOk) {
    streams.err << "next: azurepass job get " << Show(submitted, "id") << "\n";
    return code;
  }
  return AllSucceeded(*Document(result)) ? ExitCode::kOk : ExitCode::kRefused;
}

ExitCode GetOne(Context& context) {
  const Result result = context.client.Get(PathOf(context.arguments[0]));
  return Finish(context, result, false, [&](const codec::Json& document) {
    ShowJob(context, document);
  });
}

ExitCode Cancel(Context& context) {
  const Result result = context.client.Delete(PathOf(context.arguments[0]));
  return Finish(context, result, true, [&](const codec::Json& document) {
    context.streams.out << Summary(document) << "\n";
  });
}

ExitCode Explain(Context& context) {
  const Result result =
      context.client.Get(PathOf(context.arguments[0]) + "/explain");
  return Finish(context, result, false, [&](const codec::Json& document) {
    std::ostream& out = context.streams.out;
    out << "job " << Show(document, "job") << ", policy "
        << Show(document, "policy") << ", configuration revision "
        << Show(document, "revision") << "\n"
        << Show(document, "sentence") << "\n";
    if (document.contains("latest")) {
      out << "latest start: " << Show(document["latest"]) << "\n";
    }
    Table table({"ZONE", "VERDICT", "WORKERS", "WITH ROOM", "NO ROOM", "CLOSED",
                 "QUARANTINED", "TIGHTEST", "BEST SCORE"});
    for (const codec::Json& group : document["groups"]) {
      table.Add({Show(group, "zone"), Show(group, "verdict"),
                 Show(group, "workers"), Show(group, "with_room"),
                 Show(group, "without_room"), Show(group, "closed"),
                 Show(group, "quarantined"), Show(group, "tightest"),
                 Show(group, "best_score")});
    }
    out << table.ToString(context.streams.columns);
  });
}

}  // namespace

std::vector<Command> JobCommands() {
  return {
      {"job submit", "FILE", "submits a job (- reads standard input)", Submit},
      {"job get", "ID", "a job and its tasks", GetOne},
      {"job cancel", "ID", "cancels a job", Cancel},
      {"job explain", "ID", "why it waits, or runs where it does", Explain}};
}

}  // namespace azurepass::cli::internal
