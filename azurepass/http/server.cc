// The server half: one SoupServer with one handler for all paths. A request is
// paused as soon as it is read and resumed by its Responder, so that a handler
// may answer at once, later, or never.

#include <gio/gio.h>
#include <libsoup/soup.h>

#include "azurepass/http/http.h"

namespace azurepass::http {

std::string ServerRequest::Query(const std::string& name) const {
  const auto found = query.find(name);
  return found == query.end() ? std::string() : found->second;
}

// Owned by the Responders and, until the request is finished, by libsoup.
struct Responder::State {
  SoupServerMessage* message;  // Null once answered or the peer is gone.
};

void Responder::Answer(int status, std::string_view body) const {
  SoupServerMessage* message = std::exchange(state_->message, nullptr);
  if (message == nullptr) return;
  soup_server_message_set_status(message, static_cast<guint>(status), nullptr);
  if (!body.empty()) {
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_COPY, body.data(),
                                     body.size());
  }
  soup_server_message_unpause(message);
}

void Responder::Drop() const {
  SoupServerMessage* message = state_->message;
  if (message == nullptr) return;
  GSocket* socket = soup_server_message_get_socket(message);
  if (socket != nullptr) g_socket_shutdown(socket, TRUE, TRUE, nullptr);
  Answer(kServiceUnavailable, "");
}

bool Responder::closed() const { return state_->message == nullptr; }

class Server::Impl {
 public:
  Impl(task::Loop& loop, Handler handler)
      : loop_(loop), handler_(std::move(handler)) {}
  ~Impl() { Close(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::variant<Bound, Problem> Listen(const std::string& address);
  void Close();

 private:
  static void OnRequest(SoupServer* server, SoupServerMessage* message,
                        const char* path, GHashTable* query, gpointer data);
  static void OnFinished(SoupServerMessage* message, gpointer data);
  static void OnForgotten(gpointer data, GClosure* closure);
  std::string BoundAddress() const;

  task::Loop& loop_;
  Handler handler_;
  SoupServer* server_ = nullptr;
};

std::variant<Server::Bound, Server::Problem> Server::Impl::Listen(
    const std::string& address) {
  Close();
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) return Problem{"not IP:PORT: " + address};
  GSocketAddress* socket_address = g_inet_socket_address_new_from_string(
      address.substr(0, colon).c_str(),
      static_cast<guint>(
          g_ascii_strtoull(address.c_str() + colon + 1, nullptr, 10)));
  if (socket_address == nullptr) return Problem{"not IP:PORT: " + address};
  server_ = soup_server_new(nullptr, nullptr);
  soup_server_add_handler(server_, nullptr, OnRequest, this, nullptr);
  // The listener's source goes to the thread's default context.
  const bool foreign = !g_main_context_is_owner(loop_.context());
  if (foreign) g_main_context_push_thread_default(loop_.context());
  GError* error = nullptr;
  soup_server_listen(server_, socket_address,
                     static_cast<SoupServerListenOptions>(0), &error);
  if (foreign) g_main_context_pop_thread_default(loop_.context());
  g_object_unref(socket_address);
  if (error == nullptr) return Bound{BoundAddress()};
  Problem problem{address + ": " + error->message};
  g_error_free(error);
  Close();
  return problem;
}

std::string Server::Impl::BoundAddress() const {
  GSList* uris = soup_server_get_uris(server_);
  auto* uri = static_cast<GUri*>(uris->data);
  std::string out = std::string(g_uri_get_host(uri)) + ":" +
                    std::to_string(g_uri_get_port(uri));
  g_slist_free_full(uris,
                    [](gpointer u) { g_uri_unref(static_cast<GUri*>(u)); });
  return out;
}

void Server::Impl::Close() {
  if (server_ == nullptr) return;
  soup_server_disconnect(server_);
  g_clear_object(&server_);
}

void Server::Impl::OnFinished(SoupServerMessage* /*message*/, gpointer data) {
  (*static_cast<std::shared_ptr<Responder::State>*>(data))->message = nullptr;
}

// The message is being freed, with or without having finished.
void Server::Impl::OnForgotten(gpointer data, GClosure* /*closure*/) {
  OnFinished(nullptr, data);
  delete static_cast<std::shared_ptr<Responder::State>*>(data);
}

void Server::Impl::OnRequest(SoupServer* /*server*/, SoupServerMessage* message,
                             const char* path, GHashTable* query,
                             gpointer data) {
  ServerRequest request;
  request.method = soup_server_message_get_method(message);
  request.path = path;
  if (query != nullptr) {
    GHashTableIter iterator;
    gpointer name = nullptr;
    gpointer value = nullptr;
    g_hash_table_iter_init(&iterator, query);
    while (g_hash_table_iter_next(&iterator, &name, &value)) {
      request.query[static_cast<char*>(name)] = static_cast<char*>(value);
    }
  }
  SoupMessageBody* body = soup_server_message_get_request_body(message);
  if (body->data != nullptr) {
    request.body.assign(body->data, static_cast<size_t>(body->length));
  }
  auto state = std::make_shared<Responder::State>(Responder::State{message});
  soup_server_message_pause(message);
  g_signal_connect_data(message, "finished", G_CALLBACK(OnFinished),
                        new std::shared_ptr<Responder::State>(state),
                        OnForgotten, static_cast<GConnectFlags>(0));
  static_cast<Impl*>(data)->handler_(request, Responder(std::move(state)));
}

Server::Server(task::Loop& loop, Handler handler)
    : impl_(std::make_unique<Impl>(loop, std::move(handler))) {}

Server::~Server() = default;

std::variant<Server::Bound, Server::Problem> Server::Listen(
    const std::string& address) {
  return impl_->Listen(address);
}

void Server::Close() { impl_->Close(); }

}  // namespace azurepass::http
