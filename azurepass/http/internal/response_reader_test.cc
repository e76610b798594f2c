// Responses in every form that a peer may choose, whole and byte by byte.

#include "azurepass/http/internal/response_reader.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace azurepass::http::internal {
namespace {

using Progress = ResponseReader::Progress;

struct Case {
  const char* name;
  std::string bytes;
  Progress progress;
  int status = 0;
  std::string body{};
  bool reusable = true;
  bool ends = false;  // The peer closes after the bytes.
};

std::vector<Case> Cases() {
  return {
      {"sized", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
       Progress::kDone, 200, "hello"},
      {"names in any case",
       "HTTP/1.1 409 Conflict\r\ncontent-LENGTH:2\r\n\r\n{}", Progress::kDone,
       409, "{}"},
      {"empty", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
       Progress::kDone, 503, ""},
      {"no body", "HTTP/1.1 204 No Content\r\n\r\n", Progress::kDone, 204, ""},
      {"chunks",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       "5\r\nhello\r\nA;x=y\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\n",
       Progress::kDone, 200, "hello0123456789"},
      {"announced",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: "
       "1\r\n\r\nx",
       Progress::kDone, 200, "x"},
      {"closed by the peer's word",
       "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx",
       Progress::kDone, 200, "x", false},
      {"of the version before", "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx",
       Progress::kDone, 200, "x", false},
      {"until the end", "HTTP/1.1 200 OK\r\n\r\nall of it", Progress::kDone,
       200, "all of it", false, true},
      {"nothing", "", Progress::kBroken, 0, "", false, true},
      {"cut in the head", "HTTP/1.1 200 OK\r\nContent-", Progress::kBroken, 0,
       "", false, true},
      {"cut in the body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe",
       Progress::kBroken, 0, "", false, true},
      {"not complete yet", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe",
       Progress::kMore},
      {"no response", "SSH-2.0-x\r\n\r\n", Progress::kBroken},
      {"a length that is none", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
       Progress::kBroken},
      {"a length beyond all bounds",
       "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
       Progress::kBroken},
      {"an encoding that is not known",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", Progress::kBroken},
      {"a field without a name", "HTTP/1.1 200 OK\r\nnonsense\r\n\r\n",
       Progress::kBroken},
      {"a head without an end",
       "HTTP/1.1 200 OK\r\nX: " + std::string(70'000, 'x'), Progress::kBroken},
  };
}

void Check(const Case& c, ResponseReader& reader, Progress progress) {
  if (c.ends) progress = reader.End();
  REQUIRE(progress == c.progress);
  if (progress != Progress::kDone) return;
  CHECK(reader.status() == c.status);
  CHECK(reader.reusable() == c.reusable);
  CHECK(reader.TakeBody() == c.body);
}

TEST_CASE("a response that comes at once") {
  for (const Case& c : Cases()) {
    CAPTURE(c.name);
    ResponseReader reader;
    Check(c, reader, reader.Read(c.bytes));
  }
}

TEST_CASE("a response that comes byte by byte") {
  for (const Case& c : Cases()) {
    CAPTURE(c.name);
    ResponseReader reader;
    Progress progress = Progress::kMore;
    for (const char& byte : c.bytes) {
      progress = reader.Read({&byte, 1});
      if (progress != Progress::kMore) break;
    }
    Check(c, reader, progress);
  }
}

TEST_CASE("bytes behind the answer make the connection useless") {
  ResponseReader reader;
  REQUIRE(reader.Read("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxy") ==
          Progress::kDone);
  CHECK(!reader.reusable());
}

}  // namespace
}  // namespace azurepass::http::internal
