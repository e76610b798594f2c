// Refusals and documents as HTTP responses.

#include <charconv>

#include "azurepass/httpserver/httpserver.h"

namespace azurepass::httpserver {

int StatusOf(RefusalCode code) {
  switch (code) {
    case RefusalCode::kInvalidRequest:
      return 400;
    case RefusalCode::kTooLarge:
      return 413;
    case RefusalCode::kUnauthenticated:
      return 401;
    case RefusalCode::kForbidden:
      return 403;
    case RefusalCode::kNotFound:
      return 404;
    case RefusalCode::kGone:
      return 410;
    case RefusalCode::kNeverFits:
      return 422;
    case RefusalCode::kRequestConflict:
    case RefusalCode::kVersionConflict:
      return 409;
    case RefusalCode::kQueueFull:
      return 429;
    case RefusalCode::kDeadlineExceeded:
      return 504;
    case RefusalCode::kNotOwner:
    case RefusalCode::kStaleConfiguration:
    case RefusalCode::kStoreUnavailable:
    case RefusalCode::kShuttingDown:
    case RefusalCode::kUnavailable:
      return 503;
    case RefusalCode::kInternal:
      return 500;
  }
  return 500;
}

Response JsonResponse(int status, const codec::Json& body) {
  Response response;
  response.status = status;
  // Text of a caller's may hold any bytes; what is not UTF-8 is replaced.
  response.body = body.dump(-1, ' ', /*ensure_ascii=*/false,
                            codec::Json::error_handler_t::replace);
  response.body += '\n';
  return response;
}

Response ToResponse(const Refusal& refusal) {
  Response response =
      JsonResponse(StatusOf(refusal.code), codec::Write(refusal));
  response.retry_after = refusal.retry_after;
  return response;
}

Refusal ToRefusal(const codec::Error& error) {
  const RefusalCode code = error.code == codec::ErrorCode::kTooLarge
                               ? RefusalCode::kTooLarge
                               : RefusalCode::kInvalidRequest;
  return Refusal{code, Effect::kNotRun, error.ToString(), std::nullopt};
}

std::optional<int64_t> QueryInt(const Request& request, const std::string& name,
                                int64_t otherwise, int64_t max) {
  auto found = request.query.find(name);
  if (found == request.query.end()) return otherwise;
  const std::string& text = found->second;
  const char* end = text.data() + text.size();
  int64_t value = 0;
  auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end) return std::nullopt;
  if (value < 0 || value > max) return std::nullopt;
  return value;
}

}  // namespace azurepass::httpserver
