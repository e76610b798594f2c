// Keys and ids from the kernel's random numbers.

#ifndef AZUREPASS_OPERATORS_INTERNAL_SECRETS_H_
#define AZUREPASS_OPERATORS_INTERNAL_SECRETS_H_

#include <optional>
#include <string>

namespace azurepass::operators::internal {

inline constexpr int kSecretBytes = 32;
inline constexpr int kIdBytes = 8;

// `bytes` random bytes in hexadecimal; empty when the kernel gives none.
std::optional<std::string> RandomHex(int bytes);

// Whether two texts are equal, in a time that depends on their lengths only.
bool EqualInConstantTime(const std::string& a, const std::string& b);

}  // namespace azurepass::operators::internal

#endif  // AZUREPASS_OPERATORS_INTERNAL_SECRETS_H_
