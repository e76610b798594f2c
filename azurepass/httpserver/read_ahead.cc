// See internal/read_ahead.h.

#include "azurepass/httpserver/internal/read_ahead.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>
#include <cstdlib>

namespace azurepass::httpserver::internal {
namespace {

// Spaces around names and values are not handed out by libsoup.
constexpr int64_t kSlackPerHeader = 3;

// What was read from the socket since it was connected.
std::optional<int64_t> BytesRead(GSocket* socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  constexpr size_t kNeeded = offsetof(tcp_info, tcpi_bytes_received) +
                             sizeof(info.tcpi_bytes_received);
  if (getsockopt(g_socket_get_fd(socket), IPPROTO_TCP, TCP_INFO, &info,
                 &size) != 0 ||
      size < kNeeded) {
    return std::nullopt;
  }
  return static_cast<int64_t>(info.tcpi_bytes_received) -
         static_cast<int64_t>(g_socket_get_available_bytes(socket));
}

std::string_view NameOf(Method method) {
  switch (method) {
    case Method::kGet:
      return "GET";
    case Method::kPost:
      return "POST";
    case Method::kPut:
      return "PUT";
    case Method::kDelete:
    case Method::kOther:
      return "DELETE";
  }
  return "";
}

int64_t SizeOf(const Request& request) {
  constexpr std::string_view kLine = "  HTTP/1.1\r\n\r\n";
  constexpr std::string_view kHeader = ": \r\n";
  size_t size = NameOf(request.method).size() + request.raw_path.size() +
                kLine.size() + request.body.size();
  for (const auto& [name, value] : request.query) {
    size += name.size() + value.size() + std::string_view("&=").size();
  }
  for (const auto& [name, value] : request.headers) {
    size += name.size() + value.size() + kHeader.size();
  }
  return static_cast<int64_t>(size);
}

}  // namespace

bool HasReadAhead(GSocket* socket, const Request& request,
                  int64_t& used_bytes) {
  const std::optional<int64_t> read = BytesRead(socket);
  if (!read) return false;
  used_bytes += SizeOf(request);
  const int64_t slack = kSlackPerHeader * (std::ssize(request.headers) +
                                           std::ssize(request.query) + 1);
  const bool more = std::abs(*read - used_bytes) > slack;
  if (!more) used_bytes = *read;  // Errors don't add up over requests.
  return more;
}

}  // namespace azurepass::httpserver::internal
