// Requests, one Exchange each, over SoupServer.
//
// SoupServer makes a SoupServerMessage when it accepts a connection, and again
// when it begins to read a further request from one that is kept open; so there
// is at most one Exchange for each connection at any time, and its state tells
// what the connection waits for:
//
//   kReading    for the client: headers and body. read_timeout runs.
//   kHandling   for our owner. The message is paused; libsoup does not look at
//               the socket meanwhile, so a source of ours tells when the client
//               resets the connection. answer_timeout runs.
//   kWriting    for the client to take the answer. write_timeout runs.
//
//   kRefused    for nothing: the connection is about to be taken from libsoup.
//
// What libsoup cannot answer, because it does not hold a whole request, is
// answered by a canned response on the connection, which is taken away from
// libsoup for that. On headers over 64 KiB libsoup closes without a word; a
// second handle on the socket, kept while a request is read, lets us answer.
// Another one, kept while a last answer is written, lets the connection linger:
// libsoup would close it with what the client has sent meanwhile unread, which
// resets it, and the client may then lose the answer.

#include "azurepass/httpserver/httpserver.h"

#include <gio/gio.h>
#include <glog/logging.h>
#include <libsoup/soup.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "azurepass/httpserver/internal/body_budget.h"
#include "azurepass/httpserver/internal/lingering_close.h"
#include "azurepass/httpserver/internal/read_ahead.h"

namespace azurepass::httpserver {
namespace {

constexpr char kBearerPrefix[] = "Bearer ";

// Connections that wait to be accepted while the process doesn't run.
constexpr int kBacklog = 1'024;

// Of looks at the listeners while connections wait to be accepted.
constexpr Duration kAcceptInterval{5};
constexpr Duration kMaxAcceptTime{500};

// For a request that libsoup has read ahead to be taken up.
constexpr Duration kReadAheadTime{20};

// Connections that are refused, for each line of the log.
constexpr int kConnectionsPerLine = 100;

// libsoup collects a body in pieces and then copies them together, so that it
// holds the body twice for a moment.
constexpr int64_t kCopiesOfBody = 2;

enum class State { kReading, kHandling, kWriting, kRefused };

Method MethodOf(const char* name) {
  const std::string_view text(name);
  if (text == "GET") return Method::kGet;
  if (text == "POST") return Method::kPost;
  if (text == "PUT") return Method::kPut;
  if (text == "DELETE") return Method::kDelete;
  return Method::kOther;
}

std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> segments;
  while (!path.empty()) {
    const size_t slash = std::min(path.find('/'), path.size());
    if (slash > 0) segments.emplace_back(path.substr(0, slash));
    path.remove_prefix(std::min(slash + 1, path.size()));
  }
  return segments;
}

std::map<std::string, std::string> ReadQuery(GHashTable* table) {
  std::map<std::string, std::string> query;
  if (table == nullptr) return query;
  GHashTableIter iter;
  gpointer name = nullptr;
  gpointer value = nullptr;
  g_hash_table_iter_init(&iter, table);
  while (g_hash_table_iter_next(&iter, &name, &value) != FALSE) {
    query[static_cast<const char*>(name)] = static_cast<const char*>(value);
  }
  return query;
}

std::string ReadBearer(SoupServerMessage* message) {
  SoupMessageHeaders* headers =
      soup_server_message_get_request_headers(message);
  const char* value = soup_message_headers_get_one(headers, "Authorization");
  if (value == nullptr) return "";
  const std::string_view text(value);
  if (!text.starts_with(kBearerPrefix)) return "";
  return std::string(text.substr(sizeof(kBearerPrefix) - 1));
}

int64_t HeaderBytes(SoupMessageHeaders* headers) {
  int64_t bytes = 0;
  SoupMessageHeadersIter iter;
  const char* name = nullptr;
  const char* value = nullptr;
  soup_message_headers_iter_init(&iter, headers);
  while (soup_message_headers_iter_next(&iter, &name, &value) != FALSE) {
    bytes += static_cast<int64_t>(std::string_view(name).size() +
                                  std::string_view(value).size());
  }
  return bytes;
}

// Whether the client wants to send further requests after this one.
bool KeepsConnection(SoupServerMessage* message) {
  return soup_server_message_get_http_version(message) != SOUP_HTTP_1_0 &&
         soup_message_headers_header_contains(
             soup_server_message_get_request_headers(message), "Connection",
             "close") == FALSE;
}

std::string RetryAfterSeconds(Duration delay) {
  const auto whole = std::chrono::ceil<std::chrono::seconds>(delay);
  return std::to_string(std::max<int64_t>(1, whole.count()));
}

Response Refuse(int status, RefusalCode code, std::string message) {
  Response response =
      ToResponse({code, Effect::kNotRun, std::move(message), std::nullopt});
  response.status = status;
  return response;
}

Response Unavailable(std::string message) {
  constexpr Duration kRetryAfter{1'000};
  Response response =
      Refuse(503, RefusalCode::kUnavailable, std::move(message));
  response.retry_after = kRetryAfter;
  return response;
}

Response ShuttingDown() {
  return Unavailable("this process is shutting down; ask another one");
}

bool IsNumber(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c >= '0' && c <= '9';
  });
}

// A whole response as bytes, for a request that libsoup has not read whole.
std::string Canned(const Response& response) {
  const char* reason = soup_status_get_phrase(response.status);
  return "HTTP/1.1 " + std::to_string(response.status) + " " + reason +
         "\r\nContent-Type: " + response.content_type +
         "\r\nContent-Length: " + std::to_string(response.body.size()) +
         (response.retry_after
              ? "\r\nRetry-After: " + RetryAfterSeconds(*response.retry_after)
              : "") +
         "\r\nConnection: close\r\n\r\n" + response.body;
}

GSocketAddress* ParseAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) return nullptr;
  guint port = 0;
  const char* end = address.data() + address.size();
  auto [stop, error] = std::from_chars(address.data() + colon + 1, end, port);
  if (error != std::errc() || stop != end || port > 65'535) return nullptr;
  return g_inet_socket_address_new_from_string(address.substr(0, colon).c_str(),
                                               port);
}

}  // namespace

class Server::Impl {
 public:
  Impl(task::Loop& loop, Options options, std::function<void(Event)> handler);
  ~Impl();

  std::string listening_on() const;
  void Answer(ExchangeId id, const Response& response);
  void Leave() { leaving_ = true; }
  void Drain(Duration idle_time, std::function<void()> drained);
  int64_t open_requests() const { return open_requests_; }
  int64_t connections() const {
    return static_cast<int64_t>(connections_.size());
  }

 private:
  struct Exchange {
    explicit Exchange(task::Loop& loop) : timeout(loop) {}
    ExchangeId id;
    State state = State::kReading;
    SoupServerMessage* message = nullptr;  // Held by a reference.
    GSocket* socket = nullptr;             // Key of connections_, or null.
    GSocket* second_handle = nullptr;      // In kReading; for a last answer.
    GSource* reset = nullptr;              // In kHandling.
    gulong disconnected = 0;               // Signal handlers of message.
    gulong got_chunk = 0;
    bool counted = false;        // In open_requests_.
    bool last = false;           // The connection ends with this answer.
    bool client_closes = false;  // The client keeps no connection.
    bool more_follows = false;   // libsoup may have read a further request.
    task::Timer timeout;
  };

  // An open connection, which has an exchange or is between requests.
  struct Connection {
    bool has_exchange = false;
    bool refused = false;       // It got its last answer between requests.
    int64_t used_bytes = 0;     // See internal::HasReadAhead.
    GSource* closed = nullptr;  // Between requests.
    // The latest request, held by a reference: by it libsoup gives the
    // connection away. Null before the first one has ended.
    SoupServerMessage* message = nullptr;
  };

  void Listen(const std::string& address);
  void OnStarted(SoupServerMessage* message);
  void OnHeaders(SoupServerMessage* message);
  void OnRequest(SoupServerMessage* message, const char* path,
                 GHashTable* query);
  // `finished`: its answer was written.
  void OnEnded(SoupServerMessage* message, bool finished);
  // Between requests: closes the connection when its client does.
  void WatchForClose(GSocket* socket);
  static void StopWatching(Connection& connection);
  void ForgetConnection(GSocket* socket);
  void RefuseIdle(GSocket* socket, Connection& connection);
  void OnDisconnected(SoupServerMessage* message);
  void OnReadTimeout(ExchangeId id);
  void WatchForReset(Exchange& exchange);
  void Abandon(ExchangeId id);
  // Closes the listeners as soon as no connection waits to be accepted, at the
  // latest at `latest`.
  void StopListening(MonotonicTime latest);
  void RefuseIdleConnections();
  void RefuseWhatIsKept();
  void CheckDrained();
  void SetResponse(Exchange& exchange, const Response& response);
  // Ends the connection without a word.
  void CutOff(Exchange& exchange);
  // Takes the connection from libsoup and ends it with a response, not before
  // libsoup has returned.
  void RefuseLater(Exchange& exchange, Response last_words);
  void TakeAndRefuse(ExchangeId id, const Response& last_words);
  // Writes `last_words`, then closes the connection without resetting it.
  void Linger(GSocket* socket, const std::string& last_words);
  // `kept`: the connection goes on.
  void Forget(ExchangeId id, bool kept = false);
  Response HeadersTooLong() const;
  void RefuseConnection(Exchange& exchange);
  // Returns the exchange, other than this one, whose request has been awaited
  // for longest; null if there is none.
  Exchange* LongestReading(ExchangeId except);
  Exchange* Find(SoupServerMessage* message);
  Exchange* Find(ExchangeId id);
  std::optional<Response> Objection(SoupServerMessage* message) const;
  // Reserves memory for the body that the headers announce; others may have to
  // give way. Returns a refusal if there is too little.
  std::optional<Response> ReserveBody(const Exchange& exchange);

  task::Loop& loop_;
  const Options options_;
  const std::function<void(Event)> handler_;
  SoupServer* server_;
  int64_t last_id_ = 0;
  int64_t open_requests_ = 0;  // Exchanges not in kReading.
  bool listening_ = true;
  bool leaving_ = false;
  bool refuse_idle_ = false;  // Implies leaving_.
  task::Timer accept_timer_;
  task::Timer idle_timer_;
  task::Timer kept_timer_;
  std::function<void()> drained_;  // Null before Drain and once it was called.
  // The two maps hold the same exchanges.
  std::map<ExchangeId, std::unique_ptr<Exchange>> exchanges_;
  std::map<GSocket*, Connection> connections_;  // Sockets held by references.
  std::map<SoupServerMessage*, ExchangeId> ids_;
  internal::BodyBudget bodies_;
  int64_t last_linger_ = 0;
  std::map<int64_t, std::unique_ptr<internal::LingeringClose>> lingering_;
};

Server::Impl::Impl(task::Loop& loop, Options options,
                   std::function<void(Event)> handler)
    : loop_(loop),
      options_(std::move(options)),
      handler_(std::move(handler)),
      server_(soup_server_new("server-header", "azurepass", nullptr)),
      accept_timer_(loop),
      idle_timer_(loop),
      kept_timer_(loop),
      bodies_(options_.body_budget_bytes) {
  g_signal_connect_swapped(
      server_, "request-started",
      G_CALLBACK(+[](Impl* self, SoupServerMessage* message, SoupServer*) {
        self->OnStarted(message);
      }),
      this);
  g_signal_connect_swapped(
      server_, "request-finished",
      G_CALLBACK(+[](Impl* self, SoupServerMessage* message, SoupServer*) {
        self->OnEnded(message, /*finished=*/true);
      }),
      this);
  g_signal_connect_swapped(
      server_, "request-aborted",
      G_CALLBACK(+[](Impl* self, SoupServerMessage* message, SoupServer*) {
        self->OnEnded(message, /*finished=*/false);
      }),
      this);
  soup_server_add_early_handler(
      server_, nullptr,
      [](SoupServer*, SoupServerMessage* message, const char*, GHashTable*,
         gpointer self) { static_cast<Impl*>(self)->OnHeaders(message); },
      this, nullptr);
  soup_server_add_handler(
      server_, nullptr,
      [](SoupServer*, SoupServerMessage* message, const char* path,
         GHashTable* query, gpointer self) {
        static_cast<Impl*>(self)->OnRequest(message, path, query);
      },
      this, nullptr);
  Listen(options_.address);
}

Server::Impl::~Impl() {
  g_signal_handlers_disconnect_by_data(server_, this);
  while (!exchanges_.empty()) Forget(exchanges_.begin()->first);
  while (!connections_.empty()) ForgetConnection(connections_.begin()->first);
  soup_server_disconnect(server_);
  g_object_unref(server_);
}

void Server::Impl::Listen(const std::string& address) {
  GSocketAddress* socket_address = ParseAddress(address);
  if (socket_address == nullptr) {
    LOG(ERROR) << "event=listen_failed address=" << address
               << " reason=\"not an IP:PORT\"";
    return;
  }
  // SoupServer listens on the context that is the thread's default.
  g_main_context_push_thread_default(loop_.context());
  GError* error = nullptr;
  GSocket* listener =
      g_socket_new(g_socket_address_get_family(socket_address),
                   G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error);
  // soup_server_listen keeps GLib's backlog of 10.
  if (listener != nullptr) g_socket_set_listen_backlog(listener, kBacklog);
  const bool listening =
      listener != nullptr &&
      g_socket_bind(listener, socket_address, TRUE, &error) != FALSE &&
      g_socket_listen(listener, &error) != FALSE &&
      soup_server_listen_socket(server_, listener,
                                static_cast<SoupServerListenOptions>(0),
                                &error) != FALSE;
  if (!listening) {
    LOG(ERROR) << "event=listen_failed address=" << address << " reason=\""
               << error->message << "\"";
    g_clear_error(&error);
  }
  g_main_context_pop_thread_default(loop_.context());
  g_clear_object(&listener);
  g_object_unref(socket_address);
}

std::string Server::Impl::listening_on() const {
  std::string result;
  GSList* uris = soup_server_get_uris(server_);
  if (uris != nullptr) {
    auto* uri = static_cast<GUri*>(uris->data);
    result = std::string(g_uri_get_host(uri)) + ":" +
             std::to_string(g_uri_get_port(uri));
  }
  g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
  return result;
}

Server::Impl::Exchange* Server::Impl::Find(ExchangeId id) {
  auto found = exchanges_.find(id);
  return found == exchanges_.end() ? nullptr : found->second.get();
}

Server::Impl::Exchange* Server::Impl::Find(SoupServerMessage* message) {
  auto found = ids_.find(message);
  return found == ids_.end() ? nullptr : Find(found->second);
}

void Server::Impl::OnStarted(SoupServerMessage* message) {
  auto exchange = std::make_unique<Exchange>(loop_);
  const ExchangeId id{++last_id_};
  exchange->id = id;
  exchange->message = SOUP_SERVER_MESSAGE(g_object_ref(message));
  exchange->timeout.After(options_.read_timeout,
                          [this, id] { OnReadTimeout(id); });
  exchange->disconnected = g_signal_connect_swapped(
      message, "disconnected",
      G_CALLBACK(+[](Impl* self, SoupServerMessage* gone) {
        self->OnDisconnected(gone);
      }),
      this);
  exchange->got_chunk = g_signal_connect_swapped(
      message, "got-chunk",
      G_CALLBACK(+[](Impl* self, GBytes*, SoupServerMessage* reading) {
        const Exchange* found = self->Find(reading);
        if (found != nullptr) {
          self->bodies_.OnProgress(found->id, BootClock::now());
        }
      }),
      this);
  GSocket* socket = soup_server_message_get_socket(message);
  bool is_new_connection = false;
  if (socket != nullptr) {
    exchange->socket = socket;
    exchange->second_handle = internal::Duplicate(socket);
    const auto [found, is_new] = connections_.try_emplace(socket);
    if (is_new) g_object_ref(socket);
    is_new_connection = is_new;
    found->second.has_exchange = true;
    StopWatching(found->second);
  }
  ids_[message] = id;
  Exchange& kept = *(exchanges_[id] = std::move(exchange));
  if (is_new_connection &&
      std::ssize(connections_) > options_.max_connections) {
    Exchange* idle = LongestReading(kept.id);
    RefuseConnection(idle != nullptr ? *idle : kept);
    if (idle == nullptr) return;
  }
  if (refuse_idle_ && is_new_connection) RefuseLater(kept, ShuttingDown());
  if (kept.socket != nullptr && connections_.at(kept.socket).refused) {
    RefuseLater(kept, ShuttingDown());
  }
}

// libsoup doesn't notice that a client closes a connection between requests,
// and keeps the descriptor.
void Server::Impl::WatchForClose(GSocket* socket) {
  Connection& connection = connections_.at(socket);
  connection.closed = g_socket_create_source(socket, G_IO_IN, nullptr);
  const auto callback =
      +[](GSocket* readable, GIOCondition, gpointer self) -> gboolean {
    auto* server = static_cast<Impl*>(self);
    StopWatching(server->connections_.at(readable));
    if (!internal::PeerHungUp(readable)) return G_SOURCE_REMOVE;
    SoupServerMessage* message = server->connections_.at(readable).message;
    GIOStream* stream = soup_server_message_steal_connection(message);
    g_clear_object(&stream);
    g_socket_close(readable, nullptr);
    server->ForgetConnection(readable);
    return G_SOURCE_REMOVE;
  };
  g_source_set_callback(connection.closed, G_SOURCE_FUNC(callback), this,
                        nullptr);
  g_source_attach(connection.closed, loop_.context());
}

void Server::Impl::StopWatching(Connection& connection) {
  if (connection.closed == nullptr) return;
  g_source_destroy(connection.closed);
  g_clear_pointer(&connection.closed, g_source_unref);
}

void Server::Impl::ForgetConnection(GSocket* socket) {
  auto found = connections_.find(socket);
  if (found == connections_.end()) return;
  StopWatching(found->second);
  g_clear_object(&found->second.message);
  connections_.erase(found);
  g_object_unref(socket);
  CheckDrained();
}

Server::Impl::Exchange* Server::Impl::LongestReading(ExchangeId except) {
  for (const auto& [id, exchange] : exchanges_) {
    if (exchange->state == State::kReading && id != except) {
      return exchange.get();
    }
  }
  return nullptr;
}

void Server::Impl::RefuseConnection(Exchange& exchange) {
  const int64_t excess = std::ssize(connections_) + std::ssize(lingering_) -
                         options_.max_connections;
  const bool answered = excess <= options_.max_excess_connections;
  LOG_EVERY_N(WARNING, kConnectionsPerLine)
      << "event=refuse_connection reason=max_connections connections="
      << connections_.size() << " answered=" << answered;
  if (!answered) return CutOff(exchange);
  RefuseLater(exchange, Unavailable("too many connections; ask again"));
}

Response Server::Impl::HeadersTooLong() const {
  return Refuse(431, RefusalCode::kTooLarge,
                "the headers are longer than " +
                    std::to_string(options_.max_header_bytes) + " bytes");
}

std::optional<Response> Server::Impl::Objection(
    SoupServerMessage* message) const {
  SoupMessageHeaders* headers =
      soup_server_message_get_request_headers(message);
  if (HeaderBytes(headers) > options_.max_header_bytes) {
    return HeadersTooLong();
  }
  const char* length = soup_message_headers_get_one(headers, "Content-Length");
  if (length != nullptr && !IsNumber(length)) {
    return Refuse(400, RefusalCode::kInvalidRequest,
                  "Content-Length must be a whole number");
  }
  const SoupEncoding encoding = soup_message_headers_get_encoding(headers);
  if (encoding != SOUP_ENCODING_CONTENT_LENGTH &&
      encoding != SOUP_ENCODING_NONE) {
    return Refuse(411, RefusalCode::kInvalidRequest,
                  "a body needs a Content-Length");
  }
  if (encoding == SOUP_ENCODING_CONTENT_LENGTH &&
      soup_message_headers_get_content_length(headers) >
          options_.max_body_bytes) {
    return Refuse(413, RefusalCode::kTooLarge,
                  "the body is longer than " +
                      std::to_string(options_.max_body_bytes) + " bytes");
  }
  if (encoding == SOUP_ENCODING_CONTENT_LENGTH && options_.takes_body &&
      soup_message_headers_get_content_length(headers) > 0 &&
      !options_.takes_body(
          MethodOf(soup_server_message_get_method(message)),
          g_uri_get_path(soup_server_message_get_uri(message)))) {
    return Refuse(413, RefusalCode::kTooLarge, "this request takes no body");
  }
  if (open_requests_ >= options_.max_requests) {
    return Unavailable("too many requests at once; ask again");
  }
  return std::nullopt;
}

std::optional<Response> Server::Impl::ReserveBody(const Exchange& exchange) {
  SoupMessageHeaders* headers =
      soup_server_message_get_request_headers(exchange.message);
  if (soup_message_headers_get_encoding(headers) !=
      SOUP_ENCODING_CONTENT_LENGTH) {
    return std::nullopt;
  }
  const int64_t bytes =
      kCopiesOfBody * soup_message_headers_get_content_length(headers);
  if (bytes == 0) return std::nullopt;
  while (!bodies_.Fits(bytes)) {
    const std::optional<ExchangeId> idle = bodies_.LeastRecentlyActive();
    if (!idle) return Unavailable("too many bytes at once; ask again");
    LOG_EVERY_N(WARNING, kConnectionsPerLine)
        << "event=refuse_body reason=budget exchange=" << idle->value
        << " reserved_bytes=" << bodies_.reserved();
    bodies_.Release(*idle);
    RefuseLater(*Find(*idle),
                Unavailable("too many bytes at once; the body came slowly"));
  }
  bodies_.Reserve(exchange.id, bytes, BootClock::now());
  return std::nullopt;
}

void Server::Impl::OnHeaders(SoupServerMessage* message) {
  Exchange* exchange = Find(message);
  if (exchange == nullptr) return;
  std::optional<Response> objection = Objection(message);
  if (!objection) objection = ReserveBody(*exchange);
  if (!objection) return;
  // libsoup would read on what has arrived before it returns.
  soup_server_message_pause(message);
  // The rest of the request is unread, so that the connection can't go on.
  RefuseLater(*exchange, *std::move(objection));
}

void Server::Impl::OnRequest(SoupServerMessage* message, const char* path,
                             GHashTable* query) {
  Exchange* exchange = Find(message);
  if (exchange == nullptr) return;
  if (exchange->state == State::kRefused) {
    soup_server_message_pause(message);
    return;
  }
  Request request;
  request.method = MethodOf(soup_server_message_get_method(message));
  request.path = SplitPath(path);
  request.query = ReadQuery(query);
  request.bearer = ReadBearer(message);
  request.raw_path = path;
  soup_message_headers_foreach(
      soup_server_message_get_request_headers(message),
      [](const char* name, const char* value, gpointer headers) {
        char* lower = g_ascii_strdown(name, -1);
        (*static_cast<std::map<std::string, std::string>*>(headers))[lower] =
            value;
        g_free(lower);
      },
      &request.headers);
  SoupMessageBody* body = soup_server_message_get_request_body(message);
  if (body->data != nullptr) request.body.assign(body->data, body->length);
  soup_message_body_truncate(body);
  bodies_.OnRead(exchange->id);
  exchange->client_closes = !KeepsConnection(message);
  if (exchange->socket != nullptr) {
    exchange->more_follows =
        internal::HasReadAhead(exchange->socket, request,
                               connections_.at(exchange->socket).used_bytes);
  }

  const ExchangeId id = exchange->id;
  exchange->state = State::kHandling;
  exchange->counted = true;
  g_clear_object(&exchange->second_handle);
  ++open_requests_;
  soup_server_message_pause(message);
  WatchForReset(*exchange);
  exchange->timeout.After(options_.answer_timeout, [this, id] {
    Answer(id, ToResponse({RefusalCode::kDeadlineExceeded, Effect::kUnknown,
                           "no answer in time", Duration(1'000)}));
  });
  handler_(Received{id, std::move(request)});
}

// The end of what the client sends is no reset: it may wait for the answer.
void Server::Impl::WatchForReset(Exchange& exchange) {
  GSocket* socket = soup_server_message_get_socket(exchange.message);
  if (socket == nullptr) return;
  struct Context {
    Impl* self;
    ExchangeId id;
  };
  exchange.reset = g_socket_create_source(
      socket, static_cast<GIOCondition>(G_IO_HUP | G_IO_ERR), nullptr);
  const auto callback = +[](GSocket*, GIOCondition, gpointer data) -> gboolean {
    const Context context = *static_cast<Context*>(data);
    context.self->Abandon(context.id);
    return G_SOURCE_REMOVE;
  };
  g_source_set_callback(
      exchange.reset, G_SOURCE_FUNC(callback), new Context{this, exchange.id},
      [](gpointer data) { delete static_cast<Context*>(data); });
  g_source_attach(exchange.reset, loop_.context());
}

void Server::Impl::Abandon(ExchangeId id) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr || exchange->state != State::kHandling) return;
  LOG(INFO) << "event=connection_reset exchange=" << id.value;
  SoupServerMessage* message = exchange->message;
  g_object_ref(message);
  CutOff(*exchange);
  Forget(id);
  soup_server_message_set_status(message, 499, nullptr);
  soup_server_message_unpause(message);
  g_object_unref(message);
  handler_(Abandoned{id});
}

void Server::Impl::SetResponse(Exchange& exchange, const Response& response) {
  SoupServerMessage* message = exchange.message;
  SoupMessageHeaders* headers =
      soup_server_message_get_response_headers(message);
  soup_server_message_set_status(message, response.status, nullptr);
  soup_server_message_set_response(message, response.content_type.c_str(),
                                   SOUP_MEMORY_COPY, response.body.data(),
                                   response.body.size());
  if (response.retry_after) {
    const std::string seconds = RetryAfterSeconds(*response.retry_after);
    soup_message_headers_replace(headers, "Retry-After", seconds.c_str());
  }
  if (!exchange.last) return;
  soup_message_headers_replace(headers, "Connection", "close");
}

void Server::Impl::Answer(ExchangeId id, const Response& response) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr || exchange->state != State::kHandling) return;
  exchange->state = State::kWriting;
  if (exchange->reset != nullptr) {
    g_source_destroy(exchange->reset);
    g_clear_pointer(&exchange->reset, g_source_unref);
  }
  GSocket* socket = exchange->socket;
  if (socket != nullptr) {
    // A further request that the client has sent already is answered too.
    exchange->last = internal::PeerHungUp(socket) ||
                     (leaving_ && g_socket_get_available_bytes(socket) <= 0 &&
                      !exchange->more_follows);
    if (exchange->last) exchange->second_handle = internal::Duplicate(socket);
  }
  SetResponse(*exchange, response);
  exchange->timeout.After(options_.write_timeout, [this, id] {
    Exchange* late = Find(id);
    if (late == nullptr) return;
    LOG(WARNING) << "event=answer_not_taken exchange=" << id.value;
    CutOff(*late);
  });
  soup_server_message_unpause(exchange->message);
}

void Server::Impl::OnReadTimeout(ExchangeId id) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr || exchange->state != State::kReading) return;
  RefuseLater(*exchange, Refuse(408, RefusalCode::kDeadlineExceeded,
                                "the request was not sent in time"));
}

void Server::Impl::CutOff(Exchange& exchange) {
  GSocket* socket = soup_server_message_get_socket(exchange.message);
  if (socket != nullptr) g_socket_shutdown(socket, TRUE, TRUE, nullptr);
}

void Server::Impl::RefuseLater(Exchange& exchange, Response last_words) {
  exchange.state = State::kRefused;
  exchange.timeout.After(
      Duration(0), [this, id = exchange.id, response = std::move(last_words)] {
        TakeAndRefuse(id, response);
      });
}

void Server::Impl::TakeAndRefuse(ExchangeId id, const Response& last_words) {
  Exchange* exchange = Find(id);
  if (exchange == nullptr) return;
  GSocket* socket = exchange->socket;
  if (socket != nullptr && !connections_.at(socket).refused) {
    Linger(socket, Canned(last_words));
  }
  // The stream closes its socket with its last reference; see Linger.
  GIOStream* stream = soup_server_message_steal_connection(exchange->message);
  g_clear_object(&stream);
  Forget(id);
}

void Server::Impl::Linger(GSocket* socket, const std::string& last_words) {
  const int64_t key = ++last_linger_;
  GSocket* kept = internal::Duplicate(socket);
  if (kept == nullptr) {
    LOG(WARNING) << "event=connection_cut reason=no_descriptor";
    return;
  }
  lingering_[key] = std::make_unique<internal::LingeringClose>(
      loop_, kept, last_words, [this, key] {
        Impl* const self = this;
        self->lingering_.erase(key);  // Destroys this function.
        self->CheckDrained();
      });
  g_object_unref(kept);
}

void Server::Impl::OnEnded(SoupServerMessage* message, bool finished) {
  auto found = ids_.find(message);
  if (found == ids_.end()) return;
  const ExchangeId id = found->second;
  const Exchange& exchange = *Find(id);
  const bool unanswered = exchange.state == State::kHandling;
  if (exchange.last && exchange.second_handle != nullptr) {
    Linger(exchange.second_handle, "");
  }
  const bool kept = finished && exchange.state == State::kWriting &&
                    !exchange.last && !exchange.client_closes;
  Forget(id, kept);
  if (unanswered) handler_(Abandoned{id});
}

void Server::Impl::OnDisconnected(SoupServerMessage* message) {
  Exchange* exchange = Find(message);
  if (exchange == nullptr) return;
  GSocket* socket = exchange->second_handle;
  if (exchange->state == State::kReading && socket != nullptr &&
      !internal::PeerHungUp(socket)) {
    Linger(socket, Canned(HeadersTooLong()));
  }
  OnEnded(message, /*finished=*/false);
}

void Server::Impl::Forget(ExchangeId id, bool kept) {
  auto found = exchanges_.find(id);
  if (found == exchanges_.end()) return;
  Exchange& exchange = *found->second;
  if (exchange.reset != nullptr) {
    g_source_destroy(exchange.reset);
    g_source_unref(exchange.reset);
  }
  g_clear_object(&exchange.second_handle);
  g_signal_handler_disconnect(exchange.message, exchange.disconnected);
  g_signal_handler_disconnect(exchange.message, exchange.got_chunk);
  bodies_.Release(id);
  if (exchange.counted) --open_requests_;
  ids_.erase(exchange.message);
  GSocket* socket = exchange.socket;
  if (kept && socket != nullptr) {
    g_set_object(&connections_.at(socket).message, exchange.message);
  }
  g_object_unref(exchange.message);
  exchanges_.erase(found);
  if (socket != nullptr) connections_.at(socket).has_exchange = false;
  if (socket != nullptr && !kept) return ForgetConnection(socket);
  if (socket != nullptr) WatchForClose(socket);
  if (kept && refuse_idle_) RefuseWhatIsKept();
  CheckDrained();
}

void Server::Impl::CheckDrained() {
  if (!drained_ || listening_) return;
  if (!exchanges_.empty() || !connections_.empty() || !lingering_.empty()) {
    return;
  }
  std::exchange(drained_, nullptr)();
}

void Server::Impl::Drain(Duration idle_time, std::function<void()> drained) {
  Leave();
  drained_ = std::move(drained);
  idle_timer_.After(idle_time, [this] { RefuseIdleConnections(); });
  StopListening(BootClock::now() + std::min(idle_time, kMaxAcceptTime));
}

void Server::Impl::StopListening(MonotonicTime latest) {
  GSList* listeners = soup_server_get_listeners(server_);
  bool waiting = false;
  for (GSList* item = listeners; item != nullptr; item = item->next) {
    waiting = waiting || g_socket_condition_check(
                             static_cast<GSocket*>(item->data), G_IO_IN) != 0;
  }
  listening_ = waiting && BootClock::now() < latest;
  if (listening_) {
    accept_timer_.After(kAcceptInterval,
                        [this, latest] { StopListening(latest); });
  } else {
    for (GSList* item = listeners; item != nullptr; item = item->next) {
      g_socket_close(static_cast<GSocket*>(item->data), nullptr);
    }
    CheckDrained();
  }
  g_slist_free(listeners);
}

void Server::Impl::RefuseIdleConnections() {
  refuse_idle_ = true;
  int64_t refused = 0;
  for (auto& [id, exchange] : exchanges_) {
    if (exchange->state != State::kReading) continue;
    RefuseLater(*exchange, ShuttingDown());
    ++refused;
  }
  for (auto& [socket, connection] : connections_) {
    if (connection.has_exchange) continue;
    RefuseIdle(socket, connection);
    ++refused;
  }
  LOG(INFO) << "event=refuse_idle_connections count=" << refused
            << " open_requests=" << open_requests_;
}

void Server::Impl::RefuseIdle(GSocket* socket, Connection& connection) {
  connection.refused = true;
  Linger(socket, Canned(ShuttingDown()));
}

// Of connections whose last answer did not say that it was one. A further
// request that libsoup has read begins before the timer runs.
void Server::Impl::RefuseWhatIsKept() {
  kept_timer_.After(kReadAheadTime, [this] {
    for (auto& [socket, connection] : connections_) {
      if (connection.has_exchange || connection.refused) continue;
      RefuseIdle(socket, connection);
    }
  });
}

Server::Server(task::Loop& loop, Options options,
               std::function<void(Event)> handler)
    : impl_(std::make_unique<Impl>(loop, std::move(options),
                                   std::move(handler))) {}
Server::~Server() = default;

std::string Server::listening_on() const { return impl_->listening_on(); }

void Server::Answer(ExchangeId id, const Response& response) {
  impl_->Answer(id, response);
}

void Server::Leave() { impl_->Leave(); }

void Server::Drain(Duration idle_time, std::function<void()> drained) {
  impl_->Drain(idle_time, std::move(drained));
}

int64_t Server::open_requests() const { return impl_->open_requests(); }

int64_t Server::connections() const { return impl_->connections(); }

}  // namespace azurepass::httpserver
