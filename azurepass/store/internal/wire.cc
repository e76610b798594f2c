// Reading and writing the store's documents.

#include "azurepass/store/internal/wire.h"

namespace azurepass::codec {
namespace {

using store::internal::EntryDocument;
using store::internal::GrantDocument;
using store::internal::LeaseDocument;
using store::internal::PutDocument;
using store::internal::WrittenDocument;

constexpr int64_t kMaxInt = std::numeric_limits<int64_t>::max();
constexpr Duration kMaxTtl{3'600'000};

std::optional<store::Entry> ReadEntry(ObjectReader& reader) {
  if (!reader.Has("entry")) return {};
  return reader.Object<store::Entry>("entry");
}

Revision ReadRevision(ObjectReader& reader) {
  return Revision{reader.Int("revision", 0, kMaxInt)};
}

}  // namespace

store::Entry Format<store::Entry>::Read(ObjectReader& reader) {
  store::Entry entry;
  entry.key = reader.String("key");
  entry.value = reader.String("value");
  entry.version = reader.Int("version", 1, kMaxInt);
  return entry;
}

Json Format<store::Entry>::Write(const store::Entry& value) {
  return {
      {"key", value.key}, {"value", value.value}, {"version", value.version}};
}

EntryDocument Format<EntryDocument>::Read(ObjectReader& reader) {
  EntryDocument document;
  document.entry = ReadEntry(reader);
  document.revision = ReadRevision(reader);
  return document;
}

Json Format<EntryDocument>::Write(const EntryDocument& value) {
  Json out = {{"revision", value.revision.value}};
  if (value.entry) out["entry"] = codec::Write(*value.entry);
  return out;
}

PutDocument Format<PutDocument>::Read(ObjectReader& reader) {
  PutDocument document;
  document.value = reader.String("value");
  if (reader.Has("expected")) {
    document.expected = reader.Int("expected", 0, kMaxInt);
  }
  document.lease = reader.String("lease", "");
  return document;
}

Json Format<PutDocument>::Write(const PutDocument& value) {
  Json out = {{"value", value.value}};
  if (value.expected) out["expected"] = *value.expected;
  if (!value.lease.empty()) out["lease"] = value.lease;
  return out;
}

WrittenDocument Format<WrittenDocument>::Read(ObjectReader& reader) {
  return {reader.Int("version", 0, kMaxInt)};
}

Json Format<WrittenDocument>::Write(const WrittenDocument& value) {
  return {{"version", value.version}};
}

GrantDocument Format<GrantDocument>::Read(ObjectReader& reader) {
  return {reader.Millis("ttl_ms", Duration(1), kMaxTtl)};
}

Json Format<GrantDocument>::Write(const GrantDocument& value) {
  return {{"ttl_ms", value.ttl.count()}};
}

LeaseDocument Format<LeaseDocument>::Read(ObjectReader& reader) {
  return {reader.String("lease")};
}

Json Format<LeaseDocument>::Write(const LeaseDocument& value) {
  return {{"lease", value.lease}};
}

store::Listing Format<store::Listing>::Read(ObjectReader& reader) {
  store::Listing listing;
  listing.entries = reader.Objects<store::Entry>("entries");
  listing.revision = ReadRevision(reader);
  return listing;
}

Json Format<store::Listing>::Write(const store::Listing& value) {
  return {{"entries", WriteAll(value.entries)},
          {"revision", value.revision.value}};
}

store::Change Format<store::Change>::Read(ObjectReader& reader) {
  store::Change change;
  change.key = reader.String("key");
  change.entry = ReadEntry(reader);
  return change;
}

Json Format<store::Change>::Write(const store::Change& value) {
  Json out = {{"key", value.key}};
  if (value.entry) out["entry"] = codec::Write(*value.entry);
  return out;
}

store::Changes Format<store::Changes>::Read(ObjectReader& reader) {
  store::Changes changes;
  changes.changes = reader.Objects<store::Change>("changes");
  changes.revision = ReadRevision(reader);
  return changes;
}

Json Format<store::Changes>::Write(const store::Changes& value) {
  return {{"changes", WriteAll(value.changes)},
          {"revision", value.revision.value}};
}

}  // namespace azurepass::codec
