// Good settings load; each kind of bad ones is one problem with its path.

#include "azurepass/settings/settings.h"

#include <doctest/doctest.h>

#include <string>

namespace azurepass::settings {
namespace {

constexpr char kGoodCell[] = R"({
  // The platform.
  "store_address": "127.0.0.1:7001",
  "vm_list_address": "127.0.0.1:7002",
  "partitions": [{
    "id": "intake-0", "service": "intake",
    "worker_groups": [{
      "prefix": "in-a", "zone": "plovdiv-a", "count": 3,
      "workers_per_rack": 2, "ip": "127.0.0.1", "first_port": 9000,
      "capacity": {"slots": 8, "millicores": 32000}
    }]
  }]
})";

std::string Replaced(std::string text, const std::string& from,
                     const std::string& to) {
  text.replace(text.find(from), from.size(), to);
  return text;
}

TEST_CASE("a worker group is expanded into racks and ports") {
  auto loaded = ParseCell(kGoodCell, "cell.json");
  REQUIRE(std::holds_alternative<CellSettings>(loaded));
  const auto& cell = std::get<CellSettings>(loaded);
  const auto& workers = cell.partitions.at(0).workers;
  REQUIRE(workers.size() == 3);
  CHECK(workers[2].vm == VmId("in-a-2"));
  CHECK(workers[1].rack == RackId("in-a-rack-0"));
  CHECK(workers[2].rack == RackId("in-a-rack-1"));
  CHECK(workers[2].address == "127.0.0.1:9002");
  CHECK(cell.Zones() == std::vector<ZoneId>{ZoneId("plovdiv-a")});
  CHECK(cell.PartitionsOf(ServiceId("intake")).size() == 1);
  CHECK(cell.PartitionsOf(ServiceId("vision")).empty());
}

TEST_CASE("a bad cell is one problem with the field's path") {
  struct Case {
    std::string from;
    std::string to;
    std::string path;
  };
  const Case cases[] = {
      {"\"store_address\"", "\"stor_address\"", "store_address"},
      {"127.0.0.1:7001", "", "store_address"},
      {"\"partitions\"",
       "\"budgets\": {\"min_divided_tasks\": -1}, \"partitions\"",
       "budgets.min_divided_tasks"},
      {"127.0.0.1:7001", "store.example:7001", "store_address"},
      {"127.0.0.1:7002", "127.0.0.1:70020", "vm_list_address"},
      {"127.0.0.1:7002", "127.0.0.1", "vm_list_address"},
      {"\"ip\": \"127.0.0.1\"", "\"ip\": \"host\"", "partitions[0]"},
      {"\"count\": 3", "\"count\": \"3\"",
       "partitions[0].worker_groups[0].count"},
      {"\"count\": 3", "\"count\": 0", "partitions[0].worker_groups[0].count"},
      {"\"first_port\": 9000", "\"first_port\": 65535",
       "partitions[0].worker_groups[0].first_port"},
      {"\"partitions\"",
       "\"timing\": {\"worker_hold_ms\": 9000}, "
       "\"partitions\"",
       "timing.worker_hold_ms"},
      {"\"partitions\"",
       "\"timing\": {\"worker_lease_margin_ms\": 500}, \"partitions\"",
       "timing.worker_lease_margin_ms"},
      {"\"partitions\"", "\"budgets\": {\"writes\": 1}, \"partitions\"",
       "budgets.writes"},
      {"\"worker_groups\"", "\"groups\"", "partitions[0].groups"},
  };
  for (const Case& bad : cases) {
    CAPTURE(bad.to);
    auto loaded = ParseCell(Replaced(kGoodCell, bad.from, bad.to), "cell.json");
    const auto* problem = std::get_if<Problem>(&loaded);
    REQUIRE(problem != nullptr);
    CHECK(problem->path == bad.path);
    CHECK(problem->ToString().starts_with("cell.json: " + bad.path + ": "));
  }
}

TEST_CASE("the worker lease and the hold keep within what workers grant") {
  struct Case {
    const char* limit;
    Duration lease;
    Duration hold;
  };
  const Case cases[] = {
      {"", Duration(6'000), Duration(2'000)},
      {", \"worker_lease_limit_ms\": 10000", Duration(6'000), Duration(2'000)},
      {", \"worker_lease_limit_ms\": 5000", Duration(5'000), Duration(2'000)},
      {", \"worker_lease_limit_ms\": 3000", Duration(3'000), Duration(1'500)},
  };
  for (const Case& c : cases) {
    CAPTURE(c.limit);
    const std::string timing =
        std::string("\"timing\": {\"worker_lease_ms\": 6000, ") +
        "\"worker_hold_ms\": 2000" + c.limit + "}, \"partitions\"";
    auto loaded =
        ParseCell(Replaced(kGoodCell, "\"partitions\"", timing), "cell.json");
    const auto* cell = std::get_if<CellSettings>(&loaded);
    REQUIRE(cell != nullptr);
    CHECK(cell->timing.worker_lease == c.lease);
    CHECK(cell->timing.worker_hold == c.hold);
  }
}

TEST_CASE("the settings files that come with the source are valid") {
  struct Case {
    const char* file;
    size_t workers;
  };
  const Case cells[] = {{"rilapak-bg-south.json", 48},
                        {"presion-viva-altiplano-oeste.json", 48}};
  for (const Case& c : cells) {
    CAPTURE(c.file);
    auto loaded = LoadCell(std::string(AZUREPASS_SETTINGS) + "/" + c.file);
    REQUIRE(std::holds_alternative<CellSettings>(loaded));
    size_t workers = 0;
    for (const auto& p : std::get<CellSettings>(loaded).partitions) {
      workers += p.workers.size();
    }
    CHECK(workers == c.workers);
  }
  for (const char* file : {"scheduler-example.json", "frontend-example.json"}) {
    CAPTURE(file);
    auto loaded = LoadProcess(std::string(AZUREPASS_SETTINGS) + "/" + file);
    CHECK(std::holds_alternative<ProcessSettings>(loaded));
  }
}

TEST_CASE("a file that can't be opened is a problem without a path") {
  auto loaded = LoadCell("/nonexistent/cell.json");
  CHECK(std::get<Problem>(loaded).path.empty());
}

TEST_CASE("an operators' address needs the hash of their key") {
  const std::string text = R"({"member": "f1", "zone": "plovdiv-a",
    "entry_address": "127.0.0.1:0", "operator_address": "127.0.0.1:0"})";
  CHECK(std::get<Problem>(ParseProcess(text, "p")).path ==
        "operator_key_sha256");
}

constexpr char kNode[] = R"({
  "process": {"member": "front-0", "zone": "plovdiv-a",
              "entry_address": "127.0.0.1:7180",
              "http_address": "127.0.0.1:8686"},
  "ready_address": "127.0.0.1:8689",
  "store_address": "127.0.0.1:8683",
  "zones": ["plovdiv-a"],
  MORE
})";

std::string NodeWith(const std::string& more) {
  std::string text = kNode;
  const std::string place = "  MORE\n";
  const size_t at = text.find(place);
  if (more.empty()) {
    text.erase(text.rfind(',', at), 1);
    text.erase(text.find(place), place.size());
    return text;
  }
  return text.replace(at, place.size(), more);
}

// Guards against a node that behaves otherwise than before where its settings
// do not ask for it.
TEST_CASE("a node's settings for overload are off unless they are set") {
  const auto loaded = ParseNode(NodeWith(""), "node.json");
  REQUIRE(std::holds_alternative<NodeSettings>(loaded));
  const auto& node = std::get<NodeSettings>(loaded);
  CHECK(node.permits == PermitSettings{});
  CHECK(node.permits.short_cost == Duration(0));
  CHECK(node.permits.ejection == Duration(0));
  CHECK_FALSE(node.overload.refuse_unserviceable);
  CHECK_FALSE(node.overload.least_work_first);
  CHECK_FALSE(node.overload.learn_worker_speeds);
  CHECK(node.clients.max_body_bytes == 262'144);
}

TEST_CASE("a bad node is one problem with the field's path") {
  struct Case {
    std::string more;
    std::string path;
  };
  const Case cases[] = {
      {R"("permits": {"reserved_percent": 10})", "permits.reserved_percent"},
      {R"("permits": {"short_cost_ms": 100, "reserved_percent": 51})",
       "permits.reserved_percent"},
      {R"("permits": {"ejection_ms": -1})", "permits.ejection_ms"},
      {R"("permits": {"first_workers": 101})", "permits.first_workers"},
      {R"("overload": {"refuse": true})", "overload.refuse"},
      {R"("overload": {"least_work_first": 1})", "overload.least_work_first"},
      {R"("clients": {"vm_memory_mib": 16})", "clients.vm_memory_mib"},
      {R"("clients": {"max_body_bytes": 1048576, "vm_memory_mib": 8})",
       "clients.vm_memory_mib"},
      {R"("clients": {"vm_descriptors": 512})", "clients.vm_descriptors"},
      {R"("clients": {"max_body_bytes": 4194304})", "clients.max_body_bytes"},
  };
  for (const Case& c : cases) {
    CAPTURE(c.more);
    const auto loaded = ParseNode(NodeWith(c.more), "node.json");
    REQUIRE(std::holds_alternative<Problem>(loaded));
    CHECK(std::get<Problem>(loaded).path == c.path);
  }
}

}  // namespace
}  // namespace azurepass::settings
