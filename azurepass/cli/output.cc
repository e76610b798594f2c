// See output.h.

#include "azurepass/cli/internal/output.h"

#include <algorithm>
#include <numeric>
#include <ostream>

namespace azurepass::cli::internal {
namespace {

constexpr size_t kGap = 2;        // Spaces between columns.
constexpr size_t kNarrowest = 6;  // No column is cut below this.
constexpr std::string_view kCut = "~";

std::string Fitted(const std::string& text, size_t width, bool last) {
  if (text.size() > width) {
    return text.substr(0, width - kCut.size()) + std::string(kCut);
  }
  return last ? text : text + std::string(width - text.size(), ' ');
}

struct Advice {
  std::string_view code;
  ExitCode exit;
  std::string_view next;
};

constexpr Advice kAdvice[] = {
    {"invalid_request", ExitCode::kRefused, "mend the field that is named"},
    {"too_large", ExitCode::kRefused, "send less"},
    {"unauthenticated", ExitCode::kRefused,
     "check --key or AZUREPASS_KEY, and that --server is the right port: "
     "callers and operators have one each"},
    {"forbidden", ExitCode::kRefused, "use a key of the team that owns it"},
    {"not_found", ExitCode::kRefused, "check the name; list what there is"},
    {"never_fits", ExitCode::kRefused,
     "ask for less in the dimension that is named"},
    {"queue_full", ExitCode::kRefused, "wait for jobs to end, then try again"},
    {"request_conflict", ExitCode::kConflict,
     "use a new request id, or the body that was sent first"},
    {"version_conflict", ExitCode::kConflict,
     "look at what is there now, and write again with its version"},
    {"not_owner", ExitCode::kUnavailable, "try again"},
    {"stale_configuration", ExitCode::kUnavailable,
     "try another frontend; this one is cut off"},
    {"store_unavailable", ExitCode::kUnavailable,
     "try again when the store is back"},
    {"deadline_exceeded", ExitCode::kUnavailable, "try again"},
    {"shutting_down", ExitCode::kUnavailable, "try another frontend"},
    {"unavailable", ExitCode::kUnavailable, "try again in a few seconds"},
    {"internal", ExitCode::kRefused, "look into the frontend's log"},
};

const Advice* FindAdvice(std::string_view code) {
  for (const Advice& advice : kAdvice) {
    if (advice.code == code) return &advice;
  }
  return nullptr;
}

constexpr std::string_view kUnknownNext =
    "look whether it was done before you repeat it";

ExitCode ComplainOf(const Reply& reply, Streams& streams) {
  const std::string code = Show(reply.body, "code");
  const Advice* advice = FindAdvice(code);
  streams.err << "azurepass: " << code << " (HTTP " << reply.status
              << "): " << Show(reply.body, "message") << "\n";
  if (reply.body.is_object() && reply.body.contains("current")) {
    streams.err << "there now: " << reply.body["current"].dump() << "\n";
  }
  const ExitCode exit = CodeOf(reply, /*is_write=*/true);
  if (exit == ExitCode::kUnknown) {
    streams.err << "next: " << kUnknownNext << "\n";
  } else if (advice != nullptr) {
    streams.err << "next: " << advice->next << "\n";
  }
  return exit;
}

ExitCode ComplainOf(const Unreachable& unreachable, bool is_write,
                    Streams& streams) {
  streams.err << "azurepass: no answer: " << unreachable.message << "\n";
  const ExitCode exit = CodeOf(unreachable, is_write);
  streams.err << "next: "
              << (exit == ExitCode::kUnknown
                      ? kUnknownNext
                      : "check --server, or try another frontend")
              << "\n";
  return exit;
}

}  // namespace

std::vector<size_t> Table::Widths(std::optional<int> columns) const {
  std::vector<size_t> widths(rows_[0].size(), 0);
  for (const auto& row : rows_) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  if (!columns) return widths;
  const size_t gaps = kGap * (widths.size() - 1);
  while (std::accumulate(widths.begin(), widths.end(), gaps) >
         static_cast<size_t>(*columns)) {
    auto widest = std::max_element(widths.begin(), widths.end());
    if (*widest <= kNarrowest) break;
    --*widest;
  }
  return widths;
}

std::string Table::ToString(std::optional<int> columns) const {
  const std::vector<size_t> widths = Widths(columns);
  std::string text;
  for (const auto& row : rows_) {
    for (size_t i = 0; i < row.size(); ++i) {
      const bool last = i + 1 == row.size();
      text += Fitted(row[i], widths[i], last);
      text += last ? "\n" : std::string(kGap, ' ');
    }
  }
  return text;
}

std::string Show(const codec::Json& value) {
  if (value.is_null()) return "-";
  if (value.is_string()) {
    const auto text = value.get<std::string>();
    return text.empty() ? "-" : text;
  }
  if (!value.is_structured()) return value.dump();
  std::string text;
  for (const auto& [name, element] : value.items()) {
    if (!text.empty()) text += ",";
    if (value.is_object()) text += name + "=";
    text += Show(element);
  }
  return text.empty() ? "-" : text;
}

std::string Show(const codec::Json& object, const std::string& field) {
  if (!object.is_object()) return "-";
  auto found = object.find(field);
  return found == object.end() ? "-" : Show(*found);
}

ExitCode CodeOf(const Result& result, bool is_write) {
  if (const auto* unreachable = std::get_if<Unreachable>(&result)) {
    return unreachable->sent && is_write ? ExitCode::kUnknown
                                         : ExitCode::kUnavailable;
  }
  const auto& reply = std::get<Reply>(result);
  if (reply.status >= 200 && reply.status < 300) return ExitCode::kOk;
  if (Show(reply.body, "effect") == "unknown") return ExitCode::kUnknown;
  const Advice* advice = FindAdvice(Show(reply.body, "code"));
  if (advice != nullptr) return advice->exit;
  return reply.status >= 500 ? ExitCode::kUnavailable : ExitCode::kRefused;
}

ExitCode Complain(const Result& result, bool is_write, Streams& streams) {
  return std::visit(
      Visitor{[&](const Reply& reply) { return ComplainOf(reply, streams); },
              [&](const Unreachable& unreachable) {
                return ComplainOf(unreachable, is_write, streams);
              }},
      result);
}

ExitCode ComplainOfUsage(const std::string& problem, Streams& streams) {
  streams.err << "azurepass: " << problem << "\nnext: see azurepass --help\n";
  return ExitCode::kUsage;
}

const codec::Json* Document(const Result& result) {
  const auto* reply = std::get_if<Reply>(&result);
  if (reply == nullptr || reply->status < 200 || reply->status >= 300) {
    return nullptr;
  }
  return &reply->body;
}

void PrintJson(const codec::Json& document, Streams& streams) {
  streams.out << document.dump(2) << "\n";
}

}  // namespace azurepass::cli::internal
