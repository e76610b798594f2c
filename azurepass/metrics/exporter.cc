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

class Exporter::Impl {
 public:
  Impl(task::Loop& loop, httpserver::Options options,
       std::vector<Source> sources);

  std::string listening_on() const { return server_.listening_on(); }
  void Leave() { mailbox_.address().Send(Left{}); }

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
  struct Left {};
  using Message = std::variant<Reported, Left>;

  void Handle(httpserver::Event event);
  void Begin(const httpserver::Received& received);
  void OnReported(Reported reported);
  void Finish(httpserver::ExchangeId id);
  httpserver::Response Answer(const Round& round) const;
  // Why the process is not healthy, or not ready; empty when it is.
  std::string Complaints(const Round& round) const;

  task::Loop& loop_;
  const std::vector<Source> sources_;
  bool leaving_ = false;
  std::map<httpserver::ExchangeId, std::unique_ptr<Round>> rounds_;
  task::Mailbox<Message> mailbox_;
  httpserver::Server server_;
};

Exporter::Impl::Impl(task::Loop& loop, httpserver::Options options,
                     std::vector<Source> sources)
    : loop_(loop),
      sources_(std::move(sources)),
      mailbox_(loop,
               [this](Message message) {
                 std::visit(
                     Visitor{[this](Reported& r) { OnReported(std::move(r)); },
                             [this](Left&) { leaving_ = true; }},
                     message);
               }),
      server_(loop, std::move(options),
              [this](httpserver::Event event) { Handle(std::move(event)); }) {}

void Exporter::Impl::Handle(httpserver::Event event) {
  std::visit(
      Visitor{
          [this](const httpserver::Received& received) { Begin(received); },
          [this](const httpserver::Abandoned& gone) { rounds_.erase(gone.id); },
      },
      event);
}

void Exporter::Impl::Begin(const httpserver::Received& received) {
  const httpserver::ExchangeId id = received.id;
  std::optional<Question> question = QuestionOf(received.request);
  if (!question) {
    server_.Answer(id,
                   httpserver::ToResponse({RefusalCode::kNotFound,
                                           Effect::kNotRun,
                                           "try /metrics, /healthz or /readyz",
                                           {}}));
    return;
  }
  auto round = std::make_unique<Round>(loop_);
  round->question = *question;
  round->timeout.After(sources_.empty() ? Duration(0) : kSourceTimeout,
                       [this, id] { Finish(id); });
  rounds_[id] = std::move(round);
  for (size_t i = 0; i < sources_.size(); ++i) {
    sources_[i].address.Send(
        Scrape{mailbox_.address().Map<Report>([id, i](Report report) {
          return Message(Reported{id, i, std::move(report)});
        })});
  }
}

void Exporter::Impl::OnReported(Reported reported) {
  auto found = rounds_.find(reported.round);
  if (found == rounds_.end()) return;
  Round& round = *found->second;
  round.reports[reported.source] = std::move(reported.report);
  if (round.reports.size() == sources_.size()) Finish(reported.round);
}

void Exporter::Impl::Finish(httpserver::ExchangeId id) {
  auto found = rounds_.find(id);
  if (found == rounds_.end()) return;
  const std::unique_ptr<Round> round = std::move(found->second);
  rounds_.erase(found);
  server_.Answer(id, Answer(*round));
}

std::string Exporter::Impl::Complaints(const Round& round) const {
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

httpserver::Response Exporter::Impl::Answer(const Round& round) const {
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

Exporter::Exporter(task::Loop& loop, httpserver::Options options,
                   std::vector<Source> sources)
    : impl_(std::make_shared<Impl>(loop, std::move(options),
                                   std::move(sources))) {}
Exporter::~Exporter() = default;

std::string Exporter::listening_on() const { return impl_->listening_on(); }

void Exporter::Leave() { impl_->Leave(); }

}  // namespace azurepass::metrics
