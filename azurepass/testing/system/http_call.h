// One HTTP call of a system test, made and awaited in place.

#ifndef AZUREPASS_TESTING_SYSTEM_HTTP_CALL_H_
#define AZUREPASS_TESTING_SYSTEM_HTTP_CALL_H_

#include <libsoup/soup.h>

#include <nlohmann/json.hpp>
#include <string>

#include "azurepass/core/core.h"

namespace azurepass::testing {

struct HttpAnswer {
  int status = 0;       // 0: no answer.
  nlohmann::json body;  // Discarded when it isn't JSON.
};

class HttpCaller {
 public:
  explicit HttpCaller(Duration timeout);
  ~HttpCaller();
  HttpCaller(const HttpCaller&) = delete;
  HttpCaller& operator=(const HttpCaller&) = delete;

  // `address` is "IP:PORT"; an empty key sends no Authorization, an empty body
  // none.
  HttpAnswer Call(const std::string& method, const std::string& address,
                  const std::string& target, const std::string& key = "",
                  const std::string& body = "");

 private:
  SoupSession* session_;
};

}  // namespace azurepass::testing

#endif  // AZUREPASS_TESTING_SYSTEM_HTTP_CALL_H_
