// JSON formats of records, submissions and snapshots.

#ifndef AZUREPASS_JOURNAL_INTERNAL_RECORD_FORMATS_H_
#define AZUREPASS_JOURNAL_INTERNAL_RECORD_FORMATS_H_

#include "azurepass/codec/codec.h"
#include "azurepass/partition/partition.h"

namespace azurepass::codec {

// A record is an object whose field "record" names the alternative of the
// variant.
template <>
struct Format<partition::Record> {
  static partition::Record Read(ObjectReader& reader);
  static Json Write(const partition::Record& value);
};
template <>
struct Format<partition::JobSubmitted> {
  static partition::JobSubmitted Read(ObjectReader& reader);
  static Json Write(const partition::JobSubmitted& value);
};
template <>
struct Format<partition::WorkflowSubmitted> {
  static partition::WorkflowSubmitted Read(ObjectReader& reader);
  static Json Write(const partition::WorkflowSubmitted& value);
};
template <>
struct Format<partition::WorkflowSnapshot> {
  static partition::WorkflowSnapshot Read(ObjectReader& reader);
  static Json Write(const partition::WorkflowSnapshot& value);
};
template <>
struct Format<partition::TaskSnapshot> {
  static partition::TaskSnapshot Read(ObjectReader& reader);
  static Json Write(const partition::TaskSnapshot& value);
};

}  // namespace azurepass::codec

#endif  // AZUREPASS_JOURNAL_INTERNAL_RECORD_FORMATS_H_
