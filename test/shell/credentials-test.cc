// Credentials as header fields give them.
#include "http/credentials.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using Form = CredentialsForm;

namespace {

Credentials Read(const std::vector<std::string>& values,
                 const std::string& scheme) {
  http::Fields fields = {{"x-authorization", "token k0"}};
  for (const auto& value : values) fields.push_back({"authorization", value});
  return http::ReadCredentials(fields, scheme);
}

}  // namespace

TEST_CASE("the scheme's case or the blanks behind it change the key") {
  for (const char* value : {"token K1", "Token K1", "TOKEN   K1"}) {
    CAPTURE(value);
    const Credentials read = Read({value}, "token");
    CHECK(read.form == Form::kKey);
    CHECK(read.key == "K1");
  }
  CHECK(Read({"Bearer a b"}, "bearer").key == "a b");
}

TEST_CASE("credentials that are not one key count as a key or as none") {
  CHECK(Read({}, "token").form == Form::kAbsent);
  for (const char* value : {"", "token", "token ", "Bearer K1", "K1", "tokenK1",
                            "token\tK1", " token K1", "token, token K1"}) {
    CAPTURE(value);
    CHECK(Read({value}, "token").form == Form::kUnreadable);
    CHECK(Read({value}, "token").key.empty());
  }
  for (const char* first : {"token K1", "token K2", "Bearer K1", ""}) {
    CAPTURE(first);
    CHECK(Read({first, "token K1"}, "token").form == Form::kUnreadable);
    CHECK(Read({"token K1", first}, "token").form == Form::kUnreadable);
  }
}
