// The client half. Sessions are made on the loop at the first request, because
// a SoupSession belongs to the context that is its thread's default then.
//
// Each peer has a SoupSession of its own. A session walks the list of all its
// requests whenever one of them gets on, so that with hundreds of held requests
// in one session each step of each costs a pass over all of them. Sessions that
// have not been used for a while are dropped when another one is made.
//
// Every request is declared idempotent, because libsoup opens a new connection
// for each one that is not, even if it is a POST; that none is repeated is seen
// to here.
//
// Each request is a Call with a cancellable of its own. A timer cancels it when
// the time is up; the "restarted" signal cancels it when libsoup is about to
// repeat it. libsoup emits "starting" once a connection stands, just before it
// writes: a call that failed without that signal was never sent.

#include <libsoup/soup.h>

#include <map>
#include <set>

#include "azurepass/http/http.h"

namespace azurepass::http {
namespace {

// Rounds of the context granted to cancelled calls when the loop has stopped.
constexpr int kMaxDrainRounds = 10'000;
// A peer's session, and its connections, stay for so long after the last call.
constexpr std::chrono::seconds kKeepIdlePeer{60};

}  // namespace

std::string EscapePath(const std::string& text) {
  char* escaped = g_uri_escape_string(text.c_str(), "/", FALSE);
  std::string out = escaped;
  g_free(escaped);
  return out;
}

std::string EscapeQuery(const std::string& text) {
  char* escaped = g_uri_escape_string(text.c_str(), nullptr, FALSE);
  std::string out = escaped;
  g_free(escaped);
  return out;
}

class Client::Impl {
 public:
  Impl(task::Loop& loop, ClientOptions options)
      : loop_(loop), options_(options) {}
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Send(const Request& request, Callback callback);
  const Traffic& traffic() const { return traffic_; }

 private:
  struct Peer {
    SoupSession* session = nullptr;
    int64_t calls = 0;        // In flight.
    MonotonicTime last_used;  // Last call sent.
  };
  struct Call {
    Impl* owner;  // Null once the client is gone.
    std::string address;
    Callback callback;
    SoupMessage* message = nullptr;
    GCancellable* cancellable = nullptr;
    task::Timer timer;
    bool sent = false;

    Call(Impl* impl, std::string peer, Callback done)
        : owner(impl),
          address(std::move(peer)),
          callback(std::move(done)),
          timer(impl->loop_) {}
    ~Call() {
      g_clear_object(&message);
      g_clear_object(&cancellable);
    }
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;
  };

  Peer& PeerOf(const std::string& address);
  SoupSession* MakeSession() const;
  void DropIdlePeers(MonotonicTime now);
  void Start(Call* call, const Request& request);
  void Count(const Call& call);
  static void OnDone(GObject* session, GAsyncResult* result, gpointer data);
  static Result ResultOf(const Call& call, GBytes* body, const GError* error);
  void DrainIfStopped();

  task::Loop& loop_;
  ClientOptions options_;
  Traffic traffic_;
  std::map<std::string, Peer> peers_;  // By address; each has a session.
  std::set<Call*> calls_;              // In flight; freed by OnDone.
};

Client::Impl::~Impl() {
  for (Call* call : calls_) {
    if (call->message == nullptr) {  // Never started; see Start.
      delete call;
      continue;
    }
    call->owner = nullptr;
    call->callback = nullptr;
    call->timer.Cancel();
    g_cancellable_cancel(call->cancellable);
  }
  DrainIfStopped();
  for (auto& [address, peer] : peers_) g_object_unref(peer.session);
}

// When the loop has stopped nobody else would deliver the cancellations.
void Client::Impl::DrainIfStopped() {
  GMainContext* context = loop_.context();
  if (g_main_context_is_owner(context) || !g_main_context_acquire(context)) {
    return;
  }
  // libsoup insists on the thread default that it was started under.
  g_main_context_push_thread_default(context);
  for (int i = 0; i < kMaxDrainRounds; ++i) {
    if (!g_main_context_iteration(context, FALSE)) break;
  }
  g_main_context_pop_thread_default(context);
  g_main_context_release(context);
}

SoupSession* Client::Impl::MakeSession() const {
  SoupSession* session = soup_session_new_with_options(
      "max-conns", options_.connections_per_peer, "max-conns-per-host",
      options_.connections_per_peer, "proxy-resolver", nullptr, nullptr);
  // Saves an Accept-Encoding header in every request.
  soup_session_remove_feature_by_type(session, SOUP_TYPE_CONTENT_DECODER);
  return session;
}

Client::Impl::Peer& Client::Impl::PeerOf(const std::string& address) {
  const MonotonicTime now = BootClock::now();
  if (!peers_.contains(address)) {
    DropIdlePeers(now);
    peers_[address].session = MakeSession();
  }
  Peer& peer = peers_[address];
  peer.last_used = now;
  return peer;
}

void Client::Impl::DropIdlePeers(MonotonicTime now) {
  std::erase_if(peers_, [now](const auto& entry) {
    const Peer& peer = entry.second;
    if (peer.calls > 0 || now - peer.last_used < kKeepIdlePeer) return false;
    g_object_unref(peer.session);
    return true;
  });
}

void Client::Impl::Send(const Request& request, Callback callback) {
  auto* call = new Call(this, request.address, std::move(callback));
  calls_.insert(call);
  Start(call, request);
}

void Client::Impl::Start(Call* call, const Request& request) {
  const std::string uri = "http://" + request.address + request.target;
  call->cancellable = g_cancellable_new();
  call->message = soup_message_new(request.method.c_str(), uri.c_str());
  if (call->message == nullptr) {
    call->timer.After(Duration(0), [this, call] {
      const Callback callback = std::move(call->callback);
      calls_.erase(call);
      delete call;
      callback(Failure{FailureKind::kNotSent, "not an address"});
    });
    return;
  }
  soup_message_set_flags(
      call->message, static_cast<SoupMessageFlags>(
                         SOUP_MESSAGE_NO_REDIRECT | SOUP_MESSAGE_IDEMPOTENT |
                         SOUP_MESSAGE_COLLECT_METRICS));
  if (!request.body.empty()) {
    GBytes* body = g_bytes_new(request.body.data(), request.body.size());
    soup_message_set_request_body_from_bytes(call->message, "application/json",
                                             body);
    g_bytes_unref(body);
  }
  SoupMessageHeaders* headers = soup_message_get_request_headers(call->message);
  for (const auto& [name, value] : request.headers) {
    soup_message_headers_replace(headers, name.c_str(), value.c_str());
  }
  g_signal_connect(call->message, "starting",
                   G_CALLBACK(+[](SoupMessage*, gpointer data) {
                     static_cast<Call*>(data)->sent = true;
                   }),
                   call);
  g_signal_connect(
      call->message, "restarted", G_CALLBACK(+[](SoupMessage*, gpointer data) {
        g_cancellable_cancel(static_cast<Call*>(data)->cancellable);
      }),
      call);
  call->timer.After(request.timeout,
                    [call] { g_cancellable_cancel(call->cancellable); });
  Peer& peer = PeerOf(request.address);
  ++peer.calls;
  soup_session_send_and_read_async(peer.session, call->message,
                                   G_PRIORITY_DEFAULT, call->cancellable,
                                   OnDone, call);
}

void Client::Impl::OnDone(GObject* session, GAsyncResult* result,
                          gpointer data) {
  const std::unique_ptr<Call> call(static_cast<Call*>(data));
  g_signal_handlers_disconnect_by_data(call->message, call.get());
  GError* error = nullptr;
  GBytes* body =
      soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error);
  if (call->owner != nullptr) {
    call->owner->calls_.erase(call.get());
    --call->owner->peers_[call->address].calls;
    call->owner->Count(*call);
    call->timer.Cancel();
    call->callback(ResultOf(*call, body, error));
  }
  if (body != nullptr) g_bytes_unref(body);
  g_clear_error(&error);
}

Result Client::Impl::ResultOf(const Call& call, GBytes* body,
                              const GError* error) {
  if (error != nullptr) {
    const bool cancelled =
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED) != FALSE;
    return Failure{call.sent ? FailureKind::kNoAnswer : FailureKind::kNotSent,
                   cancelled ? "timeout or connection broken" : error->message};
  }
  gsize size = 0;
  const auto* bytes = static_cast<const char*>(g_bytes_get_data(body, &size));
  return Response{static_cast<int>(soup_message_get_status(call.message)),
                  bytes == nullptr ? std::string() : std::string(bytes, size)};
}

void Client::Impl::Count(const Call& call) {
  ++traffic_.requests;
  SoupMessageMetrics* metrics = soup_message_get_metrics(call.message);
  if (metrics == nullptr) return;
  if (soup_message_metrics_get_connect_start(metrics) != 0) {
    ++traffic_.connections;
  }
  traffic_.bytes_sent += static_cast<int64_t>(
      soup_message_metrics_get_request_header_bytes_sent(metrics) +
      soup_message_metrics_get_request_body_bytes_sent(metrics));
  traffic_.bytes_received += static_cast<int64_t>(
      soup_message_metrics_get_response_header_bytes_received(metrics) +
      soup_message_metrics_get_response_body_bytes_received(metrics));
}

Client::Client(task::Loop& loop, ClientOptions options)
    : impl_(std::make_unique<Impl>(loop, options)) {}

Client::~Client() = default;

void Client::Send(const Request& request, Callback callback) {
  impl_->Send(request, std::move(callback));
}

const Traffic& Client::traffic() const { return impl_->traffic(); }

}  // namespace azurepass::http
