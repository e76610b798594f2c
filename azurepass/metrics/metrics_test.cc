// Histograms, the exposition format, and health with a silent source.

#include "azurepass/metrics/metrics.h"

#include <doctest/doctest.h>

#include "azurepass/httpserver/testing/turn.h"

namespace azurepass::metrics {
namespace {

using httpserver::testing::Ask;
using std::chrono::milliseconds;

TEST_CASE("a histogram counts, sums and finds quantiles") {
  Histogram histogram;
  for (int i = 0; i < 99; ++i) histogram.Record(milliseconds(2));
  histogram.Record(std::chrono::seconds(5'000));
  CHECK(histogram.count() == 100);
  CHECK(histogram.Quantile(0.5) > milliseconds(2));
  CHECK(histogram.Quantile(0.5) < milliseconds(4));
  CHECK(histogram.Quantile(1) == Histogram::Elapsed::max());
  CHECK(histogram.Buckets().back().cumulated == 100);
}

TEST_CASE("a family's head is written once") {
  Text text;
  text.Counter("a_total", "As.", 1, Label("x", "q\""))
      .Counter("a_total", "", 2);
  text.Gauge("b", "Bs.", 0.5);
  CHECK(text.Take() ==
        "# HELP a_total As.\n# TYPE a_total counter\na_total{x=\"q\\\"\"} 1\n"
        "a_total 2\n# HELP b Bs.\n# TYPE b gauge\nb 0.5\n");
}

TEST_CASE("health tells a silent source, readiness one that is not ready") {
  task::Loop loop;
  std::optional<std::string> not_ready;
  bool silent = false;
  task::Mailbox<Scrape> source(loop, [&](const Scrape& scrape) {
    if (!silent) scrape.reply_to.Send({"a 1\n", not_ready});
  });
  httpserver::Options options;
  options.address = "127.0.0.1:0";
  Exporter exporter(loop, options, {{"part", source.address()}});
  const auto get = [&](const std::string& path) {
    return Ask(loop, exporter.listening_on(), "GET " + path, "");
  };
  CHECK(get("/metrics").find("a 1\n") != std::string::npos);
  CHECK(get("/readyz").find("200 OK") != std::string::npos);
  not_ready = "no configuration";
  CHECK(get("/healthz").find("200 OK") != std::string::npos);
  CHECK(get("/readyz").find("part: no configuration") != std::string::npos);
  not_ready.reset();
  exporter.Leave();
  CHECK(get("/readyz").find("503") != std::string::npos);
  CHECK(get("/healthz").find("200 OK") != std::string::npos);
  silent = true;
  CHECK(get("/healthz").find("part: no report") != std::string::npos);
  CHECK(get("/else").find("404") != std::string::npos);
}

}  // namespace
}  // namespace azurepass::metrics
