// Moves bytes between a socket and an nghttp2 session.
//
// Output is pulled: the session is asked for bytes only while fewer than
// kMaxUnsentBytes wait for the socket, so that a slow peer costs bounded
// memory. Input is pushed, a bounded number of bytes in one round of the loop,
// so that a busy connection starves neither the others nor timers.
//
// A session that has nothing more to say or hear only shuts down its sending
// half and reads on until the peer closes. Closing with bytes unread would
// make the kernel send a reset, and that discards answers, or the GOAWAY, that
// the peer has not yet read.

#include "azurepass/entry/internal/link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace azurepass::entry::internal {
namespace {

constexpr size_t kReceiveBytes = size_t{64} << 10;
constexpr int kMaxReceives = 4;  // In one round of the loop.
constexpr size_t kMaxUnsentBytes = size_t{256} << 10;
// A peer that acknowledges nothing for so long has vanished.
constexpr Duration kUnacknowledgedLimit{5'000};
// Probes of idle connections; calls in flight have their own time-outs.
constexpr std::chrono::seconds kKeepaliveIdle{60};
// A finished connection waits so long for the peer to close.
constexpr Duration kLingerLimit{2'000};

struct ErrorFree {
  void operator()(GError* error) const { g_error_free(error); }
};
using Error = std::unique_ptr<GError, ErrorFree>;

bool WouldBlock(const GError* error) {
  return g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
}

gboolean OnSocketReady(GSocket* /*socket*/, GIOCondition /*condition*/,
                       gpointer data) {
  // The callback may destroy the source, and `data` with it.
  const std::function<void()> callback =
      *static_cast<std::function<void()>*>(data);
  callback();
  return G_SOURCE_CONTINUE;
}

ssize_t ReadBody(nghttp2_session* /*session*/, int32_t /*stream_id*/,
                 uint8_t* buffer, size_t length, uint32_t* flags,
                 nghttp2_data_source* source, void* /*user_data*/) {
  auto* body = static_cast<OutgoingBody*>(source->ptr);
  const size_t count = std::min(length, body->bytes.size() - body->sent);
  std::copy_n(body->bytes.data() + body->sent, count, buffer);
  body->sent += count;
  if (body->sent == body->bytes.size()) *flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(count);
}

}  // namespace

SocketAddress ParseAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) return nullptr;
  uint16_t port = 0;
  const char* end = address.data() + address.size();
  auto [stop, error] = std::from_chars(address.data() + colon + 1, end, port);
  if (error != std::errc() || stop != end) return nullptr;
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  return SocketAddress(
      g_inet_socket_address_new_from_string(host.c_str(), port));
}

std::string LocalAddress(GSocket* socket) {
  const SocketAddress address(g_socket_get_local_address(socket, nullptr));
  if (address == nullptr || !G_IS_INET_SOCKET_ADDRESS(address.get())) return "";
  auto* inet = G_INET_SOCKET_ADDRESS(address.get());
  char* text =
      g_inet_address_to_string(g_inet_socket_address_get_address(inet));
  std::string host = text;
  g_free(text);
  if (host.find(':') != std::string::npos) host = "[" + host + "]";
  return host + ":" + std::to_string(g_inet_socket_address_get_port(inet));
}

Source WatchSocket(GMainContext* context, GSocket* socket,
                   GIOCondition condition, std::function<void()> callback) {
  Source source(g_socket_create_source(socket, condition, nullptr));
  g_source_set_callback(
      source.get(), G_SOURCE_FUNC(OnSocketReady),
      new std::function<void()>(std::move(callback)),
      [](gpointer data) { delete static_cast<std::function<void()>*>(data); });
  g_source_attach(source.get(), context);
  return source;
}

void TuneSocket(GSocket* socket) {
  g_socket_set_keepalive(socket, TRUE);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                      static_cast<gint>(kUnacknowledgedLimit.count()), nullptr);
  const auto idle = static_cast<gint>(kKeepaliveIdle.count());
  g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, idle, nullptr);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, idle, nullptr);
}

nghttp2_nv HeaderField(std::string_view name, std::string_view value) {
  // nghttp2 reads through these pointers only.
  return {reinterpret_cast<uint8_t*>(const_cast<char*>(name.data())),
          reinterpret_cast<uint8_t*>(const_cast<char*>(value.data())),
          name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

nghttp2_data_provider ProviderOf(OutgoingBody* body) {
  nghttp2_data_provider provider;
  provider.source.ptr = body;
  provider.read_callback = ReadBody;
  return provider;
}

Link::Link(task::Loop& loop, Socket socket, Session session,
           std::function<void(const std::string& reason)> on_closed)
    : context_(loop.context()),
      socket_(std::move(socket)),
      session_(std::move(session)),
      on_closed_(std::move(on_closed)),
      flush_(loop),
      linger_(loop) {}

void Link::Open() {
  if (open_ || closed_) return;
  open_ = true;
  receive_buffer_.resize(kReceiveBytes);
  readable_ =
      WatchSocket(context_, socket_.get(), G_IO_IN, [weak = weak_from_this()] {
        if (auto self = weak.lock()) self->OnReadable();
      });
  ScheduleFlush();
}

void Link::ScheduleFlush() {
  if (!open_ || closed_ || flush_.active()) return;
  flush_.After(Duration(0), [weak = weak_from_this()] {
    if (auto self = weak.lock()) self->Flush();
  });
}

void Link::Close() {
  if (closed_) return;
  closed_ = true;
  readable_.reset();
  writable_.reset();
  flush_.Cancel();
  linger_.Cancel();
  g_socket_close(socket_.get(), nullptr);
}

void Link::Fail(const std::string& reason) {
  if (closed_) return;
  Close();
  on_closed_(reason);
}

void Link::OnReadable() {
  for (int i = 0; i < kMaxReceives && !closed_; ++i) {
    GError* raw_error = nullptr;
    const gssize count = g_socket_receive(
        socket_.get(), reinterpret_cast<gchar*>(receive_buffer_.data()),
        receive_buffer_.size(), nullptr, &raw_error);
    const Error error(raw_error);
    if (count < 0 && WouldBlock(error.get())) break;
    if (count < 0) return Fail(error->message);
    if (count == 0) return Fail("the peer closed the connection");
    received_ += count;
    if (lingering_) continue;
    const ssize_t taken = nghttp2_session_mem_recv(
        session_.get(), receive_buffer_.data(), static_cast<size_t>(count));
    if (taken < 0) return Fail(nghttp2_strerror(static_cast<int>(taken)));
  }
  Flush();
}

bool Link::Produce() {
  while (unsent_.size() < kMaxUnsentBytes) {
    const uint8_t* bytes = nullptr;
    const ssize_t count = nghttp2_session_mem_send(session_.get(), &bytes);
    if (count < 0) return false;
    if (count == 0) return true;
    unsent_.append(reinterpret_cast<const char*>(bytes),
                   static_cast<size_t>(count));
    produced_ += count;
  }
  return true;
}

bool Link::SendUnsent() {
  size_t done = 0;
  bool healthy = true;
  while (done < unsent_.size()) {
    GError* raw_error = nullptr;
    const gssize count =
        g_socket_send(socket_.get(), unsent_.data() + done,
                      unsent_.size() - done, nullptr, &raw_error);
    const Error error(raw_error);
    if (count < 0) {
      healthy = WouldBlock(error.get());
      break;
    }
    done += static_cast<size_t>(count);
    sent_ += count;
  }
  unsent_.erase(0, done);
  return healthy;
}

void Link::Flush() {
  while (!closed_) {
    if (!Produce()) return Fail("the session failed");
    if (unsent_.empty()) break;
    if (!SendUnsent()) return Fail("the connection broke while sending");
    if (unsent_.empty()) continue;
    // The socket is full.
    if (writable_ != nullptr) return;
    writable_ = WatchSocket(context_, socket_.get(), G_IO_OUT,
                            [weak = weak_from_this()] {
                              if (auto self = weak.lock()) self->Flush();
                            });
    return;
  }
  writable_.reset();
  if (closed_ || lingering_) return;
  if (nghttp2_session_want_read(session_.get()) == 0 &&
      nghttp2_session_want_write(session_.get()) == 0) {
    Linger();
  }
}

void Link::Linger() {
  lingering_ = true;
  g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
  linger_.After(kLingerLimit, [weak = weak_from_this()] {
    if (auto self = weak.lock()) self->Fail("finished");
  });
}

}  // namespace azurepass::entry::internal
