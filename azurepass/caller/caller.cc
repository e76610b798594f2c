// The task that serves callers. It holds no request's state but when it came;
// the HTTP exchange itself is the state.

#include "azurepass/caller/caller.h"

#include <map>
#include <utility>

namespace azurepass::caller {
namespace {

constexpr size_t kKinds = std::variant_size_v<Request>;
constexpr std::string_view kKindNames[kKinds] = {"submit", "get", "cancel",
                                                 "explain"};

Duration TimeFor(const Request& request) {
  const auto* get = std::get_if<Get>(&request);
  return kAnswerTime + (get == nullptr ? Duration(0) : get->wait);
}

}  // namespace

class Server::Impl {
 public:
  Impl(task::Loop& loop, httpserver::Options options,
       task::Address<Event> listener, std::vector<metrics::Source> sources);

  std::string listening_on() const { return server_.listening_on(); }
  void Drain(Duration idle_time, task::Address<Drained> done) {
    mailbox_.address().Send(StartDrain{idle_time, std::move(done)});
  }
  void Leave() { mailbox_.address().Send(StartLeaving{}); }

 private:
  struct Answered {
    RequestNumber number;
    Response response;
  };
  struct StartDrain {
    Duration idle_time;
    task::Address<Drained> done;
  };
  struct StartLeaving {};
  using Message =
      std::variant<Answered, StartDrain, StartLeaving, metrics::Scrape>;
  struct Open {
    size_t kind = 0;  // Index in Request.
    MonotonicTime since;
  };

  std::vector<metrics::Source> WithSelf(
      std::vector<metrics::Source> sources) const;
  void Handle(Message message);
  void HandleHttp(httpserver::Event event);
  void Begin(httpserver::Received received);
  void Finish(RequestNumber number, const httpserver::Response& response);
  void Report(const metrics::Scrape& scrape) const;

  const task::Address<Event> listener_;
  std::map<RequestNumber, Open> open_;  // Given to the listener, unanswered.
  std::map<int, int64_t> answers_by_status_;
  int64_t abandoned_ = 0;
  std::array<metrics::Histogram, kKinds> latencies_;
  task::Mailbox<Message> mailbox_;
  httpserver::Server server_;
  metrics::Endpoint endpoint_;
};

Server::Impl::Impl(task::Loop& loop, httpserver::Options options,
                   task::Address<Event> listener,
                   std::vector<metrics::Source> sources)
    : listener_(std::move(listener)),
      mailbox_(loop, [this](Message m) { Handle(std::move(m)); }),
      server_(loop, std::move(options),
              [this](httpserver::Event e) { HandleHttp(std::move(e)); }),
      endpoint_(loop, WithSelf(std::move(sources)),
                [this](httpserver::ExchangeId id,
                       const httpserver::Response& response) {
                  server_.Answer(id, response);
                }) {}

std::vector<metrics::Source> Server::Impl::WithSelf(
    std::vector<metrics::Source> sources) const {
  sources.push_back({"callers", mailbox_.address()});
  return sources;
}

void Server::Impl::Handle(Message message) {
  std::visit(Visitor{[this](const Answered& a) {
                       Finish(a.number, ToHttp(a.response));
                     },
                     [this](const StartDrain& drain) {
                       server_.Drain(drain.idle_time, [done = drain.done] {
                         done.Send(Drained{});
                       });
                     },
                     [this](const StartLeaving&) {
                       endpoint_.Leave();
                       server_.Leave();
                     },
                     [this](const metrics::Scrape& scrape) { Report(scrape); }},
             message);
}

void Server::Impl::HandleHttp(httpserver::Event event) {
  std::visit(Visitor{[this](httpserver::Received& r) { Begin(std::move(r)); },
                     [this](const httpserver::Abandoned& a) {
                       endpoint_.Drop(a.id);
                       ++abandoned_;
                       if (open_.erase(a.id) > 0)
                         listener_.Send(Abandoned{a.id});
                     }},
             event);
}

void Server::Impl::Begin(httpserver::Received received) {
  if (endpoint_.Take(received)) return;
  const RequestNumber number = received.id;
  if (received.request.bearer.empty()) {
    Finish(number, httpserver::ToResponse(
                       {RefusalCode::kUnauthenticated, Effect::kNotRun,
                        "send \"Authorization: Bearer KEY\"", std::nullopt}));
    return;
  }
  std::variant<Request, Refusal> outcome = Read(received.request);
  if (const auto* refusal = std::get_if<Refusal>(&outcome)) {
    Finish(number, httpserver::ToResponse(*refusal));
    return;
  }
  auto& request = std::get<Request>(outcome);
  open_[number] = {request.index(), BootClock::now()};
  const Duration time_left = TimeFor(request);
  Responder responder(
      mailbox_.address().Map<Response>([number](Response response) {
        return Message(Answered{number, std::move(response)});
      }));
  listener_.Send(Incoming{number, std::move(received.request.bearer),
                          std::move(request), time_left, std::move(responder)});
}

void Server::Impl::Finish(RequestNumber number,
                          const httpserver::Response& response) {
  auto found = open_.find(number);
  if (found != open_.end()) {
    latencies_[found->second.kind].Record(BootClock::now() -
                                          found->second.since);
    open_.erase(found);
  }
  ++answers_by_status_[response.status];
  server_.Answer(number, response);
}

void Server::Impl::Report(const metrics::Scrape& scrape) const {
  metrics::Text text;
  for (const auto& [status, count] : answers_by_status_) {
    text.Counter("azurepass_caller_answers_total", "Answers to callers.", count,
                 metrics::Label("status", std::to_string(status)));
  }
  text.Counter("azurepass_caller_abandoned_total",
               "Requests whose client went away.", abandoned_);
  text.Gauge("azurepass_caller_open_requests", "Requests without an answer.",
             static_cast<double>(open_.size()));
  for (size_t kind = 0; kind < kKinds; ++kind) {
    text.Latency("azurepass_caller_latency_seconds",
                 "From the whole request to its answer.", latencies_[kind],
                 metrics::Label("kind", kKindNames[kind]));
  }
  scrape.reply_to.Send({text.Take(), std::nullopt});
}

Server::Server(task::Loop& loop, httpserver::Options options,
               task::Address<Event> listener,
               std::vector<metrics::Source> sources)
    : impl_(std::make_shared<Impl>(loop, std::move(options),
                                   std::move(listener), std::move(sources))) {}
Server::~Server() = default;

std::string Server::listening_on() const { return impl_->listening_on(); }

void Server::Leave() { impl_->Leave(); }

void Server::Drain(Duration idle_time, task::Address<Drained> done) {
  impl_->Drain(idle_time, std::move(done));
}

}  // namespace azurepass::caller
