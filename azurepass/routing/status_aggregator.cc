// Implements internal/status_aggregator.h.

#include "azurepass/routing/internal/status_aggregator.h"

#include <utility>

namespace azurepass::routing::internal {

StatusAggregator::StatusAggregator(
    operators::CellStatus known, const std::vector<Partition>& partitions,
    membership::View view, task::Address<operators::CellResponse> reply_to)
    : status_(std::move(known)),
      partitions_(partitions),
      view_(std::move(view)),
      reply_to_(std::move(reply_to)) {}

std::vector<membership::MemberRecord> StatusAggregator::MembersToQuery() const {
  std::vector<membership::MemberRecord> records;
  for (const auto& [id, member] : view_.members) {
    if (member.record.role != membership::Role::kScheduler) continue;
    records.push_back(member.record);
  }
  return records;
}

void StatusAggregator::AddResult(const MemberId& member,
                                 const entry::CallResult& result) {
  std::optional<entry::Status> status;
  if (const auto* response = std::get_if<entry::Response>(&result)) {
    const auto* answered = std::get_if<entry::Status>(response);
    if (answered != nullptr) status = *answered;
  }
  results_[member] = std::move(status);
}

bool StatusAggregator::complete() const {
  return results_.size() >= MembersToQuery().size();
}

operators::MemberStatus StatusAggregator::DescribeMember(
    const membership::Member& member) const {
  operators::MemberStatus status;
  status.member = member.record.member;
  status.role = member.record.role == membership::Role::kScheduler ? "scheduler"
                                                                   : "frontend";
  status.zone = member.record.zone;
  status.address = member.record.address;
  status.leaving = member.record.leaving;
  status.suspected = member.suspected;
  if (member.news) status.revision = member.news->revision;
  if (status.member == status_.answered_by) status.revision = status_.revision;
  auto result = results_.find(status.member);
  if (result != results_.end() && result->second) {
    status.answered = true;
    status.revision = result->second->revision;
  }
  return status;
}

void StatusAggregator::FillPartition(
    operators::PartitionStatus& partition) const {
  auto claim = view_.claims.find(partition.partition);
  if (claim == view_.claims.end()) return;
  partition.owner = claim->second.member;
  partition.epoch = claim->second.epoch;
  auto result = results_.find(partition.owner);
  if (result == results_.end() || !result->second) return;
  for (const partition::Status& owned : result->second->partitions) {
    if (owned.partition != partition.partition) continue;
    partition.answered = true;
    partition.epoch = owned.epoch;
    partition.cell = owned.cell;
    for (const auto& [team, committed] : owned.committed) {
      partition.committed[team] = committed;
    }
  }
}

void StatusAggregator::Answer() {
  for (const auto& [id, member] : view_.members) {
    status_.members.push_back(DescribeMember(member));
  }
  for (const Partition& partition : partitions_) {
    operators::PartitionStatus filled;
    filled.partition = partition.id;
    filled.service = partition.service;
    FillPartition(filled);
    status_.partitions.push_back(std::move(filled));
  }
  reply_to_.Send(std::move(status_));
}

}  // namespace azurepass::routing::internal
