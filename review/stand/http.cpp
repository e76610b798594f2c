#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstring>

#include "cell.hpp"

namespace review {

int64_t SteadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
void SleepMs(int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

namespace {

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return tolower(c); });
  return text;
}

std::string Unescape(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

// Reads a message head and its body out of `buffer`, filling it from the
// socket. False: the connection ended, or time is over.
bool ReadMessage(int fd, std::string& buffer, std::string& head, std::string& body,
                 int64_t until) {
  char bytes[16384];
  size_t end = std::string::npos;
  size_t length = 0;
  while (true) {
    if (end == std::string::npos) {
      end = buffer.find("\r\n\r\n");
      if (end != std::string::npos) {
        head = buffer.substr(0, end);
        const std::string lower = Lower(head);
        const size_t at = lower.find("content-length:");
        length = at == std::string::npos ? 0 : std::stoul(lower.substr(at + 15));
      }
    }
    if (end != std::string::npos && buffer.size() >= end + 4 + length) {
      body = buffer.substr(end + 4, length);
      buffer.erase(0, end + 4 + length);
      return true;
    }
    const int64_t left = until - SteadyMs();
    if (left <= 0) return false;
    pollfd ready{fd, POLLIN, 0};
    if (poll(&ready, 1, static_cast<int>(std::min<int64_t>(left, 600'000))) <= 0) return false;
    const ssize_t count = recv(fd, bytes, sizeof(bytes), 0);
    if (count <= 0) return false;
    buffer.append(bytes, static_cast<size_t>(count));
  }
}

}  // namespace

Server::Server(Handler handler) : handler_(std::move(handler)) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  if (bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(listener_, 256) != 0) {
    fprintf(stderr, "no port\n");
    _exit(2);
  }
  socklen_t size = sizeof(address);
  getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  std::thread([this] { Accept(); }).detach();
}

void Server::Accept() {
  while (true) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) return;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::thread([this, fd] { Serve(fd); }).detach();
  }
}

void Server::Serve(int fd) {
  std::string buffer, head, body;
  while (ReadMessage(fd, buffer, head, body, SteadyMs() + 3'600'000)) {
    Request request;
    request.body = body;
    size_t line = head.find("\r\n");
    const std::string first = head.substr(0, line);
    const size_t a = first.find(' '), b = first.rfind(' ');
    request.method = first.substr(0, a);
    std::string target = first.substr(a + 1, b - a - 1);
    if (const size_t mark = target.find('?'); mark != std::string::npos) {
      std::string rest = target.substr(mark + 1);
      target.resize(mark);
      while (!rest.empty()) {
        const size_t amp = std::min(rest.find('&'), rest.size());
        const std::string pair = rest.substr(0, amp);
        rest.erase(0, std::min(amp + 1, rest.size()));
        const size_t equals = pair.find('=');
        if (equals == std::string::npos) continue;
        request.query[pair.substr(0, equals)] = Unescape(pair.substr(equals + 1));
      }
    }
    request.path = Unescape(target);
    while (line != std::string::npos) {
      const size_t next = head.find("\r\n", line + 2);
      const std::string field = head.substr(line + 2, next == std::string::npos ? next : next - line - 2);
      line = next;
      const size_t colon = field.find(':');
      if (colon == std::string::npos) continue;
      const size_t value = field.find_first_not_of(' ', colon + 1);
      request.headers[Lower(field.substr(0, colon))] =
          value == std::string::npos ? "" : field.substr(value);
    }
    const Response response = handler_(request);
    if (response.drop) break;
    if (!SendAll(fd, "HTTP/1.1 " + std::to_string(response.status) +
                         " X\r\nContent-Type: application/json\r\nContent-Length: " +
                         std::to_string(response.body.size()) + "\r\n\r\n" + response.body)) {
      break;
    }
  }
  close(fd);
}

Answer Call(int port, const std::string& method, const std::string& path,
            const std::map<std::string, std::string>& headers, const std::string& body,
            int timeout_ms) {
  const int64_t until = SteadyMs() + timeout_ms;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(port);
  Answer answer;
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
    std::string bytes = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) bytes += name + ": " + value + "\r\n";
    if (!body.empty()) bytes += "Content-Type: application/json\r\n";
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer, head;
    if (SendAll(fd, bytes) && ReadMessage(fd, buffer, head, answer.body, until)) {
      answer.status = std::atoi(head.substr(head.find(' ') + 1).c_str());
    }
  }
  close(fd);
  return answer;
}

}  // namespace review
