// Collects the status of the whole cell from all schedulers. The answer holds
// the statuses received before the timeout; schedulers without a response are
// marked as unanswered.

#ifndef AZUREPASS_ROUTING_INTERNAL_STATUS_AGGREGATOR_H_
#define AZUREPASS_ROUTING_INTERNAL_STATUS_AGGREGATOR_H_

#include <map>
#include <vector>

#include "azurepass/entry/entry.h"
#include "azurepass/membership/membership.h"
#include "azurepass/operators/operators.h"
#include "azurepass/routing/routing.h"

namespace azurepass::routing::internal {

class StatusAggregator {
 public:
  // `known` holds the fields that describe this process.
  StatusAggregator(operators::CellStatus known,
                   const std::vector<Partition>& partitions,
                   membership::View view,
                   task::Address<operators::CellResponse> reply_to);

  // Returns the schedulers to query.
  std::vector<membership::MemberRecord> MembersToQuery() const;
  // Records a scheduler's result. A failure counts as a result.
  void AddResult(const MemberId& member, const entry::CallResult& result);
  // Returns whether every scheduler has a result.
  bool complete() const;
  // Sends the answer, even if results are missing. Call exactly once.
  void Answer();

 private:
  operators::MemberStatus DescribeMember(
      const membership::Member& member) const;
  void FillPartition(operators::PartitionStatus& partition) const;

  operators::CellStatus status_;
  std::vector<Partition> partitions_;
  membership::View view_;
  task::Address<operators::CellResponse> reply_to_;
  // Results by member; nullopt for a failure.
  std::map<MemberId, std::optional<entry::Status>> results_;
};

}  // namespace azurepass::routing::internal

#endif  // AZUREPASS_ROUTING_INTERNAL_STATUS_AGGREGATOR_H_
