// What the commands print: tables, documents, errors with the next step.

#ifndef AZUREPASS_CLI_INTERNAL_OUTPUT_H_
#define AZUREPASS_CLI_INTERNAL_OUTPUT_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "azurepass/cli/cli.h"
#include "azurepass/cli/internal/client.h"

namespace azurepass::cli::internal {

// Columns of text. On a terminal the widest columns are cut until a row fits;
// elsewhere nothing is cut, and there is one space-separated row a line.
class Table {
 public:
  explicit Table(std::vector<std::string> head) {
    rows_.push_back(std::move(head));
  }
  void Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  // `columns` of the terminal, if it is one.
  std::string ToString(std::optional<int> columns) const;

 private:
  std::vector<size_t> Widths(std::optional<int> columns) const;

  std::vector<std::vector<std::string>> rows_;  // All as long as the first.
};

// The text of a field: strings as they are, lists joined by commas, objects as
// "name=value", nothing and null as "-".
std::string Show(const codec::Json& value);
std::string Show(const codec::Json& object, const std::string& field);

// What a result means for the exit code; a write that may have reached the
// frontend without an answer is kUnknown.
ExitCode CodeOf(const Result& result, bool is_write);

// Prints why a request failed and what to do next. Returns its exit code.
ExitCode Complain(const Result& result, bool is_write, Streams& streams);
ExitCode ComplainOfUsage(const std::string& problem, Streams& streams);

// The document of a good reply; null for all others.
const codec::Json* Document(const Result& result);

void PrintJson(const codec::Json& document, Streams& streams);

}  // namespace azurepass::cli::internal

#endif  // AZUREPASS_CLI_INTERNAL_OUTPUT_H_
