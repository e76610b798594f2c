// JSON formats of journal records, batches, snapshots and manifests. Fields
// have short names, since their bytes are paid for with each start.

#ifndef AZUREPASS_JOURNAL_INTERNAL_FORMATS_H_
#define AZUREPASS_JOURNAL_INTERNAL_FORMATS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "azurepass/codec/codec.h"
#include "azurepass/partition/partition.h"

namespace azurepass::journal::internal {

// Names the snapshot that counts.
struct Manifest {
  int64_t through = 0;
  int64_t next_job_number = 1;
  std::string id;  // Of the folder of its chunks.
  int64_t chunks = 0;
};

// The jobs of one chunk.
struct Chunk {
  std::vector<partition::JobSnapshot> jobs;
};

}  // namespace azurepass::journal::internal

namespace azurepass::codec {

template <>
struct Format<partition::Record> {
  static partition::Record Read(ObjectReader& reader);
  static Json Write(const partition::Record& value);
};
template <>
struct Format<partition::Batch> {
  static partition::Batch Read(ObjectReader& reader);
  static Json Write(const partition::Batch& value);
};
template <>
struct Format<partition::TaskSnapshot> {
  static partition::TaskSnapshot Read(ObjectReader& reader);
  static Json Write(const partition::TaskSnapshot& value);
};
template <>
struct Format<partition::JobSnapshot> {
  static partition::JobSnapshot Read(ObjectReader& reader);
  static Json Write(const partition::JobSnapshot& value);
};
template <>
struct Format<journal::internal::Chunk> {
  static journal::internal::Chunk Read(ObjectReader& reader);
  static Json Write(const journal::internal::Chunk& value);
};
template <>
struct Format<journal::internal::Manifest> {
  static journal::internal::Manifest Read(ObjectReader& reader);
  static Json Write(const journal::internal::Manifest& value);
};

}  // namespace azurepass::codec

#endif  // AZUREPASS_JOURNAL_INTERNAL_FORMATS_H_
