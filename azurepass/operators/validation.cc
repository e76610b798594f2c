// Which contracts may be written.

#include <algorithm>

#include "azurepass/operators/operators.h"

namespace azurepass::operators {
namespace {

constexpr size_t kMaxNameChars = 64;

bool IsName(const std::string& text) {
  if (text.empty() || text.size() > kMaxNameChars) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  });
}

std::string NameRule(const std::string& path) {
  return path + ": must be 1 to " + std::to_string(kMaxNameChars) +
         " letters, digits, '-', '_' or '.'";
}

std::string Element(const std::string& list, size_t index) {
  return list + "[" + std::to_string(index) + "]";
}

template <class IdType>
std::string ListOf(const std::set<IdType>& names) {
  std::string list;
  for (const IdType& name : names) {
    list += (list.empty() ? "" : ", ") + name.value();
  }
  return list;
}

std::optional<std::string> ProblemOfZones(const Contract& contract,
                                          const KnownNames& known) {
  if (contract.zones.empty()) return "zones: must name a zone";
  std::set<ZoneId> seen;
  for (size_t i = 0; i < contract.zones.size(); ++i) {
    const ZoneId& zone = contract.zones[i];
    const std::string path = Element("zones", i);
    if (!known.zones.contains(zone)) {
      return path + ": the cell has no zone " + zone.value() + "; it has " +
             ListOf(known.zones);
    }
    if (!seen.insert(zone).second) return path + ": is there twice";
  }
  return std::nullopt;
}

std::optional<std::string> ProblemOfQueues(const Contract& contract,
                                           const KnownNames& known) {
  std::set<QueueId> seen;
  for (size_t i = 0; i < contract.queues.size(); ++i) {
    const QueueSpec& queue = contract.queues[i];
    const std::string path = Element("queues", i);
    if (!IsName(queue.name.value())) return NameRule(path + ".name");
    if (!seen.insert(queue.name).second) {
      return path + ".name: the queue " + queue.name.value() +
             " is there twice";
    }
    if (!known.services.contains(queue.service)) {
      return path + ".service: the cell has no service " +
             queue.service.value() + "; it has " + ListOf(known.services);
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> Problem(const Contract& contract,
                                   const KnownNames& known) {
  if (!IsName(contract.team.value())) return NameRule("team");
  if (contract.share < 1) return "share: must be at least 1";
  if (!contract.upper_limit.IsNonNegative()) {
    return "upper_limit: must not be negative";
  }
  if (auto problem = ProblemOfZones(contract, known)) return problem;
  return ProblemOfQueues(contract, known);
}

}  // namespace azurepass::operators
