// The exposition format.

#include <charconv>

#include "azurepass/metrics/metrics.h"

namespace azurepass::metrics {
namespace {

std::string Braced(std::string_view labels) {
  return labels.empty() ? "" : "{" + std::string(labels) + "}";
}

std::string Joined(std::string_view labels, const std::string& more) {
  return labels.empty() ? more : std::string(labels) + "," + more;
}

std::string Decimal(double value) {
  char buffer[32];
  auto [end, error] = std::to_chars(buffer, buffer + sizeof(buffer), value);
  return {buffer, end};
}

std::string Seconds(Histogram::Elapsed elapsed) {
  if (elapsed == Histogram::Elapsed::max()) return "+Inf";
  return Decimal(std::chrono::duration<double>(elapsed).count());
}

}  // namespace

std::string Label(std::string_view name, std::string_view value) {
  std::string label = std::string(name) + "=\"";
  for (char c : value) {
    if (c == '\\' || c == '"') label += '\\';
    label += c == '\n' ? ' ' : c;
  }
  return label + "\"";
}

void Text::Head(std::string_view name, std::string_view help,
                std::string_view type) {
  if (family_ == name) return;
  family_ = name;
  text_ += "# HELP " + family_ + " " + std::string(help) + "\n";
  text_ += "# TYPE " + family_ + " " + std::string(type) + "\n";
}

Text& Text::Counter(std::string_view name, std::string_view help, int64_t value,
                    std::string_view labels) {
  Head(name, help, "counter");
  text_ += family_ + Braced(labels) + " " + std::to_string(value) + "\n";
  return *this;
}

Text& Text::Gauge(std::string_view name, std::string_view help, double value,
                  std::string_view labels) {
  Head(name, help, "gauge");
  text_ += family_ + Braced(labels) + " " + Decimal(value) + "\n";
  return *this;
}

Text& Text::Latency(std::string_view name, std::string_view help,
                    const Histogram& histogram, std::string_view labels) {
  Head(name, help, "histogram");
  for (const Histogram::Bucket& bucket : histogram.Buckets()) {
    const std::string edge = Label("le", Seconds(bucket.upper));
    text_ += family_ + "_bucket" + Braced(Joined(labels, edge)) + " " +
             std::to_string(bucket.cumulated) + "\n";
  }
  text_ +=
      family_ + "_sum" + Braced(labels) + " " + Seconds(histogram.sum()) + "\n";
  text_ += family_ + "_count" + Braced(labels) + " " +
           std::to_string(histogram.count()) + "\n";
  return *this;
}

}  // namespace azurepass::metrics
