// The records of a configuration by their keys in the store: parsing, and the
// two operations that keep the newer of two versions.

#ifndef AZUREPASS_CONFIGURATION_INTERNAL_RECORDS_H_
#define AZUREPASS_CONFIGURATION_INTERNAL_RECORDS_H_

#include <optional>
#include <string_view>
#include <variant>

#include "azurepass/core/core.h"
#include "azurepass/store/store.h"

namespace azurepass::configuration::internal {

using RecordId = std::variant<TeamId, KeyId, ZoneId, QueueId, ServiceId>;
using Record =
    std::variant<Contract, KeyRecord, ZoneRecord, QueueRecord, ServiceRecord>;

// Which record a store key names; empty when it names none.
std::optional<RecordId> ParseStoreKey(std::string_view key);

// The record in an entry, with the entry's version; empty when the text is not
// one or belongs under another key.
std::optional<Record> ParseEntry(const store::Entry& entry);

// Puts a record in unless one of the same or a higher version is there.
// Returns whether it did.
bool PutNewer(Configuration& configuration, const Record& record);
// Removes a record unless it was written after `at`. Returns whether it did.
bool RemoveOlder(Configuration& configuration, const RecordId& id, Revision at);

}  // namespace azurepass::configuration::internal

#endif  // AZUREPASS_CONFIGURATION_INTERNAL_RECORDS_H_
