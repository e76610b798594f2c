// Counts and latencies of tasks, as text for the monitoring of the platform
// (the usual exposition format), and the answers to health checks.
//
// Each task keeps its own numbers and renders them when it is asked: a Scrape
// is a message like any other, so that nothing is shared. An Endpoint serves
//
//   GET /metrics   the text of all sources,
//   GET /healthz   200 when every source answered within kSourceTimeout,
//   GET /readyz    200 when, besides, every source is ready for work.
//
// Usage, in a task: a Histogram member, `histogram_.Record(elapsed)`, and on a
// Scrape `reply_to.Send(Report{...})` with text made by a Text.

#ifndef AZUREPASS_METRICS_METRICS_H_
#define AZUREPASS_METRICS_METRICS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/httpserver/httpserver.h"
#include "azurepass/task/task.h"

namespace azurepass::metrics {

inline constexpr Duration kSourceTimeout{1'000};

// What one task answers.
struct Report {
  std::string text;
  std::optional<std::string> not_ready;  // Why it can't take work now.
};
struct Scrape {
  task::Address<Report> reply_to;
};

// A distribution of durations, from 100 microseconds to 1,000 seconds in
// buckets that grow by the factor 10^(1/4). Boost.Histogram counts.
class Histogram {
 public:
  using Elapsed = std::chrono::nanoseconds;

  Histogram();
  ~Histogram();
  Histogram(Histogram&&) noexcept;
  Histogram& operator=(Histogram&&) noexcept;

  void Record(Elapsed elapsed);
  int64_t count() const;
  Elapsed sum() const;
  // The upper edge of the bucket that holds the given part (0 to 1) of all.
  Elapsed Quantile(double part) const;

  struct Bucket {
    Elapsed upper;          // Elapsed::max() for the last.
    int64_t cumulated = 0;  // Of all up to here.
  };
  std::vector<Bucket> Buckets() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Lines of the exposition format. A family's head is written once, before its
// first sample; samples of a family have to follow each other. `labels` is
// such as `code="200"`, or empty.
class Text {
 public:
  Text& Counter(std::string_view name, std::string_view help, int64_t value,
                std::string_view labels = "");
  Text& Gauge(std::string_view name, std::string_view help, double value,
              std::string_view labels = "");
  // In seconds; `name` ends in "_seconds".
  Text& Latency(std::string_view name, std::string_view help,
                const Histogram& histogram, std::string_view labels = "");
  std::string Take() { return std::move(text_); }

 private:
  void Head(std::string_view name, std::string_view help,
            std::string_view type);

  std::string text_;
  std::string family_;  // Of the last head.
};

// Makes `NAME="VALUE"`, with the value escaped.
std::string Label(std::string_view name, std::string_view value);

struct Source {
  std::string name;
  task::Address<Scrape> address;
};

// Answers the three paths on a server that its owner has for other things too.
// Part of the task that owns it.
class Endpoint {
 public:
  Endpoint(
      task::Loop& loop, std::vector<Source> sources,
      std::function<void(httpserver::ExchangeId, httpserver::Response)> answer);
  ~Endpoint();
  Endpoint(const Endpoint&) = delete;
  Endpoint& operator=(const Endpoint&) = delete;

  // Takes the request over if it is for one of the three paths.
  bool Take(const httpserver::Received& received);
  // Its client went away.
  void Drop(httpserver::ExchangeId id);
  // From now on /readyz says no, so that the balancer sends nobody here.
  void Leave();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// A task with a server for the three paths alone.
class Exporter {
 public:
  Exporter(task::Loop& loop, httpserver::Options options,
           std::vector<Source> sources);
  ~Exporter();
  Exporter(const Exporter&) = delete;
  Exporter& operator=(const Exporter&) = delete;

  std::string listening_on() const;
  // See Endpoint::Leave. Callable from any thread.
  void Leave();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace azurepass::metrics

#endif  // AZUREPASS_METRICS_METRICS_H_
