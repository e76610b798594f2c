// The register against the store's own history: whatever mixture of listings,
// changes, peers' deltas, repeats and old answers arrives, what is held is the
// store's content at the revision held, and the revision never falls.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "azurepass/codec/codec.h"
#include "azurepass/configuration/configuration.h"

namespace azurepass::configuration {
namespace {

store::Entry ZoneEntry(const std::string& name, bool in_service,
                       int64_t version) {
  ZoneRecord zone{ZoneId(name), in_service, 0};
  return {StoreKey(zone.zone), codec::Write(zone).dump(), version};
}

TEST_CASE("a presented secret finds its key and team") {
  Configuration configuration;
  KeyRecord key{KeyId("k"), TeamId("rilapak"), HashSecret("secret"), false, 1};
  configuration.keys[key.id] = key;
  CHECK(HashSecret("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  REQUIRE(FindKey(configuration, "secret").has_value());
  CHECK(FindKey(configuration, "secret")->team == TeamId("rilapak"));
  CHECK_FALSE(FindKey(configuration, "other").has_value());
  configuration.keys[key.id].withdrawn = true;
  CHECK_FALSE(FindKey(configuration, "secret").has_value());
}

TEST_CASE("an unreadable value leaves the record before in force") {
  const std::string bad[] = {"", "{", R"({"zone":"other"})", "[]"};
  for (const std::string& text : bad) {
    CAPTURE(text);
    Register held;
    held.Replace({{ZoneEntry("a", false, 3)}, Revision{3}});
    held.Apply({{{StoreKey(ZoneId("a")),
                  store::Entry{StoreKey(ZoneId("a")), text, 4}}},
                Revision{4}});
    CHECK(held.unreadable() == 1);
    CHECK(held.revision() == Revision{4});
    CHECK_FALSE(held.configuration()->zones.at(ZoneId("a")).in_service);
  }
}

TEST_CASE("older answers change nothing") {
  Register held;
  held.Replace({{ZoneEntry("a", false, 7)}, Revision{8}});
  const auto before = held.configuration();
  CHECK_FALSE(held.Replace({{}, Revision{7}}));
  CHECK_FALSE(held.Apply({{{StoreKey(ZoneId("a")), {}}}, Revision{7}}));
  entry::ConfigurationPulled pulled;
  pulled.configuration.revision = Revision{8};
  CHECK_FALSE(held.Adopt(pulled));
  CHECK(held.configuration() == before);
}

TEST_CASE("a delta is given only when nothing was removed since") {
  Register held;
  held.Replace({{ZoneEntry("a", true, 1)}, Revision{1}});
  held.Apply({{{StoreKey(ZoneId("b")), ZoneEntry("b", true, 2)}}, Revision{2}});
  CHECK(held.Since(Revision{1}).since == Revision{1});
  CHECK(held.Since(Revision{1}).configuration.zones.size() == 1);
  held.Apply({{{StoreKey(ZoneId("a")), {}}}, Revision{3}});
  CHECK_FALSE(held.Since(Revision{2}).since.has_value());
  CHECK(held.Since(Revision{3}).since == Revision{3});
}

// The store's history of a few zones, and what it would answer.
class History {
 public:
  History() : states_(1) {}

  void Write(const std::string& zone, bool in_service) {
    states_.push_back(states_.back());
    states_.back()[zone] = ZoneEntry(zone, in_service, now());
  }
  void Remove(const std::string& zone) {
    states_.push_back(states_.back());
    states_.back().erase(zone);
  }
  int64_t now() const { return static_cast<int64_t>(states_.size()) - 1; }

  // Keys up to `split` as of `first`, the others as of `second`: two pages.
  store::Listing List(int64_t first, int64_t second,
                      const std::string& split) const {
    store::Listing listing{{}, Revision{first}};
    for (const auto& [zone, entry] : states_[first]) {
      if (zone <= split) listing.entries.push_back(entry);
    }
    for (const auto& [zone, entry] : states_[second]) {
      if (zone > split) listing.entries.push_back(entry);
    }
    return listing;
  }
  store::Changes Changes(int64_t after, int64_t until) const {
    store::Changes changes{{}, Revision{until}};
    for (int64_t r = after + 1; r <= until; ++r) {
      for (const char* zone : {"a", "b", "c", "d"}) {
        std::optional<store::Entry> was = Find(r - 1, zone);
        std::optional<store::Entry> is = Find(r, zone);
        const bool same = was.has_value() == is.has_value() &&
                          (!is.has_value() || was->version == is->version);
        if (!same) changes.changes.push_back({StoreKey(ZoneId(zone)), is});
      }
    }
    return changes;
  }
  std::map<ZoneId, ZoneRecord> At(int64_t revision) const {
    std::map<ZoneId, ZoneRecord> zones;
    for (const auto& [name, entry] : states_[revision]) {
      const ZoneId zone(name);
      const bool in_service = entry.value.find("true") != std::string::npos;
      zones[zone] = {zone, in_service, entry.version};
    }
    return zones;
  }

  // Whether it is absent at some later revision.
  bool IsAbsentAfter(int64_t revision, const ZoneId& zone) const {
    for (int64_t r = revision + 1; r <= now(); ++r) {
      if (!states_[r].contains(zone.value())) return true;
    }
    return false;
  }

 private:
  std::optional<store::Entry> Find(int64_t revision,
                                   const std::string& zone) const {
    auto found = states_[revision].find(zone);
    if (found == states_[revision].end()) return std::nullopt;
    return found->second;
  }
  // The content after each revision.
  std::vector<std::map<std::string, store::Entry>> states_;
};

int64_t Pick(int64_t low, int64_t high) {
  return *rc::gen::inRange(low, high + 1);
}

// One register meets one answer, possibly an old one.
void Step(const History& history, std::vector<Register>& registers) {
  Register& held = registers[Pick(0, 2)];
  const int64_t now = history.now();
  const int64_t cursor = held.cursor().value;
  switch (Pick(0, 3)) {
    case 0:
      held.Apply(history.Changes(cursor, Pick(cursor, now)));
      break;
    case 1: {
      const int64_t revision = Pick(0, now);
      held.Replace(history.List(revision, revision, "z"));
      break;
    }
    case 2: {
      // Two pages, and then the changes after the first.
      const int64_t first = Pick(0, now);
      held.Replace(history.List(first, Pick(first, now), "b"));
      const int64_t read = held.cursor().value;
      held.Apply(history.Changes(read, Pick(read, now)));
      break;
    }
    default: {
      const int64_t asked = Pick(0, now);
      held.Adopt(registers[Pick(0, 2)].Since(Revision{asked}));
    }
  }
}

// A record may be ahead of the revision held (a later page of a listing), also
// by its removal; all others are the store's at that revision, and no record
// goes back.
void Check(const Configuration& held, const Configuration& before,
           const History& history) {
  RC_ASSERT(held.revision >= before.revision);
  auto expected = history.At(held.revision.value);
  for (const auto& [zone, record] : held.zones) {
    if (record.version > held.revision.value) expected[zone] = record;
    auto was = before.zones.find(zone);
    if (was == before.zones.end()) continue;
    RC_ASSERT(record.version >= was->second.version);
  }
  std::erase_if(expected, [&](const auto& item) {
    const ZoneId& zone = item.first;
    return !held.zones.contains(zone) &&
           history.IsAbsentAfter(held.revision.value, zone);
  });
  RC_ASSERT(held.zones == expected);
}

TEST_CASE("what is held is the store's content at the revision held") {
  const bool ok = rc::check([] {
    History history;
    std::vector<Register> registers(3);
    const int64_t steps = Pick(1, 60);
    for (int64_t i = 0; i < steps; ++i) {
      const std::string zone(1, static_cast<char>('a' + Pick(0, 3)));
      if (Pick(0, 2) == 0) {
        if (Pick(0, 3) == 0)
          history.Remove(zone);
        else
          history.Write(zone, Pick(0, 1) == 1);
      }
      const std::vector<Register> before = registers;
      Step(history, registers);
      for (size_t r = 0; r < registers.size(); ++r) {
        Check(*registers[r].configuration(), *before[r].configuration(),
              history);
      }
    }
  });
  CHECK(ok);
}

}  // namespace
}  // namespace azurepass::configuration
