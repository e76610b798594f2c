// Synchronous calls by libsoup.

#include "azurepass/testing/system/http_call.h"

namespace azurepass::testing {

HttpCaller::HttpCaller(Duration timeout)
    : session_(soup_session_new_with_options(
          "timeout",
          static_cast<guint>(
              std::chrono::ceil<std::chrono::seconds>(timeout).count()),
          nullptr)) {}

HttpCaller::~HttpCaller() { g_object_unref(session_); }

HttpAnswer HttpCaller::Call(const std::string& method,
                            const std::string& address,
                            const std::string& target, const std::string& key,
                            const std::string& body) {
  const std::string url = "http://" + address + target;
  SoupMessage* message = soup_message_new(method.c_str(), url.c_str());
  if (!key.empty()) {
    soup_message_headers_append(soup_message_get_request_headers(message),
                                "Authorization", ("Bearer " + key).c_str());
  }
  if (!body.empty()) {
    GBytes* bytes = g_bytes_new(body.data(), body.size());
    soup_message_set_request_body_from_bytes(message, "application/json",
                                             bytes);
    g_bytes_unref(bytes);
  }
  HttpAnswer answer;
  GBytes* received =
      soup_session_send_and_read(session_, message, nullptr, nullptr);
  if (received != nullptr) {
    answer.status = static_cast<int>(soup_message_get_status(message));
    gsize size = 0;
    const auto* data =
        static_cast<const char*>(g_bytes_get_data(received, &size));
    answer.body = nlohmann::json::parse(std::string(data, size), nullptr,
                                        /*allow_exceptions=*/false);
    g_bytes_unref(received);
  }
  g_object_unref(message);
  return answer;
}

}  // namespace azurepass::testing
