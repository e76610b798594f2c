// Parsing with bounds, and the field reader.

#include "azurepass/codec/codec.h"

#include <cmath>
#include <iterator>
#include <string>
#include <vector>

namespace azurepass::codec {
namespace {

const Json& NullJson() {
  static const Json* const null = new Json(nullptr);
  return *null;
}

// Builds a document from the parser's events, which it stops as soon as the
// nesting or the number of values passes a bound: before the parser, which
// recurses for CBOR, follows. The library's own builder with a callback looks
// through all elements so far at the end of each nested object, which is
// quadratic for a list of objects; its other one throws for a length that CBOR
// announces and no list can have.
class BoundedBuilder : public nlohmann::json_sax<Json> {
 public:
  explicit BoundedBuilder(const ParseLimits& limits)
      : max_depth_(limits.max_depth), values_left_(limits.max_values) {}

  bool null() override { return Add(nullptr); }
  bool boolean(bool value) override { return Add(value); }
  bool number_integer(int64_t value) override { return Add(value); }
  bool number_unsigned(uint64_t value) override { return Add(value); }
  bool number_float(double value, const std::string& /*text*/) override {
    return Add(value);
  }
  bool string(std::string& value) override { return Add(std::move(value)); }
  bool binary(Json::binary_t& value) override {
    return Add(Json::binary(std::move(value)));
  }
  bool start_object(size_t /*elements*/) override {
    return Open(Json::object());
  }
  bool key(std::string& name) override {
    key_ = std::move(name);
    return true;
  }
  bool end_object() override { return Close(); }
  bool start_array(size_t /*elements*/) override { return Open(Json::array()); }
  bool end_array() override { return Close(); }
  bool parse_error(size_t /*position*/, const std::string& /*token*/,
                   const Json::exception& /*problem*/) override {
    return false;
  }

  bool too_deep() const { return too_deep_; }
  bool too_many() const { return values_left_ < 0; }
  Json Take() { return std::move(root_); }

 private:
  Json& Place(Json value) {
    if (open_.empty()) return root_ = std::move(value);
    Json& parent = *open_.back();
    if (parent.is_object()) return parent[key_] = std::move(value);
    parent.push_back(std::move(value));
    return parent.back();
  }
  bool Add(Json value) {
    if (--values_left_ < 0) return false;
    Place(std::move(value));
    return true;
  }
  bool Open(Json empty) {
    too_deep_ = std::ssize(open_) >= max_depth_;
    if (too_deep_ || --values_left_ < 0) return false;
    open_.push_back(&Place(std::move(empty)));
    return true;
  }
  bool Close() {
    open_.pop_back();
    return true;
  }

  int max_depth_;
  bool too_deep_ = false;
  int64_t values_left_;  // Negative once there were too many.
  Json root_;
  std::vector<Json*> open_;  // From the root down.
  std::string key_;          // Of the next element of an object.
};

leaf::result<Json> Malformed(std::string problem) {
  return leaf::new_error(Error{ErrorCode::kMalformed, "", std::move(problem)});
}

leaf::result<Json> TooLarge(std::string problem) {
  return leaf::new_error(Error{ErrorCode::kTooLarge, "", std::move(problem)});
}

std::string TooManyBytes(const ParseLimits& limits) {
  return "longer than " + std::to_string(limits.max_bytes) + " bytes";
}

std::string TooManyValues(const ParseLimits& limits) {
  return "more than " + std::to_string(limits.max_values) + " values";
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
  BoundedBuilder builder(limits);
  const bool whole = Json::sax_parse(text, &builder, Json::input_format_t::json,
                                     /*strict=*/true, limits.allow_comments);
  if (builder.too_deep()) return TooLarge(TooDeep(limits));
  if (builder.too_many()) return TooLarge(TooManyValues(limits));
  if (!whole) return Malformed("not a JSON document");
  return builder.Take();
}

std::string ToCbor(const Json& document) {
  std::string bytes;
  Json::to_cbor(document, bytes);
  return bytes;
}

leaf::result<Json> ParseCbor(std::string_view bytes,
                             const ParseLimits& limits) {
  if (bytes.size() > limits.max_bytes) return TooLarge(TooManyBytes(limits));
  BoundedBuilder builder(limits);
  const bool whole =
      Json::sax_parse(bytes, &builder, Json::input_format_t::cbor);
  if (builder.too_deep()) return TooLarge(TooDeep(limits));
  if (builder.too_many()) return TooLarge(TooManyValues(limits));
  if (!whole) return Malformed("not a CBOR document");
  return builder.Take();
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
