// A follower reads all pages of a listing, then what changes.

#include "azurepass/follow/follow.h"

#include <doctest/doctest.h>

#include <optional>

#include "azurepass/testing/fake_store.h"
#include "azurepass/testing/inbox.h"

namespace azurepass::follow {
namespace {

using testing::FakeStore;
using testing::Inbox;

store::WriteReply Write(FakeStore& fake, const std::string& key) {
  Inbox<store::WriteReply> written;
  fake.Port(2).Send(
      store::Put{key, "value", std::nullopt, "", written.address()});
  return written.Take();
}

constexpr size_t kKeys = 7;

void CheckListingByPagesOf(int64_t page_entries) {
  Inbox<Event> events;
  task::Loop loop;
  FakeStore fake(loop);
  Options options;
  options.prefix = "config/";
  options.page_entries = page_entries;
  std::optional<Follower> follower;
  loop.Start();
  for (size_t i = 0; i < kKeys; ++i) {
    Write(fake, "config/key-" + std::to_string(i));
  }
  Write(fake, "other/key");
  follower.emplace(loop, options, fake.Port(1), events.address());
  const Event first = events.TakeUntil([](const Event& event) {
    return std::holds_alternative<Replaced>(event);
  });
  CHECK(std::get<Replaced>(first).listing.entries.size() == kKeys);
  Write(fake, "config/key-0");
  const Event next = events.TakeUntil([](const Event& event) {
    const auto* changed = std::get_if<Changed>(&event);
    return changed != nullptr && !changed->changes.changes.empty();
  });
  CHECK(std::get<Changed>(next).changes.changes[0].key == "config/key-0");
  loop.Stop();
}

TEST_CASE("a listing of several pages is whole, and changes follow it") {
  for (const int64_t page_entries : {1, 2, 3, 7, 100}) {
    CAPTURE(page_entries);
    CheckListingByPagesOf(page_entries);
  }
}

}  // namespace
}  // namespace azurepass::follow
