// What copies of refusals that name no request do to what is believed of the
// targets that write them.
#include <doctest/doctest.h>

#include "platform/copied-lookups.h"

using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)

TEST_CASE("the copy of a refusal without id closes a sound target") {
  CheckBeliefs(false);
}

TEST_CASE("the copy of a 421 without id closes the target that replaced one") {
  CheckReplaced(false);
}
