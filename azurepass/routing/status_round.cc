// Implements internal/status_round.h.

#include "azurepass/routing/internal/status_round.h"

#include <utility>

namespace azurepass::routing::internal {

StatusRound::StatusRound(operators::CellStatus known,
                         const std::vector<Partition>& partitions,
                         membership::View view,
                         task::Address<operators::CellResponse> reply_to)
    : status_(std::move(known)),
      partitions_(partitions),
      view_(std::move(view)),
      reply_to_(std::move(reply_to)) {}

std::vector<membership::MemberRecord> StatusRound::ToAsk() const {
  std::vector<membership::MemberRecord> records;
  for (const auto& [id, member] : view_.members) {
    if (member.record.role != membership::Role::kScheduler) continue;
    records.push_back(member.record);
  }
  return records;
}

void StatusRound::On(const MemberId& member, const entry::CallResult& result) {
  std::optional<entry::Status> status;
  if (const auto* response = std::get_if<entry::Response>(&result)) {
    const auto* answered = std::get_if<entry::Status>(response);
    if (answered != nullptr) status = *answered;
  }
  heard_[member] = std::move(status);
}

bool StatusRound::complete() const { return heard_.size() >= ToAsk().size(); }

operators::MemberStatus StatusRound::Describe(
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
  auto heard = heard_.find(status.member);
  if (heard != heard_.end() && heard->second) {
    status.answered = true;
    status.revision = heard->second->revision;
  }
  return status;
}

void StatusRound::Fill(operators::PartitionStatus& partition) const {
  auto claim = view_.claims.find(partition.partition);
  if (claim == view_.claims.end()) return;
  partition.owner = claim->second.member;
  partition.epoch = claim->second.epoch;
  auto heard = heard_.find(partition.owner);
  if (heard == heard_.end() || !heard->second) return;
  for (const partition::Status& owned : heard->second->partitions) {
    if (owned.partition != partition.partition) continue;
    partition.answered = true;
    partition.epoch = owned.epoch;
    partition.cell = owned.cell;
    for (const auto& [team, committed] : owned.committed) {
      partition.committed[team] = committed;
    }
  }
}

void StatusRound::Answer() {
  for (const auto& [id, member] : view_.members) {
    status_.members.push_back(Describe(member));
  }
  for (const Partition& partition : partitions_) {
    operators::PartitionStatus filled;
    filled.partition = partition.id;
    filled.service = partition.service;
    Fill(filled);
    status_.partitions.push_back(std::move(filled));
  }
  reply_to_.Send(std::move(status_));
}

}  // namespace azurepass::routing::internal
