// Reads one HTTP/1.1 response out of the bytes of a connection, as they come.
// No I/O; the parser is Boost.Beast's. A body ends by its length, by its last
// chunk, or with the connection; responses 1xx, which announce another one, are
// skipped.

#ifndef AZUREPASS_HTTP_INTERNAL_RESPONSE_READER_H_
#define AZUREPASS_HTTP_INTERNAL_RESPONSE_READER_H_

#include <memory>
#include <string>
#include <string_view>

namespace azurepass::http::internal {

class ResponseReader {
 public:
  enum class Progress { kMore, kDone, kBroken };

  ResponseReader();
  ~ResponseReader();
  ResponseReader(ResponseReader&&) noexcept;
  ResponseReader& operator=(ResponseReader&&) noexcept;

  Progress Read(std::string_view bytes);
  // The peer has closed the connection.
  Progress End();

  // Valid after kDone.
  int status() const;
  std::string TakeBody();
  // The connection may carry another request.
  bool reusable() const;

 private:
  struct Parser;

  std::unique_ptr<Parser> parser_;  // Of the response in hand.
  std::string buffer_;              // Received, not parsed yet.
  bool ended_ = false;
};

}  // namespace azurepass::http::internal

#endif  // AZUREPASS_HTTP_INTERNAL_RESPONSE_READER_H_
