// An HTTP peer behind a narrow link: it sends each answer in small parts, and
// may stop in the middle of one.

#ifndef AZUREPASS_TESTING_SLOW_PEER_H_
#define AZUREPASS_TESTING_SLOW_PEER_H_

#include <doctest/doctest.h>
#include <gio/gio.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/task/task.h"

namespace azurepass::testing {

struct SlowPeerOptions {
  std::string body;  // Of every answer.
  size_t bytes_per_step = 1'000;
  Duration step{5};
  // Sends no more than this of the answers before number `whole_from`.
  size_t stall_after = SIZE_MAX;
  int whole_from = 0;
  // Closes the connection instead of staying silent there.
  bool drops = false;
};

// Listens from its construction on; construct it before the loop runs.
class SlowPeer {
 public:
  SlowPeer(task::Loop& loop, SlowPeerOptions options)
      : options_(std::move(options)),
        listener_(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                               G_SOCKET_PROTOCOL_TCP, nullptr)),
        timer_(loop) {
    GSocketAddress* any = g_inet_socket_address_new_from_string("127.0.0.1", 0);
    g_socket_set_blocking(listener_.get(), FALSE);
    REQUIRE(g_socket_bind(listener_.get(), any, TRUE, nullptr));
    g_object_unref(any);
    REQUIRE(g_socket_listen(listener_.get(), nullptr));
    GSocketAddress* bound =
        g_socket_get_local_address(listener_.get(), nullptr);
    address_ = "127.0.0.1:" + std::to_string(g_inet_socket_address_get_port(
                                  G_INET_SOCKET_ADDRESS(bound)));
    g_object_unref(bound);
    timer_.Every(options_.step, [this] { Step(); });
  }

  const std::string& address() const { return address_; }
  // Read them once the loop has stopped.
  int answers() const { return answers_; }
  int most_at_once() const { return most_at_once_; }

 private:
  struct Unref {
    void operator()(GSocket* socket) const { g_object_unref(socket); }
  };
  using Socket = std::unique_ptr<GSocket, Unref>;
  struct Connection {
    Socket socket;
    std::string request;
    std::string answer;  // What is still to be sent.
    size_t sent = 0;
    int number = 0;  // Of the answer; 0 before the first one.
    bool ended = false;
  };

  void Step() {
    while (GSocket* accepted =
               g_socket_accept(listener_.get(), nullptr, nullptr)) {
      g_socket_set_blocking(accepted, FALSE);
      connections_.push_back({Socket(accepted), "", "", 0, 0, false});
    }
    int sending = 0;
    for (Connection& connection : connections_) {
      Receive(connection);
      Send(connection);
      sending += connection.answer.empty() ? 0 : 1;
    }
    most_at_once_ = std::max(most_at_once_, sending);
    std::erase_if(connections_, [](const Connection& c) { return c.ended; });
  }

  void Receive(Connection& connection) {
    char buffer[4'096];
    GError* error = nullptr;
    const gssize count = g_socket_receive(connection.socket.get(), buffer,
                                          sizeof(buffer), nullptr, &error);
    const bool waits =
        error != nullptr &&
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
    g_clear_error(&error);
    if (count <= 0) {
      connection.ended = !waits;
      return;
    }
    connection.request.append(buffer, static_cast<size_t>(count));
    if (connection.request.find("\r\n\r\n") == std::string::npos) return;
    connection.request.clear();
    connection.answer = "HTTP/1.1 200 OK\r\nContent-Length: " +
                        std::to_string(options_.body.size()) + "\r\n\r\n" +
                        options_.body;
    connection.sent = 0;
    connection.number = ++answers_;
  }

  void Send(Connection& connection) {
    size_t count = std::min(options_.bytes_per_step, connection.answer.size());
    if (connection.number < options_.whole_from) {
      count =
          std::min(count, options_.stall_after -
                              std::min(options_.stall_after, connection.sent));
      connection.ended |= count == 0 && options_.drops;
    }
    if (count == 0 || connection.ended) return;
    const gssize sent =
        g_socket_send(connection.socket.get(), connection.answer.data(), count,
                      nullptr, nullptr);
    if (sent <= 0) return;
    connection.answer.erase(0, static_cast<size_t>(sent));
    connection.sent += static_cast<size_t>(sent);
  }

  const SlowPeerOptions options_;
  Socket listener_;
  std::string address_;
  int answers_ = 0;
  int most_at_once_ = 0;  // Answers under way.
  std::vector<Connection> connections_;
  task::Timer timer_;
};

}  // namespace azurepass::testing

#endif  // AZUREPASS_TESTING_SLOW_PEER_H_
