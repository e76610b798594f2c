// The parts of a stand-in and its control address.

#include "azurepass/testing/standin/standin.h"

#include <memory>
#include <optional>

#include "azurepass/http/http.h"
#include "azurepass/testing/standin/internal/store_task.h"
#include "azurepass/testing/standin/internal/vm_list_task.h"
#include "azurepass/testing/standin/internal/worker_task.h"

namespace azurepass::testing {
namespace {

using internal::FaultRule;
using internal::SetFault;

std::string IpOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

}  // namespace

class Standin::Impl {
 public:
  Impl(task::Loop& loop, StandinOptions options);

  std::variant<StandinAddresses, StandinProblem> Listen(
      const std::string& address);

 private:
  void HandleControl(const http::ServerRequest& request,
                     const http::Responder& responder);
  void SetTargetFault(const http::ServerRequest& request,
                      const http::Responder& responder);
  void SetVm(const http::ServerRequest& request,
             const http::Responder& responder);
  // Remembers the first problem.
  template <class Part>
  std::string Open(Part& part, const std::string& address);
  std::string NextAddress(const std::string& first);

  StandinOptions options_;
  std::optional<internal::StoreTask> store_;
  std::optional<internal::VmListTask> vmlist_;
  std::map<VmId, std::unique_ptr<internal::WorkerTask>> workers_;
  std::map<std::string, task::Address<SetFault>> targets_;
  std::optional<std::string> problem_;
  bool first_used_ = false;
  http::Server control_;
};

Standin::Impl::Impl(task::Loop& loop, StandinOptions options)
    : options_(std::move(options)),
      control_(loop, [this](const http::ServerRequest& request,
                            const http::Responder& responder) {
        HandleControl(request, responder);
      }) {
  if (options_.store) {
    store_.emplace(loop, options_.store_history);
    targets_["store"] = store_->faults();
  }
  if (options_.vmlist) {
    vmlist_.emplace(loop, options_.cell, options_.vmlist_lag);
    targets_["vmlist"] = vmlist_->address();
  }
  if (!options_.workers) return;
  for (const WorkerSpec& spec : options_.cell) {
    auto worker = std::make_unique<internal::WorkerTask>(loop, spec);
    targets_[spec.vm.value()] = worker->address();
    workers_[spec.vm] = std::move(worker);
  }
}

std::variant<StandinAddresses, StandinProblem> Standin::Impl::Listen(
    const std::string& address) {
  StandinAddresses addresses;
  if (store_) addresses.store = Open(*store_, NextAddress(address));
  if (vmlist_) addresses.vmlist = Open(*vmlist_, NextAddress(address));
  for (const WorkerSpec& spec : options_.cell) {
    const auto worker = workers_.find(spec.vm);
    if (worker == workers_.end()) continue;
    addresses.workers[spec.vm] = Open(*worker->second, spec.address);
  }
  addresses.control = Open(control_, NextAddress(address));
  if (problem_) return StandinProblem{*problem_};
  return addresses;
}

std::string Standin::Impl::NextAddress(const std::string& first) {
  if (!std::exchange(first_used_, true)) return first;
  return IpOf(first) + ":0";
}

template <class Part>
std::string Standin::Impl::Open(Part& part, const std::string& address) {
  const auto result = part.Listen(address);
  if (const auto* bound = std::get_if<http::Server::Bound>(&result)) {
    return bound->address;
  }
  if (!problem_) problem_ = std::get<http::Server::Problem>(result).message;
  return "";
}

void Standin::Impl::HandleControl(const http::ServerRequest& request,
                                  const http::Responder& responder) {
  if (request.path == "/v1/faults") {
    SetTargetFault(request, responder);
  } else if (request.path == "/v1/vms") {
    SetVm(request, responder);
  } else {
    responder.Answer(http::kNotFound, "no such path");
  }
}

void Standin::Impl::SetTargetFault(const http::ServerRequest& request,
                                   const http::Responder& responder) {
  const auto target = targets_.find(request.Query("target"));
  if (target == targets_.end()) {
    return responder.Answer(http::kNotFound, "no such target");
  }
  const auto rule =
      codec::Try([&request] { return codec::Decode<FaultRule>(request.body); });
  if (const auto* error = std::get_if<codec::Error>(&rule)) {
    return responder.Answer(http::kBadRequest, error->ToString());
  }
  target->second.Send(
      {std::get<FaultRule>(rule),
       task::Address<std::monostate>([responder](std::monostate) {
         responder.Answer(http::kOk, "{}");
       })});
}

void Standin::Impl::SetVm(const http::ServerRequest& request,
                          const http::Responder& responder) {
  const VmId vm(request.Query("vm"));
  const std::string state = request.Query("state");
  const bool replaced = state == "replaced";
  if (!replaced && state != "leaving" && state != "gone") {
    return responder.Answer(http::kBadRequest, "state");
  }
  const auto worker = workers_.find(vm);
  if (worker != workers_.end()) {
    if (replaced) worker->second->address().Send(internal::VmReplaced{});
    if (state == "gone") worker->second->address().Send(internal::VmGone{});
  }
  if (vmlist_) {
    internal::SetVm change{vm, {}};
    if (replaced) change.state = VmState::kLive;
    if (state == "leaving") change.state = VmState::kLeaving;
    vmlist_->address().Send(change);
  }
  responder.Answer(http::kOk, "{}");
}

Standin::Standin(task::Loop& loop, StandinOptions options)
    : impl_(std::make_unique<Impl>(loop, std::move(options))) {}

Standin::~Standin() = default;

std::variant<StandinAddresses, StandinProblem> Standin::Listen(
    const std::string& address) {
  return impl_->Listen(address);
}

}  // namespace azurepass::testing
