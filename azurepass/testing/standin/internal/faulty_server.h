// An HTTP server that sends each request through a fault switch before its task
// sees it, and each answer after. Every stand-in listens through one.
//
// POST /v1/faults sets the switch and is itself never subject to it. The rule
// "refuse" closes the listener and so has to come by message: the stand-in's
// control address forwards it.

#ifndef AZUREPASS_TESTING_STANDIN_INTERNAL_FAULTY_SERVER_H_
#define AZUREPASS_TESTING_STANDIN_INTERNAL_FAULTY_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "azurepass/http/http.h"
#include "azurepass/task/task.h"
#include "azurepass/testing/standin/internal/faults.h"

namespace azurepass::testing::internal {

// Where an answer goes, or where it gets lost.
class Reply {
 public:
  Reply(http::Responder responder, bool lose)
      : responder_(std::move(responder)), lose_(lose) {}

  void Answer(int status, std::string_view body) const;
  bool closed() const { return responder_.closed(); }

 private:
  http::Responder responder_;
  bool lose_;
};

class FaultyServer {
 public:
  using Handler = std::function<void(const http::ServerRequest&, const Reply&)>;

  FaultyServer(task::Loop& loop, Handler handler);

  std::variant<http::Server::Bound, http::Server::Problem> Listen(
      const std::string& address);
  void Close();

  void SetFault(const FaultRule& rule);
  // What is in force; uses up no count.
  const Fault& fault() const { return faults_.current(); }

 private:
  void Handle(const http::ServerRequest& request,
              const http::Responder& responder);
  void HandleFaults(const http::ServerRequest& request,
                    const http::Responder& responder);
  void Delay(Duration delay, const http::ServerRequest& request,
             const Reply& reply);

  task::Loop& loop_;
  Handler handler_;
  FaultSwitch faults_;
  std::string address_;  // As bound; empty before.
  bool refusing_ = false;
  int64_t delays_ = 0;
  std::map<int64_t, std::unique_ptr<task::Timer>> delayed_;
  std::vector<http::Responder> hanging_;
  http::Server server_;
};

// Sets a fault by message; `done` is told once it is in force.
struct SetFault {
  FaultRule rule;
  task::Address<std::monostate> done;
};

}  // namespace azurepass::testing::internal

#endif  // AZUREPASS_TESTING_STANDIN_INTERNAL_FAULTY_SERVER_H_
