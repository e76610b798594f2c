// The poller: one request at a time, one every interval. It names the
// generation it has, so that an unchanged list is not sent again, and passes on
// no generation lower than one it has seen.

#include <utility>

#include "azurepass/http/http.h"
#include "azurepass/vmlist/internal/wire.h"
#include "azurepass/vmlist/vmlist.h"

namespace azurepass::vmlist {

class Poller::Impl {
 public:
  Impl(task::Loop& loop, Options options, task::Address<Update> listener)
      : options_(std::move(options)),
        listener_(std::move(listener)),
        timer_(loop),
        http_(loop, {}) {
    timer_.After(Duration(0), [this] { Poll(); });
  }

 private:
  void Poll();
  void Handle(const http::Result& result, MonotonicTime asked);
  Update UpdateOf(const http::Result& result);

  Options options_;
  task::Address<Update> listener_;
  Snapshot latest_;  // Generation 0 before the first.
  task::Timer timer_;
  http::Client http_;
};

void Poller::Impl::Poll() {
  const std::string target =
      "/v1/vms?after=" + std::to_string(latest_.generation);
  const MonotonicTime asked = BootClock::now();
  http_.Send(
      {"GET", options_.address, target, "", options_.request_timeout},
      [this, asked](const http::Result& result) { Handle(result, asked); });
}

void Poller::Impl::Handle(const http::Result& result, MonotonicTime asked) {
  Update update = UpdateOf(result);
  if (auto* snapshot = std::get_if<Snapshot>(&update)) snapshot->asked = asked;
  listener_.Send(std::move(update));
  timer_.After(options_.interval, [this] { Poll(); });
}

Update Poller::Impl::UpdateOf(const http::Result& result) {
  const auto* response = std::get_if<http::Response>(&result);
  if (response == nullptr) {
    return Unavailable{std::get<http::Failure>(result).message};
  }
  if (response->status == http::kNotModified && latest_.generation > 0) {
    return latest_;
  }
  if (response->status != http::kOk) {
    return Unavailable{"status " + std::to_string(response->status)};
  }
  auto document = codec::Try([response] {
    return codec::Decode<Snapshot>(response->body, internal::kDocumentLimits);
  });
  if (const auto* error = std::get_if<codec::Error>(&document)) {
    return Unavailable{error->ToString()};
  }
  auto& snapshot = std::get<Snapshot>(document);
  if (snapshot.generation < latest_.generation) {
    return Unavailable{"generation went back"};
  }
  latest_ = std::move(snapshot);
  return latest_;
}

Poller::Poller(task::Loop& loop, Options options,
               task::Address<Update> listener)
    : impl_(std::make_shared<Impl>(loop, std::move(options),
                                   std::move(listener))) {}

Poller::~Poller() = default;

}  // namespace azurepass::vmlist
