// See lingering_close.h.

#include "azurepass/httpserver/internal/lingering_close.h"

#include <fcntl.h>

#include <array>
#include <utility>

namespace azurepass::httpserver::internal {

GSocket* Duplicate(GSocket* socket) {
  const int fd = fcntl(g_socket_get_fd(socket), F_DUPFD_CLOEXEC, 0);
  GSocket* second = fd < 0 ? nullptr : g_socket_new_from_fd(fd, nullptr);
  if (second != nullptr) g_socket_set_blocking(second, FALSE);
  return second;
}

bool PeerHungUp(GSocket* socket) {
  // A socket of libsoup's may be in blocking mode.
  if (g_socket_condition_check(socket, G_IO_IN) == 0) return false;
  char byte = 0;
  GInputVector vector = {&byte, 1};
  gint flags = G_SOCKET_MSG_PEEK;
  GError* error = nullptr;
  const gssize count = g_socket_receive_message(
      socket, nullptr, &vector, 1, nullptr, nullptr, &flags, nullptr, &error);
  const bool would_block =
      g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
  g_clear_error(&error);
  return count == 0 || (count < 0 && !would_block);
}

LingeringClose::LingeringClose(task::Loop& loop, GSocket* socket,
                               const std::string& last_words,
                               std::function<void()> done)
    : socket_(G_SOCKET(g_object_ref(socket))),
      done_(std::move(done)),
      timeout_(loop) {
  timeout_.After(kLingerTimeout, done_);
  g_socket_send(socket_, last_words.data(), last_words.size(), nullptr,
                nullptr);
  g_socket_shutdown(socket_, FALSE, TRUE, nullptr);
  readable_ = g_socket_create_source(socket_, G_IO_IN, nullptr);
  const auto callback = +[](GSocket*, GIOCondition, gpointer self) -> gboolean {
    return static_cast<LingeringClose*>(self)->OnReadable();
  };
  g_source_set_callback(readable_, G_SOURCE_FUNC(callback), this, nullptr);
  g_source_attach(readable_, loop.context());
}

LingeringClose::~LingeringClose() {
  g_source_destroy(readable_);
  g_source_unref(readable_);
  // Ends the connection for other handles as well.
  g_socket_shutdown(socket_, TRUE, TRUE, nullptr);
  g_socket_close(socket_, nullptr);
  g_object_unref(socket_);
}

gboolean LingeringClose::OnReadable() {
  std::array<char, 16'384> dropped;
  GError* error = nullptr;
  const gssize count = g_socket_receive(socket_, dropped.data(), dropped.size(),
                                        nullptr, &error);
  const bool would_block =
      g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
  g_clear_error(&error);
  if (count > 0) dropped_bytes_ += count;
  if ((count > 0 || would_block) && dropped_bytes_ <= kMaxLingerBytes) {
    return G_SOURCE_CONTINUE;
  }
  timeout_.After(Duration(0), done_);
  return G_SOURCE_REMOVE;
}

}  // namespace azurepass::httpserver::internal
