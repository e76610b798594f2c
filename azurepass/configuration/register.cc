// The configuration held, and how it moves forward.
//
// Each record carries the revision that wrote it, so two copies of a record
// are ordered by themselves, and a copy of the whole is exact up to its
// revision: it misses nothing written or removed at or before it. That is why
// a delta needs no history: everything written after R has a version above R,
// and the revision of the latest removal tells whether something has vanished
// since R, which only the whole can show.

#include <glib.h>

#include <algorithm>
#include <set>
#include <utility>

#include "azurepass/configuration/configuration.h"
#include "azurepass/configuration/internal/former_queues.h"
#include "azurepass/configuration/internal/records.h"

namespace azurepass::configuration {
namespace {

using internal::Record;
using internal::RecordId;

// Removes what is in `configuration` and not in `present`, unless it was
// written after `at`. Returns whether anything was removed.
template <class IdType, class Value>
bool RemoveOthers(Configuration& configuration,
                  const std::map<IdType, Value>& held,
                  const std::set<RecordId>& present, Revision at) {
  std::vector<RecordId> absent;
  for (const auto& [id, value] : held) {
    if (!present.contains(RecordId(id))) absent.emplace_back(id);
  }
  bool removed = false;
  for (const RecordId& id : absent) {
    removed |= internal::RemoveOlder(configuration, id, at);
  }
  return removed;
}

bool RemoveAllOthers(Configuration& configuration,
                     const std::set<RecordId>& present, Revision at) {
  bool removed =
      RemoveOthers(configuration, configuration.contracts, present, at);
  removed |= RemoveOthers(configuration, configuration.keys, present, at);
  removed |= RemoveOthers(configuration, configuration.zones, present, at);
  removed |= RemoveOthers(configuration, configuration.queues, present, at);
  removed |= RemoveOthers(configuration, configuration.services, present, at);
  return removed;
}

template <class IdType, class Value>
void CopyNewer(const std::map<IdType, Value>& from, Revision after,
               std::map<IdType, Value>& to) {
  for (const auto& [id, value] : from) {
    if (value.version > after.value) to.emplace(id, value);
  }
}

template <class Visit>
void ForEachRecord(const Configuration& configuration, Visit visit) {
  for (const auto& [id, value] : configuration.contracts) visit(id, value);
  for (const auto& [id, value] : configuration.keys) visit(id, value);
  for (const auto& [id, value] : configuration.zones) visit(id, value);
  for (const auto& [id, value] : configuration.queues) visit(id, value);
  for (const auto& [id, value] : configuration.services) visit(id, value);
}

// Removes what is held below the prefixes and not in `present`, unless it was
// written after `at`. Returns whether anything was removed.
bool RemoveOthersBelow(Configuration& configuration,
                       const std::vector<std::string>& prefixes,
                       const std::set<RecordId>& present, Revision at) {
  if (prefixes.empty()) return false;
  std::vector<RecordId> absent;
  ForEachRecord(configuration, [&](const auto& id, const auto& /*value*/) {
    if (present.contains(RecordId(id))) return;
    const std::string key = StoreKey(id);
    if (std::any_of(prefixes.begin(), prefixes.end(),
                    [&](const auto& p) { return key.starts_with(p); })) {
      absent.emplace_back(id);
    }
  });
  bool removed = false;
  for (const RecordId& id : absent) {
    removed |= internal::RemoveOlder(configuration, id, at);
  }
  return removed;
}

// In lower-case hexadecimal.
std::string Sha256(std::string_view text) {
  gchar* checksum = g_compute_checksum_for_data(
      G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(text.data()),
      text.size());
  std::string hexadecimal = checksum;
  g_free(checksum);
  return hexadecimal;
}

std::string DigestOf(const Configuration& configuration) {
  std::string versions;
  ForEachRecord(configuration, [&](const auto& id, const auto& value) {
    versions += StoreKey(id) + '\n' + std::to_string(value.version) + '\n';
  });
  return Sha256(versions);
}

}  // namespace

std::string HashSecret(std::string_view secret) { return Sha256(secret); }

std::optional<KeyRecord> FindKey(const Configuration& configuration,
                                 std::string_view secret) {
  const std::string hash = HashSecret(secret);
  for (const auto& [id, key] : configuration.keys) {
    if (key.sha256 == hash && !key.withdrawn) return key;
  }
  return std::nullopt;
}

const QueueRecord* FindQueue(const Configuration& configuration,
                             std::string_view host, std::string_view path) {
  const QueueRecord* best = nullptr;
  for (const auto& [id, queue] : configuration.queues) {
    if (queue.host != host || !path.starts_with(queue.path_prefix)) continue;
    if (best == nullptr ||
        queue.path_prefix.size() > best->path_prefix.size()) {
      best = &queue;
    }
  }
  return best;
}

Register::Register() { Hold(std::make_shared<Configuration>()); }

void Register::Hold(std::shared_ptr<Configuration> configuration) {
  if (configuration_ != nullptr) {
    internal::KeepFormerQueues(*configuration_, *configuration);
  }
  digest_ = DigestOf(*configuration);
  configuration_ = std::move(configuration);
}

void Register::Recall(const std::vector<FormerQueue>& queues) {
  auto next = std::make_shared<Configuration>(*configuration_);
  if (!internal::AddFormerQueues(queues, *next)) return;
  configuration_ = std::move(next);
}

bool Register::Replace(const store::Listing& listing) {
  if (listing.revision < cursor_) return false;
  auto next = std::make_shared<Configuration>(*configuration_);
  std::set<RecordId> present;
  bool changed = false;
  for (const store::Entry& entry : listing.entries) {
    const std::optional<RecordId> id = internal::ParseStoreKey(entry.key);
    if (!id) continue;
    present.insert(*id);
    const std::optional<Record> record = internal::ParseEntry(entry);
    if (!record) ++unreadable_;
    if (record) changed |= internal::PutNewer(*next, *record);
  }
  changed |= RemoveAllOthers(*next, present, listing.revision);
  next->revision = std::max(next->revision, listing.revision);
  last_removal_ = std::max(last_removal_, listing.revision);
  cursor_ = listing.revision;
  Hold(std::move(next));
  return changed;
}

bool Register::Apply(const store::Changes& changes) {
  if (changes.revision < cursor_) return false;
  cursor_ = changes.revision;
  if (changes.changes.empty() && changes.complete_below.empty()) return false;
  auto next = std::make_shared<Configuration>(*configuration_);
  std::set<RecordId> present;
  bool changed = false;
  for (const store::Change& change : changes.changes) {
    const std::optional<RecordId> id = internal::ParseStoreKey(change.key);
    if (!id) continue;
    present.insert(*id);
    if (!change.entry) {
      changed |= internal::RemoveOlder(*next, *id, changes.revision);
      last_removal_ = changes.revision;
      continue;
    }
    const std::optional<Record> record = internal::ParseEntry(*change.entry);
    if (!record) ++unreadable_;
    if (record) changed |= internal::PutNewer(*next, *record);
  }
  changed |= RemoveOthersBelow(*next, changes.complete_below, present,
                               changes.revision);
  // A peer may hold a record that came and went between the two revisions.
  if (!changes.complete_below.empty()) last_removal_ = changes.revision;
  next->revision = std::max(next->revision, changes.revision);
  Hold(std::move(next));
  return changed;
}

bool Register::Adopt(const entry::ConfigurationPulled& pulled) {
  const Configuration& theirs = pulled.configuration;
  if (pulled.withheld || theirs.revision <= revision()) return false;
  if (pulled.since && *pulled.since > revision()) return false;
  auto next = std::make_shared<Configuration>(*configuration_);
  std::set<RecordId> present;
  bool changed = false;
  ForEachRecord(theirs, [&](const auto& id, const auto& value) {
    present.insert(RecordId(id));
    changed |= internal::PutNewer(*next, Record(value));
  });
  if (!pulled.since) {
    changed |= RemoveAllOthers(*next, present, theirs.revision);
    last_removal_ = std::max(last_removal_, theirs.revision);
  }
  next->revision = theirs.revision;
  cursor_ = std::max(cursor_, theirs.revision);
  Hold(std::move(next));
  return changed;
}

entry::ConfigurationPulled Register::Answer(
    const entry::PullConfiguration& pull) const {
  const Revision after = pull.after;
  entry::ConfigurationPulled pulled;
  pulled.since = after;
  pulled.configuration.revision = revision();
  if (pull.digest == digest_ || after >= revision()) return pulled;
  if (!pull.content) {
    pulled.withheld = true;
    return pulled;
  }
  if (after < last_removal_) {
    pulled.since.reset();
    pulled.configuration = *configuration_;
    return pulled;
  }
  CopyNewer(configuration_->contracts, after, pulled.configuration.contracts);
  CopyNewer(configuration_->keys, after, pulled.configuration.keys);
  CopyNewer(configuration_->zones, after, pulled.configuration.zones);
  CopyNewer(configuration_->queues, after, pulled.configuration.queues);
  CopyNewer(configuration_->services, after, pulled.configuration.services);
  return pulled;
}

}  // namespace azurepass::configuration
