// Reads /proc/ID/stat and /proc/ID/statm.

#include "azurepass/testing/system/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <iterator>
#include <sstream>

namespace azurepass::testing {
namespace {

// Fields of /proc/ID/stat between the program's name and utime.
constexpr int kFieldsBeforeUserTime = 11;
constexpr int64_t kMillisPerSecond = 1'000;

}  // namespace

ProcessUsage ReadProcessUsage(const std::string& process_id) {
  ProcessUsage usage;
  std::ifstream file("/proc/" + process_id + "/stat");
  const std::string stat{std::istreambuf_iterator<char>(file), {}};
  // The name is in parentheses and may itself hold blanks and parentheses.
  const size_t name_end = stat.rfind(')');
  if (name_end == std::string::npos) return usage;
  std::istringstream fields(stat.substr(name_end + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) fields >> skipped;
  int64_t user = 0;
  int64_t system = 0;
  fields >> user >> system;
  usage.processor =
      Duration((user + system) * kMillisPerSecond / sysconf(_SC_CLK_TCK));

  std::ifstream memory("/proc/" + process_id + "/statm");
  int64_t total_pages = 0;
  int64_t resident_pages = 0;
  memory >> total_pages >> resident_pages;
  usage.resident_bytes = resident_pages * sysconf(_SC_PAGESIZE);
  return usage;
}

}  // namespace azurepass::testing
