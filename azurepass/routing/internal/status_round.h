// One look at the whole cell: every scheduler is asked for its status; what has
// come by the time-out is the answer, with the rest marked as unanswered.

#ifndef AZUREPASS_ROUTING_INTERNAL_STATUS_ROUND_H_
#define AZUREPASS_ROUTING_INTERNAL_STATUS_ROUND_H_

#include <map>
#include <vector>

#include "azurepass/entry/entry.h"
#include "azurepass/membership/membership.h"
#include "azurepass/operators/operators.h"
#include "azurepass/routing/routing.h"

namespace azurepass::routing::internal {

class StatusRound {
 public:
  // `known` holds what this process says of itself.
  StatusRound(operators::CellStatus known,
              const std::vector<Partition>& partitions, membership::View view,
              task::Address<operators::CellResponse> reply_to);

  // The members to ask.
  std::vector<membership::MemberRecord> ToAsk() const;
  // Takes in an answer; failures count as answers.
  void On(const MemberId& member, const entry::CallResult& result);
  bool complete() const;
  // Sends the answer, complete or not. Call once.
  void Answer();

 private:
  operators::MemberStatus Describe(const membership::Member& member) const;
  void Fill(operators::PartitionStatus& partition) const;

  operators::CellStatus status_;
  std::vector<Partition> partitions_;
  membership::View view_;
  task::Address<operators::CellResponse> reply_to_;
  std::map<MemberId, std::optional<entry::Status>> heard_;
};

}  // namespace azurepass::routing::internal

#endif  // AZUREPASS_ROUTING_INTERNAL_STATUS_ROUND_H_
