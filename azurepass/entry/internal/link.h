// One connection: a non-blocking socket under an nghttp2 session, driven by
// the loop's sources. It moves bytes and knows nothing of messages.
//
// The session's owner registers the callbacks, submits frames and calls
// ScheduleFlush. The byte counts tell what may have left the process: a frame
// whose first byte has an offset at or above `sent()` was never handed to the
// socket.

#ifndef AZUREPASS_ENTRY_INTERNAL_LINK_H_
#define AZUREPASS_ENTRY_INTERNAL_LINK_H_

#include <gio/gio.h>
#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "azurepass/task/task.h"

namespace azurepass::entry::internal {

struct SessionDelete {
  void operator()(nghttp2_session* session) const {
    nghttp2_session_del(session);
  }
};
using Session = std::unique_ptr<nghttp2_session, SessionDelete>;

struct ObjectUnref {
  void operator()(void* object) const { g_object_unref(object); }
};
using Socket = std::unique_ptr<GSocket, ObjectUnref>;
using SocketAddress = std::unique_ptr<GSocketAddress, ObjectUnref>;

struct SourceDestroy {
  void operator()(GSource* source) const {
    g_source_destroy(source);
    g_source_unref(source);
  }
};
using Source = std::unique_ptr<GSource, SourceDestroy>;

// Parses "IP:PORT" or "[IP]:PORT"; null when it is neither.
SocketAddress ParseAddress(const std::string& address);
// "IP:PORT" of the socket's own end; empty when it has none.
std::string LocalAddress(GSocket* socket);

// A source that calls back on `context` while `condition` holds, until it is
// destroyed. `callback` may destroy the source.
Source WatchSocket(GMainContext* context, GSocket* socket,
                   GIOCondition condition, std::function<void()> callback);

// Makes the kernel end a connection whose peer has vanished, and send small
// frames at once.
void TuneSocket(GSocket* socket);

// A header field that nghttp2 copies when it is submitted.
nghttp2_nv HeaderField(std::string_view name, std::string_view value);

// A body on its way out; has to stay in place until its stream is closed.
struct OutgoingBody {
  std::string bytes;
  size_t sent = 0;
};
nghttp2_data_provider ProviderOf(OutgoingBody* body);

class Link : public std::enable_shared_from_this<Link> {
 public:
  // `on_closed` is called once, from the loop and outside nghttp2's callbacks,
  // when the connection has ended by itself; not after Close().
  Link(task::Loop& loop, Socket socket, Session session,
       std::function<void(const std::string& reason)> on_closed);

  // Starts to move bytes; the socket must be connected.
  void Open();
  // Moves what the session has to say in the loop's next round.
  void ScheduleFlush();
  // Ends the connection; unsent bytes are dropped.
  void Close();

  nghttp2_session* session() const { return session_.get(); }
  GSocket* socket() const { return socket_.get(); }
  // Bytes that the session produced, and those that the socket took.
  int64_t produced() const { return produced_; }
  int64_t sent() const { return sent_; }
  int64_t received() const { return received_; }

 private:
  void OnReadable();
  void Flush();
  // Fills unsent_ from the session. Returns false when the session failed.
  bool Produce();
  // Hands unsent_ to the socket. Returns false when the socket failed.
  bool SendUnsent();
  // The session is finished: waits for the peer to close.
  void Linger();
  void Fail(const std::string& reason);

  GMainContext* context_;
  Socket socket_;
  Session session_;
  std::function<void(const std::string&)> on_closed_;
  Source readable_;
  Source writable_;  // Only while unsent_ is not empty.
  task::Timer flush_;
  task::Timer linger_;
  std::string unsent_;
  std::vector<uint8_t> receive_buffer_;
  int64_t produced_ = 0;
  int64_t sent_ = 0;  // Invariant: produced_ - sent_ == unsent_.size().
  int64_t received_ = 0;
  bool open_ = false;
  bool lingering_ = false;
  bool closed_ = false;
};

}  // namespace azurepass::entry::internal

#endif  // AZUREPASS_ENTRY_INTERNAL_LINK_H_
