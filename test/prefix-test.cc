// Prefix index with delayed, lost and reordered cache events.
#include "comfreyflow/prefix.h"

#include <doctest/doctest.h>

namespace comfreyflow {
namespace {

PrefixChain Chain(std::uint64_t seed, std::size_t length) {
  PrefixChain chain;
  for (std::size_t i = 0; i < length; ++i) chain.push_back(seed * 100'000 + i);
  return chain;
}

PrefixEvent Event(std::uint64_t sequence, PrefixEvent::Kind kind,
                  std::uint64_t block) {
  PrefixEvent event;
  event.sequence = sequence;
  event.kind = kind;
  event.block = block;
  return event;
}

constexpr auto kStored = PrefixEvent::Kind::kStored;
constexpr auto kRemoved = PrefixEvent::Kind::kRemoved;

TEST_CASE("holders are sorted by cached length and accounts share no entries") {
  PrefixIndex index;
  index.RecordSent(1, Chain(7, 4));
  index.RecordSent(2, Chain(7, 10));
  const auto hits = index.Longest(Chain(7, 12));
  REQUIRE(hits.size() == 2);
  CHECK(hits[0].slot == 2);
  CHECK(hits[0].tokens == 10 * kPrefixBlockTokens);
  CHECK(hits[1].tokens == 4 * kPrefixBlockTokens);
  CHECK(index.Longest(Chain(8, 12)).empty());
}

TEST_CASE(
    "a long chain takes few index entries and almost its full length matches") {
  PrefixIndex index;
  index.RecordSent(1, Chain(7, 3'900));
  CHECK(index.blocks() < 200);
  const auto hits = index.Longest(Chain(7, 3'900));
  CHECK(hits.at(0).tokens > 3'900 * kPrefixBlockTokens * 15 / 16);
}

TEST_CASE("out-of-order events are applied once in sequence order") {
  PrefixIndex index;
  const PrefixChain chain = Chain(7, 3);
  index.RecordSent(1, chain);
  CHECK_FALSE(index.Apply(
      1, {Event(2, kStored, chain[1]), Event(1, kRemoved, chain[1])}, 3));
  CHECK(index.Longest(chain).at(0).tokens == 3 * kPrefixBlockTokens);
  // A repeated event has no effect.
  CHECK_FALSE(index.Apply(1, {Event(1, kRemoved, chain[1])}, 3));
  CHECK(index.Longest(chain).at(0).tokens == 3 * kPrefixBlockTokens);
}

TEST_CASE(
    "a sequence gap requests the complete list once, which replaces all "
    "entries") {
  PrefixIndex index;
  const PrefixChain chain = Chain(7, 3);
  index.RecordSent(1, chain);
  index.Apply(1, {Event(1, kStored, 1)}, 2);
  CHECK(index.Apply(1, {Event(5, kStored, 2)}, 6));
  CHECK_FALSE(index.Apply(1, {Event(9, kStored, 3)}, 10));
  index.Resync(1, {Event(0, kStored, chain[0])}, 10);
  CHECK(index.Longest(chain).at(0).tokens == kPrefixBlockTokens);
  CHECK(index.Apply(1, {Event(20, kStored, 3)}, 21));
}

TEST_CASE("the least recently used blocks are evicted at the size limit") {
  PrefixIndexSettings settings;
  settings.max_blocks = 100;
  PrefixIndex index(settings);
  for (std::uint64_t i = 1; i <= 50; ++i) index.RecordSent(1, Chain(i, 10));
  CHECK(index.blocks() == 100);
  CHECK_FALSE(index.Longest(Chain(50, 10)).empty());
  CHECK(index.Longest(Chain(1, 10)).empty());
}

}  // namespace
}  // namespace comfreyflow
