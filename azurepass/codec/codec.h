// Text and bytes for the core types: JSON towards callers, operators, the
// platform and people; the same documents as CBOR between our processes. The
// encoding itself is nlohmann-json's; this package adds what it lacks: bounds
// on size and nesting, and reading that names the path of the first field that
// is unknown, missing, ill-typed or out of range.
//
// Usage:
//
//   leaf::result<Json> document = codec::Parse(text, limits);
//   leaf::result<JobSpec> spec = codec::Read<JobSpec>(*document);
//   Json out = codec::Write(spec.value());
//
// To read a type of one's own, specialise Format<T> with
// `static T Read(ObjectReader&)` and `static Json Write(const T&)`.
//
// Errors: every failure is a codec::Error in a leaf::result. Nothing throws.

#ifndef AZUREPASS_CODEC_CODEC_H_
#define AZUREPASS_CODEC_CODEC_H_

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "azurepass/core/core.h"

namespace azurepass::codec {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

enum class ErrorCode {
  kMalformed,     // Not JSON (or CBOR).
  kTooLarge,      // Over the limit of bytes or nesting.
  kUnknownField,  // A field that the type does not have.
  kMissingField,
  kWrongType,
  kOutOfRange,
};

struct Error {
  ErrorCode code = ErrorCode::kMalformed;
  std::string path;     // Such as "workers[3].capacity.slots"; may be empty.
  std::string problem;  // Such as "must be at least 1".

  // "PATH: PROBLEM", for a person.
  std::string ToString() const;
};

struct ParseLimits {
  size_t max_bytes = size_t{1} << 20;
  int max_depth = 32;
  // Of values of all kinds. A value takes many times the bytes of its shortest
  // text, so that the length alone does not bound the memory.
  int64_t max_values = int64_t{1} << 24;
  bool allow_comments = false;  // // and /* */, as in settings.
};

// Parses one JSON document.
leaf::result<Json> Parse(std::string_view text, const ParseLimits& limits = {});

// The same for CBOR.
std::string ToCbor(const Json& document);
leaf::result<Json> ParseCbor(std::string_view bytes,
                             const ParseLimits& limits = {});

class ObjectReader;

// How a type is read from and written to an object. See the top of the file.
template <class T>
struct Format;

// Reads one object field by field. The first problem is kept and all later
// reads return defaults, so that a Format reads straight through; Finish tells.
class ObjectReader {
 public:
  ObjectReader(const Json& object, std::string path);

  bool Has(std::string_view name);

  // Without a default the field is required.
  int64_t Int(std::string_view name, int64_t min, int64_t max,
              std::optional<int64_t> otherwise = std::nullopt);
  double Number(std::string_view name, double min, double max,
                std::optional<double> otherwise = std::nullopt);
  bool Bool(std::string_view name,
            std::optional<bool> otherwise = std::nullopt);
  std::string String(
      std::string_view name,
      const std::optional<std::string>& otherwise = std::nullopt);
  // A whole number of milliseconds; by custom the name ends in "_ms".
  Duration Millis(std::string_view name, Duration min, Duration max,
                  std::optional<Duration> otherwise = std::nullopt);

  template <class IdType>
  IdType Name(std::string_view name,
              const std::optional<IdType>& otherwise = std::nullopt) {
    std::optional<std::string> text;
    if (otherwise) text = otherwise->value();
    return IdType(String(name, text));
  }

  // One of a table of spellings.
  template <class Enum, size_t N>
  Enum Choice(std::string_view name,
              const std::pair<std::string_view, Enum> (&table)[N],
              std::optional<Enum> otherwise = std::nullopt);

  // A nested object, a list of objects, a list of strings.
  template <class T>
  T Object(std::string_view name, std::optional<T> otherwise = std::nullopt);
  template <class T>
  std::vector<T> Objects(std::string_view name, bool required = true);
  std::vector<std::string> Strings(std::string_view name, bool required = true);
  template <class IdType>
  std::vector<IdType> Names(std::string_view name, bool required = true);

  // The field as it stands, for what has a form of its own; null when absent.
  const Json& Raw(std::string_view name);

  // Notes a problem with a field, unless there is one already.
  void Fail(ErrorCode code, std::string_view name, std::string problem);

  bool ok() const { return !error_.has_value(); }
  // The first problem; an unknown field counts as one.
  std::optional<Error> Finish();
  const std::string& path() const { return path_; }

 private:
  // The field, or null after noting that a required one is missing.
  const Json* Find(std::string_view name, bool required);
  std::string PathOf(std::string_view name) const;
  void Adopt(std::optional<Error> error);

  const Json& object_;
  std::string path_;
  std::set<std::string, std::less<>> seen_;
  std::optional<Error> error_;
};

// Reads a whole document.
template <class T>
leaf::result<T> Read(const Json& document, const std::string& path = "") {
  ObjectReader reader(document, path);
  T value = Format<T>::Read(reader);
  if (std::optional<Error> error = reader.Finish()) {
    return leaf::new_error(*std::move(error));
  }
  return value;
}

// Parses and reads.
template <class T>
leaf::result<T> Decode(std::string_view text, const ParseLimits& limits = {}) {
  BOOST_LEAF_AUTO(document, Parse(text, limits));
  return Read<T>(document);
}

template <class T>
Json Write(const T& value) {
  return Format<T>::Write(value);
}

template <class T>
Json WriteAll(const std::vector<T>& values) {
  Json list = Json::array();
  for (const T& value : values) list.push_back(Write(value));
  return list;
}

template <class IdType>
Json WriteNames(const std::vector<IdType>& names) {
  Json list = Json::array();
  for (const IdType& name : names) list.push_back(name.value());
  return list;
}

namespace internal {
template <class Result>
struct ResultValue;
template <class T>
struct ResultValue<leaf::result<T>> {
  using type = T;
};
}  // namespace internal

// Runs `attempt` (which returns a leaf::result<T>) and turns its codec error
// into one that can be kept: the caller gets either side as a value.
template <class Attempt, class T = typename internal::ResultValue<
                             std::invoke_result_t<Attempt>>::type>
std::variant<T, Error> Try(Attempt attempt) {
  using Outcome = std::variant<T, Error>;
  return leaf::try_handle_all(
      [&]() -> leaf::result<Outcome> {
        BOOST_LEAF_AUTO(value, attempt());
        return Outcome(std::in_place_index<0>, std::move(value));
      },
      [](const Error& error) { return Outcome(std::in_place_index<1>, error); },
      [] {
        return Outcome(std::in_place_index<1>,
                       Error{ErrorCode::kMalformed, "", "unreadable"});
      });
}

// --- Formats of the core types

template <>
struct Format<Resources> {
  static Resources Read(ObjectReader& reader);
  static Json Write(const Resources& value);
};
template <>
struct Format<JobSpec> {
  static JobSpec Read(ObjectReader& reader);
  static Json Write(const JobSpec& value);
};
template <>
struct Format<Constraints> {
  static Constraints Read(ObjectReader& reader);
  static Json Write(const Constraints& value);
};
template <>
struct Format<WorkflowStep> {
  static WorkflowStep Read(ObjectReader& reader);
  static Json Write(const WorkflowStep& value);
};
template <>
struct Format<WorkflowSpec> {
  static WorkflowSpec Read(ObjectReader& reader);
  static Json Write(const WorkflowSpec& value);
};
template <>
struct Format<PermitTerms> {
  static PermitTerms Read(ObjectReader& reader);
  static Json Write(const PermitTerms& value);
};
template <>
struct Format<QueueRecord> {
  static QueueRecord Read(ObjectReader& reader);
  static Json Write(const QueueRecord& value);
};
template <>
struct Format<FormerQueue> {
  static FormerQueue Read(ObjectReader& reader);
  static Json Write(const FormerQueue& value);
};
template <>
struct Format<ServiceRecord> {
  static ServiceRecord Read(ObjectReader& reader);
  static Json Write(const ServiceRecord& value);
};
template <>
struct Format<QueueSpec> {
  static QueueSpec Read(ObjectReader& reader);
  static Json Write(const QueueSpec& value);
};
template <>
struct Format<Contract> {
  static Contract Read(ObjectReader& reader);
  static Json Write(const Contract& value);
};
template <>
struct Format<KeyRecord> {
  static KeyRecord Read(ObjectReader& reader);
  static Json Write(const KeyRecord& value);
};
template <>
struct Format<ZoneRecord> {
  static ZoneRecord Read(ObjectReader& reader);
  static Json Write(const ZoneRecord& value);
};
template <>
struct Format<Configuration> {
  static Configuration Read(ObjectReader& reader);
  static Json Write(const Configuration& value);
};
template <>
struct Format<WorkerSpec> {
  static WorkerSpec Read(ObjectReader& reader);
  static Json Write(const WorkerSpec& value);
};
template <>
struct Format<TaskView> {
  static TaskView Read(ObjectReader& reader);
  static Json Write(const TaskView& value);
};
template <>
struct Format<JobView> {
  static JobView Read(ObjectReader& reader);
  static Json Write(const JobView& value);
};
template <>
struct Format<Refusal> {
  static Refusal Read(ObjectReader& reader);
  static Json Write(const Refusal& value);
};
// A variant is an object whose field "order" names the alternative.
template <>
struct Format<Order> {
  static Order Read(ObjectReader& reader);
  static Json Write(const Order& value);
};
template <>
struct Format<WorkerEvent> {
  static WorkerEvent Read(ObjectReader& reader);
  static Json Write(const WorkerEvent& value);
};
template <>
struct Format<Usage> {
  static Usage Read(ObjectReader& reader);
  static Json Write(const Usage& value);
};

// Reads an attempt id in its text form.
AttemptId ReadAttemptId(ObjectReader& reader, std::string_view name);

// --- Templates

template <class Enum, size_t N>
Enum ObjectReader::Choice(std::string_view name,
                          const std::pair<std::string_view, Enum> (&table)[N],
                          std::optional<Enum> otherwise) {
  if (otherwise && !Has(name)) return *otherwise;
  const std::string text = String(name);
  std::string choices;
  for (const auto& [spelling, value] : table) {
    if (spelling == text) return value;
    choices += choices.empty() ? "" : ", ";
    choices += spelling;
  }
  Fail(ErrorCode::kOutOfRange, name, "must be one of " + choices);
  return otherwise.value_or(table[0].second);
}

template <class T>
T ObjectReader::Object(std::string_view name, std::optional<T> otherwise) {
  const Json* field = Find(name, !otherwise.has_value());
  if (field == nullptr) return otherwise ? *std::move(otherwise) : T{};
  ObjectReader nested(*field, PathOf(name));
  T value = Format<T>::Read(nested);
  Adopt(nested.Finish());
  return value;
}

template <class T>
std::vector<T> ObjectReader::Objects(std::string_view name, bool required) {
  std::vector<T> values;
  const Json* field = Find(name, required);
  if (field == nullptr) return values;
  if (!field->is_array()) {
    Fail(ErrorCode::kWrongType, name, "must be a list");
    return values;
  }
  values.reserve(field->size());
  for (size_t i = 0; i < field->size() && ok(); ++i) {
    ObjectReader nested((*field)[i],
                        PathOf(name) + "[" + std::to_string(i) + "]");
    values.push_back(Format<T>::Read(nested));
    Adopt(nested.Finish());
  }
  return values;
}

template <class IdType>
std::vector<IdType> ObjectReader::Names(std::string_view name, bool required) {
  std::vector<IdType> names;
  for (std::string& text : Strings(name, required)) {
    names.emplace_back(std::move(text));
  }
  return names;
}

}  // namespace azurepass::codec

#endif  // AZUREPASS_CODEC_CODEC_H_
