// Every message reads back as it was written; what is not one is refused.

#include "azurepass/entry/internal/message_formats.h"

#include <doctest/doctest.h>

namespace azurepass::entry::internal {
namespace {

constexpr int64_t kMaxBytes = 1 << 20;

JobSpec SpecOfTwo() {
  JobSpec spec;
  spec.queue = QueueId("vision");
  spec.tasks = 2;
  spec.task = Resources(1, 2, 3'000, 4'000, 1);
  return spec;
}

MemberNews NewsOf(const std::string& name) {
  return {MemberId(name),  "10.0.0.1:70",     3, 4, Revision{5},
          Duration::max(), {PartitionId("p")}};
}

placement::Explanation FullExplanation() {
  placement::GroupExplanation group;
  group.zone = ZoneId("plovdiv-a");
  group.tightest = Dimension::kAccelerators;
  group.best_score = -0.5;
  group.verdict = "chosen";
  placement::Explanation explanation;
  explanation.job = JobId("p.1");
  explanation.waiting = placement::WaitReason::kAllowance;
  explanation.groups = {group, {}};
  explanation.latest = placement::Start{{JobId("p.1"), 7}, VmId("v"), 1.5, 9};
  return explanation;
}

Status FullStatus() {
  partition::Status status;
  status.partition = PartitionId("p");
  status.epoch = Epoch{3};
  status.cell.capacity = Resources(8, 64, 32'000, 64'000, 0);
  status.committed = {{TeamId("rilapak"), Resources(1, 1, 1, 1, 1)}};
  return {MemberId("m"), Revision{9}, {status}};
}

ConfigurationPulled FullPulled() {
  ConfigurationPulled pulled;
  pulled.member = MemberId("m");
  pulled.configuration.revision = Revision{12};
  Contract& contract = pulled.configuration.contracts[TeamId("rilapak")];
  contract.team = TeamId("rilapak");
  contract.zones = {ZoneId("plovdiv-a")};
  contract.version = 12;
  pulled.since = Revision{11};
  pulled.store_contact_age = Duration::max();
  pulled.in_contact = true;
  return pulled;
}

TEST_CASE("requests read back as they were written") {
  const partition::SubmitJob submit{PartitionId("p"), TeamId("rilapak"),
                                    RequestId("r"), SpecOfTwo(), Revision{7}};
  const Request requests[] = {
      submit,
      partition::GetJob{TeamId("t"), JobId("p.1"), 4, Duration(900)},
      partition::CancelJob{TeamId("t"), JobId("p.1")},
      partition::ExplainJob{TeamId("t"), JobId("p.1")},
      GetStatus{},
      Gossip{{NewsOf("a"), NewsOf("b")}},
      PullConfiguration{Revision{8}},
      PullConfiguration{Revision{8}, "digest", false}};
  for (const Request& request : requests) {
    const std::string body = EncodeRequest(request);
    auto decoded = DecodeRequest(PathOf(request), body, kMaxBytes);
    REQUIRE(std::holds_alternative<Request>(decoded));
    CHECK(std::get<Request>(decoded).index() == request.index());
    CHECK(EncodeRequest(std::get<Request>(decoded)) == body);
  }
}

TEST_CASE("responses read back as they were written") {
  JobView view;
  view.id = JobId("p.1");
  view.spec = SpecOfTwo();
  view.tasks = {{}, {}};
  const Response responses[] = {
      view,
      FullExplanation(),
      FullStatus(),
      Gossip{{NewsOf("a")}},
      FullPulled(),
      Refusal{RefusalCode::kQueueFull, Effect::kUnknown, "full", Duration(5)}};
  for (const Response& response : responses) {
    const std::string body = EncodeResponse(response);
    auto decoded = DecodeResponse(body, kMaxBytes);
    REQUIRE(std::holds_alternative<Response>(decoded));
    CHECK(std::get<Response>(decoded).index() == response.index());
    CHECK(EncodeResponse(std::get<Response>(decoded)) == body);
  }
}

TEST_CASE("what is not a message is refused") {
  const std::string status = EncodeRequest(GetStatus{});
  const struct {
    std::string path;
    std::string body;
    codec::ErrorCode code;
  } cases[] = {
      {"/v1/other", status, codec::ErrorCode::kOutOfRange},
      {"/v1/status", "\xff", codec::ErrorCode::kMalformed},
      {"/v1/status", "", codec::ErrorCode::kMalformed},
      {"/v1/pull", status, codec::ErrorCode::kMissingField},
      {"/v1/status", EncodeRequest(PullConfiguration{}),
       codec::ErrorCode::kUnknownField},
      {"/v1/status", std::string(kMaxBytes + 1, '\0'),
       codec::ErrorCode::kTooLarge},
  };
  for (const auto& c : cases) {
    auto decoded = DecodeRequest(c.path, c.body, kMaxBytes);
    REQUIRE(std::holds_alternative<codec::Error>(decoded));
    CHECK(std::get<codec::Error>(decoded).code == c.code);
  }
  CHECK(
      std::holds_alternative<codec::Error>(DecodeResponse(status, kMaxBytes)));
}

}  // namespace
}  // namespace azurepass::entry::internal
