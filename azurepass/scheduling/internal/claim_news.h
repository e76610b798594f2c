// What the log and the metrics tell of a process's claims of partitions: whom
// it takes one from and why, and what it knew of its lease when it lost one.

#ifndef AZUREPASS_SCHEDULING_INTERNAL_CLAIM_NEWS_H_
#define AZUREPASS_SCHEDULING_INTERNAL_CLAIM_NEWS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "azurepass/core/core.h"
#include "azurepass/membership/membership.h"
#include "azurepass/store/store.h"

namespace azurepass::scheduling {

// Since the start of the process, of one partition.
struct ClaimFigures {
  int64_t taken = 0;
  int64_t handed_over = 0;
  std::map<std::string, int64_t> refused;  // By reason.
  std::map<std::string, int64_t> lost;     // By reason.
};

// What is known of the former holder of a partition: "none", "given_back",
// "former_start" (of this process), "left" (it had said so), "key_gone",
// "never_seen" (nor is its key there) or "alive".
std::string_view FormerHolderState(const membership::View& view,
                                   const PartitionId& partition,
                                   const MemberId& self);

// Fields of a line about a claim that is written now.
std::string FormerHolderText(const membership::View& view,
                             const PartitionId& partition, const MemberId& self,
                             MonotonicTime now);

// Fields that tell which members could have claimed instead: this one's
// processors in thousandths, all members, and those with more processors, of
// which `larger_settled` have been seen for at least `settled`.
std::string CandidatesText(const membership::View& view, const MemberId& self,
                           Duration settled, MonotonicTime now);

// The field of such a line that tells how long ago renewals by former owners
// had certainly ended; "none" if that is not known. See RenewalsEndedBy.
std::string RenewalsText(std::optional<MonotonicTime> ended, MonotonicTime now);

// Why a claim was not taken: "conflict", "no_authority" (it was written, too
// late) or the store's error.
std::string_view WhyNotTaken(const store::WriteReply& reply);
// Fields that tell who was first, or what the store said.
std::string NotTakenText(const store::WriteReply& reply);

// What a process knows of its right to act as owner.
struct Authority {
  MonotonicTime until;
  MonotonicTime
      lease_renewed;  // When the last renewal was sent that succeeded.
  std::optional<membership::LeaseFailed> last_failure;
  std::optional<Duration> store_contact_age;
  // How late the timer was that found the end of the authority.
  std::optional<std::chrono::nanoseconds> timer_late;
};
// Fields of a line about a claim that is lost now.
std::string AuthorityText(const Authority& authority, MonotonicTime now);

}  // namespace azurepass::scheduling

#endif  // AZUREPASS_SCHEDULING_INTERNAL_CLAIM_NEWS_H_
