// The rule of freshness. See the header for why each permission is safe.

#include <algorithm>
#include <utility>

#include "azurepass/configuration/configuration.h"

namespace azurepass::configuration {
namespace {

Duration AgeOf(MonotonicTime then, MonotonicTime now) {
  return std::chrono::ceil<Duration>(now - then);
}

std::string InMillis(Duration age) {
  return std::to_string(age.count()) + " ms";
}

}  // namespace

bool MayStart(const Verdict& verdict) {
  return std::visit(Visitor{[](const Confirmed&) { return true; },
                            [](const ConfirmedByPeer&) { return true; },
                            [](const OutageEvident&) { return true; },
                            [](const Stale&) { return false; }},
                    verdict);
}

std::string ToString(const Verdict& verdict) {
  return std::visit(
      Visitor{[](const Confirmed& v) {
                return "confirmed by the store " + InMillis(v.age) + " ago";
              },
              [](const ConfirmedByPeer& v) {
                return "confirmed by " + v.peer.value() + " " +
                       InMillis(v.age) + " ago";
              },
              [](const OutageEvident& v) {
                return "outage evident by " + std::to_string(v.witnesses) +
                       " members, the oldest answer " + InMillis(v.age) +
                       " old";
              },
              [](const Stale& v) { return "stale: " + v.reason; }},
      verdict);
}

void Freshness::OnStoreConfirmed(MonotonicTime sent) {
  confirmed_at_ = std::max(confirmed_at_.value_or(sent), sent);
  last_request_failed_ = false;
}

void Freshness::OnStoreFailed() { last_request_failed_ = true; }

void Freshness::OnPeerAnswered(const PeerAnswer& answer, MonotonicTime sent) {
  OnAccepted(answer.revision);
  Witness& witness = witnesses_[answer.member];
  if (witness.sent > sent) return;
  refused_.erase(answer.member);
  witness = {sent, answer.in_contact, std::nullopt};
  // Above max_age it confirms nothing, and max() would overflow below.
  if (answer.store_contact_age > max_age_) return;
  witness.confirmed_at = sent - answer.store_contact_age;
}

void Freshness::OnPeerRefused(const MemberId& peer, MonotonicTime sent) {
  refused_[peer] = sent;
}

void Freshness::SetPeers(std::vector<Peer> peers) { peers_ = std::move(peers); }

void Freshness::OnAccepted(Revision revision) {
  accepted_ = std::max(accepted_, revision);
}

Freshness::Decision Freshness::Decide(Revision held, MonotonicTime now) const {
  if (held < accepted_) {
    return {Stale{"a newer configuration is known to be accepted"}, now};
  }
  if (auto decision = DecideByStore(now)) return *decision;
  if (auto decision = DecideByPeers(now)) return *decision;
  if (auto decision = DecideByOutage(now)) return *decision;
  return {Stale{"neither the store nor a peer in contact with it confirms the "
                "configuration"},
          now};
}

std::optional<Freshness::Decision> Freshness::DecideByStore(
    MonotonicTime now) const {
  if (!confirmed_at_ || now >= *confirmed_at_ + max_age_) return std::nullopt;
  return Decision{Confirmed{AgeOf(*confirmed_at_, now)},
                  *confirmed_at_ + max_age_};
}

std::optional<Freshness::Decision> Freshness::DecideByPeers(
    MonotonicTime now) const {
  std::optional<MonotonicTime> newest;
  MemberId peer;
  for (const auto& [member, witness] : witnesses_) {
    if (!witness.confirmed_at) continue;
    if (newest && *newest >= *witness.confirmed_at) continue;
    newest = witness.confirmed_at;
    peer = member;
  }
  if (!newest || now >= *newest + max_age_) return std::nullopt;
  return Decision{ConfirmedByPeer{AgeOf(*newest, now), peer},
                  *newest + max_age_};
}

// A list of which nobody answered is no evidence: all of it may have been
// replaced by members that are not known here. A member that is gone counts
// only if it had said, since we ourselves lost contact, that it had none:
// otherwise it may have had a change accepted that it could tell nobody. A
// member whose process does not listen is gone as long as that is recent: it
// may be started again.
std::optional<Freshness::Decision> Freshness::DecideByOutage(
    MonotonicTime now) const {
  if (!peers_) return std::nullopt;
  int64_t witnesses = 0;
  MonotonicTime oldest = now;
  for (const Peer& peer : *peers_) {
    auto found = witnesses_.find(peer.member);
    if (found == witnesses_.end()) return std::nullopt;
    const Witness& witness = found->second;
    if (witness.in_contact) return std::nullopt;
    const bool said = !confirmed_at_ || witness.sent > *confirmed_at_;
    if (peer.gone && said) continue;
    const auto refused = refused_.find(peer.member);
    if (refused != refused_.end() && said) {
      oldest = std::min(oldest, refused->second);
      continue;
    }
    oldest = std::min(oldest, witness.sent);
    ++witnesses;
  }
  if (witnesses == 0 || now >= oldest + max_age_) return std::nullopt;
  return Decision{OutageEvident{AgeOf(oldest, now), witnesses},
                  oldest + max_age_};
}

std::optional<MonotonicTime> Freshness::OthersCutUntil(
    MonotonicTime now) const {
  const std::optional<Decision> decision = DecideByOutage(now);
  if (!decision) return std::nullopt;
  return decision->valid_until;
}

bool Freshness::in_contact(MonotonicTime now) const {
  return confirmed_at_ && !last_request_failed_ &&
         now < *confirmed_at_ + contact_limit_;
}

Duration Freshness::store_contact_age(MonotonicTime now) const {
  if (!confirmed_at_) return Duration::max();
  return AgeOf(*confirmed_at_, now);
}

}  // namespace azurepass::configuration
