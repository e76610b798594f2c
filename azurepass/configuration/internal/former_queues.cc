// Implementation of the list of former queues.

#include "azurepass/configuration/internal/former_queues.h"

#include <algorithm>
#include <set>

namespace azurepass::configuration::internal {
namespace {

// Returns whether jobs of the two are looked up and permitted in the same way.
bool HaveSameForm(const QueueRecord& a, const QueueRecord& b) {
  return a.service == b.service && a.host == b.host &&
         a.path_prefix == b.path_prefix && a.needs_key == b.needs_key &&
         a.permits == b.permits;
}

bool IsInForce(const FormerQueue& former, const Configuration& configuration) {
  const auto queue = configuration.queues.find(former.queue);
  return queue != configuration.queues.end() &&
         ToFormerQueue(queue->second) == former;
}

}  // namespace

void KeepFormerQueues(const Configuration& before, Configuration& next) {
  std::vector<FormerQueue> changed;
  for (const auto& [id, queue] : before.queues) {
    const auto now = next.queues.find(id);
    if (now == next.queues.end() || !HaveSameForm(queue, now->second)) {
      changed.push_back(ToFormerQueue(queue));
    }
  }
  AddFormerQueues(changed, next);
  std::erase_if(next.former_queues, [&](const FormerQueue& former) {
    return IsInForce(former, next);
  });
}

bool AddFormerQueues(const std::vector<FormerQueue>& queues,
                     Configuration& configuration) {
  if (queues.empty()) return false;
  std::vector<FormerQueue>& former = configuration.former_queues;
  std::set<FormerQueue> held(former.begin(), former.end());
  bool added = false;
  for (const FormerQueue& queue : queues) {
    if (IsInForce(queue, configuration) || !held.insert(queue).second) continue;
    former.push_back(queue);
    added = true;
  }
  if (former.size() > kMaxFormerQueues) {
    former.erase(former.begin(), former.end() - kMaxFormerQueues);
  }
  return added;
}

std::vector<FormerQueue> AllQueuesOf(const Configuration& configuration) {
  std::vector<FormerQueue> all = configuration.former_queues;
  all.reserve(all.size() + configuration.queues.size());
  for (const auto& [id, queue] : configuration.queues) {
    all.push_back(ToFormerQueue(queue));
  }
  return all;
}

}  // namespace azurepass::configuration::internal
