// Reads one HTTP/1.1 response out of the bytes of a connection, as they come.
// No I/O. A body ends by its length, by its last chunk, or with the connection;
// responses 1xx, which announce another one, are skipped.

#ifndef AZUREPASS_HTTP_INTERNAL_RESPONSE_READER_H_
#define AZUREPASS_HTTP_INTERNAL_RESPONSE_READER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace azurepass::http::internal {

class ResponseReader {
 public:
  enum class Progress { kMore, kDone, kBroken };

  Progress Read(std::string_view bytes);
  // The peer has closed the connection.
  Progress End();

  // Valid after kDone.
  int status() const { return status_; }
  std::string TakeBody() { return std::move(body_); }
  // The connection may carry another request.
  bool reusable() const { return keeps_open_ && buffer_.empty(); }

 private:
  enum class Part { kHead, kSized, kChunkSize, kChunk, kTrailer, kUntilEnd };

  Progress ReadHead();
  bool ReadField(std::string_view line);
  Progress ReadSized();
  Progress ReadChunks();
  // The next line without its end; null when it is not complete.
  bool TakeLine(std::string& line);
  Progress Waiting() const;

  Part part_ = Part::kHead;
  std::string buffer_;  // Received, not used yet.
  std::string body_;
  int status_ = 0;
  size_t left_ = 0;  // Of the body or the chunk.
  bool sized_ = false;
  bool chunked_ = false;
  bool keeps_open_ = false;
};

}  // namespace azurepass::http::internal

#endif  // AZUREPASS_HTTP_INTERNAL_RESPONSE_READER_H_
