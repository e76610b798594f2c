// The store's JSON documents, as its clients and its stand-in write them.

#ifndef AZUREPASS_STORE_INTERNAL_WIRE_H_
#define AZUREPASS_STORE_INTERNAL_WIRE_H_

#include <optional>
#include <string>
#include <vector>

#include "azurepass/codec/codec.h"
#include "azurepass/store/store.h"

namespace azurepass::store::internal {

// A value of this size is kept, a larger one is refused.
inline constexpr size_t kMaxValueBytes = size_t{1} << 20;
// A document: every byte of a value may need an escape of six, and a listing
// holds several values.
inline constexpr codec::ParseLimits kDocumentLimits{
    .max_bytes = size_t{64} << 20, .max_depth = 8, .allow_comments = false};

struct EntryDocument {
  std::optional<Entry> entry;
  Revision revision;
};
struct PutDocument {
  std::string value;
  std::optional<Version> expected;
  std::string lease;
};
struct WrittenDocument {
  Version version = kAbsent;
};
struct GrantDocument {
  Duration ttl{0};
};
struct LeaseDocument {
  std::string lease;
};

}  // namespace azurepass::store::internal

namespace azurepass::codec {

template <>
struct Format<store::Entry> {
  static store::Entry Read(ObjectReader& reader);
  static Json Write(const store::Entry& value);
};
template <>
struct Format<store::internal::EntryDocument> {
  static store::internal::EntryDocument Read(ObjectReader& reader);
  static Json Write(const store::internal::EntryDocument& value);
};
template <>
struct Format<store::internal::PutDocument> {
  static store::internal::PutDocument Read(ObjectReader& reader);
  static Json Write(const store::internal::PutDocument& value);
};
template <>
struct Format<store::internal::WrittenDocument> {
  static store::internal::WrittenDocument Read(ObjectReader& reader);
  static Json Write(const store::internal::WrittenDocument& value);
};
template <>
struct Format<store::internal::GrantDocument> {
  static store::internal::GrantDocument Read(ObjectReader& reader);
  static Json Write(const store::internal::GrantDocument& value);
};
template <>
struct Format<store::internal::LeaseDocument> {
  static store::internal::LeaseDocument Read(ObjectReader& reader);
  static Json Write(const store::internal::LeaseDocument& value);
};
template <>
struct Format<store::Listing> {
  static store::Listing Read(ObjectReader& reader);
  static Json Write(const store::Listing& value);
};
template <>
struct Format<store::Change> {
  static store::Change Read(ObjectReader& reader);
  static Json Write(const store::Change& value);
};
template <>
struct Format<store::Changes> {
  static store::Changes Read(ObjectReader& reader);
  static Json Write(const store::Changes& value);
};

}  // namespace azurepass::codec

#endif  // AZUREPASS_STORE_INTERNAL_WIRE_H_
