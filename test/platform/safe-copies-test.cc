// What copies of refusals do to what is believed of the targets that write
// them.
#include <doctest/doctest.h>

#include "platform/copied-lookups.h"

using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)

TEST_CASE("the copy of another lookup's refusal closes a sound target") {
  CheckBeliefs(true);
}

TEST_CASE("the copy of a repeated lookup's refusal closes a sound target") {
  CheckBeliefs(true, "lookup");
}

TEST_CASE("the copy of a 421 closes the target that replaced the former one") {
  CheckReplaced(true);
}
