// The queue between those that log and the descriptor.
//
// Any thread may log: a line goes into a GAsyncQueue, and the counts that the
// sender and the writer share are read and set atomically by GLib. A pipe takes
// up to PIPE_BUF bytes without waiting once poll says that it is writable, so
// that pieces of that size never block, whether or not the descriptor is in
// non-blocking mode, which it may share with other processes.

#include <glib.h>
#include <glog/logging.h>
#include <poll.h>
#include <unistd.h>

#include <climits>
#include <ctime>
#include <string>

#include "azurepass/logging/logging.h"

namespace azurepass::logging {
namespace {

// "E20261204 14:15:00.123456 file.cc:12] event=...".
std::string Format(google::LogSeverity severity, const char* file, int line,
                   const google::LogMessageTime& time, const char* message,
                   size_t size) {
  const tm& at = time.tm();
  char head[64];
  const int length = std::snprintf(
      head, sizeof head, "%c%04d%02d%02d %02d:%02d:%02d.%06d ",
      google::GetLogSeverityName(severity)[0], at.tm_year + 1900, at.tm_mon + 1,
      at.tm_mday, at.tm_hour, at.tm_min, at.tm_sec, time.usec());
  std::string text(head, length);
  text += file;
  text += ':';
  text += std::to_string(line);
  text += "] ";
  text.append(message, size);
  text += '\n';
  return text;
}

bool TakesBytes(int descriptor) {
  pollfd asked{descriptor, POLLOUT, 0};
  return poll(&asked, 1, 0) == 1 && (asked.revents & POLLOUT) != 0;
}

}  // namespace

class Writer::Impl : public google::LogSink {
 public:
  Impl(task::Loop& loop, const Options& options)
      : options_(options),
        queue_(g_async_queue_new_full(
            [](gpointer line) { delete static_cast<std::string*>(line); })),
        timer_(loop) {
    google::AddLogSink(this);
    timer_.Every(options_.flush_interval, [this] { Flush(); });
  }
  ~Impl() override {
    google::RemoveLogSink(this);
    Flush();
    g_async_queue_unref(queue_);
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  using google::LogSink::send;
  void send(google::LogSeverity severity, const char* /*full_filename*/,
            const char* base_filename, int line,
            const google::LogMessageTime& time, const char* message,
            size_t size) override {
    const bool over_budget =
        severity < google::GLOG_WARNING &&
        g_atomic_int_add(&this_second_, 1) >= options_.lines_per_second;
    if (over_budget || g_async_queue_length(queue_) >= options_.queue_bound) {
      g_atomic_int_inc(&left_out_);
      return;
    }
    g_async_queue_push(
        queue_, new std::string(Format(severity, base_filename, line, time,
                                       message, size)));
  }

 private:
  void Flush() {
    const MonotonicTime now = BootClock::now();
    if (now >= second_ends_) {
      second_ends_ = now + std::chrono::seconds(1);
      g_atomic_int_set(&this_second_, 0);
    }
    while (true) {
      Fill();
      if (pending_.empty() || !TakesBytes(options_.descriptor)) return;
      const ssize_t written =
          write(options_.descriptor, pending_.data(),
                std::min<size_t>(pending_.size(), PIPE_BUF));
      // A descriptor that is gone takes nothing any more; the queue's bound
      // then leaves the lines out.
      if (written <= 0) return;
      pending_.erase(0, static_cast<size_t>(written));
    }
  }

  // Takes lines off the queue for one write.
  void Fill() {
    while (pending_.size() < PIPE_BUF) {
      const std::unique_ptr<std::string> line(
          static_cast<std::string*>(g_async_queue_try_pop(queue_)));
      if (line == nullptr) break;
      pending_ += *line;
    }
    const gint left_out = g_atomic_int_get(&left_out_);
    if (left_out == 0 || pending_.size() >= PIPE_BUF) return;
    g_atomic_int_add(&left_out_, -left_out);
    pending_ += "W event=log_left_out lines=" + std::to_string(left_out) + "\n";
  }

  const Options options_;
  GAsyncQueue* queue_;    // Of std::string*.
  gint left_out_ = 0;     // Lines, not told yet; read and set atomically.
  gint this_second_ = 0;  // Lines below a warning; read and set atomically.
  MonotonicTime second_ends_{};
  std::string pending_;  // Taken off the queue, not written yet.
  task::Timer timer_;
};

Writer::Writer(task::Loop& loop, const Options& options)
    : impl_(std::make_unique<Impl>(loop, options)) {}
Writer::~Writer() = default;

}  // namespace azurepass::logging
