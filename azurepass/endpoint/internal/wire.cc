// Reading and writing exchanges.

#include "azurepass/endpoint/internal/wire.h"

namespace azurepass::codec {
namespace {

using endpoint::internal::ExchangeAnswer;
using endpoint::internal::ExchangeRequest;
using endpoint::internal::FencedAnswer;

constexpr int64_t kMaxInt = std::numeric_limits<int64_t>::max();
constexpr Duration kMaxDuration{3'600'000};

}  // namespace

ExchangeRequest Format<ExchangeRequest>::Read(ObjectReader& reader) {
  ExchangeRequest request;
  request.epoch = Epoch{reader.Int("epoch", 1, kMaxInt)};
  request.lease = reader.Millis("lease_ms", Duration(1), kMaxDuration);
  request.token = reader.String("token", "");
  request.acknowledged = reader.Int("ack", 0, kMaxInt, 0);
  request.hold =
      reader.Millis("hold_ms", Duration(0), kMaxDuration, Duration(0));
  request.list = reader.Bool("list", false);
  request.orders = reader.Objects<Order>("orders", /*required=*/false);
  return request;
}

Json Format<ExchangeRequest>::Write(const ExchangeRequest& value) {
  Json out = {{"epoch", value.epoch.value}, {"lease_ms", value.lease.count()}};
  if (!value.token.empty()) out["token"] = value.token;
  if (value.acknowledged > 0) out["ack"] = value.acknowledged;
  if (value.hold > Duration(0)) out["hold_ms"] = value.hold.count();
  if (value.list) out["list"] = true;
  if (!value.orders.empty()) out["orders"] = WriteAll(value.orders);
  return out;
}

ExchangeAnswer Format<ExchangeAnswer>::Read(ObjectReader& reader) {
  ExchangeAnswer answer;
  answer.token = reader.String("token");
  answer.taken = reader.Bool("taken", false);
  answer.restarted = reader.Bool("restarted", false);
  answer.events = reader.Objects<WorkerEvent>("events", /*required=*/false);
  answer.usage = reader.Objects<Usage>("usage", /*required=*/false);
  for (const std::string& text :
       reader.Strings("running", /*required=*/false)) {
    const std::optional<AttemptId> attempt = ParseAttemptId(text);
    if (!attempt) {
      reader.Fail(ErrorCode::kOutOfRange, "running", "must hold attempt ids");
      break;
    }
    answer.running.push_back(*attempt);
  }
  return answer;
}

Json Format<ExchangeAnswer>::Write(const ExchangeAnswer& value) {
  Json out = {{"token", value.token}};
  if (value.taken) out["taken"] = true;
  if (value.restarted) out["restarted"] = true;
  if (!value.events.empty()) out["events"] = WriteAll(value.events);
  if (!value.usage.empty()) out["usage"] = WriteAll(value.usage);
  for (const AttemptId& attempt : value.running) {
    out["running"].push_back(ToString(attempt));
  }
  return out;
}

FencedAnswer Format<FencedAnswer>::Read(ObjectReader& reader) {
  return {Epoch{reader.Int("epoch", 1, kMaxInt)}};
}

Json Format<FencedAnswer>::Write(const FencedAnswer& value) {
  return {{"epoch", value.epoch.value}};
}

}  // namespace azurepass::codec
