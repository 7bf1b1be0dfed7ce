// Placement with short and long parts, cached prefixes, delayed reports and
// gangs.
#include "comfreyflow/router.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

namespace comfreyflow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEngines = 20;

TargetName EngineName(int index) { return {"e" + std::to_string(100 + index)}; }

Router MakeRouter(std::uint64_t seed = 1) {
  RouterSettings settings;
  settings.seed = seed;
  Router router(settings);
  for (int i = 0; i < kEngines; ++i) {
    TargetInfo info;
    info.name = EngineName(i);
    info.service = {"s"};
    info.models = {{"m"}};
    info.kv_capacity = 450'000;
    info.max_running = 64;
    router.UpsertTarget(info);
  }
  router.Tick(Time{} + milliseconds(1));
  return router;
}

RequestInfo MakeRequest(std::uint64_t sequence, std::uint32_t tokens) {
  RequestInfo info;
  info.id = {{"h1"}, {1}, sequence};
  info.service = {"s"};
  info.model = {"m"};
  info.prompt_tokens = tokens;
  info.max_output_tokens = 256;
  for (std::uint32_t i = 0; i < tokens / kPrefixBlockTokens; ++i) {
    info.prefix.push_back((sequence * 1'000'003 + i) * 0x9e3779b97f4a7c15ULL);
  }
  return info;
}

std::set<TargetName> CandidateTargets(Router& router, std::uint32_t tokens) {
  std::set<TargetName> out;
  for (std::uint64_t i = 0; i < 200; ++i) {
    const auto placement =
        router.Place(MakeRequest(i, tokens), {}, true, Time{});
    for (const auto& candidate : placement.candidates) {
      out.insert(candidate.target);
    }
  }
  return out;
}

TEST_CASE("long work is not placed on engines reserved for short work") {
  Router router = MakeRouter();
  const auto long_targets = CandidateTargets(router, 60'000);
  const auto short_targets = CandidateTargets(router, 2'000);
  CHECK(long_targets.size() == kEngines - router.short_part({"s"}));
  for (const TargetName& target : short_targets) {
    CHECK_FALSE(long_targets.contains(target));
  }
  // When the short part is busy, short work uses engines of the long part.
  for (const TargetName& target : short_targets) {
    router.Refused(target, seconds(5), Time{});
  }
  const auto overflow = router.Place(MakeRequest(1, 2'000), {}, true, Time{});
  CHECK(long_targets.contains(overflow.candidates[0].target));
}

TEST_CASE("the short part is resized by demand in limited steps") {
  Router router = MakeRouter();
  const std::size_t before = router.short_part({"s"});
  CandidateTargets(router, 4'000);
  router.Tick(Time{} + seconds(6));
  CHECK(router.short_part({"s"}) == before + 1);
  for (int i = 2; i < 40; ++i) {
    CandidateTargets(router, 4'000);
    router.Tick(Time{} + seconds(6 * i));
  }
  CHECK(router.short_part({"s"}) == kEngines - 4);
}

TEST_CASE("an engine with the cached prefix is preferred unless it is busy") {
  Router router = MakeRouter();
  RequestInfo info = MakeRequest(1, 8'000);
  const Candidate first = router.Place(info, {}, true, Time{}).candidates[0];
  router.Sent({info.id, 1}, info, first, Time{});
  router.FirstToken({info.id, 1}, first.target);
  router.Ended({info.id, 1}, first.target, info, true);
  RequestInfo again = MakeRequest(1, 8'000);
  again.id.sequence = 2;
  const Time later = Time{} + seconds(1);
  const Candidate second = router.Place(again, {}, true, later).candidates[0];
  CHECK(second.target == first.target);
  CHECK(second.uncached_tokens < 500);
  router.Refused(first.target, seconds(5), later);
  CHECK(router.Place(again, {}, true, later).candidates[0].target !=
        first.target);
}

TEST_CASE("a delayed report does not hide attempts sent after it was made") {
  Router router = MakeRouter();
  RequestInfo info = MakeRequest(1, 60'000);
  const Candidate chosen = router.Place(info, {}, true, Time{}).candidates[0];
  const Time sent_at = Time{} + seconds(10);
  router.Sent({info.id, 1}, info, chosen, sent_at);
  TargetReport report;
  report.target = chosen.target;
  report.sequence = 1;
  report.age = seconds(2);
  router.ApplyReport(report, sent_at + seconds(1));
  for (int i = 0; i < 20; ++i) {
    const auto placement = router.Place(MakeRequest(50 + i, 60'000), {}, true,
                                        sent_at + milliseconds(10));
    CHECK(placement.candidates[0].target != chosen.target);
  }
}

TEST_CASE("closed, excluded and removed targets get no requests") {
  Router router = MakeRouter();
  for (int i = 1; i < kEngines; ++i) {
    if (i % 2 == 0) {
      router.CloseTarget(EngineName(i));
    } else {
      router.RemoveTarget(EngineName(i));
    }
  }
  const auto placement = router.Place(MakeRequest(1, 2'000), {}, true, Time{});
  REQUIRE(placement.candidates.size() == 1);
  CHECK(placement.candidates[0].target == EngineName(0));
  CHECK(
      router.Place(MakeRequest(1, 2'000), {EngineName(0)}, true, Time{}).kind ==
      Placement::Kind::kNoTarget);
}

TEST_CASE("a gang has enough engines, ordered by name, and one leader") {
  Router router = MakeRouter();
  const auto placement =
      router.Place(MakeRequest(1, 1'000'000), {}, true, Time{});
  REQUIRE(placement.kind == Placement::Kind::kGang);
  CHECK(placement.length == PromptClass::kHuge);
  const auto& members = placement.candidates;
  REQUIRE(members.size() == 3);
  CHECK(std::is_sorted(members.begin(), members.end(),
                       [](const Candidate& a, const Candidate& b) {
                         return a.target < b.target;
                       }));
  std::uint64_t memory = 0;
  int leaders = 0;
  for (const Candidate& member : members) {
    memory += member.kv_tokens;
    leaders += member.prefills ? 1 : 0;
    CHECK(member.kv_tokens <= 450'000);
  }
  CHECK(memory >= 1'000'256);
  CHECK(leaders == 1);
  CHECK(router.Place(MakeRequest(2, 3'000'000), {}, true, Time{}).kind ==
        Placement::Kind::kTooLong);
}

TEST_CASE("hosts with the same view spread their requests over targets") {
  std::map<TargetName, int> chosen;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Router router = MakeRouter(seed);
    RequestInfo info = MakeRequest(seed, 60'000);
    info.prefix.clear();
    const auto placement = router.Place(info, {}, true, Time{});
    ++chosen[placement.candidates[0].target];
  }
  int most = 0;
  for (const auto& [target, count] : chosen) most = std::max(most, count);
  CHECK(chosen.size() >= 10);
  CHECK(most <= 25);
}

}  // namespace
}  // namespace comfreyflow
