// The error table: names are stable, unique and complete.
#include "comfreyflow/errors.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)

TEST_CASE("each code has a name of its own and a message") {
  std::set<std::string> names;
  for (int i = 0; i < ErrorCount(); ++i) {
    const ErrorInfo& info = Info(static_cast<Errc>(i));
    CHECK(names.insert(info.name).second);
    CHECK(std::string(info.message).size() > 5);
    CHECK(info.http_status >= 200);
  }
}

TEST_CASE("a code survives the trip through std::error_code") {
  const std::error_code error = Errc::kDraining;
  CHECK(ToErrc(error) == Errc::kDraining);
  CHECK(error.message() == Info(Errc::kDraining).message);
  CHECK(ToErrc(std::make_error_code(std::errc::io_error)) == Errc::kInternal);
}

TEST_CASE(
    "an attempt identifier survives its text form, whatever the host's name") {
  const AttemptId id{{{"entry~1"}, {17}, 42}, 3};
  AttemptId read;
  REQUIRE(ParseAttemptId(ToString(id), read));
  CHECK(read == id);
  for (const char* bad :
       {"", "~1~2~3", "h~1~2", "h~1~2~x", "h~~2~3", "h~1~2~3 "}) {
    CHECK_FALSE(ParseAttemptId(bad, read));
  }
}
