// What a stand-in store keeps: keys, leases and a bounded history of changes.
// Nothing here does I/O or knows an encoding; the time is passed in. The store
// of our own tests and the platform's (platform/testing) both answer from it.

#ifndef AZUREPASS_TESTING_STANDIN_STORE_DATA_H_
#define AZUREPASS_TESTING_STANDIN_STORE_DATA_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"
#include "azurepass/store/store.h"

namespace azurepass::testing {

class StoreData {
 public:
  // Watches can go back `history_bound` changes.
  explicit StoreData(int64_t history_bound) : history_bound_(history_bound) {}

  struct NoSuchLease {};
  using PutResult = std::variant<store::Written, store::Conflict, NoSuchLease>;
  using DeleteResult = std::variant<store::Written, store::Conflict>;

  store::Value Get(const std::string& key) const;
  store::Listing List(const std::string& prefix, const std::string& from,
                      int64_t limit) const;
  PutResult Put(const std::string& key, std::string value,
                std::optional<store::Version> expected,
                const std::string& lease);
  DeleteResult Delete(const std::string& key,
                      std::optional<store::Version> expected);

  // Writes of several keys that happen all at one revision, or not at all.
  struct Condition {
    std::string key;
    store::Version version = store::kAbsent;  // kAbsent: no such key.
  };
  struct Write {
    std::string key;
    std::string value;
    std::string lease;  // Empty: none.
  };
  struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Write> writes;
    std::vector<std::string> removed;
  };
  struct ConditionsFailed {
    std::vector<store::Entry> current;  // Of the keys that exist.
  };
  using CommitResult =
      std::variant<store::Written, ConditionsFailed, NoSuchLease>;
  CommitResult Commit(Transaction transaction);

  std::string Grant(Duration ttl, MonotonicTime now);
  bool Renew(const std::string& lease, MonotonicTime now);
  // Removes the keys of the lease, too.
  void Revoke(const std::string& lease);
  // Revokes the leases that have run out.
  void Expire(MonotonicTime now);
  // When the next lease runs out.
  std::optional<MonotonicTime> next_expiry() const;

  // What changed below `prefix` after a revision, the latest state of each key
  // alone; empty when that revision is older than the history.
  std::optional<store::Changes> ChangesAfter(const std::string& prefix,
                                             Revision after) const;
  Revision revision() const { return revision_; }

 private:
  struct Item {
    std::string value;
    store::Version version = store::kAbsent;
    std::string lease;
  };
  struct Lease {
    Duration ttl{0};
    MonotonicTime until;
    std::set<std::string> keys;
  };
  struct LogEntry {
    int64_t revision = 0;
    std::string key;
  };

  std::optional<store::Entry> Find(const std::string& key) const;
  // Notes a change at the present revision.
  void Log(const std::string& key);
  int64_t NextRevision() { return ++revision_.value; }
  void Set(const std::string& key, std::string value, const std::string& lease);
  void Remove(const std::string& key);

  int64_t history_bound_;
  Revision revision_;
  std::map<std::string, Item> items_;
  // Each lease's `keys` are those items whose `lease` names it.
  std::map<std::string, Lease> leases_;
  int64_t leases_granted_ = 0;
  std::deque<LogEntry> history_;  // By revision.
  int64_t forgotten_ = 0;  // Of changes up to this revision some are dropped.
};

}  // namespace azurepass::testing

#endif  // AZUREPASS_TESTING_STANDIN_STORE_DATA_H_
