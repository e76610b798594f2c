// Gossip's pure half: whose heartbeat was heard when, what to pass on, whom to
// talk to.
//
// Cost. Each member sends `fanout` messages a round, of at most `bound` news,
// whatever the number of members: traffic for each is constant, for all it
// grows with n. In return the age of what is known of a member grows with n
// too, and with it the silence that means something (SuspicionAfter).

#include <algorithm>
#include <random>
#include <utility>

#include "azurepass/membership/membership.h"

namespace azurepass::membership {
namespace {

bool IsNewer(const entry::MemberNews& a, const entry::MemberNews& b) {
  return std::pair(a.incarnation, a.heartbeat) >
         std::pair(b.incarnation, b.heartbeat);
}

// Moves `count` random elements to the front.
template <class T>
void MoveRandomToFront(std::vector<T>& items, size_t count, uint64_t seed) {
  std::mt19937_64 random(seed);
  for (size_t i = 0; i < count; ++i) {
    std::uniform_int_distribution<size_t> pick(i, items.size() - 1);
    std::swap(items[i], items[pick(random)]);
  }
}

// Without overflow: Duration::max() stands for "never".
Duration Older(Duration age, Duration by) {
  return age > Duration::max() - by ? Duration::max() : age + by;
}

}  // namespace

Table::Table(entry::MemberNews self) : self_(std::move(self)) {}

void Table::Merge(const std::vector<entry::MemberNews>& news,
                  MonotonicTime now) {
  for (const entry::MemberNews& item : news) {
    if (item.member == self_.member || item.member.empty()) continue;
    auto found = heard_.find(item.member);
    if (found == heard_.end()) {
      heard_[item.member] = {item, now, 0};
      continue;
    }
    Heard& heard = found->second;
    if (!IsNewer(item, heard.news)) continue;
    const entry::MemberNews before = std::exchange(heard.news, item);
    heard.at = now;
    heard.passed = 0;
    // What is passed on is short: the rest stays as it was.
    const bool is_short = item.address.empty();
    if (is_short && item.incarnation == before.incarnation) {
      heard.news.address = before.address;
      heard.news.owned = before.owned;
    }
  }
}

void Table::Beat(Revision revision, Duration store_contact_age,
                 std::vector<PartitionId> owned) {
  ++self_.heartbeat;
  self_.revision = revision;
  self_.store_contact_age = store_contact_age;
  self_.owned = std::move(owned);
}

void Table::Forget(const MemberId& member) { heard_.erase(member); }

std::vector<entry::MemberNews> Table::NewsToSend(int64_t bound, uint64_t random,
                                                 MonotonicTime now) {
  std::vector<Heard*> others;
  others.reserve(heard_.size());
  for (auto& [member, heard] : heard_) others.push_back(&heard);
  const auto count = std::min<size_t>(
      others.size(), static_cast<size_t>(std::max<int64_t>(0, bound - 1)));
  MoveRandomToFront(others, others.size(), random);
  std::stable_sort(others.begin(), others.end(),
                   [](auto* a, auto* b) { return a->passed < b->passed; });
  for (size_t i = 0; i < count; ++i) ++others[i]->passed;
  std::vector<entry::MemberNews> news = {self_};
  news.reserve(count + 1);
  for (size_t i = 0; i < count; ++i) {
    entry::MemberNews item = others[i]->news;
    const auto held = std::chrono::ceil<Duration>(now - others[i]->at);
    item.store_contact_age = Older(item.store_contact_age, held);
    item.address.clear();
    item.owned.clear();
    news.push_back(std::move(item));
  }
  return news;
}

std::optional<MonotonicTime> Table::HeardAt(const MemberId& member) const {
  auto found = heard_.find(member);
  if (found == heard_.end()) return std::nullopt;
  return found->second.at;
}

std::vector<MemberId> Table::members() const {
  std::vector<MemberId> members;
  members.reserve(heard_.size());
  for (const auto& [member, heard] : heard_) members.push_back(member);
  return members;
}

const entry::MemberNews* Table::Find(const MemberId& member) const {
  auto found = heard_.find(member);
  return found == heard_.end() ? nullptr : &found->second.news;
}

std::vector<MemberId> ChooseGossipPeers(std::vector<MemberId> candidates,
                                        int64_t fanout, uint64_t random) {
  const auto count = std::min<size_t>(
      candidates.size(), static_cast<size_t>(std::max<int64_t>(0, fanout)));
  MoveRandomToFront(candidates, count, random);
  candidates.resize(count);
  return candidates;
}

Duration SuspicionAfter(Duration base, int64_t members) {
  if (members <= kSuspicionMembers) return base;
  return base * members / kSuspicionMembers;
}

}  // namespace azurepass::membership
