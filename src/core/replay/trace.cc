// Hash chains of a trace's prompts.
#include "core/replay/trace.h"

namespace comfreyflow::replay {
namespace {

/// Finalizer of SplitMix64.
std::uint64_t Mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

}  // namespace

PrefixChain ChainOf(const TraceRequest& request, std::uint64_t index) {
  PrefixChain chain(request.prompt_tokens / kPrefixBlockTokens);
  const std::uint64_t shared = request.shared_tokens / kPrefixBlockTokens;
  const std::uint64_t group = Mix(request.prefix_group + 1);
  const std::uint64_t own = Mix(~index);
  for (std::uint64_t i = 0; i < chain.size(); ++i) {
    chain[i] = Mix((i < shared ? group : own) + i * 0x632be59bd9b4e019ULL);
  }
  return chain;
}

}  // namespace comfreyflow::replay
