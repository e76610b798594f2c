// One conditional write, carried on until its outcome is certain or the time
// is over. Pure: replies of the store come in, the next step comes out.
//
// The value written carries a change id that no other write has. After a lost
// answer the key is read back:
//
//   * our change id is there: the write was accepted;
//   * the version is still the expected one: the write is repeated. Should the
//     first one arrive late, one of the two fails on its condition, and the
//     conflict shows our own change id;
//   * something else is there: either our write never was, or it was accepted
//     and then replaced. Nobody can tell, so the effect is "unknown".
//
// A deletion leaves no value: the absence of the key counts as its success.

#ifndef AZUREPASS_OPERATORS_INTERNAL_SETTLED_WRITE_H_
#define AZUREPASS_OPERATORS_INTERNAL_SETTLED_WRITE_H_

#include <optional>
#include <random>
#include <string>
#include <variant>

#include "azurepass/core/core.h"
#include "azurepass/store/store.h"

namespace azurepass::operators::internal {

inline constexpr Duration kMinSettleBackoff{50};
inline constexpr Duration kMaxSettleBackoff{1'000};

// What is to be written.
struct Change {
  std::string key;
  std::optional<std::string> value;  // With its change id; empty: deletion.
  std::string change_id;
  store::Version expected = store::kAbsent;
};

// Steps.
struct SendWrite {};
struct ReadBack {};
struct WaitAndReadBack {
  Duration delay{0};
};
struct Accepted {
  store::Version version = store::kAbsent;  // Of the value; of a deletion 0.
};
struct Lost {
  Effect effect = Effect::kNotRun;
  std::optional<store::Entry> current;
};
struct Failed {
  Effect effect = Effect::kNotRun;
  std::string message;
};
using Step =
    std::variant<SendWrite, ReadBack, WaitAndReadBack, Accepted, Lost, Failed>;

// The change id in a stored value; empty when there is none.
std::string ChangeIdOf(const std::string& value);

class SettledWrite {
 public:
  SettledWrite(Change change, MonotonicTime deadline, uint64_t seed);

  const Change& change() const { return change_; }

  // The first step is to send the write.
  Step On(const store::WriteReply& reply, MonotonicTime now);
  Step On(const store::GetReply& reply, MonotonicTime now);

 private:
  Step OnFound(const std::optional<store::Entry>& current, bool read_back);
  Step OnError(const store::Error& error, MonotonicTime now);
  Step Backoff(const std::string& message, MonotonicTime now);
  bool IsOurs(const store::Entry& entry) const;

  Change change_;
  MonotonicTime deadline_;
  Duration backoff_ = kMinSettleBackoff;
  bool unsettled_ = false;  // An answer to a write was lost.
  std::minstd_rand random_;
};

}  // namespace azurepass::operators::internal

#endif  // AZUREPASS_OPERATORS_INTERNAL_SETTLED_WRITE_H_
