// The serving end. Each accepted connection has an nghttp2 server session; a
// stream collects its body until it ends, is decoded and handed to the
// listener. The answer comes back as a message that names the connection and
// the stream, and is dropped when either is gone.
//
// Draining. A GOAWAY names the last stream that the listener may have been
// given; the peer then knows that later ones had no effect. The number is
// fixed when the frame is made, and no stream above it is dispatched from then
// on, so it is true whenever the frame leaves.

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <unordered_map>
#include <utility>

#include "azurepass/entry/entry.h"
#include "azurepass/entry/internal/link.h"
#include "azurepass/entry/internal/message_formats.h"

namespace azurepass::entry {
namespace {

using internal::HeaderField;
using internal::Link;
using internal::OutgoingBody;

constexpr int kListenBacklog = 1'024;
constexpr size_t kMaxConnections = 1'024;
// Bodies not yet complete, over all streams of a connection.
constexpr int64_t kMaxBufferedBodies = 16;
constexpr int32_t kStreamWindowBytes = 1 << 20;
constexpr int32_t kConnectionWindowBytes = 16 << 20;
constexpr Duration kMaxTimeLeft{int64_t{24} * 3'600 * 1'000};

// One request on its way in, then its answer on its way out.
struct Stream {
  std::string path;
  std::optional<Duration> time_left;
  std::string body;
  bool too_large = false;
  bool dispatched = false;
  bool answered = false;
  OutgoingBody answer;
};

struct Answered {
  int64_t connection = 0;
  int32_t stream = 0;
  Response response;
};
struct DrainAsked {
  task::Address<Drained> done;
};
using ServerMessage = std::variant<Answered, DrainAsked>;

Refusal NotRun(RefusalCode code, std::string message) {
  return {code, Effect::kNotRun, std::move(message), std::nullopt};
}

std::optional<Duration> ParseTimeLeft(std::string_view text) {
  int64_t count = 0;
  auto [stop, error] =
      std::from_chars(text.data(), text.data() + text.size(), count);
  if (error != std::errc() || stop != text.data() + text.size()) return {};
  if (count < 0 || count > kMaxTimeLeft.count()) return {};
  return Duration(count);
}

// What a connection needs of its server.
struct Surroundings {
  const ServerOptions& options;
  task::Address<Incoming> listener;
  task::Address<ServerMessage> answers;
};

class ServerConnection {
 public:
  ServerConnection(task::Loop& loop, int64_t id, Surroundings around,
                   internal::Socket socket, std::function<void()> on_closed)
      : id_(id), around_(std::move(around)) {
    link_ = std::make_shared<Link>(
        loop, std::move(socket), MakeSession(),
        [on_closed = std::move(on_closed)](const std::string& /*reason*/) {
          on_closed();
        });
    SubmitSettings();
    link_->Open();
  }
  ~ServerConnection() { link_->Close(); }
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  void Answer(int32_t stream_id, const Response& response) {
    auto found = streams_.find(stream_id);
    if (found == streams_.end() || found->second.answered) return;
    Stream& stream = found->second;
    stream.answered = true;
    stream.answer.bytes = internal::EncodeResponse(response);
    const nghttp2_nv headers[] = {HeaderField(":status", "200")};
    const nghttp2_data_provider provider = internal::ProviderOf(&stream.answer);
    nghttp2_submit_response(link_->session(), stream_id, headers,
                            std::size(headers), &provider);
    link_->ScheduleFlush();
  }

  void Drain() {
    if (last_stream_) return;
    last_stream_ = nghttp2_session_get_last_proc_stream_id(link_->session());
    nghttp2_submit_goaway(link_->session(), NGHTTP2_FLAG_NONE, *last_stream_,
                          NGHTTP2_NO_ERROR, nullptr, 0);
    link_->ScheduleFlush();
  }

 private:
  internal::Session MakeSession();
  void SubmitSettings();

  void OnHeader(int32_t stream_id, std::string_view name,
                std::string_view value) {
    Stream& stream = streams_[stream_id];
    if (name == ":path") stream.path = value;
    if (name == "time-left-ms") stream.time_left = ParseTimeLeft(value);
  }

  void OnData(int32_t stream_id, std::string_view bytes) {
    auto found = streams_.find(stream_id);
    if (found == streams_.end() || found->second.dispatched) return;
    Stream& stream = found->second;
    const int64_t max_body = around_.options.max_body_bytes;
    const auto size = static_cast<int64_t>(stream.body.size() + bytes.size());
    const auto buffered = buffered_ + static_cast<int64_t>(bytes.size());
    if (size > max_body || buffered > kMaxBufferedBodies * max_body) {
      stream.too_large = true;
      Dispatch(stream_id);
      return;
    }
    buffered_ = buffered;
    stream.body.append(bytes);
  }

  // The request is complete, or will not be read to its end.
  void Dispatch(int32_t stream_id) {
    auto found = streams_.find(stream_id);
    if (found == streams_.end() || found->second.dispatched) return;
    if (last_stream_ && stream_id > *last_stream_) {
      nghttp2_submit_rst_stream(link_->session(), NGHTTP2_FLAG_NONE, stream_id,
                                NGHTTP2_REFUSED_STREAM);
      return;
    }
    Stream& stream = found->second;
    stream.dispatched = true;
    const std::string body = TakeBody(stream);
    if (stream.too_large) {
      return Refuse(stream_id, RefusalCode::kTooLarge, "the body is too large");
    }
    if (!stream.time_left) {
      return Refuse(stream_id, RefusalCode::kInvalidRequest,
                    "the header time-left-ms is missing or out of range");
    }
    auto decoded = internal::DecodeRequest(stream.path, body,
                                           around_.options.max_body_bytes);
    if (auto* error = std::get_if<codec::Error>(&decoded)) {
      return Refuse(stream_id, RefusalCode::kInvalidRequest, error->ToString());
    }
    Deliver(stream_id, std::get<Request>(std::move(decoded)),
            *stream.time_left);
  }

  void Deliver(int32_t stream_id, Request request, Duration time_left) {
    auto to = around_.answers.Map<Response>(
        [connection = id_, stream_id](Response response) {
          return Answered{connection, stream_id, std::move(response)};
        });
    around_.listener.Send(
        {std::move(request), time_left, Responder(std::move(to))});
  }

  void Refuse(int32_t stream_id, RefusalCode code, std::string message) {
    Answer(stream_id, NotRun(code, std::move(message)));
  }

  std::string TakeBody(Stream& stream) {
    buffered_ -= static_cast<int64_t>(stream.body.size());
    return std::exchange(stream.body, std::string());
  }

  void OnStreamClosed(int32_t stream_id) {
    auto found = streams_.find(stream_id);
    if (found == streams_.end()) return;
    TakeBody(found->second);
    streams_.erase(found);
  }

  const int64_t id_;
  const Surroundings around_;
  // Nodes stay in place: nghttp2 reads from their OutgoingBody.
  std::unordered_map<int32_t, Stream> streams_;
  int64_t buffered_ = 0;                // Bytes of all bodies in streams_.
  std::optional<int32_t> last_stream_;  // Set by Drain.
  std::shared_ptr<Link> link_;
};

internal::Session ServerConnection::MakeSession() {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(
      callbacks, [](nghttp2_session*, const nghttp2_frame* frame,
                    const uint8_t* name, size_t name_size, const uint8_t* value,
                    size_t value_size, uint8_t, void* self) {
        static_cast<ServerConnection*>(self)->OnHeader(
            frame->hd.stream_id,
            {reinterpret_cast<const char*>(name), name_size},
            {reinterpret_cast<const char*>(value), value_size});
        return 0;
      });
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
      callbacks, [](nghttp2_session*, uint8_t, int32_t stream_id,
                    const uint8_t* data, size_t size, void* self) {
        static_cast<ServerConnection*>(self)->OnData(
            stream_id, {reinterpret_cast<const char*>(data), size});
        return 0;
      });
  nghttp2_session_callbacks_set_on_frame_recv_callback(
      callbacks, [](nghttp2_session*, const nghttp2_frame* frame, void* self) {
        const bool carries =
            frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
        if (carries && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
          static_cast<ServerConnection*>(self)->Dispatch(frame->hd.stream_id);
        }
        return 0;
      });
  nghttp2_session_callbacks_set_on_stream_close_callback(
      callbacks, [](nghttp2_session*, int32_t stream_id, uint32_t, void* self) {
        static_cast<ServerConnection*>(self)->OnStreamClosed(stream_id);
        return 0;
      });
  nghttp2_session* session = nullptr;
  nghttp2_session_server_new(&session, callbacks, this);
  nghttp2_session_callbacks_del(callbacks);
  return internal::Session(session);
}

void ServerConnection::SubmitSettings() {
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, around_.options.max_streams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes}};
  nghttp2_submit_settings(link_->session(), NGHTTP2_FLAG_NONE, settings,
                          std::size(settings));
  nghttp2_session_set_local_window_size(link_->session(), NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
}

}  // namespace

class Server::Impl {
 public:
  Impl(task::Loop& loop, ServerOptions options,
       task::Address<Incoming> listener)
      : loop_(loop),
        options_(std::move(options)),
        listener_(std::move(listener)),
        mailbox_(loop, [this](ServerMessage m) { Handle(std::move(m)); }) {
    Listen();
  }

  const std::string& listening_on() const { return listening_on_; }
  void Drain(task::Address<Drained> done) {
    mailbox_.address().Send(DrainAsked{std::move(done)});
  }

 private:
  void Listen() {
    const internal::SocketAddress address =
        internal::ParseAddress(options_.address);
    if (address == nullptr) return;
    socket_.reset(g_socket_new(g_socket_address_get_family(address.get()),
                               G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                               nullptr));
    if (socket_ == nullptr) return;
    g_socket_set_blocking(socket_.get(), FALSE);
    g_socket_set_listen_backlog(socket_.get(), kListenBacklog);
    if (!g_socket_bind(socket_.get(), address.get(), TRUE, nullptr)) return;
    if (!g_socket_listen(socket_.get(), nullptr)) return;
    listening_on_ = internal::LocalAddress(socket_.get());
    accepting_ = internal::WatchSocket(loop_.context(), socket_.get(), G_IO_IN,
                                       [this] { Accept(); });
  }

  void Accept() {
    internal::Socket accepted(g_socket_accept(socket_.get(), nullptr, nullptr));
    if (accepted == nullptr || connections_.size() >= kMaxConnections) return;
    g_socket_set_blocking(accepted.get(), FALSE);
    internal::TuneSocket(accepted.get());
    const int64_t id = next_connection_++;
    connections_[id] = std::make_unique<ServerConnection>(
        loop_, id, Surroundings{options_, listener_, mailbox_.address()},
        std::move(accepted), [this, id] { OnConnectionClosed(id); });
  }

  void Handle(ServerMessage message) {
    std::visit(Visitor{[this](const Answered& answered) { Answer(answered); },
                       [this](DrainAsked& asked) { StartDrain(asked); }},
               message);
  }

  void Answer(const Answered& answered) {
    auto found = connections_.find(answered.connection);
    if (found == connections_.end()) return;
    found->second->Answer(answered.stream, answered.response);
  }

  void StartDrain(DrainAsked& asked) {
    accepting_.reset();
    if (socket_ != nullptr) g_socket_close(socket_.get(), nullptr);
    waiting_for_drain_.push_back(std::move(asked.done));
    for (auto& [id, connection] : connections_) connection->Drain();
    TellDrained();
  }

  void OnConnectionClosed(int64_t id) {
    connections_.erase(id);
    TellDrained();
  }

  void TellDrained() {
    if (!connections_.empty()) return;
    for (const auto& address : std::exchange(waiting_for_drain_, {})) {
      address.Send(Drained{});
    }
  }

  task::Loop& loop_;
  const ServerOptions options_;
  const task::Address<Incoming> listener_;
  internal::Socket socket_;
  internal::Source accepting_;
  std::string listening_on_;
  std::map<int64_t, std::unique_ptr<ServerConnection>> connections_;
  int64_t next_connection_ = 1;
  std::vector<task::Address<Drained>> waiting_for_drain_;
  task::Mailbox<ServerMessage> mailbox_;
};

Server::Server(task::Loop& loop, ServerOptions options,
               task::Address<Incoming> listener)
    : impl_(std::make_shared<Impl>(loop, std::move(options),
                                   std::move(listener))) {}

Server::~Server() = default;

std::string Server::listening_on() const { return impl_->listening_on(); }

void Server::Drain(task::Address<Drained> done) {
  impl_->Drain(std::move(done));
}

}  // namespace azurepass::entry
