// The error table and the text form of attempt IDs.
#include "comfreyflow/errors.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)

TEST_CASE("each error code has a unique name and a message") {
  std::set<std::string> names;
  for (int i = 0; i < ErrorCount(); ++i) {
    const ErrorInfo& info = Info(static_cast<Errc>(i));
    CHECK(names.insert(info.name).second);
    CHECK(std::string(info.message).size() > 5);
    CHECK(info.http_status >= 200);
  }
}

TEST_CASE("a conversion to std::error_code and back keeps the code") {
  const std::error_code error = Errc::kDraining;
  CHECK(ToErrc(error) == Errc::kDraining);
  CHECK(error.message() == Info(Errc::kDraining).message);
  CHECK(ToErrc(std::make_error_code(std::errc::io_error)) == Errc::kInternal);
}

TEST_CASE(
    "an attempt ID is parsed from its text form even if the host name contains "
    "the separator") {
  const AttemptId id{{{"entry~1"}, {17}, 42}, 3};
  AttemptId parsed;
  REQUIRE(ParseAttemptId(ToString(id), parsed));
  CHECK(parsed == id);
  for (const char* malformed :
       {"", "~1~2~3", "h~1~2", "h~1~2~x", "h~~2~3", "h~1~2~3 "}) {
    CHECK_FALSE(ParseAttemptId(malformed, parsed));
  }
}
