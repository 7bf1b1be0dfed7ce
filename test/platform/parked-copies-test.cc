// Copies of refusals while a lookup is at a silent target and at another one.
#include <doctest/doctest.h>

#include "platform/parked-lookups.h"

using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)

TEST_CASE("the copy of its own refusal ends a lookup at a silent target") {
  CheckCopyOfParked("lookup");
}

TEST_CASE("the copy of another refusal ends a lookup at a silent target") {
  CheckCopyOfParked("next");
}

TEST_CASE(
    "the copy of its own refusal sends a lookup back to a silent target") {
  CheckCopyBeside("lookup");
}

TEST_CASE(
    "the copy of another refusal sends a lookup back to a silent target") {
  CheckCopyBeside("next");
}
