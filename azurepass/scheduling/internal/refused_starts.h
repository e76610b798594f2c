// Counts the starts that workers refused, by reason.

#ifndef AZUREPASS_SCHEDULING_INTERNAL_REFUSED_STARTS_H_
#define AZUREPASS_SCHEDULING_INTERNAL_REFUSED_STARTS_H_

#include <cstdint>
#include <map>
#include <string>

#include "azurepass/core/core.h"
#include "azurepass/partition/partition.h"

namespace azurepass::scheduling {

class RefusedStarts {
 public:
  // The reasons are the workers' own, so only so many are told apart.
  static constexpr size_t kMostReasons = 16;

  void OnEvent(const partition::Event& event) {
    const auto* reported = std::get_if<partition::WorkerReported>(&event);
    if (reported == nullptr) return;
    for (const WorkerEvent& answer : reported->events) {
      // A refusal is the answer to an order, so it has no number.
      if (answer.number != 0 || answer.kind != WorkerEventKind::kStopped) {
        continue;
      }
      const bool known = by_reason_.contains(answer.detail);
      const bool room = by_reason_.size() < kMostReasons;
      ++by_reason_[known || room ? answer.detail : "other"];
    }
  }

  // Since the start of the process.
  const std::map<std::string, int64_t>& by_reason() const { return by_reason_; }

 private:
  std::map<std::string, int64_t> by_reason_;
};

}  // namespace azurepass::scheduling

#endif  // AZUREPASS_SCHEDULING_INTERNAL_REFUSED_STARTS_H_
