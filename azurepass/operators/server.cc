// The task that serves operators.

#include <map>
#include <utility>

#include "azurepass/operators/internal/secrets.h"
#include "azurepass/operators/operators.h"

namespace azurepass::operators {

class Server::Impl {
 public:
  Impl(task::Loop& loop, httpserver::Options options, std::string key_sha256,
       task::Address<ConfigurationCall> configuration,
       task::Address<CellCall> cell)
      : key_sha256_(std::move(key_sha256)),
        configuration_(std::move(configuration)),
        cell_(std::move(cell)),
        mailbox_(loop, [this](Message m) { Handle(std::move(m)); }),
        server_(loop, std::move(options), [this](httpserver::Event event) {
          HandleHttp(std::move(event));
        }) {}

  std::string listening_on() const { return server_.listening_on(); }
  void Drain(Duration idle_time, task::Address<Drained> done) {
    mailbox_.address().Send(StartDrain{idle_time, std::move(done)});
  }
  task::Address<metrics::Scrape> metrics() const { return mailbox_.address(); }

 private:
  struct Answered {
    httpserver::ExchangeId id;
    httpserver::Response response;
  };
  struct StartDrain {
    Duration idle_time;
    task::Address<Drained> done;
  };
  using Message = std::variant<Answered, StartDrain, metrics::Scrape>;

  void Handle(Message message);
  void HandleHttp(httpserver::Event event);
  void Begin(const httpserver::Received& received);
  void Finish(httpserver::ExchangeId id, const httpserver::Response& response);
  bool IsOperator(const std::string& key) const;
  void Report(const metrics::Scrape& scrape) const;

  template <class ResponseType>
  task::Address<ResponseType> ReplyTo(httpserver::ExchangeId id) const {
    return mailbox_.address().Map<ResponseType>([id](ResponseType response) {
      return Message(Answered{id, ToHttp(response)});
    });
  }

  const std::string key_sha256_;
  const task::Address<ConfigurationCall> configuration_;
  const task::Address<CellCall> cell_;
  std::map<int, int64_t> answers_by_status_;
  std::map<httpserver::ExchangeId, MonotonicTime> since_;
  metrics::Histogram latency_;
  task::Mailbox<Message> mailbox_;
  httpserver::Server server_;
};

void Server::Impl::Handle(Message message) {
  std::visit(Visitor{[this](const Answered& a) { Finish(a.id, a.response); },
                     [this](const StartDrain& drain) {
                       server_.Drain(drain.idle_time, [done = drain.done] {
                         done.Send(Drained{});
                       });
                     },
                     [this](const metrics::Scrape& scrape) { Report(scrape); }},
             message);
}

void Server::Impl::HandleHttp(httpserver::Event event) {
  std::visit(
      Visitor{[this](const httpserver::Received& r) { Begin(r); },
              [this](const httpserver::Abandoned& a) { since_.erase(a.id); }},
      event);
}

bool Server::Impl::IsOperator(const std::string& key) const {
  if (key.empty() || key_sha256_.empty()) return false;
  return internal::EqualInConstantTime(configuration::HashSecret(key),
                                       key_sha256_);
}

void Server::Impl::Begin(const httpserver::Received& received) {
  const httpserver::ExchangeId id = received.id;
  since_[id] = BootClock::now();
  if (!IsOperator(received.request.bearer)) {
    Finish(id, httpserver::ToResponse(
                   {RefusalCode::kUnauthenticated, Effect::kNotRun,
                    "send \"Authorization: Bearer KEY\" with the operators' "
                    "key",
                    std::nullopt}));
    return;
  }
  std::variant<Request, Refusal> outcome = Read(received.request);
  if (const auto* refusal = std::get_if<Refusal>(&outcome)) {
    Finish(id, httpserver::ToResponse(*refusal));
    return;
  }
  std::visit(
      Visitor{[&](ConfigurationRequest& request) {
                configuration_.Send({std::move(request), kAnswerTime,
                                     ReplyTo<ConfigurationResponse>(id)});
              },
              [&](CellRequest& request) {
                cell_.Send({std::move(request), kAnswerTime,
                            ReplyTo<CellResponse>(id)});
              }},
      std::get<Request>(outcome));
}

void Server::Impl::Finish(httpserver::ExchangeId id,
                          const httpserver::Response& response) {
  auto since = since_.find(id);
  if (since != since_.end()) {
    latency_.Record(BootClock::now() - since->second);
    since_.erase(since);
  }
  ++answers_by_status_[response.status];
  server_.Answer(id, response);
}

void Server::Impl::Report(const metrics::Scrape& scrape) const {
  metrics::Text text;
  for (const auto& [status, count] : answers_by_status_) {
    text.Counter("azurepass_operators_answers_total", "Answers to operators.",
                 count, metrics::Label("status", std::to_string(status)));
  }
  text.Latency("azurepass_operators_latency_seconds",
               "From the whole request to its answer.", latency_);
  scrape.reply_to.Send({text.Take(), std::nullopt});
}

Server::Server(task::Loop& loop, httpserver::Options options,
               std::string key_sha256,
               task::Address<ConfigurationCall> configuration,
               task::Address<CellCall> cell)
    : impl_(std::make_shared<Impl>(loop, std::move(options),
                                   std::move(key_sha256),
                                   std::move(configuration), std::move(cell))) {
}
Server::~Server() = default;

std::string Server::listening_on() const { return impl_->listening_on(); }

void Server::Drain(Duration idle_time, task::Address<Drained> done) {
  impl_->Drain(idle_time, std::move(done));
}

task::Address<metrics::Scrape> Server::metrics() const {
  return impl_->metrics();
}

}  // namespace azurepass::operators
