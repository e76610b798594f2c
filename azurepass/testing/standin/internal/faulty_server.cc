// Requests and answers through the fault switch.

#include "azurepass/testing/standin/internal/faulty_server.h"

namespace azurepass::testing::internal {

void Reply::Answer(int status, std::string_view body) const {
  if (lose_) {
    responder_.Drop();
  } else {
    responder_.Answer(status, body);
  }
}

FaultyServer::FaultyServer(task::Loop& loop, Handler handler)
    : loop_(loop),
      handler_(std::move(handler)),
      server_(loop, [this](const http::ServerRequest& request,
                           const http::Responder& responder) {
        Handle(request, responder);
      }) {}

std::variant<http::Server::Bound, http::Server::Problem> FaultyServer::Listen(
    const std::string& address) {
  auto result = server_.Listen(address);
  if (const auto* bound = std::get_if<http::Server::Bound>(&result)) {
    address_ = bound->address;
  }
  return result;
}

void FaultyServer::Close() {
  delayed_.clear();
  server_.Close();
}

void FaultyServer::SetFault(const FaultRule& rule) {
  faults_.Set(rule);
  hanging_.clear();
  const bool refuse = std::holds_alternative<RefuseConnections>(rule.fault);
  if (refuse == refusing_) return;
  refusing_ = refuse;
  if (refuse) {
    server_.Close();
  } else {
    server_.Listen(address_);
  }
}

void FaultyServer::Handle(const http::ServerRequest& request,
                          const http::Responder& responder) {
  if (request.path == "/v1/faults") return HandleFaults(request, responder);
  const Reply reply(responder, false);
  std::visit(
      Visitor{
          [&](const AnswerUnavailable&) {
            responder.Answer(http::kServiceUnavailable, "");
          },
          [&](const LoseRequest&) { responder.Drop(); },
          [&](const Hang&) { hanging_.push_back(responder); },
          [&](const LoseAnswer&) { handler_(request, Reply(responder, true)); },
          [&](const Slow& slow) { Delay(slow.delay, request, reply); },
          [&](const auto&) { handler_(request, reply); }},
      faults_.Next());
}

void FaultyServer::HandleFaults(const http::ServerRequest& request,
                                const http::Responder& responder) {
  const auto rule =
      codec::Try([&request] { return codec::Decode<FaultRule>(request.body); });
  if (const auto* error = std::get_if<codec::Error>(&rule)) {
    return responder.Answer(http::kBadRequest, error->ToString());
  }
  const auto& wanted = std::get<FaultRule>(rule);
  if (std::holds_alternative<RefuseConnections>(wanted.fault)) {
    return responder.Answer(http::kBadRequest, "use the control address");
  }
  SetFault(wanted);
  responder.Answer(http::kOk, "{}");
}

void FaultyServer::Delay(Duration delay, const http::ServerRequest& request,
                         const Reply& reply) {
  const int64_t number = ++delays_;
  auto timer = std::make_unique<task::Timer>(loop_);
  timer->After(delay, [this, number, request, reply] {
    // The timer runs this very function: it goes when the function is over.
    const std::unique_ptr<task::Timer> own = std::move(delayed_[number]);
    delayed_.erase(number);
    handler_(request, reply);
  });
  delayed_[number] = std::move(timer);
}

}  // namespace azurepass::testing::internal
