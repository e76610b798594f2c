// The asking end: one connection for each peer, made when the first Call needs
// it and again after it ended.
//
// What a failure may claim. A Call is kNotSent only in these cases:
//   * it never got a stream (over the bound, no time left, too large);
//   * its time ran out before its first byte was made, and the stream was
//     taken out of the session;
//   * the connection ended before its first byte was handed to the socket;
//   * the peer said so: GOAWAY with a lower last stream, or REFUSED_STREAM.
// Everything else that goes wrong is kNoAnswer.

#include <nghttp2/nghttp2.h>

#include <list>
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

constexpr int32_t kStreamWindowBytes = 1 << 20;
constexpr int32_t kConnectionWindowBytes = 16 << 20;
constexpr Duration kMinTimeLeft{1};
// Until the peer has told its bound; more could be refused by it.
constexpr uint32_t kStreamsBeforeSettings = 1;

MonotonicTime Now() { return BootClock::now(); }

// Rounded up, so that a timer does not fire early.
Duration Until(MonotonicTime when) {
  return std::chrono::ceil<Duration>(when - Now());
}

Failure NotSent(std::string message) {
  return {FailureCode::kNotSent, std::move(message), /*refused=*/false};
}

Failure NoAnswer(std::string message) {
  return {FailureCode::kNoAnswer, std::move(message), /*refused=*/false};
}

class ClientConnection {
 public:
  struct Listener {
    std::function<void()> on_draining;  // Make no further call on it.
    std::function<void()> on_gone;      // It can be destroyed.
  };

  ClientConnection(task::Loop& loop, const ClientOptions& options,
                   const std::string& peer, Listener listener)
      : loop_(loop),
        options_(options),
        peer_(peer),
        listener_(std::move(listener)),
        connect_timer_(loop),
        deadline_timer_(loop) {
    Connect();
  }
  ~ClientConnection() {
    if (link_ != nullptr) link_->Close();
    FailAll("the client was closed");
  }
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  // False when no connection could even be tried.
  bool usable() const { return link_ != nullptr; }

  void Submit(Call call);

  Traffic traffic() const {
    return {submitted_, link_->sent(), link_->received()};
  }

 private:
  using Deadlines = std::multimap<MonotonicTime, int32_t>;

  // One request on its way out, then its answer on its way in.
  struct OpenCall {
    task::Address<CallResult> reply_to;
    Deadlines::iterator deadline;
    std::unique_ptr<OutgoingBody> request;  // The session reads from it.
    std::string answer;
    // Offset of the first byte in what the session produced.
    std::optional<int64_t> first_byte;
  };

  void Connect();
  void OnConnectable();
  internal::Session MakeSession();
  void SubmitSettings();

  void OnLinkClosed(const std::string& reason) {
    FailAll(reason);
    listener_.on_gone();
  }

  // Runs outside the session's callbacks.
  void EndBeforeConnected(const std::string& reason) {
    connecting_.reset();
    connect_timer_.Cancel();
    link_->Close();
    OnLinkClosed(reason);
  }

  void FailAll(const std::string& reason) {
    deadline_timer_.Cancel();
    deadlines_.clear();
    for (auto& [id, call] : std::exchange(calls_, {})) {
      call.reply_to.Send(FailureOf(call, reason));
    }
  }

  // Of a connection that has ended.
  Failure FailureOf(const OpenCall& call, const std::string& reason) const {
    const bool handed =
        call.first_byte.has_value() && *call.first_byte < link_->sent();
    const std::string message = peer_ + ": " + reason;
    if (handed) return NoAnswer(message);
    Failure failure = NotSent(message);
    failure.refused = refused_;
    return failure;
  }

  void Finish(int32_t stream_id, CallResult result) {
    auto found = calls_.find(stream_id);
    if (found == calls_.end()) return;
    const task::Address<CallResult> reply_to = found->second.reply_to;
    deadlines_.erase(found->second.deadline);
    // The session may read from the body until the stream is closed.
    finished_bodies_[stream_id] = std::move(found->second.request);
    calls_.erase(found);
    reply_to.Send(std::move(result));
  }

  void OnFirstByte(int32_t stream_id) {
    auto found = calls_.find(stream_id);
    if (found != calls_.end()) found->second.first_byte = link_->produced();
  }

  void OnData(int32_t stream_id, std::string_view bytes) {
    auto found = calls_.find(stream_id);
    if (found == calls_.end()) return;
    std::string& answer = found->second.answer;
    answer.append(bytes);
    if (answer.size() <= static_cast<size_t>(options_.max_body_bytes)) return;
    Cancel(stream_id);
    Finish(stream_id, NoAnswer(peer_ + ": the answer is too large"));
  }

  void OnStreamClosed(int32_t stream_id, uint32_t error) {
    auto found = calls_.find(stream_id);
    if (found != calls_.end()) {
      Finish(stream_id, ResultOf(found->second, error));
    }
    finished_bodies_.erase(stream_id);
  }

  CallResult ResultOf(const OpenCall& call, uint32_t error) const {
    if (error == NGHTTP2_REFUSED_STREAM) {
      return NotSent(peer_ + ": the peer takes no more requests");
    }
    if (error != NGHTTP2_NO_ERROR) {
      return NoAnswer(peer_ + ": " + nghttp2_http2_strerror(error));
    }
    auto decoded =
        internal::DecodeResponse(call.answer, options_.max_body_bytes);
    if (auto* problem = std::get_if<codec::Error>(&decoded)) {
      return NoAnswer(peer_ + ": unreadable answer: " + problem->ToString());
    }
    return std::get<Response>(std::move(decoded));
  }

  // The session gave the request up before its first byte.
  void OnNotSent(int32_t stream_id) {
    Finish(stream_id, NotSent(peer_ + ": the connection is going away"));
  }

  void OnGoaway() {
    if (std::exchange(draining_, true)) return;
    listener_.on_draining();
  }

  void Cancel(int32_t stream_id) {
    nghttp2_submit_rst_stream(link_->session(), NGHTTP2_FLAG_NONE, stream_id,
                              NGHTTP2_CANCEL);
    link_->ScheduleFlush();
  }

  void ArmDeadline() {
    if (deadlines_.empty()) return deadline_timer_.Cancel();
    const MonotonicTime first = deadlines_.begin()->first;
    if (deadline_timer_.active() && armed_for_ <= first) return;
    armed_for_ = first;
    deadline_timer_.After(Until(first), [this] { OnDeadline(); });
  }

  void OnDeadline() {
    const MonotonicTime now = Now();
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
      TimeOut(deadlines_.begin()->second);
    }
    ArmDeadline();
  }

  void TimeOut(int32_t stream_id) {
    // Bytes that were produced will leave, even if they have not yet.
    const bool produced = calls_.at(stream_id).first_byte.has_value();
    Cancel(stream_id);
    Finish(stream_id, produced ? NoAnswer(peer_ + ": no answer in time")
                               : NotSent(peer_ + ": not sent in time"));
  }

  task::Loop& loop_;
  const ClientOptions& options_;
  const std::string peer_;
  const Listener listener_;
  std::shared_ptr<Link> link_;
  bool refused_ = false;  // The connection was.
  internal::Source connecting_;
  task::Timer connect_timer_;
  task::Timer deadline_timer_;
  MonotonicTime armed_for_;
  bool draining_ = false;
  int64_t submitted_ = 0;
  std::unordered_map<int32_t, OpenCall> calls_;
  // Of calls that were answered before their stream was closed.
  std::unordered_map<int32_t, std::unique_ptr<OutgoingBody>> finished_bodies_;
  Deadlines deadlines_;  // Invariant: one entry for each of calls_.
};

void ClientConnection::Connect() {
  const internal::SocketAddress address = internal::ParseAddress(peer_);
  if (address == nullptr) return;
  internal::Socket socket(
      g_socket_new(g_socket_address_get_family(address.get()),
                   G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr));
  if (socket == nullptr) return;
  g_socket_set_blocking(socket.get(), FALSE);
  link_ = std::make_shared<Link>(
      loop_, std::move(socket), MakeSession(),
      [this](const std::string& reason) { OnLinkClosed(reason); });
  SubmitSettings();
  GError* error = nullptr;
  g_socket_connect(link_->socket(), address.get(), nullptr, &error);
  const bool pending = error == nullptr ||
                       g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING);
  refused_ = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
  g_clear_error(&error);
  if (!pending) {
    connect_timer_.After(Duration(0),
                         [this] { EndBeforeConnected("cannot connect"); });
    return;
  }
  connecting_ = internal::WatchSocket(loop_.context(), link_->socket(),
                                      G_IO_OUT, [this] { OnConnectable(); });
  connect_timer_.After(options_.connect_timeout,
                       [this] { EndBeforeConnected("no connection in time"); });
}

void ClientConnection::OnConnectable() {
  GError* error = nullptr;
  if (g_socket_check_connect_result(link_->socket(), &error) == FALSE) {
    const std::string reason = error->message;
    refused_ =
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
    g_error_free(error);
    return EndBeforeConnected(reason);
  }
  connecting_.reset();
  connect_timer_.Cancel();
  internal::TuneSocket(link_->socket());
  link_->Open();
}

void ClientConnection::Submit(Call call) {
  if (static_cast<int64_t>(calls_.size()) >= options_.max_streams) {
    return call.reply_to.Send(NotSent(peer_ + ": too many requests at once"));
  }
  auto body = std::make_unique<OutgoingBody>();
  body->bytes = internal::EncodeRequest(call.request);
  if (body->bytes.size() > static_cast<size_t>(options_.max_body_bytes)) {
    return call.reply_to.Send(NotSent(peer_ + ": the request is too large"));
  }
  const std::string path = internal::PathOf(call.request);
  const std::string time_left = std::to_string(call.timeout.count());
  const nghttp2_nv headers[] = {
      HeaderField(":method", "POST"), HeaderField(":scheme", "http"),
      HeaderField(":authority", peer_), HeaderField(":path", path),
      HeaderField("time-left-ms", time_left)};
  const nghttp2_data_provider provider = internal::ProviderOf(body.get());
  const int32_t stream_id =
      nghttp2_submit_request(link_->session(), nullptr, headers,
                             std::size(headers), &provider, nullptr);
  if (stream_id < 0) {
    OnGoaway();  // Stream ids are used up, or the session is closing.
    return call.reply_to.Send(NotSent(peer_ + ": no stream to be had"));
  }
  ++submitted_;
  auto deadline = deadlines_.emplace(Now() + call.timeout, stream_id);
  calls_[stream_id] = {std::move(call.reply_to), deadline, std::move(body),
                       std::string(), std::nullopt};
  ArmDeadline();
  link_->ScheduleFlush();
}

internal::Session ClientConnection::MakeSession() {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_before_frame_send_callback(
      callbacks, [](nghttp2_session*, const nghttp2_frame* frame, void* self) {
        if (frame->hd.type == NGHTTP2_HEADERS) {
          static_cast<ClientConnection*>(self)->OnFirstByte(
              frame->hd.stream_id);
        }
        return 0;
      });
  nghttp2_session_callbacks_set_on_frame_not_send_callback(
      callbacks,
      [](nghttp2_session*, const nghttp2_frame* frame, int, void* self) {
        if (frame->hd.type == NGHTTP2_HEADERS) {
          static_cast<ClientConnection*>(self)->OnNotSent(frame->hd.stream_id);
        }
        return 0;
      });
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
      callbacks, [](nghttp2_session*, uint8_t, int32_t stream_id,
                    const uint8_t* data, size_t size, void* self) {
        static_cast<ClientConnection*>(self)->OnData(
            stream_id, {reinterpret_cast<const char*>(data), size});
        return 0;
      });
  nghttp2_session_callbacks_set_on_frame_recv_callback(
      callbacks, [](nghttp2_session*, const nghttp2_frame* frame, void* self) {
        if (frame->hd.type == NGHTTP2_GOAWAY) {
          static_cast<ClientConnection*>(self)->OnGoaway();
        }
        return 0;
      });
  nghttp2_session_callbacks_set_on_stream_close_callback(
      callbacks,
      [](nghttp2_session*, int32_t stream_id, uint32_t error, void* self) {
        static_cast<ClientConnection*>(self)->OnStreamClosed(stream_id, error);
        return 0;
      });
  nghttp2_session* session = nullptr;
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_peer_max_concurrent_streams(option,
                                                 kStreamsBeforeSettings);
  nghttp2_session_client_new2(&session, callbacks, this, option);
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  return internal::Session(session);
}

void ClientConnection::SubmitSettings() {
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes}};
  nghttp2_submit_settings(link_->session(), NGHTTP2_FLAG_NONE, settings,
                          std::size(settings));
  nghttp2_session_set_local_window_size(link_->session(), NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
}

}  // namespace

class Client::Impl {
 public:
  Impl(task::Loop& loop, ClientOptions options)
      : loop_(loop),
        options_(options),
        mailbox_(loop, [this](Call call) { Handle(std::move(call)); }) {}

  task::Address<Call> address() const { return mailbox_.address(); }

  Traffic traffic() const {
    Traffic sum = ended_;
    for (const auto& [id, connection] : connections_) {
      Add(connection->traffic(), sum);
    }
    return sum;
  }

 private:
  static void Add(const Traffic& traffic, Traffic& sum) {
    sum.calls += traffic.calls;
    sum.sent_bytes += traffic.sent_bytes;
    sum.received_bytes += traffic.received_bytes;
  }

  void Handle(Call call) {
    if (call.timeout < kMinTimeLeft) {
      return call.reply_to.Send(NotSent(call.peer + ": no time left"));
    }
    ClientConnection* connection = ConnectionTo(call.peer);
    if (connection == nullptr) {
      return call.reply_to.Send(NotSent(call.peer + ": not an address"));
    }
    connection->Submit(std::move(call));
  }

  ClientConnection* ConnectionTo(const std::string& peer) {
    auto found = current_.find(peer);
    if (found != current_.end()) return connections_.at(found->second).get();
    const int64_t id = next_connection_++;
    auto connection = std::make_unique<ClientConnection>(
        loop_, options_, peer,
        ClientConnection::Listener{[this, id, peer] { Retire(id, peer); },
                                   [this, id, peer] { Remove(id, peer); }});
    if (!connection->usable()) return nullptr;
    current_[peer] = id;
    return (connections_[id] = std::move(connection)).get();
  }

  void Retire(int64_t id, const std::string& peer) {
    auto found = current_.find(peer);
    if (found != current_.end() && found->second == id) current_.erase(found);
  }

  // Destroys the connection, and with it the closure that calls this.
  void Remove(int64_t id, const std::string& peer) {
    Retire(id, peer);
    Add(connections_.at(id)->traffic(), ended_);
    connections_.erase(id);
  }

  task::Loop& loop_;
  const ClientOptions options_;
  std::map<int64_t, std::unique_ptr<ClientConnection>> connections_;
  std::map<std::string, int64_t> current_;  // Where new calls go, by peer.
  int64_t next_connection_ = 1;
  Traffic ended_;  // Of connections that are gone.
  task::Mailbox<Call> mailbox_;
};

Client::Client(task::Loop& loop, ClientOptions options)
    : impl_(std::make_shared<Impl>(loop, options)) {}

Client::~Client() = default;

task::Address<Call> Client::address() const { return impl_->address(); }

Traffic Client::traffic() const { return impl_->traffic(); }

}  // namespace azurepass::entry
