// The manager's answers to other processes, without a network.

#include <doctest/doctest.h>

#include "azurepass/scheduling/scheduling.h"

namespace azurepass::scheduling {
namespace {

// Asks a manager that knows of no partition; returns the code of its refusal.
RefusalCode CodeOfUnknown(bool partitions_from_layouts) {
  task::Loop loop;
  Options options;
  options.member = MemberId("n1");
  options.partitions_from_layouts = partitions_from_layouts;
  Manager manager(loop, options, Peers{});
  std::optional<RefusalCode> code;
  const entry::Responder responder(
      task::Address<entry::Response>([&](entry::Response response) {
        code = std::get<Refusal>(response).code;
        loop.Quit();
      }));
  manager.address().Send(entry::Incoming{
      partition::GetWorkflow{PartitionId("p"), TeamId("t"), RequestId("r")},
      Duration(1'000), responder});
  loop.Run();
  REQUIRE(code.has_value());
  return *code;
}

TEST_CASE(
    "an unknown partition may be another process's, unless settings name all") {
  CHECK(CodeOfUnknown(true) == RefusalCode::kNotOwner);
  CHECK(CodeOfUnknown(false) == RefusalCode::kNotFound);
}

}  // namespace
}  // namespace azurepass::scheduling
