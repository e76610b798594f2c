// A stand-in store's keys, leases and history.

#include "azurepass/testing/standin/store_data.h"

#include <algorithm>

namespace azurepass::testing {
namespace {

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

store::Version VersionOf(const std::optional<store::Entry>& entry) {
  return entry ? entry->version : store::kAbsent;
}

}  // namespace

std::optional<store::Entry> StoreData::Find(const std::string& key) const {
  const auto found = items_.find(key);
  if (found == items_.end()) return {};
  return store::Entry{key, found->second.value, found->second.version};
}

store::Value StoreData::Get(const std::string& key) const {
  return {Find(key), revision_};
}

store::Listing StoreData::List(const std::string& prefix,
                               const std::string& from, int64_t limit) const {
  store::Listing listing{{}, revision_};
  for (auto it = items_.lower_bound(std::max(prefix, from));
       it != items_.end() && StartsWith(it->first, prefix) &&
       std::ssize(listing.entries) < limit;
       ++it) {
    listing.entries.push_back(
        {it->first, it->second.value, it->second.version});
  }
  return listing;
}

StoreData::PutResult StoreData::Put(const std::string& key, std::string value,
                                    std::optional<store::Version> expected,
                                    const std::string& lease) {
  if (!lease.empty() && !leases_.contains(lease)) return NoSuchLease{};
  const std::optional<store::Entry> there = Find(key);
  if (expected && *expected != VersionOf(there)) return store::Conflict{there};
  NextRevision();
  Set(key, std::move(value), lease);
  return store::Written{revision_.value};
}

StoreData::DeleteResult StoreData::Delete(
    const std::string& key, std::optional<store::Version> expected) {
  const std::optional<store::Entry> there = Find(key);
  if (expected && *expected != VersionOf(there)) return store::Conflict{there};
  if (!there) return store::Written{revision_.value};
  NextRevision();
  Remove(key);
  return store::Written{revision_.value};
}

StoreData::CommitResult StoreData::Commit(Transaction transaction) {
  ConditionsFailed failed;
  bool holds = true;
  for (const Condition& condition : transaction.conditions) {
    std::optional<store::Entry> there = Find(condition.key);
    holds = holds && condition.version == VersionOf(there);
    if (there) failed.current.push_back(*std::move(there));
  }
  if (!holds) return failed;
  for (const Write& write : transaction.writes) {
    if (!write.lease.empty() && !leases_.contains(write.lease)) {
      return NoSuchLease{};
    }
  }
  NextRevision();
  for (Write& write : transaction.writes) {
    Set(write.key, std::move(write.value), write.lease);
  }
  for (const std::string& key : transaction.removed) {
    if (items_.contains(key)) Remove(key);
  }
  return store::Written{revision_.value};
}

std::string StoreData::Grant(Duration ttl, MonotonicTime now) {
  std::string lease = std::to_string(++leases_granted_);
  leases_[lease] = {ttl, now + ttl, {}};
  return lease;
}

bool StoreData::Renew(const std::string& lease, MonotonicTime now) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) return false;
  found->second.until = now + found->second.ttl;
  return true;
}

void StoreData::Revoke(const std::string& lease) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) return;
  const std::set<std::string> keys = std::move(found->second.keys);
  leases_.erase(found);
  for (const std::string& key : keys) {
    NextRevision();
    Remove(key);
  }
}

void StoreData::Expire(MonotonicTime now) {
  std::vector<std::string> expired;
  for (const auto& [id, lease] : leases_) {
    if (lease.until <= now) expired.push_back(id);
  }
  for (const std::string& id : expired) Revoke(id);
}

std::optional<MonotonicTime> StoreData::next_expiry() const {
  std::optional<MonotonicTime> next;
  for (const auto& [id, lease] : leases_) {
    next = std::min(next.value_or(lease.until), lease.until);
  }
  return next;
}

std::optional<store::Changes> StoreData::ChangesAfter(const std::string& prefix,
                                                      Revision after) const {
  if (after > revision_) return {};
  if (after.value < forgotten_) return {};
  store::Changes changes{{}, revision_};
  std::set<std::string> keys;
  for (auto it = std::upper_bound(history_.begin(), history_.end(), after.value,
                                  [](int64_t revision, const LogEntry&entry) {
                                    return revision < entry.revision;
                                  });
       it != history_.end(); ++it) {
    if (StartsWith(it->key, prefix)) keys.insert(it->key);
  }
  for (const std::string& key : keys) {
    changes.changes.push_back({key, Find(key)});
  }
  return changes;
}

void StoreData::Log(const std::string& key) {
  history_.push_back({revision_.value, key});
  if (std::ssize(history_) <= history_bound_) return;
  forgotten_ = history_.front().revision;
  history_.pop_front();
}

void StoreData::Set(const std::string& key, std::string value,
                    const std::string& lease) {
  Item& item = items_[key];
  const auto former = leases_.find(item.lease);
  if (former != leases_.end()) former->second.keys.erase(key);
  item = {std::move(value), revision_.value, lease};
  if (!lease.empty()) leases_[lease].keys.insert(key);
  Log(key);
}

void StoreData::Remove(const std::string& key) {
  const auto found = items_.find(key);
  const auto lease = leases_.find(found->second.lease);
  if (lease != leases_.end()) lease->second.keys.erase(key);
  items_.erase(found);
  Log(key);
}

}  // namespace azurepass::testing
