// Stand-ins for the scripts of this review: the platform's store, workers,
// clients, and the nodes as processes. They follow the users' pages
// (PROTOCOL.md, DEPLOY.md). All addresses are loopback addresses.
//
// Blocking sockets, one thread a connection. Not for use outside review/.

#ifndef REVIEW_STAND_2_STAND_HPP_
#define REVIEW_STAND_2_STAND_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stand {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline Clock::time_point& Start() {
  static Clock::time_point start = Clock::now();
  return start;
}
inline int64_t NowMs() {
  return std::chrono::duration_cast<Ms>(Clock::now() - Start()).count();
}
inline int64_t UnixMs() {
  return std::chrono::duration_cast<Ms>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void SleepMs(int64_t ms) { std::this_thread::sleep_for(Ms(ms)); }

// --- The record: what was sent, answered and run.

class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Line(const std::string& text) {
    std::lock_guard<std::mutex> lock(mutex_);
    char time[32];
    snprintf(time, sizeof time, "%8.3f ", static_cast<double>(NowMs()) / 1000);
    file_ << time << text << "\n";
    file_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// --- HTTP

struct Request {
  std::string method, target, path, body;
  std::map<std::string, std::string> query, headers;  // Names in lower case.
};
struct Response {
  int status = 200;
  std::string body = "{}";
};
// Empty: the connection is closed without an answer.
using Handler = std::function<std::optional<Response>(const Request&)>;

inline bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

inline std::string Unescape(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i] == '+' ? ' ' : text[i];
    }
  }
  return out;
}

// Reads one message into `head` and `body`; `buffer` keeps what follows.
inline bool ReadMessage(int fd, std::string& buffer, std::string& head,
                        std::string& body) {
  char chunk[65536];
  size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    const ssize_t n = recv(fd, chunk, sizeof chunk, 0);
    if (n <= 0) return false;
    buffer.append(chunk, static_cast<size_t>(n));
  }
  head = buffer.substr(0, end + 2);
  buffer.erase(0, end + 4);
  std::string lower = head;
  for (char& c : lower) c = static_cast<char>(tolower(c));
  size_t length = 0;
  const size_t at = lower.find("\r\ncontent-length:");
  if (at != std::string::npos) {
    length = static_cast<size_t>(atoll(lower.c_str() + at + 17));
  }
  while (buffer.size() < length) {
    const ssize_t n = recv(fd, chunk, sizeof chunk, 0);
    if (n <= 0) return false;
    buffer.append(chunk, static_cast<size_t>(n));
  }
  body = buffer.substr(0, length);
  buffer.erase(0, length);
  return true;
}

class Server {
 public:
  explicit Server(Handler handler) : handler_(std::move(handler)) {}
  ~Server() { Close(); }

  // Port 0: any free one. The port stays the same over Close and Listen.
  bool Listen() {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port_));
    if (bind(listener_, reinterpret_cast<sockaddr*>(&address),
             sizeof address) != 0 ||
        listen(listener_, 256) != 0) {
      return false;
    }
    socklen_t size = sizeof address;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    open_ = true;
    accepting_ = std::thread([this] { Accept(); });
    return true;
  }
  // While it is cut off, nothing that comes is read and nothing is sent. What
  // was held up is lost for clients that have given up by then.
  void SetCut(bool cut) { cut_ = cut; }
  // Ends the listener and all connections, as the end of a process does.
  void Close() {
    if (!open_.exchange(false)) return;
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
    if (accepting_.joinable()) accepting_.join();
    std::lock_guard<std::mutex> lock(mutex_);
    for (const int fd : connections_) shutdown(fd, SHUT_RDWR);
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void Accept() {
    while (open_) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (!open_) return;
        continue;
      }
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      {
        std::lock_guard<std::mutex> lock(mutex_);
        connections_.insert(fd);
      }
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }
  void Serve(int fd) {
    std::string buffer, head, body;
    while (ReadMessage(fd, buffer, head, body)) {
      if (!PassesCut(fd)) break;
      const std::optional<Response> response = handler_(Parse(head, body));
      if (!response || !PassesCut(fd)) break;
      if (!SendAll(fd, "HTTP/1.1 " + std::to_string(response->status) +
                           " X\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(response->body.size()) + "\r\n\r\n" +
                           response->body)) {
        break;
      }
    }
    {
      std::lock_guard<std::mutex> lock(mutex_);
      connections_.erase(fd);
    }
    close(fd);
  }
  // False if the client has closed the connection meanwhile.
  bool PassesCut(int fd) const {
    if (!cut_) return true;
    while (cut_) SleepMs(5);
    char byte = 0;
    return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
  }
  static Request Parse(const std::string& head, const std::string& body) {
    Request request;
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    std::istringstream first(line);
    first >> request.method >> request.target;
    const size_t mark = request.target.find('?');
    request.path = Unescape(request.target.substr(0, mark));
    if (mark != std::string::npos) {
      std::istringstream query(request.target.substr(mark + 1));
      for (std::string pair; std::getline(query, pair, '&');) {
        const size_t equals = pair.find('=');
        if (equals == std::string::npos) continue;
        request.query[pair.substr(0, equals)] =
            Unescape(pair.substr(equals + 1));
      }
    }
    while (std::getline(lines, line)) {
      const size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      for (char& c : name) c = static_cast<char>(tolower(c));
      std::string value = line.substr(colon + 1);
      while (!value.empty() && value.front() == ' ') value.erase(0, 1);
      while (!value.empty() && value.back() == '\r') value.pop_back();
      request.headers[name] = value;
    }
    request.body = body;
    return request;
  }

  const Handler handler_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> open_{false};
  std::atomic<bool> cut_{false};
  std::thread accepting_;
  std::mutex mutex_;
  std::set<int> connections_;
};

// Status 0: no whole answer within the time.
struct Answer {
  int status = 0;
  std::string body;
};
inline Answer Call(const std::string& address, const std::string& method,
                   const std::string& path,
                   const std::map<std::string, std::string>& headers,
                   const std::string& body, int64_t timeout_ms) {
  const size_t colon = address.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<uint16_t>(atoi(address.c_str() + colon + 1)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval tv{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof tv);
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof tv);
  Answer answer;
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0) {
    std::string bytes = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
      bytes += name + ": " + value + "\r\n";
    }
    if (!body.empty()) {
      bytes += "Content-Type: application/json\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n";
    }
    bytes += "Connection: close\r\n\r\n" + body;
    std::string buffer, head;
    if (SendAll(fd, bytes) && ReadMessage(fd, buffer, head, answer.body)) {
      answer.status = atoi(head.c_str() + head.find(' ') + 1);
    }
  }
  close(fd);
  return answer;
}

// --- Base64, with padding

inline std::string ToBase64(const std::string& in) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  size_t i = 0;
  for (; i + 2 < in.size(); i += 3) {
    const uint32_t v = static_cast<uint8_t>(in[i]) << 16 |
                       static_cast<uint8_t>(in[i + 1]) << 8 |
                       static_cast<uint8_t>(in[i + 2]);
    for (int shift = 18; shift >= 0; shift -= 6) out += digits[v >> shift & 63];
  }
  if (i + 1 == in.size()) {
    const uint32_t v = static_cast<uint8_t>(in[i]) << 16;
    out += digits[v >> 18 & 63];
    out += digits[v >> 12 & 63];
    out += "==";
  } else if (i + 2 == in.size()) {
    const uint32_t v = static_cast<uint8_t>(in[i]) << 16 |
                       static_cast<uint8_t>(in[i + 1]) << 8;
    out += digits[v >> 18 & 63];
    out += digits[v >> 12 & 63];
    out += digits[v >> 6 & 63];
    out += "=";
  }
  return out;
}
inline std::string FromBase64(const std::string& in) {
  std::string out;
  uint32_t v = 0;
  int bits = 0;
  for (const char c : in) {
    int d = 0;
    if (c >= 'A' && c <= 'Z') {
      d = c - 'A';
    } else if (c >= 'a' && c <= 'z') {
      d = c - 'a' + 26;
    } else if (c >= '0' && c <= '9') {
      d = c - '0' + 52;
    } else if (c == '+') {
      d = 62;
    } else if (c == '/') {
      d = 63;
    } else {
      continue;
    }
    v = v << 6 | static_cast<uint32_t>(d);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(v >> bits & 255);
    }
  }
  return out;
}

// --- The platform's store

class Store {
 public:
  // What becomes of a write: carried out and answered, or no answer, and
  // carried out after `late_ms` if its condition still holds then.
  struct Fate {
    bool answered = true;
    int64_t late_ms = 0;
  };
  using Judge = std::function<Fate(const Json& transaction)>;

  explicit Store(Record& record)
      : record_(record),
        server_([this](const Request& r) { return Handle(r); }) {}

  bool Listen() {
    const bool open = server_.Listen();
    std::thread([this] {
      while (true) {
        SleepMs(10);
        std::lock_guard<std::mutex> lock(mutex_);
        Expire();
      }
    }).detach();
    return open;
  }
  std::string address() const { return server_.address(); }
  void SetJudge(Judge judge) {
    std::lock_guard<std::mutex> lock(mutex_);
    judge_ = std::move(judge);
  }
  // Each call takes so much longer.
  void SetDelay(int64_t ms) { delay_ms_ = ms; }
  // Calls get no answer and are not carried out; leases pause.
  void SetDown(bool down) {
    std::lock_guard<std::mutex> lock(mutex_);
    const int64_t now = NowMs();
    if (down_ && !down) {
      for (auto& [id, lease] : leases_) lease.until += now - down_since_;
    }
    down_ = down;
    down_since_ = now;
  }

  // By operators and workers.
  void Write(const std::string& key, const std::string& value) {
    std::lock_guard<std::mutex> lock(mutex_);
    Set(key, value, 0);
    changed_.notify_all();
  }
  void Remove(const std::string& key) {
    std::lock_guard<std::mutex> lock(mutex_);
    Erase(key);
    changed_.notify_all();
  }
  std::map<std::string, std::string> Read(const std::string& prefix) {
    std::lock_guard<std::mutex> lock(mutex_);
    std::map<std::string, std::string> found;
    for (const auto& [key, item] : items_) {
      if (key.rfind(prefix, 0) == 0) found[key] = item.value;
    }
    return found;
  }

 private:
  struct Item {
    std::string value;
    int64_t revision = 0, created = 0, lease = 0;
  };
  struct Lease {
    int64_t ttl = 0, until = 0;
    std::set<std::string> keys;
  };
  struct Change {
    int64_t revision = 0;
    std::string key;
    std::optional<Item> item;
  };

  void Set(const std::string& key, const std::string& value, int64_t lease) {
    ++revision_;
    Item& item = items_[key];
    if (item.lease != 0 && item.lease != lease) {
      leases_[item.lease].keys.erase(key);
    }
    item.value = value;
    item.revision = revision_;
    if (item.created == 0) item.created = revision_;
    item.lease = lease;
    if (lease != 0) leases_[lease].keys.insert(key);
    Note({revision_, key, item});
  }
  void Erase(const std::string& key) {
    const auto found = items_.find(key);
    if (found == items_.end()) return;
    if (found->second.lease != 0) leases_[found->second.lease].keys.erase(key);
    items_.erase(found);
    Note({++revision_, key, std::nullopt});
  }
  void Note(Change change) {
    history_.push_back(std::move(change));
    if (history_.size() > 20'000) history_.pop_front();
  }
  void Expire() {
    if (down_) return;
    const int64_t now = NowMs();
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (it->second.until > now) {
        ++it;
        continue;
      }
      EndLease(it++);
    }
  }
  void EndLease(std::map<int64_t, Lease>::iterator lease) {
    const std::set<std::string> keys = lease->second.keys;
    for (const std::string& key : keys) Erase(key);
    leases_.erase(lease);
    changed_.notify_all();
  }

  static Json Row(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", ToBase64(item.value)},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
  }

  std::optional<Response> Handle(const Request& r) {
    if (delay_ms_ > 0 && r.path != "/-/kv-watch") SleepMs(delay_ms_);
    std::unique_lock<std::mutex> lock(mutex_);
    if (down_) {
      changed_.wait_for(lock, Ms(30'000), [this] { return !down_; });
      return std::nullopt;
    }
    Expire();
    if (r.path == "/-/kv-key") return Get(r);
    if (r.path == "/-/kv-range") return Range(r);
    if (r.path == "/-/kv-watch") return Watch(r, lock);
    if (r.path == "/-/kv-txn") return Transact(r, lock);
    if (r.path == "/-/kv-lease") {
      const Json body = Json::parse(r.body, nullptr, false);
      const int64_t ttl = std::max<int64_t>(1000, body.value("ttlMs", 1000));
      const int64_t id = ++last_lease_;
      leases_[id] = {ttl, NowMs() + ttl, {}};
      return Response{200, Json{{"lease", id}, {"ttlMs", ttl}}.dump()};
    }
    if (r.path.rfind("/-/kv-keep/", 0) == 0) {
      const auto found = leases_.find(atoll(r.path.c_str() + 11));
      if (found == leases_.end()) return Response{404, "{}"};
      found->second.until = NowMs() + found->second.ttl;
      return Response{200, Json{{"ttlMs", found->second.ttl}}.dump()};
    }
    if (r.path.rfind("/-/kv-lease-end/", 0) == 0) {
      const auto found = leases_.find(atoll(r.path.c_str() + 16));
      if (found != leases_.end()) EndLease(found);
      return Response{200, "{}"};
    }
    return Response{404, "{}"};
  }

  Response Get(const Request& r) {
    const auto found = items_.find(r.query.at("key"));
    if (found == items_.end()) {
      return {404, Json{{"currentRev", revision_}}.dump()};
    }
    Json row = Row(found->first, found->second);
    row["currentRev"] = revision_;
    return {200, row.dump()};
  }
  Response Range(const Request& r) {
    const std::string prefix = r.query.at("prefix");
    const auto after = r.query.find("after");
    auto it = after == r.query.end() ? items_.lower_bound(prefix)
                                     : items_.upper_bound(after->second);
    Json rows = Json::array();
    size_t bytes = 0;
    bool truncated = false;
    for (; it != items_.end() && it->first.rfind(prefix, 0) == 0; ++it) {
      if (rows.size() >= 500 || bytes > 1'000'000) {
        truncated = true;
        break;
      }
      rows.push_back(Row(it->first, it->second));
      bytes += it->second.value.size();
    }
    return {200, Json{{"items", rows},
                      {"truncated", truncated},
                      {"currentRev", revision_}}
                     .dump()};
  }
  std::optional<Response> Watch(const Request& r,
                                std::unique_lock<std::mutex>& lock) {
    const std::string prefix = r.query.at("prefix");
    const int64_t after = atoll(r.query.at("after").c_str());
    const int64_t until =
        NowMs() +
        std::min<int64_t>(30'000, atoll(r.query.at("waitMs").c_str()));
    while (true) {
      if (down_) return std::nullopt;
      if (!history_.empty() && history_.front().revision > after + 1) {
        return Response{410, "{}"};
      }
      Json events = Json::array();
      auto it = std::lower_bound(
          history_.begin(), history_.end(), after + 1,
          [](const Change& c, int64_t rev) { return c.revision < rev; });
      for (; it != history_.end(); ++it) {
        if (it->key.rfind(prefix, 0) != 0) continue;
        if (it->item) {
          events.push_back(Row(it->key, *it->item));
        } else {
          events.push_back({{"key", it->key},
                            {"revision", it->revision},
                            {"tombstone", true}});
        }
      }
      const int64_t left = until - NowMs();
      if (!events.empty() || left <= 0) {
        return Response{
            200, Json{{"events", events}, {"currentRev", revision_}}.dump()};
      }
      changed_.wait_for(lock, Ms(left));
    }
  }
  std::optional<Response> Transact(const Request& r,
                                   std::unique_lock<std::mutex>& lock) {
    const Json body = Json::parse(r.body, nullptr, false);
    for (const Json& set : body.value("setKeys", Json::array())) {
      const std::string key = set.value("key", "");
      if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0) {
        return Response{403, "{}"};
      }
      if (set.value("value", "").size() / 4 * 3 > 1'048'576) {
        return Response{400, "{}"};
      }
    }
    if (judge_) {
      const Fate fate = judge_(body);
      if (!fate.answered) {
        lock.unlock();
        std::thread([this, body, fate] {
          SleepMs(fate.late_ms);
          std::lock_guard<std::mutex> again(mutex_);
          const Response late = Apply(body);
          record_.Line("store: carried out late, status " +
                       std::to_string(late.status) + ": " + KeysOf(body));
        }).detach();
        return std::nullopt;
      }
    }
    return Apply(body);
  }
  static std::string KeysOf(const Json& body) {
    std::string keys;
    for (const Json& set : body.value("setKeys", Json::array())) {
      keys += set.value("key", "") + " ";
    }
    return keys;
  }
  Response Apply(const Json& body) {
    Expire();
    Json current = Json::array();
    bool holds = true;
    for (const Json& row : body.value("precondition", Json::array())) {
      const std::string key = row.value("key", "");
      const auto found = items_.find(key);
      const int64_t there = found == items_.end() ? 0 : found->second.revision;
      if (there != row.value("revision", int64_t{-1})) holds = false;
      if (found != items_.end()) current.push_back(Row(key, found->second));
    }
    if (!holds) return {412, Json{{"items", current}}.dump()};
    for (const Json& set : body.value("setKeys", Json::array())) {
      const int64_t lease = set.value("lease", int64_t{0});
      if (lease != 0 && !leases_.count(lease)) return {404, "{}"};
    }
    for (const Json& set : body.value("setKeys", Json::array())) {
      Set(set.value("key", ""), FromBase64(set.value("value", "")),
          set.value("lease", int64_t{0}));
    }
    for (const Json& key : body.value("remove", Json::array())) {
      Erase(key.get<std::string>());
    }
    changed_.notify_all();
    return {200, Json{{"revision", revision_}}.dump()};
  }

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::deque<Change> history_;
  std::map<int64_t, Lease> leases_;
  int64_t revision_ = 1;
  int64_t last_lease_ = 0;
  Judge judge_;
  std::atomic<int64_t> delay_ms_{0};
  bool down_ = false;
  int64_t down_since_ = 0;
  Server server_;
};

// --- A worker. The time that a run takes is in its spec: "ms=N".

struct RunSeen {
  int64_t at = 0;  // NowMs.
  std::string worker, task;
  int64_t run = 0;
  std::string what;  // "start", or how it ended.
  std::string kind;  // Of the worker then.
};

class Runs {
 public:
  explicit Runs(Record& record) : record_(record) {}
  void Add(RunSeen seen) {
    record_.Line("worker " + seen.worker + " (kind " + seen.kind +
                 "): " + seen.what + " " + seen.task + " run " +
                 std::to_string(seen.run));
    std::lock_guard<std::mutex> lock(mutex_);
    seen_.push_back(std::move(seen));
  }
  std::vector<RunSeen> All() {
    std::lock_guard<std::mutex> lock(mutex_);
    return seen_;
  }

 private:
  Record& record_;
  std::mutex mutex_;
  std::vector<RunSeen> seen_;
};

struct WorkerOptions {
  std::string id, service, zone, rack, kind = "a";
  int64_t cpu = 32'000, mem_mb = 65'536, gpus = 0;
  int64_t heartbeat_ms = 1'500, max_hold_ms = 6'000;
};

class Worker {
 public:
  Worker(WorkerOptions options, Store& store, Runs& runs)
      : options_(std::move(options)),
        store_(store),
        runs_(runs),
        server_([this](const Request& r) { return Handle(r); }) {}

  bool Begin() {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      born_ = UnixMs();
      began_ = NowMs();
      token_ = 0;
      lease_ = 0;
      lapsed_ = false;
      running_.clear();
      barred_.clear();
      ends_.clear();
      last_number_ = 0;
      seq_ = 0;
      up_ = true;
    }
    const bool open = server_.Listen();
    if (!ticking_.exchange(true)) {
      std::thread([this] { Tick(); }).detach();
    }
    return open;
  }
  // The process is gone; it says nothing.
  void Crash() {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      for (const auto& [task, run] : running_) {
        runs_.Add(
            {NowMs(), options_.id, task, run.run, "crashed", options_.kind});
      }
      running_.clear();
      up_ = false;
      changed_.notify_all();
    }
    server_.Close();
  }
  // Cut off from all nodes; it runs on.
  void SetCut(bool cut) { server_.SetCut(cut); }
  void SetKind(const std::string& kind) {
    std::lock_guard<std::mutex> lock(mutex_);
    options_.kind = kind;
  }
  void Heartbeat() {
    std::string value;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (!up_) return;
      value = Json{{"service", options_.service},
                   {"address", server_.address()},
                   {"zone", options_.zone},
                   {"version", "v1"},
                   {"slots", 8},
                   {"state", "ready"},
                   {"coldLeftMs", 0},
                   {"capacity",
                    {{"cpu", options_.cpu},
                     {"memMb", options_.mem_mb},
                     {"gpus", options_.gpus}}},
                   {"labels", {options_.kind, options_.rack}},
                   {"clockMs", Now()},
                   {"born", born_},
                   {"seq", ++seq_}}
                  .dump();
      next_beat_ = NowMs() + options_.heartbeat_ms;
    }
    store_.Write("servers/" + options_.id, value);
  }
  const std::string& id() const { return options_.id; }
  size_t RunsNow() {
    std::lock_guard<std::mutex> lock(mutex_);
    return running_.size();
  }

 private:
  struct Run {
    int64_t run = 0;
    int64_t until = 0;  // On NowMs; 0: until it is stopped.
  };
  struct End {
    int64_t number = 0;
    std::string task;
    int64_t run = 0;
    std::string how;
  };

  int64_t Now() const { return NowMs() - began_ + 1'000; }

  void Tick() {
    while (true) {
      SleepMs(5);
      bool beat = false;
      {
        std::lock_guard<std::mutex> lock(mutex_);
        if (up_) Advance();
        beat = up_ && NowMs() >= next_beat_;
      }
      if (beat) Heartbeat();
    }
  }
  void Advance() {
    const int64_t now = NowMs();
    if (lease_ > 0 && Now() >= lease_ && !std::exchange(lapsed_, true)) {
      runs_.Add({now, options_.id, "", 0, "lease lapsed", options_.kind});
    }
    std::vector<std::pair<std::string, std::string>> over;
    for (const auto& [task, run] : running_) {
      if (run.until != 0 && run.until <= now) {
        over.emplace_back(task, "done");
      } else if (Now() >= lease_) {
        over.emplace_back(task, "lapsed");
      }
    }
    for (const auto& [task, how] : over) Finish(task, how);
  }
  void Finish(const std::string& task, const std::string& how) {
    const Run run = running_.at(task);
    running_.erase(task);
    barred_[task] = std::max(barred_[task], run.run);
    ends_.push_back({++last_number_, task, run.run, how});
    runs_.Add({NowMs(), options_.id, task, run.run, how, options_.kind});
    changed_.notify_all();
  }
  Response Reply(int status, Json body) {
    body["clockMs"] = Now();
    return {status, body.dump()};
  }
  void Extend(const Json& body) {
    if (!body.contains("deadlineMs")) return;
    lease_ = std::max(lease_, std::min(body["deadlineMs"].get<int64_t>(),
                                       Now() + options_.max_hold_ms));
    lapsed_ = lapsed_ && Now() >= lease_;
  }

  std::optional<Response> Handle(const Request& r) {
    std::unique_lock<std::mutex> lock(mutex_);
    if (!up_) return std::nullopt;
    const auto instance = r.headers.find("expect-instance");
    if (instance != r.headers.end() && instance->second != options_.id) {
      return Reply(421, Json::object());
    }
    const Json body = Json::parse(r.body, nullptr, false);
    if (!body.is_object()) return Reply(400, Json::object());
    Advance();
    const int64_t token = body.value("fencingToken", int64_t{0});
    if (token < token_) return Reply(409, {{"reason", "fence"}});
    token_ = token;
    const std::string task = body.value("task", "");
    const int64_t number = body.value("run", int64_t{0});
    if (r.path == "/-/run-start") {
      const auto found = running_.find(task);
      if (found != running_.end() && found->second.run == number) {
        Extend(body);
        return Reply(200, Json::object());
      }
      if (number <= barred_[task] || found != running_.end()) {
        Extend(body);
        return Reply(409, {{"reason", "old"}});
      }
      if (body.value("deadlineMs", int64_t{0}) <= Now()) {
        return Reply(409, {{"reason", "late"}});
      }
      Extend(body);
      const std::string spec = body.value("spec", "");
      const size_t at = spec.find("ms=");
      const int64_t lasts =
          at == std::string::npos ? 100 : atoll(spec.c_str() + at + 3);
      running_[task] = {number, lasts == 0 ? 0 : NowMs() + lasts};
      runs_.Add({NowMs(), options_.id, task, number, "start", options_.kind});
      return Reply(200, Json::object());
    }
    if (r.path == "/-/run-stop") {
      const auto found = running_.find(task);
      if (found != running_.end() && found->second.run <= number) {
        Finish(task, "stopped");
      }
      barred_[task] = std::max(barred_[task], number);
      return Reply(200, Json::object());
    }
    if (r.path == "/-/pace") return Reply(200, Json::object());
    if (r.path == "/-/hold") return Hold(body, lock);
    return Reply(404, Json::object());
  }
  std::optional<Response> Hold(const Json& body,
                               std::unique_lock<std::mutex>& lock) {
    Extend(body);
    const int64_t seen = body.value("lastSeen", int64_t{0});
    while (!ends_.empty() && ends_.front().number <= seen) {
      const End& end = ends_.front();
      runs_.Add({NowMs(), options_.id, end.task, end.run, "taken note of",
                 options_.kind});
      ends_.pop_front();
    }
    const int64_t born = born_;
    const int64_t until =
        NowMs() + std::min<int64_t>(2'000, body.value("waitMs", int64_t{0}));
    while (up_ && born == born_ && ends_.empty() && NowMs() < until) {
      changed_.wait_for(lock, Ms(until - NowMs()));
    }
    if (!up_ || born != born_) return std::nullopt;
    Json running = Json::array();
    for (const auto& [task, run] : running_) {
      running.push_back({task, run.run, "", 100, 0});
    }
    Json ended = Json::array();
    for (const End& end : ends_) {
      if (ended.size() == 500) break;
      ended.push_back({end.number, end.task, end.run, end.how, ""});
    }
    return Reply(200,
                 {{"born", born_}, {"running", running}, {"ended", ended}});
  }

  WorkerOptions options_;
  Store& store_;
  Runs& runs_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool up_ = false;
  bool lapsed_ = false;
  std::atomic<bool> ticking_{false};
  int64_t born_ = 0, began_ = 0, token_ = 0, lease_ = 0, last_number_ = 0;
  int64_t seq_ = 0, next_beat_ = 0;
  std::map<std::string, Run> running_;
  std::map<std::string, int64_t> barred_;
  std::deque<End> ends_;
  Server server_;
};

// --- A node as a process, with the settings of the deploy file's template

struct NodeOptions {
  int index = 0;
  std::string zone;
  std::vector<std::string> zones;
  std::string store, permits, folder, binary, settings_template;
  int memory_mb = 260;
};

class Node {
 public:
  explicit Node(NodeOptions options) : options_(std::move(options)) {
    WriteSettings();
  }
  ~Node() { Kill(); }

  std::string ip() const {
    const int id = getpid();
    return "127." + std::to_string(64 + id / 256 % 128) + "." +
           std::to_string(id % 256) + "." + std::to_string(options_.index + 1);
  }
  std::string front() const { return ip() + ":8080"; }
  std::string ready() const { return ip() + ":8081"; }
  std::string name() const { return "front-" + std::to_string(options_.index); }

  void Start() {
    const std::string settings = "--settings=" + SettingsPath();
    const std::string log = options_.folder + "/" + name() + "." +
                            std::to_string(++starts_) + ".log";
    pid_ = fork();
    if (pid_ != 0) return;
    const int fd = open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
    dup2(fd, 1);
    dup2(fd, 2);
    execl(options_.binary.c_str(), options_.binary.c_str(), settings.c_str(),
          nullptr);
    _exit(127);
  }
  void Signal(int signal) const {
    if (pid_ > 0) kill(pid_, signal);
  }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  // True once the process has ended by itself.
  bool HasEnded() {
    if (pid_ <= 0) return true;
    if (waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
    pid_ = 0;
    return true;
  }
  // Resident memory in MB.
  int64_t MemoryMb() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);) {
      if (line.rfind("VmRSS:", 0) == 0) return atoll(line.c_str() + 6) / 1024;
    }
    return 0;
  }
  bool IsReady() const {
    return Call(ready(), "GET", "/-/readiness", {{"Host", ready()}}, "", 500)
               .status == 200;
  }
  int memory_mb() const { return options_.memory_mb; }

 private:
  std::string SettingsPath() const {
    return options_.folder + "/" + name() + ".json";
  }
  void WriteSettings() const {
    std::ifstream file(options_.settings_template);
    std::string text((std::istreambuf_iterator<char>(file)),
                     std::istreambuf_iterator<char>());
    std::string zones;
    for (const std::string& zone : options_.zones) {
      zones += (zones.empty() ? "\"" : ", \"") + zone + "\"";
    }
    const std::vector<std::pair<std::string, std::string>> values = {
        {R"({{#zones}}"{{@}}"{{,}}{{/zones}})", zones},
        {"{{nodeName}}", name()},
        {"{{zone}}", options_.zone},
        {"{{limits.cpuShare}}", "0.25"},
        {"{{limits.memoryMb}}", std::to_string(options_.memory_mb)},
        {"{{limits.maxFds}}", "4100"},
        {"{{ip}}", ip()},
        {"{{portRange.0}}", "7000"},
        {"{{listenAddrs.front}}", front()},
        {"{{listenAddrs.ready}}", ready()},
        {"{{platform.address}}", options_.store},
        {"{{hint}}", options_.permits},
        {"{{bounds.graceS}}", "6"},
        {"{{bounds.maxHoldMs}}", "6000"},
        {"{{bounds.status_s}}", "120"}};
    for (const auto& [from, to] : values) {
      for (size_t at = text.find(from); at != std::string::npos;
           at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
      }
    }
    std::ofstream(SettingsPath()) << text;
  }

  const NodeOptions options_;
  pid_t pid_ = 0;
  int starts_ = 0;
};

// --- A whole small deployment

struct Route {
  std::string name, prefix, service;
  int priority = 1;
};
struct Tenant {
  std::string name, key;
  int64_t cap_cpu = 0;
};
struct Plan {
  int nodes = 3;
  std::vector<Route> routes;
  std::vector<Tenant> tenants;
  std::vector<WorkerOptions> workers;
};

inline const char* kHost = "cell.example";

class Cell {
 public:
  // argv: the repository's root, the case's folder, a folder for other files.
  Cell(char** argv, Plan plan)
      : root_(argv[1]),
        record_(std::string(argv[2]) + "/record.txt"),
        runs_(record_),
        store_(record_),
        permits_([](const Request& r) { return Advise(r); }),
        plan_(std::move(plan)),
        folder_(argv[3]) {
    signal(SIGPIPE, SIG_IGN);
  }

  // False if the cell does not come up.
  bool Begin() {
    Start();
    if (!store_.Listen() || !permits_.Listen()) return false;
    Configure(1);
    for (const WorkerOptions& options : plan_.workers) {
      workers_.push_back(std::make_unique<Worker>(options, store_, runs_));
      if (!workers_.back()->Begin()) return false;
      workers_.back()->Heartbeat();
    }
    const std::vector<std::string> zones = {"zone-0", "zone-1", "zone-2"};
    for (int i = 0; i < plan_.nodes; ++i) {
      NodeOptions options;
      options.index = i;
      options.zone = zones[static_cast<size_t>(i) % zones.size()];
      options.zones = zones;
      options.store = store_.address();
      options.permits = permits_.address();
      options.folder = folder_;
      options.binary = root_ + "/target/bin/azurepass-node";
      options.settings_template = root_ + "/deploy/node.json";
      nodes_.push_back(std::make_unique<Node>(options));
      nodes_.back()->Start();
    }
    const int64_t until = NowMs() + 20'000;
    while (NowMs() < until) {
      bool ready = true;
      for (const auto& node : nodes_) ready = ready && node->IsReady();
      if (ready) break;
      SleepMs(100);
    }
    // One job of each route runs.
    int number = 0;
    for (const Route& route : plan_.routes) {
      const std::string id = Id(0xf000 + number++);
      bool done = false;
      bool accepted = false;
      while (!done && NowMs() < until) {
        if (!accepted) {
          accepted = Submit(0, route, plan_.tenants[0], id,
                            {{"spec", "ms=10"},
                             {"steps", {{{"count", 1}, {"cpu", 100}}}}})
                         .status == 200;
        }
        done =
            accepted && StateOf(0, route, plan_.tenants[0], id) == "completed";
        if (!done) SleepMs(100);
      }
      if (!done) return false;
    }
    return true;
  }

  void Configure(int64_t version) {
    Json routes = Json::array();
    std::set<std::string> services;
    for (const Route& route : plan_.routes) {
      services.insert(route.service);
      routes.push_back({{"name", route.name},
                        {"host", kHost},
                        {"prefix", route.prefix},
                        {"kind", "unsafe"},
                        {"timeoutMs", 3000},
                        {"sloMs", 3000},
                        {"priority", route.priority},
                        {"service", route.service},
                        {"maxAttempts", 4},
                        {"stretch", 2.0},
                        {"public", false}});
    }
    Json list = Json::array();
    for (const std::string& service : services) {
      list.push_back(
          {{"name", service}, {"preconditions", false}, {"standby", false}});
    }
    Json tenants = Json::array();
    for (const Tenant& tenant : plan_.tenants) {
      tenants.push_back(
          {{"name", tenant.name},
           {"apiKeys", {tenant.key}},
           {"weight", 10},
           {"cap", {{"cpu", tenant.cap_cpu}, {"memMb", 0}, {"gpus", 0}}}});
    }
    store_.Write("op/config", Json{{"version", version},
                                   {"routes", routes},
                                   {"services", list},
                                   {"limits", {{"maxBodyBytes", 262144}}},
                                   {"tenants", tenants}}
                                  .dump());
    record_.Line("operator: configuration " + std::to_string(version));
  }

  static std::string Id(int64_t number) {
    char text[32];
    snprintf(text, sizeof text, "%016llx",
             static_cast<unsigned long long>(number) * 0x9e3779b97f4a7c15ULL);
    return text;
  }

  Answer Send(int node, const std::string& method, const Route& route,
              const Tenant& tenant, const std::string& id,
              const std::string& body) {
    const Answer answer = Call(nodes_[static_cast<size_t>(node)]->front(),
                               method, route.prefix + id,
                               {{"Host", kHost},
                                {"X-Api-Key", tenant.key},
                                {"Deadline-Remaining", "3000"}},
                               body, 3'500);
    if (method != "GET") {
      record_.Line("client: " + method + " " + route.prefix + id + " at " +
                   nodes_[static_cast<size_t>(node)]->name() + " -> " +
                   std::to_string(answer.status));
    }
    return answer;
  }
  Answer Submit(int node, const Route& route, const Tenant& tenant,
                const std::string& id, const Json& job) {
    return Send(node, "POST", route, tenant, id, job.dump());
  }
  // As a client does: again, at other nodes, while nothing is certain.
  bool SubmitUntilAccepted(const Route& route, const Tenant& tenant,
                           const std::string& id, const Json& job,
                           int64_t for_ms) {
    const int64_t until = NowMs() + for_ms;
    for (int i = 0; NowMs() < until; ++i) {
      const int node = i % static_cast<int>(nodes_.size());
      if (Submit(node, route, tenant, id, job).status / 100 == 2) return true;
      SleepMs(200);
    }
    return false;
  }
  // Empty if there is no answer; "gone" for 410.
  std::string StateOf(int node, const Route& route, const Tenant& tenant,
                      const std::string& id) {
    const Answer answer = Send(node, "GET", route, tenant, id, "");
    if (answer.status == 410) return "gone";
    if (answer.status != 200) return "";
    return Json::parse(answer.body, nullptr, false).value("state", "");
  }

  // The node that holds a partition of the service, by the claims in the store;
  // -1: none.
  int OwnerOf(const std::string& service) {
    for (const auto& [key, value] : store_.Read("")) {
      const Json claim = Json::parse(value, nullptr, false);
      if (!claim.is_object() || !claim.contains("epoch") ||
          !claim.contains("member") || !claim.contains("partition")) {
        continue;
      }
      if (claim.value("partition", "").rfind(service, 0) != 0) continue;
      for (size_t i = 0; i < nodes_.size(); ++i) {
        if (claim.value("member", "") == nodes_[i]->name()) {
          return static_cast<int>(i);
        }
      }
    }
    return -1;
  }

  Record& record() { return record_; }
  Runs& runs() { return runs_; }
  Store& store() { return store_; }
  Worker& worker(size_t index) { return *workers_[index]; }
  Node& node(size_t index) { return *nodes_[index]; }
  size_t nodes() const { return nodes_.size(); }
  const Plan& plan() const { return plan_; }
  void SetPlan(Plan plan) { plan_ = std::move(plan); }

  // Ends the processes and this one, without waiting for threads.
  [[noreturn]] void Exit(int code, const std::string& verdict) {
    record_.Line("verdict: " + verdict);
    printf("%s\n", verdict.c_str());
    fflush(stdout);
    for (auto& node : nodes_) node->Kill();
    _exit(code);
  }

 private:
  // All workers may run all steps.
  static std::optional<Response> Advise(const Request& r) {
    const Json body = Json::parse(r.body, nullptr, false);
    Json granted = Json::array();
    for (const Json& id : body.value("workers", Json::array())) {
      granted.push_back({id, "ticket"});
    }
    return Response{200,
                    Json{{"granted", granted}, {"validityMs", 2000}}.dump()};
  }

  const std::string root_;
  Record record_;
  Runs runs_;
  Store store_;
  Server permits_;
  Plan plan_;
  const std::string folder_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

// False where TROUBLE=0 asks for the run without the disruption.
inline bool Trouble() {
  const char* text = getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

}  // namespace stand

#endif  // REVIEW_STAND_2_STAND_HPP_
