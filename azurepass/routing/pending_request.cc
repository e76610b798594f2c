// Implements internal/pending_request.h.

#include "azurepass/routing/internal/pending_request.h"

#include <algorithm>

#include "azurepass/codec/codec.h"

namespace azurepass::routing::internal {
namespace {

std::string Quoted(const std::string& text) {
  return codec::Json(text).dump(-1, ' ', /*ensure_ascii=*/true,
                                codec::Json::error_handler_t::replace);
}

}  // namespace

std::string_view KindOf(const partition::JobRequest& request) {
  return std::visit(
      Visitor{[](const partition::SubmitJob&) { return "submit"; },
              [](const partition::GetJob&) { return "get"; },
              [](const partition::CancelJob&) { return "cancel"; },
              [](const partition::ExplainJob&) { return "explain"; },
              [](const partition::SubmitWorkflow&) { return "submit"; },
              [](const partition::GetWorkflow&) { return "get"; },
              [](const partition::CancelWorkflow&) { return "cancel"; },
              [](const partition::CountWaiting&) { return "count"; },
              [](const partition::FindWorkflow&) { return "find"; }},
      request);
}

bool IsRead(const partition::JobRequest& request) {
  return std::holds_alternative<partition::GetJob>(request) ||
         std::holds_alternative<partition::ExplainJob>(request) ||
         std::holds_alternative<partition::GetWorkflow>(request) ||
         std::holds_alternative<partition::CountWaiting>(request) ||
         std::holds_alternative<partition::FindWorkflow>(request);
}

bool IsSubmission(const partition::JobRequest& request) {
  return std::holds_alternative<partition::SubmitJob>(request) ||
         std::holds_alternative<partition::SubmitWorkflow>(request);
}

bool IsSubmission(const PendingRequest& pending) {
  return IsSubmission(pending.request) ||
         (!pending.alternatives.empty() &&
          IsSubmission(pending.alternatives.back().request));
}

void SetMayHaveRun(PendingRequest& pending) {
  if (!IsRead(pending.request)) pending.may_have_run = true;
}

std::string SubjectOf(const partition::JobRequest& request) {
  return std::visit(
      Visitor{
          [](const partition::SubmitJob& submit) {
            return "request=" + Quoted(submit.request.value());
          },
          [](const partition::SubmitWorkflow& r) {
            return "request=" + Quoted(r.request.value());
          },
          [](const partition::GetWorkflow& r) {
            return "request=" + Quoted(r.request.value());
          },
          [](const partition::FindWorkflow& r) {
            return "request=" + Quoted(r.request.value());
          },
          [](const partition::CancelWorkflow& r) {
            return "request=" + Quoted(r.request.value());
          },
          [](const partition::CountWaiting& r) {
            return "queue=" + Quoted(r.queue.value());
          },
          [](const auto& about) { return "job=" + Quoted(about.job.value()); }},
      request);
}

Duration WaitLeft(const PendingRequest& pending, MonotonicTime now) {
  if (!std::holds_alternative<partition::GetJob>(pending.request)) {
    return Duration(0);
  }
  return std::max(Duration(0),
                  std::chrono::ceil<Duration>(pending.held_until - now));
}

entry::Request BuildRequest(const PendingRequest& pending, Revision revision,
                            MonotonicTime now) {
  return std::visit(
      Visitor{[&](partition::SubmitJob submit) -> entry::Request {
                submit.revision = revision;
                return submit;
              },
              [&](partition::SubmitWorkflow submit) -> entry::Request {
                submit.revision = revision;
                return submit;
              },
              [&](partition::FindWorkflow find) -> entry::Request {
                find.revision = revision;
                return find;
              },
              [&](partition::GetJob get) -> entry::Request {
                get.wait = WaitLeft(pending, now);
                return get;
              },
              [](const auto& other) -> entry::Request { return other; }},
      pending.request);
}

Refusal WithOverallEffect(const PendingRequest& pending, Refusal refusal) {
  if (pending.may_have_run) {
    refusal.effect = Effect::kUnknown;
  } else if (IsRead(pending.request)) {
    refusal.effect = Effect::kNotRun;
  }
  return refusal;
}

void Answer(const PendingRequest& pending,
            const partition::JobResponse& response) {
  std::visit(
      Visitor{[&](const CallerOrigin& to) { to.responder.Answer(response); },
              [](const CountOrigin&) {},  // Handled by Impl::OnCounted.
              [&](const OperatorOrigin& to) {
                const auto* explanation =
                    std::get_if<placement::Explanation>(&response);
                const auto* refusal = std::get_if<Refusal>(&response);
                if (explanation != nullptr) {
                  to.reply_to.Send(*explanation);
                } else if (refusal != nullptr) {
                  to.reply_to.Send(*refusal);
                } else {
                  to.reply_to.Send(Refusal{RefusalCode::kInternal,
                                           Effect::kNotRun,
                                           "the owner answered something else",
                                           {}});
                }
              }},
      pending.origin);
}

}  // namespace azurepass::routing::internal
