// A small deployment on loopback for the review's scripts: the platform's
// store, workers, the operator, clients, and the project's own nodes as
// processes. It follows PROTOCOL.md; where the pages are silent it does what a
// sound platform, worker or client would do.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;

int64_t SteadyMs();
int64_t WallMs();
void SleepMs(int64_t ms);

// The record of a case: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void Line(const std::string& text);
  int64_t Now() const { return SteadyMs() - start_; }

 private:
  std::mutex mutex_;
  int64_t start_;
  FILE* file_;
};

// --- HTTP

struct Request {
  std::string method, path;
  std::map<std::string, std::string> query, headers;  // Header names in lower case.
  std::string body;
};
struct Response {
  int status = 200;
  std::string body = "{}";
  bool drop = false;  // Closes the connection without an answer.
};
using Handler = std::function<Response(const Request&)>;

// One thread a connection. The port is the kernel's choice.
class Server {
 public:
  explicit Server(Handler handler);
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void Accept();
  void Serve(int fd);
  Handler handler_;
  int listener_ = -1;
  int port_ = 0;
};

struct Answer {
  int status = 0;  // 0: none (refused, broken, or none in time).
  std::string body;
};
Answer Call(int port, const std::string& method, const std::string& path,
            const std::map<std::string, std::string>& headers, const std::string& body,
            int timeout_ms);

// --- The platform's store

class Store {
 public:
  explicit Store(int nodes);
  // The address at which node `i` reaches the store.
  std::string address(int i) const { return servers_[i]->address(); }

  // The store leaves every call without an answer and does nothing, until it is
  // called with false. Leases expire meanwhile, or pause.
  void SetSilent(bool silent, bool leases_pause = true);
  // Calls of one node are left without an answer and do nothing.
  void SetCut(int node, bool cut);

  // For the operator and the workers.
  int64_t Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  bool Has(const std::string& key_part);
  bool up();
  // The node that last wrote under a condition; -1: none.
  int last_conditional_writer();

 private:
  struct Item {
    std::string value;  // As base64 text.
    int64_t revision = 0, created = 0, lease = 0;
  };
  struct Event {
    int64_t revision;
    std::string key;
    Json json;
  };
  struct Lease {
    int64_t ttl, until;
  };
  Response Handle(int node, const Request& request);
  Response Watch(const Request& request, int node, std::unique_lock<std::mutex>& lock);
  Response Txn(int node, const Json& body);
  Json ItemJson(const std::string& key, const Item& item) const;
  void Write(const std::string& key, const std::string& value, int64_t lease, int64_t revision);
  void Erase(const std::string& key, int64_t revision);
  void ExpireLeases();
  // Waits until the call may be served; false: it is left without an answer.
  bool Admit(int node);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::deque<Event> events_;
  std::map<int64_t, Lease> leases_;
  int64_t revision_ = 1, next_lease_ = 1000;
  bool silent_ = false, leases_pause_ = true;
  int64_t silent_since_ = 0;
  std::set<int> cut_;
  int last_writer_ = -1;
  std::vector<std::unique_ptr<Server>> servers_;
};

// --- Workers

// What the workers have seen, in the order in which it happened.
struct Start {
  std::string worker, task, spec;
  int64_t run = 0, token = 0, wall = 0, at = 0;
};
struct End {
  std::string worker, task, how;
  int64_t run = 0, at = 0;
  bool noted = false;
};

struct History {
  std::mutex mutex;
  std::vector<Start> starts;
  std::vector<End> ends;
};

// The policy service at `hint`: every worker may run every step.
class Advice {
 public:
  Advice();
  std::string address() const { return server_->address(); }
  bool Valid(const std::string& step, const std::string& worker, const std::string& ticket);

 private:
  static constexpr int64_t kValidMs = 2000;
  Response Handle(const Request& request);
  std::mutex mutex_;
  std::map<std::string, int64_t> tickets_;  // STEP WORKER: until when.
  std::unique_ptr<Server> server_;
};

// A worker whose tasks run for the milliseconds that the job's spec names:
// "ms=NUMBER". Tasks that last: "ms=0". A spec with "ticket" needs one.
class Worker {
 public:
  Worker(std::string id, std::string service, std::string zone, std::string rack, Store& store,
         Advice& advice, History& history, Record& record);
  int running();

 private:
  struct Run {
    int64_t run, until;  // 0: lasts.
  };
  struct Ended {
    int64_t number;
    std::string task;
    int64_t run;
    std::string how;
    size_t index;  // In the history.
  };
  Response Handle(const Request& request);
  Response Start(const Json& body);
  Response Stop(const Json& body);
  Response Hold(const Json& body);
  int64_t Clock() const { return SteadyMs() - start_; }
  void Advance();  // Ends what is over. Called with the lock held.
  void AddEnd(const std::string& task, int64_t run, const std::string& how);
  void Beat();

  const std::string id_, service_, zone_, rack_;
  Store& store_;
  Advice& advice_;
  History& history_;
  Record& record_;
  std::mutex mutex_;
  std::condition_variable ended_;
  int64_t start_, born_;
  int64_t token_ = 0, lease_ = 0, last_number_ = 0, sequence_ = 0;
  std::map<std::string, Run> running_;
  std::map<std::string, int64_t> barred_;  // The highest run stopped or ended.
  std::deque<Ended> listed_;
  std::unique_ptr<Server> server_;
};

// --- The nodes

struct Node {
  std::string name, zone;
  int entry_port = 0, front_port = 0, ready_port = 0, metrics_port = 0;
  std::string settings;
  pid_t pid = -1;
};

struct Tenant {
  std::string name, key;
};
struct Route {
  std::string name, prefix, service;
  int max_attempts = 4;
  bool hint = false;  // Starts need a ticket of the policy service.
};

struct Options {
  std::string root;    // The repository.
  std::string folder;  // Of the case.
  int nodes = 3;
  std::vector<std::string> services = {"intake"};
  int workers_per_service = 6;
};

class Cell {
 public:
  explicit Cell(Options options);
  // Ends all processes, and this one with `result`: 1 broken, 0 held, 2 not run.
  [[noreturn]] int Finish(int result);

  // Starts everything; false when it does not get ready in time.
  bool Begin(const std::vector<Route>& routes);
  void WriteConfiguration(const std::vector<Route>& routes);

  void Kill(int node);
  void Signal(int node, int signal);
  void Spawn(int node);

  // A client's call at a node. The record has it.
  Answer Ask(int node, const std::string& method, const std::string& path, const Json& body = {},
             int timeout_ms = 3000);
  // Submits until there is a final answer, at one node after the other.
  bool Submit(const std::string& path, const Json& job, int tries = 12);
  std::string StateOf(const std::string& path, int tries = 8);

  Store& store() { return *store_; }
  History& history() { return history_; }
  Record& record() { return record_; }
  size_t size() const { return nodes_.size(); }
  int StartsOf(const std::string& prefix);
  std::string host() const { return "cell.example"; }

 private:
  Options options_;
  Record record_;
  History history_;
  std::string temp_;
  std::unique_ptr<Store> store_;
  Advice advice_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<Node> nodes_;
  Tenant tenant_{"tenant-a", "k3hh2b9wu3fexd9dnn2ct"};
  int64_t version_ = 0;
};

std::string NewId();  // 16 hexadecimal digits.

}  // namespace review
