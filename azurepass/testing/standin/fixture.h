// A stand-in on a loop of its own, and the calls that tests make to it.

#ifndef AZUREPASS_TESTING_STANDIN_FIXTURE_H_
#define AZUREPASS_TESTING_STANDIN_FIXTURE_H_

#include <doctest/doctest.h>

#include <string>
#include <utility>

#include "azurepass/codec/codec.h"
#include "azurepass/testing/await.h"
#include "azurepass/testing/standin/standin.h"

namespace azurepass::testing {

class StandinFixture {
 public:
  explicit StandinFixture(StandinOptions options = {})
      : standin_(loop_, std::move(options)), caller_(loop_) {
    const auto result = standin_.Listen("127.0.0.1:0");
    REQUIRE(std::holds_alternative<StandinAddresses>(result));
    addresses_ = std::get<StandinAddresses>(result);
    loop_.Start();
  }
  ~StandinFixture() { loop_.Stop(); }
  StandinFixture(const StandinFixture&) = delete;
  StandinFixture& operator=(const StandinFixture&) = delete;

  const StandinAddresses& addresses() const { return addresses_; }

  http::Result Http(const std::string& method, const std::string& address,
                    const std::string& target, const std::string& body = "") {
    return caller_.Send({method, address, target, body, Duration(10'000)});
  }
  // The status, or 0 without an answer.
  int Status(const std::string& method, const std::string& address,
             const std::string& target, const std::string& body = "") {
    const http::Result result = Http(method, address, target, body);
    const auto* response = std::get_if<http::Response>(&result);
    return response == nullptr ? 0 : response->status;
  }
  codec::Json GetJson(const std::string& address, const std::string& target) {
    const http::Result result = Http("GET", address, target);
    REQUIRE(std::holds_alternative<http::Response>(result));
    return codec::Json::parse(std::get<http::Response>(result).body, nullptr,
                              /*allow_exceptions=*/false);
  }
  // `rule` as in internal/faults.h.
  void SetFault(const std::string& target, const std::string& rule) {
    REQUIRE(Status("POST", addresses_.control, "/v1/faults?target=" + target,
                   rule) == http::kOk);
  }

 private:
  task::Loop loop_;
  Standin standin_;
  HttpCaller caller_;
  StandinAddresses addresses_;
};

}  // namespace azurepass::testing

#endif  // AZUREPASS_TESTING_STANDIN_FIXTURE_H_
