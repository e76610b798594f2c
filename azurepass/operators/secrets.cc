// See secrets.h.

#include "azurepass/operators/internal/secrets.h"

#include <sys/random.h>

#include <vector>

namespace azurepass::operators::internal {

std::optional<std::string> RandomHex(int bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::vector<unsigned char> random(bytes);
  // Up to 256 bytes are never cut short.
  if (getrandom(random.data(), random.size(), 0) != bytes) return std::nullopt;
  std::string text;
  for (const unsigned char byte : random) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

bool EqualInConstantTime(const std::string& a, const std::string& b) {
  if (a.size() != b.size()) return false;
  int difference = 0;
  for (size_t i = 0; i < a.size(); ++i) difference |= a[i] ^ b[i];
  return difference == 0;
}

}  // namespace azurepass::operators::internal
