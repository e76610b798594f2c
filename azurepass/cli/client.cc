// See client.h.

#include "azurepass/cli/internal/client.h"

#include <libsoup/soup.h>

#include <chrono>
#include <utility>

namespace azurepass::cli::internal {
namespace {

constexpr size_t kMaxReplyBytes = size_t{64} << 20;

// Errors of before the connection stood.
bool IsBeforeSending(const GError* error) {
  if (error->domain == G_RESOLVER_ERROR) return true;
  if (error->domain != G_IO_ERROR) return false;
  return error->code == G_IO_ERROR_CONNECTION_REFUSED ||
         error->code == G_IO_ERROR_HOST_UNREACHABLE ||
         error->code == G_IO_ERROR_NETWORK_UNREACHABLE ||
         error->code == G_IO_ERROR_HOST_NOT_FOUND;
}

codec::Json ParseBody(GBytes* bytes) {
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
  if (size > kMaxReplyBytes) return nullptr;
  codec::Json body = codec::Json::parse(data, data + size, nullptr,
                                        /*allow_exceptions=*/false);
  return body.is_discarded() ? codec::Json(nullptr) : body;
}

SoupMessage* MakeMessage(const std::string& method, const std::string& uri,
                         const std::string& key, const std::string& body) {
  SoupMessage* message = soup_message_new(method.c_str(), uri.c_str());
  if (message == nullptr) return nullptr;
  SoupMessageHeaders* headers = soup_message_get_request_headers(message);
  soup_message_headers_replace(headers, "Connection", "close");
  const std::string bearer = "Bearer " + key;
  soup_message_headers_replace(headers, "Authorization", bearer.c_str());
  if (!body.empty()) {
    GBytes* bytes = g_bytes_new(body.data(), body.size());
    soup_message_set_request_body_from_bytes(message, "application/json",
                                             bytes);
    g_bytes_unref(bytes);
  }
  return message;
}

}  // namespace

std::string Escape(const std::string& text) {
  gchar* escaped = g_uri_escape_string(text.c_str(), nullptr, FALSE);
  std::string result(escaped);
  g_free(escaped);
  return result;
}

Client::Client(std::string server, std::string key, Duration timeout)
    : server_(std::move(server)), key_(std::move(key)), timeout_(timeout) {}

Result Client::Get(const std::string& path, Duration held) {
  return Send("GET", path, "", timeout_ + held);
}
Result Client::Put(const std::string& path, const codec::Json& body) {
  return Send("PUT", path, body.dump(), timeout_);
}
Result Client::Post(const std::string& path, const codec::Json& body) {
  return Send("POST", path, body.dump(), timeout_);
}
Result Client::Delete(const std::string& path) {
  return Send("DELETE", path, "", timeout_);
}

Result Client::Send(const std::string& method, const std::string& path,
                    const std::string& body, Duration timeout) {
  SoupMessage* message =
      MakeMessage(method, "http://" + server_ + path, key_, body);
  if (message == nullptr) {
    return Unreachable{false, "\"" + server_ + "\" is not an address"};
  }
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(timeout);
  SoupSession* session = soup_session_new_with_options(
      "timeout", static_cast<guint>(seconds.count()), nullptr);
  GError* error = nullptr;
  GBytes* bytes = soup_session_send_and_read(session, message, nullptr, &error);
  Result result;
  if (bytes == nullptr) {
    result = Unreachable{!IsBeforeSending(error), error->message};
  } else {
    result = Reply{static_cast<int>(soup_message_get_status(message)),
                   ParseBody(bytes)};
  }
  g_clear_error(&error);
  g_clear_pointer(&bytes, g_bytes_unref);
  g_object_unref(message);
  g_object_unref(session);
  return result;
}

}  // namespace azurepass::cli::internal
