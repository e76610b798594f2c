// See pending.h.

#include "azurepass/routing/internal/pending.h"

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
              [](const partition::ExplainJob&) { return "explain"; }},
      request);
}

bool IsRead(const partition::JobRequest& request) {
  return std::holds_alternative<partition::GetJob>(request) ||
         std::holds_alternative<partition::ExplainJob>(request);
}

std::string SubjectOf(const partition::JobRequest& request) {
  return std::visit(
      Visitor{
          [](const partition::SubmitJob& submit) {
            return "request=" + Quoted(submit.request.value());
          },
          [](const auto& about) { return "job=" + Quoted(about.job.value()); }},
      request);
}

Duration WaitLeft(const Pending& pending, MonotonicTime now) {
  if (!std::holds_alternative<partition::GetJob>(pending.request)) {
    return Duration(0);
  }
  return std::max(Duration(0),
                  std::chrono::ceil<Duration>(pending.held_until - now));
}

entry::Request ToSend(const Pending& pending, Revision revision,
                      MonotonicTime now) {
  return std::visit(
      Visitor{[&](partition::SubmitJob submit) -> entry::Request {
                submit.revision = revision;
                return submit;
              },
              [&](partition::GetJob get) -> entry::Request {
                get.wait = WaitLeft(pending, now);
                return get;
              },
              [](const auto& other) -> entry::Request { return other; }},
      pending.request);
}

Refusal Truthful(const Pending& pending, Refusal refusal) {
  if (IsRead(pending.request)) {
    refusal.effect = Effect::kNotRun;
  } else if (pending.may_have_run) {
    refusal.effect = Effect::kUnknown;
  }
  return refusal;
}

void Answer(const Pending& pending, const partition::JobResponse& response) {
  std::visit(Visitor{[&](const ToCaller& to) { to.responder.Answer(response); },
                     [&](const ToOperator& to) {
                       std::visit(
                           Visitor{[&](const JobView&) {
                                     to.reply_to.Send(Refusal{
                                         RefusalCode::kInternal,
                                         Effect::kNotRun,
                                         "the owner answered something else",
                                         {}});
                                   },
                                   [&](const auto& answer) {
                                     to.reply_to.Send(answer);
                                   }},
                           response);
                     }},
             pending.origin);
}

}  // namespace azurepass::routing::internal
