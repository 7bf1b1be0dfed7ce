// Retries that a placer counts against their budget.
#include <doctest/doctest.h>

#include "comfreyflow/placer.h"
#include "placer-fixture.h"

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

TEST_CASE("retries that were never granted use up the retry budget") {
  Placer placer = PlainPlacer(1, 16);
  for (std::uint64_t i = 1; i <= 10; ++i)
    Granted(placer, Job(i, kStart, 0), kStart);
  const double before = placer.Summarize(kStart).retries_left;
  const TargetName only = placer.Loads().front().name;
  for (std::uint64_t i = 101; i <= 110; ++i) {
    PlaceJob retry = Job(i, kStart, 0);
    retry.is_retry = true;
    retry.excluded = {only};
    placer.Submit(retry, kStart);
    CHECK(placer.TakeDecisions().empty());
    placer.Ended(retry.id, WorkEnd::kCancelled, kStart + milliseconds(10));
  }
  CHECK(placer.Summarize(kStart + milliseconds(10)).retries_left == before);
}
