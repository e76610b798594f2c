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
#include <string>
#include <utility>

#include "azurepass/core/core.h"
#include "azurepass/task/task.h"

namespace azurepass::logging {

struct Options {
  int descriptor = 1;  // Standard output.
  Duration flush_interval{50};
  int64_t queue_bound = 8'192;       // Lines.
  int64_t lines_per_second = 4'000;  // Below a warning.
};

// Bounds one kind of line in a second, and counts those left out.
class LineBudget {
 public:
  explicit LineBudget(int64_t lines_per_second)
      : lines_per_second_(lines_per_second) {}

  // Returns whether a line may be logged now.
  bool Take(MonotonicTime now) {
    if (now - second_at_ >= std::chrono::seconds(1)) {
      second_at_ = now;
      taken_ = 0;
    }
    if (taken_ < lines_per_second_) {
      ++taken_;
      return true;
    }
    ++left_out_;
    return false;
  }

  // The lines left out since the last call.
  int64_t TakeLeftOut() { return std::exchange(left_out_, 0); }

 private:
  const int64_t lines_per_second_;
  MonotonicTime second_at_{};
  int64_t taken_ = 0;
  int64_t left_out_ = 0;
};

// The end of a line that tells of lines left out before it; empty for none.
inline std::string LeftOutText(int64_t lines) {
  return lines == 0 ? "" : " left_out=" + std::to_string(lines);
}

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
