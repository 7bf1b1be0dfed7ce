// What copies of refusals that name no request do to what is believed of the
// targets that write them, and to lookups at silent targets.
#include <doctest/doctest.h>

#include "platform/copied-lookups.h"
#include "platform/parked-lookups.h"

using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)

TEST_CASE("the copy of a refusal without id closes a sound target") {
  CheckBeliefs(false);
}

TEST_CASE("the copy of a 421 without id closes the target that replaced one") {
  CheckReplaced(false);
}

TEST_CASE("the copy of a refusal without id ends a lookup at a silent target") {
  CheckCopyOfParked("next", false);
}

TEST_CASE("the copy of one without id sends a lookup back to a silent target") {
  CheckCopyBeside("next", false);
}
