// Feeds the parser, which takes whole lines and parts of bodies and leaves the
// rest to be given again.

#include "azurepass/http/internal/response_reader.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <utility>

namespace azurepass::http::internal {

namespace beast = boost::beast::http;

namespace {

// A head, or a line between chunks, is no longer than that.
constexpr std::uint32_t kMaxHeadBytes = std::uint32_t{64} << 10;
// No peer of ours answers with more.
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{64} << 20;

}  // namespace

struct ResponseReader::Parser {
  Parser() {
    response.header_limit(kMaxHeadBytes);
    response.body_limit(kMaxBodyBytes);
    response.eager(true);
  }
  bool IsAnnouncement() const {
    return beast::to_status_class(response.get().result()) ==
           beast::status_class::informational;
  }
  // An encoding that the parser would take for a body up to the end.
  bool HasUnknownEncoding() const {
    return response.is_header_done() && !response.chunked() &&
           response.get().count(beast::field::transfer_encoding) > 0;
  }

  beast::response_parser<beast::string_body> response;
};

ResponseReader::ResponseReader() : parser_(std::make_unique<Parser>()) {}
ResponseReader::~ResponseReader() = default;
ResponseReader::ResponseReader(ResponseReader&&) noexcept = default;
ResponseReader& ResponseReader::operator=(ResponseReader&&) noexcept = default;

ResponseReader::Progress ResponseReader::Read(std::string_view bytes) {
  buffer_.append(bytes);
  while (!buffer_.empty()) {
    boost::beast::error_code error;
    const size_t parsed = parser_->response.put(
        boost::asio::buffer(buffer_.data(), buffer_.size()), error);
    buffer_.erase(0, parsed);
    if (error == beast::error::need_more) error = {};
    if (error || parser_->HasUnknownEncoding()) return Progress::kBroken;
    if (!parser_->response.is_done()) {
      if (parsed > 0 && !buffer_.empty()) continue;
      return Progress::kMore;
    }
    if (!parser_->IsAnnouncement()) return Progress::kDone;
    parser_ = std::make_unique<Parser>();
  }
  return Progress::kMore;
}

ResponseReader::Progress ResponseReader::End() {
  ended_ = true;
  // The parser takes an end before the first byte for an empty response.
  if (!parser_->response.is_header_done()) return Progress::kBroken;
  boost::beast::error_code error;
  parser_->response.put_eof(error);
  const bool done = !error && parser_->response.is_done();
  return done ? Progress::kDone : Progress::kBroken;
}

int ResponseReader::status() const {
  return static_cast<int>(parser_->response.get().result_int());
}

std::string ResponseReader::TakeBody() {
  return std::move(parser_->response.get().body());
}

bool ResponseReader::reusable() const {
  return !ended_ && buffer_.empty() && parser_->response.keep_alive();
}

}  // namespace azurepass::http::internal
