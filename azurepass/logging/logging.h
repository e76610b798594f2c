// Logs on a descriptor, one line an event, bounded and never blocking.
//
// A Writer takes every line that the process logs through glog. Lines wait in a
// bounded queue; the writer's task gives them to the descriptor in large pieces
// as far as it takes them without waiting. What finds no room in the queue, or
// exceeds the second's budget, is left out and counted, and a line says how
// many it were as soon as there is room again. Warnings are beyond the budget,
// not beyond the queue.
//
// Usage: construct one on the loop that is to write; lines that are logged
// before go to standard error.

#ifndef AZUREPASS_LOGGING_LOGGING_H_
#define AZUREPASS_LOGGING_LOGGING_H_

#include <cstdint>
#include <memory>

#include "azurepass/core/core.h"
#include "azurepass/task/task.h"

namespace azurepass::logging {

struct Options {
  int descriptor = 1;  // Standard output.
  Duration flush_interval{50};
  int64_t queue_bound = 8'192;       // Lines.
  int64_t lines_per_second = 4'000;  // Below a warning.
};

class Writer {
 public:
  Writer(task::Loop& loop, const Options& options);
  // Writes what the descriptor still takes.
  ~Writer();
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace azurepass::logging

#endif  // AZUREPASS_LOGGING_LOGGING_H_
