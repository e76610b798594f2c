// Boost.Histogram behind Histogram. The axis is in seconds, logarithmic.

#include <boost/histogram.hpp>
#include <cmath>
#include <limits>

#include "azurepass/metrics/metrics.h"

namespace azurepass::metrics {
namespace {

namespace bh = boost::histogram;

constexpr double kLowestSeconds = 1e-4;
constexpr double kHighestSeconds = 1e3;
constexpr int kBuckets = 28;  // Four a decade.

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Counts = decltype(bh::make_histogram_with(
    std::vector<int64_t>(), Axis(kBuckets, kLowestSeconds, kHighestSeconds)));

double Seconds(Histogram::Elapsed elapsed) {
  return std::chrono::duration<double>(elapsed).count();
}

Histogram::Elapsed FromSeconds(double seconds) {
  return std::chrono::duration_cast<Histogram::Elapsed>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

struct Histogram::Impl {
  Counts counts = bh::make_histogram_with(
      std::vector<int64_t>(), Axis(kBuckets, kLowestSeconds, kHighestSeconds));
  int64_t count = 0;
  Elapsed sum{0};
};

Histogram::Histogram() : impl_(std::make_unique<Impl>()) {}
Histogram::~Histogram() = default;
Histogram::Histogram(Histogram&&) noexcept = default;
Histogram& Histogram::operator=(Histogram&&) noexcept = default;

void Histogram::Record(Elapsed elapsed) {
  impl_->counts(Seconds(elapsed));
  ++impl_->count;
  impl_->sum += elapsed;
}

int64_t Histogram::count() const { return impl_->count; }

Histogram::Elapsed Histogram::sum() const { return impl_->sum; }

std::vector<Histogram::Bucket> Histogram::Buckets() const {
  std::vector<Bucket> buckets;
  int64_t cumulated = 0;
  const auto& axis = impl_->counts.axis();
  // -1 is the underflow, axis.size() the overflow.
  for (int i = -1; i < axis.size(); ++i) {
    cumulated += impl_->counts.at(i);
    buckets.push_back({FromSeconds(axis.value(i + 1)), cumulated});
  }
  buckets.push_back({Elapsed::max(), impl_->count});
  return buckets;
}

Histogram::Elapsed Histogram::Quantile(double part) const {
  const auto wanted =
      static_cast<int64_t>(std::ceil(part * static_cast<double>(impl_->count)));
  for (const Bucket& bucket : Buckets()) {
    if (bucket.cumulated >= wanted) return bucket.upper;
  }
  return Elapsed::max();
}

}  // namespace azurepass::metrics
