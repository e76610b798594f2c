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

QueueRecord MakeQueue(const std::string& name, const std::string& service,
                      const std::string& prefix) {
  QueueRecord queue;
  queue.queue = QueueId(name);
  queue.service = ServiceId(service);
  queue.host = "h";
  queue.path_prefix = prefix;
  return queue;
}

// Guards against accepted jobs that can't be found once their queue is renamed
// or given to another service.
TEST_CASE("queues of earlier configurations are kept where they differ") {
  struct Case {
    std::string name;
    std::vector<std::vector<QueueRecord>> configurations;
    std::vector<QueueRecord> former;
  };
  const QueueRecord at_intake = MakeQueue("a", "intake", "/a/");
  const QueueRecord at_vision = MakeQueue("a", "vision", "/a/");
  const QueueRecord renamed = MakeQueue("b", "intake", "/a/");
  QueueRecord slower = at_intake;
  slower.stretch = 2;
  QueueRecord with_permits = at_intake;
  with_permits.permits = PermitTerms{Duration(1), {}, Duration(2'000)};
  const Case cases[] = {
      {"unchanged", {{at_intake}, {at_intake}}, {}},
      {"other objective", {{at_intake}, {slower}}, {}},
      {"other service", {{at_intake}, {at_vision}}, {at_intake}},
      {"there and back", {{at_intake}, {at_vision}, {at_intake}}, {at_vision}},
      {"other name", {{at_intake}, {renamed}}, {at_intake}},
      {"removed", {{at_intake}, {}}, {at_intake}},
      {"permits end", {{with_permits}, {at_intake}}, {with_permits}},
      {"two queues swap prefixes",
       {{at_intake, MakeQueue("c", "vision", "/c/")},
        {MakeQueue("a", "intake", "/c/"), MakeQueue("c", "vision", "/a/")}},
       {at_intake, MakeQueue("c", "vision", "/c/")}},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    Register held;
    int64_t revision = 0;
    for (const auto& queues : c.configurations) {
      store::Listing listing;
      listing.revision = Revision{++revision};
      for (const QueueRecord& queue : queues) {
        listing.entries.push_back(
            {StoreKey(queue.queue), codec::Write(queue).dump(), revision});
      }
      held.Replace(listing);
    }
    std::vector<FormerQueue> expected;
    expected.reserve(c.former.size());
    for (const QueueRecord& queue : c.former) {
      expected.push_back(ToFormerQueue(queue));
    }
    CHECK(held.configuration()->former_queues == expected);
  }
}

TEST_CASE("recalled queues are added unless they are in force") {
  Register held;
  const QueueRecord now = MakeQueue("a", "vision", "/a/");
  held.Replace(
      {{{StoreKey(now.queue), codec::Write(now).dump(), 1}}, Revision{1}});
  const std::string digest = held.digest();
  const FormerQueue before = ToFormerQueue(MakeQueue("a", "intake", "/a/"));
  held.Recall({before, ToFormerQueue(now)});
  held.Recall({before});
  CHECK(held.configuration()->former_queues == std::vector{before});
  CHECK(held.digest() == digest);
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

// Guards against whole configurations that travel between processes which hold
// the same one, because they read it at different times.
TEST_CASE("a peer that holds the same records is told the revision alone") {
  Register early;
  Register late;
  early.Replace({{ZoneEntry("a", false, 3)}, Revision{5}});
  late.Replace({{ZoneEntry("a", false, 3)}, Revision{9}});
  CHECK(early.digest() == late.digest());
  const auto answer = late.Answer({early.revision(), early.digest(), false});
  CHECK_FALSE(answer.withheld);
  CHECK(answer.since == early.revision());
  CHECK(answer.configuration.zones.empty());
  early.Adopt(answer);
  CHECK(early.revision() == Revision{9});
  CHECK(early.configuration()->zones.size() == 1);

  late.Replace({{ZoneEntry("a", false, 10)}, Revision{10}});
  CHECK(early.digest() != late.digest());
  const auto withheld = late.Answer({early.revision(), early.digest(), false});
  CHECK(withheld.withheld);
  CHECK(withheld.configuration.zones.empty());
  CHECK_FALSE(early.Adopt(withheld));
  CHECK(early.revision() == Revision{9});
  early.Adopt(late.Answer({early.revision(), early.digest(), true}));
  CHECK(early.digest() == late.digest());
  // Nothing is withheld from who is not behind.
  CHECK_FALSE(early.Answer({Revision{10}, "other", false}).withheld);
}

TEST_CASE("a change that is complete below a prefix removes the rest there") {
  ServiceRecord service;
  service.service = ServiceId("s");
  const store::Entry kept{StoreKey(service.service),
                          codec::Write(service).dump(), 3};
  Register held;
  held.Replace({{kept, ZoneEntry("a", false, 3), ZoneEntry("b", false, 3)},
                Revision{3}});
  store::Changes changes{{{StoreKey(ZoneId("b")), ZoneEntry("b", true, 5)},
                          {StoreKey(ZoneId("c")), ZoneEntry("c", false, 5)}},
                         Revision{5},
                         {std::string(kPrefix) + "zones/"}};
  CHECK(held.Apply(changes));
  const auto& zones = held.configuration()->zones;
  CHECK(zones.size() == 2);
  CHECK(zones.at(ZoneId("b")).in_service);
  CHECK(zones.contains(ZoneId("c")));
  CHECK(held.configuration()->services.size() == 1);
  // Who is further back gets the whole, for something was removed since.
  CHECK_FALSE(held.Answer({Revision{4}}).since.has_value());
  CHECK(held.Answer({Revision{5}}).since.has_value());
}

TEST_CASE("a delta is given only when nothing was removed since") {
  Register held;
  held.Replace({{ZoneEntry("a", true, 1)}, Revision{1}});
  held.Apply({{{StoreKey(ZoneId("b")), ZoneEntry("b", true, 2)}}, Revision{2}});
  CHECK(held.Answer({Revision{1}}).since == Revision{1});
  CHECK(held.Answer({Revision{1}}).configuration.zones.size() == 1);
  held.Apply({{{StoreKey(ZoneId("a")), {}}}, Revision{3}});
  CHECK_FALSE(held.Answer({Revision{2}}).since.has_value());
  CHECK(held.Answer({Revision{3}}).since == Revision{3});
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
      held.Adopt(registers[Pick(0, 2)].Answer({Revision{asked}}));
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
