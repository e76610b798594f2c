// Implements the periods of ejections.

#include "azurepass/permit/internal/outlier_ejection.h"

#include <algorithm>

namespace azurepass::permit::internal {
namespace {

// Bounds the shift below; the period reaches max_period long before.
constexpr int kMaxDoublings = 16;

}  // namespace

OutlierEjection::OutlierEjection(Duration initial_period, Duration max_period)
    : initial_period_(initial_period), max_period_(max_period) {}

bool OutlierEjection::IsUsable(const std::string& vm, MonotonicTime now) const {
  const auto found = records_.find(vm);
  if (found == records_.end()) return true;
  return !found->second.probing && now >= found->second.until;
}

void OutlierEjection::OnSent(const std::string& vm, MonotonicTime now) {
  const auto found = records_.find(vm);
  if (found != records_.end() && now >= found->second.until) {
    found->second.probing = true;
  }
}

void OutlierEjection::OnSuccess(const std::string& vm) { records_.erase(vm); }

void OutlierEjection::OnFailure(const std::string& vm, MonotonicTime sent_at,
                                MonotonicTime now) {
  if (initial_period_ <= Duration(0)) return;
  Record& record = records_[vm];
  if (record.failures > 0 && sent_at < record.began) return;
  if (record.failures > 0 && !record.probing && now < record.until) return;
  const Duration period = std::min(
      initial_period_ * (1 << std::min(record.failures, kMaxDoublings)),
      max_period_);
  ++record.failures;
  record.began = now;
  record.until = now + period;
  record.probing = false;
}

MonotonicTime OutlierEjection::EjectedUntil(const std::string& vm) const {
  const auto found = records_.find(vm);
  return found == records_.end() ? MonotonicTime{} : found->second.until;
}

}  // namespace azurepass::permit::internal
