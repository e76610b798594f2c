// The stand-in VM list's lag and its HTTP interface.

#include "azurepass/testing/standin/internal/vm_list_task.h"

#include <charconv>

#include "azurepass/vmlist/internal/wire.h"

namespace azurepass::testing::internal {
namespace {

MonotonicTime Now() { return BootClock::now(); }

std::optional<int64_t> Number(const std::string& text) {
  int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, problem] = std::from_chars(text.data(), end, value);
  if (problem != std::errc() || stop != end) return {};
  return value;
}

}  // namespace

VmListTask::VmListTask(task::Loop& loop, const std::vector<WorkerSpec>& cell,
                       Duration lag)
    : lag_(lag),
      server_(loop, [this](const http::ServerRequest& request,
                           const Reply& reply) { Handle(request, reply); }),
      mailbox_(loop, [this](const VmListMessage& m) { Receive(m); }) {
  shown_.generation = 1;
  for (const WorkerSpec& spec : cell) shown_.vms[spec.vm] = VmState::kLive;
}

void VmListTask::Receive(const VmListMessage& message) {
  std::visit(Visitor{[this](const SetFault& set) {
                       server_.SetFault(set.rule);
                       set.done.Send({});
                     },
                     [this](const SetVm& change) {
                       pending_.push_back({Now() + lag_, change});
                     }},
             message);
}

void VmListTask::Handle(const http::ServerRequest& request,
                        const Reply& reply) {
  if (request.path != "/v1/vms") {
    return reply.Answer(http::kBadRequest, "no such path");
  }
  if (request.method == "POST") return Set(request, reply);
  ApplyDue();
  if (request.Query("after") == std::to_string(shown_.generation)) {
    return reply.Answer(http::kNotModified, "");
  }
  reply.Answer(http::kOk, codec::Write(shown_).dump());
}

void VmListTask::Set(const http::ServerRequest& request, const Reply& reply) {
  if (request.query.contains("lag_ms")) {
    const std::optional<int64_t> lag = Number(request.Query("lag_ms"));
    if (!lag || *lag < 0) return reply.Answer(http::kBadRequest, "lag_ms");
    lag_ = Duration(*lag);
    return reply.Answer(http::kOk, "{}");
  }
  const std::string state = request.Query("state");
  SetVm change{VmId(request.Query("vm")), {}};
  if (state == "live") {
    change.state = VmState::kLive;
  } else if (state == "leaving") {
    change.state = VmState::kLeaving;
  } else if (state != "gone") {
    return reply.Answer(http::kBadRequest, "state");
  }
  Receive(change);
  reply.Answer(http::kOk, "{}");
}

void VmListTask::ApplyDue() {
  const MonotonicTime now = Now();
  while (!pending_.empty() && pending_.front().at <= now) {
    const SetVm change = pending_.front().change;
    pending_.pop_front();
    ++shown_.generation;
    if (change.state) {
      shown_.vms[change.vm] = *change.state;
    } else {
      shown_.vms.erase(change.vm);
    }
  }
}

}  // namespace azurepass::testing::internal
