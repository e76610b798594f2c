// See raw_client.h.

#include "azurepass/httpserver/testing/raw_client.h"

#include <sys/socket.h>

#include <array>
#include <chrono>
#include <utility>

namespace azurepass::httpserver::testing {

RawClient::RawClient(const std::string& address, Duration patience)
    : socket_(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                           G_SOCKET_PROTOCOL_TCP, nullptr)) {
  const size_t colon = address.rfind(':');
  const auto port = static_cast<guint>(std::stoul(address.substr(colon + 1)));
  GSocketAddress* peer = g_inet_socket_address_new_from_string(
      address.substr(0, colon).c_str(), port);
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(patience);
  g_socket_set_timeout(socket_, static_cast<guint>(seconds.count()));
  connected_ = g_socket_connect(socket_, peer, nullptr, nullptr) != FALSE;
  g_object_unref(peer);
  g_socket_set_timeout(socket_, 0);
  g_socket_set_blocking(socket_, FALSE);
}

RawClient::~RawClient() {
  g_socket_close(socket_, nullptr);
  g_object_unref(socket_);
}

void RawClient::Reset() {
  const linger at_once{1, 0};
  setsockopt(g_socket_get_fd(socket_), SOL_SOCKET, SO_LINGER, &at_once,
             sizeof(at_once));
  g_socket_close(socket_, nullptr);
  closed_ = true;
}

bool RawClient::Finished() {
  if (!unsent_.empty()) {
    const gssize sent = g_socket_send(socket_, unsent_.data(), unsent_.size(),
                                      nullptr, nullptr);
    if (sent > 0) unsent_.erase(0, sent);
  }
  if (unsent_.empty() && std::exchange(close_sending_, false)) {
    g_socket_shutdown(socket_, FALSE, TRUE, nullptr);
  }
  std::array<char, 4'096> buffer;
  while (!closed_) {
    GError* error = nullptr;
    const gssize count = g_socket_receive(socket_, buffer.data(), buffer.size(),
                                          nullptr, &error);
    if (count > 0) {
      received_.append(buffer.data(), count);
      continue;
    }
    const bool would_block =
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
    g_clear_error(&error);
    if (would_block) break;
    closed_ = true;
  }
  return closed_;
}

}  // namespace azurepass::httpserver::testing
