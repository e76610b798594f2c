// Parsing with bounds, and the field reader.

#include "azurepass/codec/codec.h"

#include <cmath>

namespace azurepass::codec {
namespace {

const Json& NullJson() {
  static const Json* const null = new Json(nullptr);
  return *null;
}

// Stops a parse as soon as the nesting passes a bound.
class DepthGuard {
 public:
  explicit DepthGuard(int max_depth) : max_depth_(max_depth) {}

  bool operator()(int depth, Json::parse_event_t event, Json& /*parsed*/) {
    const bool opens = event == Json::parse_event_t::object_start ||
                       event == Json::parse_event_t::array_start;
    if (opens && depth >= max_depth_) exceeded_ = true;
    return !exceeded_;
  }
  bool exceeded() const { return exceeded_; }

 private:
  int max_depth_;
  bool exceeded_ = false;
};

leaf::result<Json> Malformed(std::string problem) {
  return leaf::new_error(Error{ErrorCode::kMalformed, "", std::move(problem)});
}

leaf::result<Json> TooLarge(std::string problem) {
  return leaf::new_error(Error{ErrorCode::kTooLarge, "", std::move(problem)});
}

// True when no nested value lies deeper than `left` levels. The recursion is
// bounded by `left` itself.
bool WithinDepth(const Json& value, int left) {
  if (!value.is_structured()) return true;
  if (left <= 0) return false;
  for (const Json& element : value) {
    if (!WithinDepth(element, left - 1)) return false;
  }
  return true;
}

std::string TooManyBytes(const ParseLimits& limits) {
  return "longer than " + std::to_string(limits.max_bytes) + " bytes";
}

std::string TooDeep(const ParseLimits& limits) {
  return "nested deeper than " + std::to_string(limits.max_depth) + " levels";
}

}  // namespace

std::string Error::ToString() const {
  return path.empty() ? problem : path + ": " + problem;
}

leaf::result<Json> Parse(std::string_view text, const ParseLimits& limits) {
  if (text.size() > limits.max_bytes) return TooLarge(TooManyBytes(limits));
  DepthGuard guard(limits.max_depth);
  Json document =
      Json::parse(text, std::ref(guard),
                  /*allow_exceptions=*/false, limits.allow_comments);
  if (guard.exceeded()) return TooLarge(TooDeep(limits));
  if (document.is_discarded()) return Malformed("not a JSON document");
  return document;
}

std::string ToCbor(const Json& document) {
  std::string bytes;
  Json::to_cbor(document, bytes);
  return bytes;
}

leaf::result<Json> ParseCbor(std::string_view bytes,
                             const ParseLimits& limits) {
  if (bytes.size() > limits.max_bytes) return TooLarge(TooManyBytes(limits));
  Json document = Json::from_cbor(bytes.begin(), bytes.end(), /*strict=*/true,
                                  /*allow_exceptions=*/false);
  if (document.is_discarded()) return Malformed("not a CBOR document");
  if (!WithinDepth(document, limits.max_depth)) {
    return TooLarge(TooDeep(limits));
  }
  return document;
}

ObjectReader::ObjectReader(const Json& object, std::string path)
    : object_(object), path_(std::move(path)) {
  if (!object_.is_object()) {
    error_ = Error{ErrorCode::kWrongType, path_, "must be an object"};
  }
}

bool ObjectReader::Has(std::string_view name) {
  return object_.is_object() && object_.contains(name);
}

std::string ObjectReader::PathOf(std::string_view name) const {
  return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

void ObjectReader::Fail(ErrorCode code, std::string_view name,
                        std::string problem) {
  if (error_) return;
  error_ = Error{code, PathOf(name), std::move(problem)};
}

void ObjectReader::Adopt(std::optional<Error> error) {
  if (!error_) error_ = std::move(error);
}

const Json* ObjectReader::Find(std::string_view name, bool required) {
  if (!object_.is_object()) return nullptr;
  seen_.emplace(name);
  auto found = object_.find(name);
  if (found != object_.end()) return &*found;
  if (required) Fail(ErrorCode::kMissingField, name, "is missing");
  return nullptr;
}

int64_t ObjectReader::Int(std::string_view name, int64_t min, int64_t max,
                          std::optional<int64_t> otherwise) {
  const Json* field = Find(name, !otherwise.has_value());
  if (field == nullptr) return otherwise.value_or(min);
  if (!field->is_number_integer()) {
    Fail(ErrorCode::kWrongType, name, "must be a whole number");
    return min;
  }
  const bool overflows =
      field->is_number_unsigned() &&
      field->get<uint64_t>() >
          static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
  const int64_t value = overflows ? max : field->get<int64_t>();
  if (overflows || value > max) {
    Fail(ErrorCode::kOutOfRange, name,
         "must be at most " + std::to_string(max));
    return min;
  }
  if (value < min) {
    Fail(ErrorCode::kOutOfRange, name,
         "must be at least " + std::to_string(min));
    return min;
  }
  return value;
}

double ObjectReader::Number(std::string_view name, double min, double max,
                            std::optional<double> otherwise) {
  const Json* field = Find(name, !otherwise.has_value());
  if (field == nullptr) return otherwise.value_or(min);
  if (!field->is_number()) {
    Fail(ErrorCode::kWrongType, name, "must be a number");
    return min;
  }
  const double value = field->get<double>();
  if (!(value >= min && value <= max)) {
    Fail(ErrorCode::kOutOfRange, name,
         "must lie between " + std::to_string(min) + " and " +
             std::to_string(max));
    return min;
  }
  return value;
}

bool ObjectReader::Bool(std::string_view name, std::optional<bool> otherwise) {
  const Json* field = Find(name, !otherwise.has_value());
  if (field == nullptr) return otherwise.value_or(false);
  if (!field->is_boolean()) {
    Fail(ErrorCode::kWrongType, name, "must be true or false");
    return false;
  }
  return field->get<bool>();
}

std::string ObjectReader::String(std::string_view name,
                                 const std::optional<std::string>& otherwise) {
  const Json* field = Find(name, !otherwise.has_value());
  if (field == nullptr) return otherwise.value_or("");
  if (!field->is_string()) {
    Fail(ErrorCode::kWrongType, name, "must be a string");
    return "";
  }
  return field->get<std::string>();
}

Duration ObjectReader::Millis(std::string_view name, Duration min, Duration max,
                              std::optional<Duration> otherwise) {
  std::optional<int64_t> count;
  if (otherwise) count = otherwise->count();
  return Duration(Int(name, min.count(), max.count(), count));
}

std::vector<std::string> ObjectReader::Strings(std::string_view name,
                                               bool required) {
  std::vector<std::string> strings;
  const Json* field = Find(name, required);
  if (field == nullptr) return strings;
  if (!field->is_array()) {
    Fail(ErrorCode::kWrongType, name, "must be a list");
    return strings;
  }
  for (const Json& element : *field) {
    if (!element.is_string()) {
      Fail(ErrorCode::kWrongType, name, "must hold strings only");
      return strings;
    }
    strings.push_back(element.get<std::string>());
  }
  return strings;
}

const Json& ObjectReader::Raw(std::string_view name) {
  const Json* field = Find(name, /*required=*/false);
  return field == nullptr ? NullJson() : *field;
}

std::optional<Error> ObjectReader::Finish() {
  if (error_ || !object_.is_object()) return error_;
  for (const auto& [name, value] : object_.items()) {
    if (seen_.contains(name)) continue;
    Fail(ErrorCode::kUnknownField, name, "is not a known field");
    break;
  }
  return error_;
}

}  // namespace azurepass::codec
