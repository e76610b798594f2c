// The stand-in store: StoreData behind HTTP and JSON.
//
//   GET    /v1/kv/KEY                             the value
//   PUT    /v1/kv/KEY     {value, expected?, lease?}
//   DELETE /v1/kv/KEY?expected=N
//   GET    /v1/range?prefix=&from=&limit=
//   POST   /v1/leases     {ttl_ms}
//   POST   /v1/leases/ID/renew
//   DELETE /v1/leases/ID
//   GET    /v1/watch?prefix=&after=&wait_ms=      held until something changes
//   GET    /v1/stats                              calls by kind
//   POST   /v1/faults                             see faults.h
//
// A failed condition is 409 with what is there, an unknown lease 404, a watch
// from before the history 410, a value over 1 MiB 413.

#ifndef AZUREPASS_TESTING_STANDIN_INTERNAL_STORE_TASK_H_
#define AZUREPASS_TESTING_STANDIN_INTERNAL_STORE_TASK_H_

#include <cstdint>
#include <list>
#include <map>
#include <string>

#include "azurepass/task/task.h"
#include "azurepass/testing/standin/internal/faulty_server.h"
#include "azurepass/testing/standin/store_data.h"

namespace azurepass::testing::internal {

class StoreTask {
 public:
  StoreTask(task::Loop& loop, int64_t history_bound);

  std::variant<http::Server::Bound, http::Server::Problem> Listen(
      const std::string& address) {
    return server_.Listen(address);
  }
  task::Address<SetFault> faults() const { return mailbox_.address(); }

 private:
  struct HeldWatch {
    std::string prefix;
    Revision after;
    MonotonicTime until;
    Reply reply;
  };

  void Handle(const http::ServerRequest& request, const Reply& reply);
  void HandleKey(const http::ServerRequest& request, const Reply& reply);
  void Get(const std::string& key, const Reply& reply);
  void Put(const std::string& key, const std::string& body, const Reply& reply);
  void Delete(const std::string& key, const http::ServerRequest& request,
              const Reply& reply);
  void HandleLease(const http::ServerRequest& request, const Reply& reply);
  void Range(const http::ServerRequest& request, const Reply& reply);
  void Watch(const http::ServerRequest& request, const Reply& reply);
  void Count(const std::string& kind) { ++calls_[kind]; }
  void Stats(const Reply& reply) const;

  // Answers the watches that have something to tell or waited long enough, and
  // sets the timer for the next expiry.
  void Settle();
  bool TryAnswer(const HeldWatch& watch, MonotonicTime now) const;

  StoreData data_;
  std::map<std::string, int64_t> calls_;  // By kind.
  std::list<HeldWatch> watches_;
  task::Timer timer_;
  FaultyServer server_;
  task::Mailbox<SetFault> mailbox_;
};

}  // namespace azurepass::testing::internal

#endif  // AZUREPASS_TESTING_STANDIN_INTERNAL_STORE_TASK_H_
