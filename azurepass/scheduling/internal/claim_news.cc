// See claim_news.h.

#include "azurepass/scheduling/internal/claim_news.h"

namespace azurepass::scheduling {
namespace {

std::string Millis(std::chrono::nanoseconds elapsed) {
  return std::to_string(std::chrono::duration_cast<Duration>(elapsed).count());
}

// Since `at`; "none" if that never was.
std::string AgeText(MonotonicTime at, MonotonicTime now) {
  return at == MonotonicTime() ? "none" : Millis(now - at);
}

}  // namespace

std::string_view FormerHolderState(const membership::View& view,
                                   const PartitionId& partition,
                                   const MemberId& self) {
  const auto found = view.claims.find(partition);
  if (found == view.claims.end()) return "none";
  const membership::Claim& claim = found->second;
  if (claim.member.empty()) return "given_back";
  if (claim.member == self) return "former_start";
  if (!claim.address.empty()) return "alive";
  if (!claim.departure) return "never_seen";
  return claim.departure->leaving ? "left" : "key_gone";
}

std::string FormerHolderText(const membership::View& view,
                             const PartitionId& partition, const MemberId& self,
                             MonotonicTime now) {
  std::string text =
      " former_state=" + std::string(FormerHolderState(view, partition, self));
  const auto found = view.claims.find(partition);
  if (found == view.claims.end()) return text;
  const membership::Claim& claim = found->second;
  text += " former=" + claim.member.value() +
          " former_epoch=" + std::to_string(claim.epoch.value) +
          " claim_age_ms=" + AgeText(claim.since, now);
  if (claim.departure) {
    text += " former_gone_ms=" + AgeText(claim.departure->at, now);
  }
  return text;
}

std::string CandidatesText(const membership::View& view, const MemberId& self,
                           Duration settled, MonotonicTime now) {
  const auto found = view.members.find(self);
  const int64_t processors =
      found == view.members.end() ? 0 : found->second.record.millicores;
  int64_t larger = 0;
  int64_t larger_settled = 0;
  for (const auto& [id, member] : view.members) {
    const membership::MemberRecord& record = member.record;
    const bool candidate =
        record.role == membership::Role::kScheduler && !record.leaving;
    if (!candidate || record.millicores <= processors) continue;
    ++larger;
    if (now - member.since >= settled) ++larger_settled;
  }
  return " processors=" + std::to_string(processors) +
         " members=" + std::to_string(view.members.size()) +
         " larger=" + std::to_string(larger) +
         " larger_settled=" + std::to_string(larger_settled);
}

std::string RenewalsText(std::optional<MonotonicTime> ended,
                         MonotonicTime now) {
  return " renewals_ended_ms=" + AgeText(ended.value_or(MonotonicTime()), now);
}

std::string_view WhyNotTaken(const store::WriteReply& reply) {
  return std::visit(Visitor{[](const store::Written&) -> std::string_view {
                              return "no_authority";
                            },
                            [](const store::Conflict&) -> std::string_view {
                              return "conflict";
                            },
                            [](const store::Error& error) {
                              return store::ErrorCodeName(error.code);
                            }},
                    reply);
}

std::string NotTakenText(const store::WriteReply& reply) {
  return std::visit(
      Visitor{[](const store::Written&) { return std::string(); },
              [](const store::Conflict& conflict) {
                if (!conflict.current) return std::string(" holder=unknown");
                const auto claim =
                    membership::DecodeClaim(conflict.current->value);
                if (!claim) return std::string(" holder=unreadable");
                return " holder=" + claim->member.value() +
                       " holder_epoch=" + std::to_string(claim->epoch.value);
              },
              [](const store::Error& error) {
                return " message=\"" + error.message + "\"";
              }},
      reply);
}

std::string AuthorityText(const Authority& authority, MonotonicTime now) {
  std::string text = " authority_left_ms=" + Millis(authority.until - now) +
                     " renewed_age_ms=" + AgeText(authority.lease_renewed, now);
  if (authority.timer_late) {
    text += " timer_late_ms=" + Millis(*authority.timer_late);
  }
  if (authority.store_contact_age) {
    const Duration age = *authority.store_contact_age;
    text += " store_contact_ms=" +
            (age == Duration::max() ? "none" : std::to_string(age.count()));
  }
  if (!authority.last_failure) return text + " last_failure=none";
  const membership::LeaseFailed& failed = *authority.last_failure;
  return text + " last_failure=" +
         std::string(store::ErrorCodeName(failed.error.code)) +
         " failure_age_ms=" + AgeText(failed.answered, now) +
         " failure_took_ms=" + Millis(failed.answered - failed.sent) +
         " failure=\"" + failed.error.message + "\"";
}

}  // namespace azurepass::scheduling
