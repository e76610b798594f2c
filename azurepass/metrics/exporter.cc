// /metrics, /healthz and /readyz: each asks all sources and answers when the
// last report has come or the time is over.

#include <map>
#include <utility>

#include "azurepass/metrics/metrics.h"

namespace azurepass::metrics {
namespace {

enum class Question { kMetrics, kHealth, kReadiness };

std::optional<Question> QuestionOf(const httpserver::Request& request) {
  if (request.method != httpserver::Method::kGet) return std::nullopt;
  if (request.path.size() != 1) return std::nullopt;
  if (request.path[0] == "metrics") return Question::kMetrics;
  if (request.path[0] == "healthz") return Question::kHealth;
  if (request.path[0] == "readyz") return Question::kReadiness;
  return std::nullopt;
}

httpserver::Response PlainText(int status, std::string body) {
  return {status, "text/plain; charset=utf-8", std::move(body), std::nullopt};
}

}  // namespace

class Endpoint::Impl {
 public:
  using Respond =
      std::function<void(httpserver::ExchangeId, httpserver::Response)>;

  Impl(task::Loop& loop, std::vector<Source> sources, Respond respond)
      : loop_(loop),
        sources_(std::move(sources)),
        respond_(std::move(respond)),
        mailbox_(loop, [this](Reported r) { OnReported(std::move(r)); }) {}

  bool Take(const httpserver::Received& received);
  void Drop(httpserver::ExchangeId id) { rounds_.erase(id); }
  void Leave() { leaving_ = true; }

 private:
  // One open request.
  struct Round {
    explicit Round(task::Loop& loop) : timeout(loop) {}
    Question question = Question::kMetrics;
    std::map<size_t, Report> reports;  // By the source's index.
    task::Timer timeout;
  };
  struct Reported {
    httpserver::ExchangeId round;
    size_t source = 0;
    Report report;
  };
  void OnReported(Reported reported);
  void Finish(httpserver::ExchangeId id);
  httpserver::Response Answer(const Round& round) const;
  // Why the process is not healthy, or not ready; empty when it is.
  std::string Complaints(const Round& round) const;

  task::Loop& loop_;
  const std::vector<Source> sources_;
  const Respond respond_;
  bool leaving_ = false;
  std::map<httpserver::ExchangeId, std::unique_ptr<Round>> rounds_;
  task::Mailbox<Reported> mailbox_;
};

bool Endpoint::Impl::Take(const httpserver::Received& received) {
  const httpserver::ExchangeId id = received.id;
  const std::optional<Question> question = QuestionOf(received.request);
  if (!question) return false;
  auto round = std::make_unique<Round>(loop_);
  round->question = *question;
  round->timeout.After(sources_.empty() ? Duration(0) : kSourceTimeout,
                       [this, id] { Finish(id); });
  rounds_[id] = std::move(round);
  for (size_t i = 0; i < sources_.size(); ++i) {
    sources_[i].address.Send(
        Scrape{mailbox_.address().Map<Report>([id, i](Report report) {
          return Reported{id, i, std::move(report)};
        })});
  }
  return true;
}

void Endpoint::Impl::OnReported(Reported reported) {
  auto found = rounds_.find(reported.round);
  if (found == rounds_.end()) return;
  Round& round = *found->second;
  round.reports[reported.source] = std::move(reported.report);
  if (round.reports.size() == sources_.size()) Finish(reported.round);
}

void Endpoint::Impl::Finish(httpserver::ExchangeId id) {
  auto found = rounds_.find(id);
  if (found == rounds_.end()) return;
  const std::unique_ptr<Round> round = std::move(found->second);
  rounds_.erase(found);
  respond_(id, Answer(*round));
}

std::string Endpoint::Impl::Complaints(const Round& round) const {
  std::string complaints;
  const bool readiness = round.question == Question::kReadiness;
  if (readiness && leaving_) complaints += "the process is shutting down\n";
  for (size_t i = 0; i < sources_.size(); ++i) {
    auto found = round.reports.find(i);
    if (found == round.reports.end()) {
      complaints += sources_[i].name + ": no report in time\n";
    } else if (readiness && found->second.not_ready) {
      complaints += sources_[i].name + ": " + *found->second.not_ready + "\n";
    }
  }
  return complaints;
}

httpserver::Response Endpoint::Impl::Answer(const Round& round) const {
  if (round.question != Question::kMetrics) {
    const std::string complaints = Complaints(round);
    return complaints.empty() ? PlainText(200, "ok\n")
                              : PlainText(503, complaints);
  }
  std::string text;
  for (const auto& [source, report] : round.reports) text += report.text;
  httpserver::Response response = PlainText(200, std::move(text));
  response.content_type = "text/plain; version=0.0.4";
  return response;
}

Endpoint::Endpoint(
    task::Loop& loop, std::vector<Source> sources,
    std::function<void(httpserver::ExchangeId, httpserver::Response)> answer)
    : impl_(std::make_unique<Impl>(loop, std::move(sources),
                                   std::move(answer))) {}
Endpoint::~Endpoint() = default;

bool Endpoint::Take(const httpserver::Received& received) {
  return impl_->Take(received);
}

void Endpoint::Drop(httpserver::ExchangeId id) { impl_->Drop(id); }

void Endpoint::Leave() { impl_->Leave(); }

// --- Exporter

class Exporter::Impl {
 public:
  Impl(task::Loop& loop, httpserver::Options options,
       std::vector<Source> sources)
      : mailbox_(loop, [this](Left) { endpoint_.Leave(); }),
        server_(loop, std::move(options),
                [this](httpserver::Event event) { Handle(std::move(event)); }),
        endpoint_(loop, std::move(sources),
                  [this](httpserver::ExchangeId id,
                         const httpserver::Response& response) {
                    server_.Answer(id, response);
                  }) {}

  std::string listening_on() const { return server_.listening_on(); }
  void Leave() { mailbox_.address().Send(Left{}); }

 private:
  struct Left {};

  void Handle(httpserver::Event event) {
    std::visit(Visitor{[this](const httpserver::Received& received) {
                         if (endpoint_.Take(received)) return;
                         server_.Answer(received.id, NotFound());
                       },
                       [this](const httpserver::Abandoned& gone) {
                         endpoint_.Drop(gone.id);
                       }},
               event);
  }
  static httpserver::Response NotFound() {
    return httpserver::ToResponse({RefusalCode::kNotFound,
                                   Effect::kNotRun,
                                   "try /metrics, /healthz or /readyz",
                                   {}});
  }

  task::Mailbox<Left> mailbox_;
  httpserver::Server server_;
  Endpoint endpoint_;
};

Exporter::Exporter(task::Loop& loop, httpserver::Options options,
                   std::vector<Source> sources)
    : impl_(std::make_shared<Impl>(loop, std::move(options),
                                   std::move(sources))) {}
Exporter::~Exporter() = default;

std::string Exporter::listening_on() const { return impl_->listening_on(); }

void Exporter::Leave() { impl_->Leave(); }

}  // namespace azurepass::metrics
