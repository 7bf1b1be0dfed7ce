// The thresholds of placement follow from the service. Guards against figures
// of one deployment that are applied to engines and streams of another one.
#include "comfreyflow/placement-model.h"

#include <doctest/doctest.h>

#include "placer-fixture.h"

using namespace comfreyflow;  // NOLINT(google-build-using-namespace)
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

/// Engines and streams for which the longest short prefill of the default model
/// breaks the gaps.
EngineModel TightEngine() {
  EngineModel engine = TestEngine();
  engine.slots = 12;
  engine.memory_tokens = 382'500;
  engine.step = microseconds(925);
  engine.prefill_per_second = 256'000;
  engine.prefill_per_1m_pairs = microseconds(92);
  engine.event_tokens = 52;
  return engine;
}

const StreamTerms kTightTerms{milliseconds(250), milliseconds(200)};

PlaceJob Lookup(std::uint64_t sequence, Time now, std::uint32_t tokens) {
  PlaceJob job = Job(sequence, now, tokens);
  job.objective = kTightTerms.shortest_objective;
  job.max_gap = kTightTerms.smallest_gap;
  return job;
}

Placer TightPlacer(int engines) {
  Placer placer({});
  placer.SetEngine(TightEngine(), kTightTerms);
  placer.SetTargets(PoolTargets(engines, TightEngine().slots), kStart);
  return placer;
}

}  // namespace

TEST_CASE("streams that bear a short prefill keep the default thresholds") {
  const StreamTerms terms{milliseconds(300), milliseconds(250)};
  CHECK(DeriveModel(TestEngine(), terms) == PlacementModel{});
  CHECK(DeriveModel(TestEngine(), {}) == PlacementModel{});
}

TEST_CASE("thresholds follow the gaps, the objective and the slots") {
  const PlacementModel model = DeriveModel(TightEngine(), kTightTerms);
  CHECK(model.keeps_gaps);
  CHECK(model.max_short_prefill ==
        milliseconds(200) - kGapMargin - microseconds(925) * 52);
  CHECK(model.packed_streams == 10);
  CHECK(model.max_prefill_backlog == milliseconds(210));
  CHECK(model.preferred_prefill_backlog < model.max_prefill_backlog);

  EngineModel slow = TightEngine();
  slow.event_tokens = 500;  // Its events alone take longer than the gaps.
  CHECK(DeriveModel(slow, kTightTerms).max_short_prefill > Duration::zero());
}

TEST_CASE("the terms of a service are the strictest of its routes") {
  Route relaxed;
  relaxed.kind = RouteKind::kStream;
  relaxed.latency_objective = milliseconds(1500);
  relaxed.max_gap = milliseconds(500);
  relaxed.services = {{{"llm"}, 1}};
  Route strict = relaxed;
  strict.latency_objective = milliseconds(250);
  strict.max_gap = milliseconds(200);
  strict.services = {{{"other"}, 9}, {{"llm"}, 1}};
  Route plain = strict;
  plain.kind = RouteKind::kSafe;
  plain.latency_objective = milliseconds(10);
  CHECK(TermsOf({relaxed, strict, plain}, {"llm"}) == kTightTerms);
  CHECK(TermsOf({plain}, {"llm"}) == StreamTerms{});
}

TEST_CASE("a prefill does not join streams whose gaps it would break") {
  Placer placer = TightPlacer(2);
  TargetName packed;
  for (std::uint64_t i = 1; i <= 8; ++i) {
    packed =
        Granted(placer, Lookup(i, kStart, 5'000), kStart).targets.front().name;
    placer.Started({{"h"}, {1}, i}, kStart);
  }
  // 18,000 tokens take 85 ms, of a gap of 200 ms 83 ms are left.
  const PlaceGrant large = Granted(placer, Lookup(9, kStart, 18'000), kStart);
  CHECK(large.targets.front().name != packed);
  const PlaceGrant small = Granted(placer, Lookup(10, kStart, 5'000), kStart);
  CHECK(small.targets.front().name == packed);
}

TEST_CASE("a granted prefill that has not started counts against the gaps") {
  Placer placer = TightPlacer(1);
  Granted(placer, Lookup(1, kStart, 12'000), kStart);
  placer.Submit(Lookup(2, kStart, 12'000), kStart);
  CHECK(placer.TakeDecisions().empty());
  CHECK(placer.waiting() == 1);
}
