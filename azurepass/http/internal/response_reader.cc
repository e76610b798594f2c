// Head, then one of three kinds of body (RFC 9112, sections 6 and 7).

#include "azurepass/http/internal/response_reader.h"

#include <glib.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace azurepass::http::internal {
namespace {

// A head, or a line between chunks, is no longer than that.
constexpr size_t kMaxHeadBytes = size_t{64} << 10;
// No peer of ours answers with more.
constexpr size_t kMaxBodyBytes = size_t{64} << 20;
constexpr int kHexadecimal = 16;

bool EqualNames(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         g_ascii_strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t' ||
                           text.back() == '\r')) {
    text.remove_suffix(1);
  }
  return text;
}

bool ReadNumber(std::string_view text, int base, size_t& number) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number, base);
  return error == std::errc() && stop == end && number <= kMaxBodyBytes;
}

bool HasNoBody(int status) {
  constexpr int kNoContent = 204;
  constexpr int kNotModifiedStatus = 304;
  return status == kNoContent || status == kNotModifiedStatus;
}

}  // namespace

ResponseReader::Progress ResponseReader::Read(std::string_view bytes) {
  buffer_.append(bytes);
  while (true) {
    const Part before = part_;
    Progress progress = Progress::kMore;
    switch (part_) {
      case Part::kHead:
        progress = ReadHead();
        break;
      case Part::kSized:
        progress = ReadSized();
        break;
      case Part::kChunkSize:
      case Part::kChunk:
      case Part::kTrailer:
        return ReadChunks();
      case Part::kUntilEnd:
        body_ += std::exchange(buffer_, {});
        return body_.size() > kMaxBodyBytes ? Progress::kBroken
                                            : Progress::kMore;
    }
    if (progress != Progress::kMore || part_ == before) return progress;
  }
}

ResponseReader::Progress ResponseReader::End() {
  keeps_open_ = false;
  return part_ == Part::kUntilEnd ? Progress::kDone : Progress::kBroken;
}

ResponseReader::Progress ResponseReader::Waiting() const {
  return buffer_.size() > kMaxHeadBytes ? Progress::kBroken : Progress::kMore;
}

ResponseReader::Progress ResponseReader::ReadHead() {
  const size_t end = buffer_.find("\r\n\r\n");
  if (end == std::string::npos) return Waiting();
  const std::string head = buffer_.substr(0, end);
  buffer_.erase(0, end + 4);
  // "HTTP/1.1 200 OK".
  constexpr size_t kVersionSize = 9;
  constexpr size_t kStatusSize = 3;
  size_t status = 0;
  if (!head.starts_with("HTTP/1.") ||
      head.size() < kVersionSize + kStatusSize ||
      !ReadNumber(std::string_view(head).substr(kVersionSize, kStatusSize), 10,
                  status)) {
    return Progress::kBroken;
  }
  status_ = static_cast<int>(status);
  keeps_open_ = head.starts_with("HTTP/1.1");
  sized_ = false;
  chunked_ = false;
  size_t at = head.find("\r\n");
  while (at != std::string::npos) {
    const size_t next = head.find("\r\n", at + 2);
    const size_t size = next == std::string::npos ? next : next - at - 2;
    if (!ReadField(std::string_view(head).substr(at + 2, size))) {
      return Progress::kBroken;
    }
    at = next;
  }
  constexpr int kFirstFinal = 200;
  if (status_ < kFirstFinal) return buffer_.empty() ? Progress::kMore : ReadHead();
  if (HasNoBody(status_)) return Progress::kDone;
  if (chunked_) {
    part_ = Part::kChunkSize;
  } else {
    part_ = sized_ ? Part::kSized : Part::kUntilEnd;
  }
  return Progress::kMore;
}

bool ResponseReader::ReadField(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) return false;
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = Trim(line.substr(colon + 1));
  if (EqualNames(name, "Content-Length")) {
    sized_ = true;
    return ReadNumber(value, 10, left_);
  }
  if (EqualNames(name, "Transfer-Encoding")) {
    chunked_ = EqualNames(value, "chunked");
    return chunked_;
  }
  if (EqualNames(name, "Connection")) {
    if (EqualNames(value, "close")) keeps_open_ = false;
    if (EqualNames(value, "keep-alive")) keeps_open_ = true;
  }
  return true;
}

ResponseReader::Progress ResponseReader::ReadSized() {
  const size_t taken = std::min(left_, buffer_.size());
  body_.append(buffer_, 0, taken);
  buffer_.erase(0, taken);
  left_ -= taken;
  return left_ == 0 ? Progress::kDone : Progress::kMore;
}

bool ResponseReader::TakeLine(std::string& line) {
  const size_t end = buffer_.find("\r\n");
  if (end == std::string::npos) return false;
  line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

ResponseReader::Progress ResponseReader::ReadChunks() {
  std::string line;
  while (true) {
    if (part_ == Part::kChunk) {
      constexpr size_t kLineEnd = 2;
      if (buffer_.size() < left_ + kLineEnd) return Progress::kMore;
      body_.append(buffer_, 0, left_);
      if (body_.size() > kMaxBodyBytes) return Progress::kBroken;
      buffer_.erase(0, left_ + kLineEnd);
      part_ = Part::kChunkSize;
      continue;
    }
    if (!TakeLine(line)) return Waiting();
    if (part_ == Part::kTrailer) {
      if (line.empty()) return Progress::kDone;
      continue;
    }
    // A size may be followed by extensions.
    const std::string_view size = Trim(std::string_view(line).substr(0, line.find(';')));
    if (!ReadNumber(size, kHexadecimal, left_)) return Progress::kBroken;
    part_ = left_ == 0 ? Part::kTrailer : Part::kChunk;
  }
}

}  // namespace azurepass::http::internal
