// See settled_write.h.

#include "azurepass/operators/internal/settled_write.h"

#include <algorithm>

#include "azurepass/codec/codec.h"

namespace azurepass::operators::internal {

std::string ChangeIdOf(const std::string& value) {
  const codec::Json document =
      codec::Json::parse(value, nullptr, /*allow_exceptions=*/false);
  if (!document.is_object()) return "";
  auto found = document.find("change");
  if (found == document.end() || !found->is_string()) return "";
  return found->get<std::string>();
}

SettledWrite::SettledWrite(Change change, MonotonicTime deadline, uint64_t seed)
    : change_(std::move(change)),
      deadline_(deadline),
      random_(static_cast<std::minstd_rand::result_type>(seed)) {}

bool SettledWrite::IsOurs(const store::Entry& entry) const {
  return change_.value && ChangeIdOf(entry.value) == change_.change_id;
}

Step SettledWrite::On(const store::WriteReply& reply, MonotonicTime now) {
  return std::visit(
      Visitor{[](const store::Written& written) -> Step {
                return Accepted{written.version};
              },
              [this](const store::Conflict& conflict) {
                return OnFound(conflict.current, /*read_back=*/false);
              },
              [&](const store::Error& error) { return OnError(error, now); }},
      reply);
}

Step SettledWrite::On(const store::GetReply& reply, MonotonicTime now) {
  return std::visit(Visitor{[this](const store::Value& value) {
                              return OnFound(value.entry, /*read_back=*/true);
                            },
                            [&](const store::Error& error) {
                              return Backoff(error.message, now);
                            }},
                    reply);
}

Step SettledWrite::OnFound(const std::optional<store::Entry>& current,
                           bool read_back) {
  if (current && IsOurs(*current)) return Accepted{current->version};
  if (!current && !change_.value && unsettled_) return Accepted{};
  const store::Version version = current ? current->version : store::kAbsent;
  if (read_back && version == change_.expected) return SendWrite{};
  return Lost{unsettled_ ? Effect::kUnknown : Effect::kNotRun, current};
}

Step SettledWrite::OnError(const store::Error& error, MonotonicTime now) {
  if (error.code == store::ErrorCode::kOutcomeUnknown) {
    unsettled_ = true;
    return now < deadline_ ? Step(ReadBack{}) : Backoff(error.message, now);
  }
  // This try certainly had no effect; an earlier one may have.
  if (!unsettled_) return Failed{Effect::kNotRun, error.message};
  return Backoff(error.message, now);
}

Step SettledWrite::Backoff(const std::string& message, MonotonicTime now) {
  if (now >= deadline_) return Failed{Effect::kUnknown, message};
  std::uniform_int_distribution<Duration::rep> jitter(backoff_.count() / 2,
                                                      backoff_.count());
  const Duration delay(jitter(random_));
  backoff_ = std::min(backoff_ * 2, kMaxSettleBackoff);
  return WaitAndReadBack{delay};
}

}  // namespace azurepass::operators::internal
