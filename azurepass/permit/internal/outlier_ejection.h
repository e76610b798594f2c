// Outlier ejection: a VM that fails requests is left out for a while, then
// probed with a single request. Knows no clock; the caller passes the time.
//
// The load it answers: a part of the VMs is unreachable. Each failed request
// costs its caller a timeout, and a VM without answers looks idle, so that it
// attracts the next request.

#ifndef AZUREPASS_PERMIT_INTERNAL_OUTLIER_EJECTION_H_
#define AZUREPASS_PERMIT_INTERNAL_OUTLIER_EJECTION_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "azurepass/core/core.h"

namespace azurepass::permit::internal {

class OutlierEjection {
 public:
  // The first ejection lasts for `initial_period`; each further failure
  // without a success in between doubles it, up to `max_period`. Nothing is
  // ejected if `initial_period` is zero.
  OutlierEjection(Duration initial_period, Duration max_period);

  // Returns false while the VM is ejected or its probe is not answered yet.
  bool IsUsable(const std::string& vm, MonotonicTime now) const;

  // A request is sent to the VM; after an ejection, this is its probe.
  void OnSent(const std::string& vm, MonotonicTime now);
  void OnSuccess(const std::string& vm);
  // `sent_at` is when the failed request was sent. Requests that were sent
  // before the ejection began do not prolong it.
  void OnFailure(const std::string& vm, MonotonicTime sent_at,
                 MonotonicTime now);
  // The VM is no longer a member.
  void Remove(const std::string& vm) { records_.erase(vm); }

  // Returns the end of the VM's latest ejection, or the epoch if there is none.
  MonotonicTime EjectedUntil(const std::string& vm) const;

 private:
  // Exists for VMs whose latest answer was a failure.
  struct Record {
    int failures = 0;  // Ejections without a success in between.
    MonotonicTime began{};
    MonotonicTime until{};
    bool probing = false;  // The probe is not answered yet.
  };

  Duration initial_period_;
  Duration max_period_;
  absl::flat_hash_map<std::string, Record> records_;
};

}  // namespace azurepass::permit::internal

#endif  // AZUREPASS_PERMIT_INTERNAL_OUTLIER_EJECTION_H_
