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

// A big configuration was listed again and again, and never came into force.
TEST_CASE("a complete answer that exceeds the page is the whole listing") {
  Inbox<Event> events;
  task::Loop loop;
  Options options;
  options.prefix = "config/";
  options.page_entries = 3;
  // As the platform's adapter: all that follows from one document, whatever
  // part of it was asked for.
  int listings = 0;
  task::Mailbox<store::Request> store(loop, [&](const store::Request& request) {
    const auto* list = std::get_if<store::List>(&request);
    if (list == nullptr || ++listings > 1) return;
    store::Listing listing{{}, Revision{5}, /*complete=*/true};
    for (size_t i = 0; i < kKeys; ++i) {
      listing.entries.push_back({"config/key-" + std::to_string(i), "", 5});
    }
    list->reply_to.Send(listing);
  });
  Follower follower(loop, options, store.address(), events.address());
  loop.Start();
  const std::optional<Event> first = events.TakeWithin(std::chrono::seconds(5));
  loop.Stop();
  REQUIRE(first.has_value());
  CHECK(std::get<Replaced>(*first).listing.entries.size() == kKeys);
}

}  // namespace
}  // namespace azurepass::follow
