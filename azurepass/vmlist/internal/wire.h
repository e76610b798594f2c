// The VM list's JSON document: {"generation": 7, "vms": {"vm-1": "live"}}.

#ifndef AZUREPASS_VMLIST_INTERNAL_WIRE_H_
#define AZUREPASS_VMLIST_INTERNAL_WIRE_H_

#include "azurepass/codec/codec.h"
#include "azurepass/vmlist/vmlist.h"

namespace azurepass::vmlist::internal {

// Room for tens of thousands of VMs.
inline constexpr codec::ParseLimits kDocumentLimits{
    .max_bytes = size_t{4} << 20, .max_depth = 4, .allow_comments = false};

}  // namespace azurepass::vmlist::internal

namespace azurepass::codec {

template <>
struct Format<vmlist::Snapshot> {
  static vmlist::Snapshot Read(ObjectReader& reader);
  static Json Write(const vmlist::Snapshot& value);
};

}  // namespace azurepass::codec

#endif  // AZUREPASS_VMLIST_INTERNAL_WIRE_H_
