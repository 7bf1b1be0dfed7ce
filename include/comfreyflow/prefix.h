/// A host's soft view of what targets hold in their prefix caches. A wrong
/// entry costs prefill time only: an engine compares prompts by itself.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "comfreyflow/target.h"
#include "comfreyflow/types.h"

namespace comfreyflow {

/// Index of a target inside a `Router`.
using TargetSlot = std::uint32_t;

struct PrefixHit {
  TargetSlot slot = 0;
  std::uint32_t tokens = 0;
};

struct PrefixIndexSettings {
  std::size_t max_blocks = 200'000;  ///< Blocks known over all targets.
  std::size_t max_holders = 8;       ///< Targets remembered a block.
};

/// Bounded, least recently used index from block hash to the targets that are
/// thought to hold the block. Chains are salted by client account before they
/// come here, so that accounts never share an entry. Of a long chain only some
/// blocks are kept, sixteen each time its length doubles; events about blocks
/// that no request of this host had are not kept.
class PrefixIndex {
 public:
  explicit PrefixIndex(PrefixIndexSettings settings = {});

  /// Applies events of a target in any order; true when a gap in their
  /// sequence calls for the target's whole list.
  bool Apply(TargetSlot slot, const std::vector<PrefixEvent>& events,
             std::uint64_t next);
  /// Replaces what is known of a target by its whole list.
  void Resync(TargetSlot slot, const std::vector<PrefixEvent>& blocks,
              std::uint64_t next);
  /// Forgets a target, as after its restart.
  void Forget(TargetSlot slot);

  /// A request with this chain was sent to the target, or ended there.
  void Sent(TargetSlot slot, const PrefixChain& chain);
  /// The target was found to lack what follows the first `tokens` of the
  /// chain.
  void Lacks(TargetSlot slot, const PrefixChain& chain, std::uint32_t tokens);

  /// Targets with the longest cached parts of the chain, at most
  /// `max_holders`, longest first, lowest slot first among equals.
  std::vector<PrefixHit> Longest(const PrefixChain& chain);

  std::size_t blocks() const { return blocks_.size(); }

 private:
  /// Invariant: `holders` has no slot twice; it may be empty, as a block that
  /// is asked for again is worth knowing of.
  struct Block {
    std::vector<TargetSlot> holders;
    std::list<std::uint64_t>::iterator recency;
  };
  /// What is known of a target's stream of events.
  struct Stream {
    std::uint64_t next = 0;
    bool started = false;
    bool resync_asked = false;
  };

  std::size_t Known(const PrefixChain& chain,
                    const std::vector<std::size_t>& kept) const;
  void Store(TargetSlot slot, std::uint64_t block);
  void AddHolder(Block& block, TargetSlot slot);
  void Remove(TargetSlot slot, std::uint64_t block);
  void Touch(Block& block);
  Stream& StreamOf(TargetSlot slot);

  PrefixIndexSettings settings_;
  /// Looked up only; its order reaches no decision.
  std::unordered_map<std::uint64_t, Block> blocks_;
  std::list<std::uint64_t> recency_;  ///< Most recent first.
  std::vector<Stream> streams_;
};

}  // namespace comfreyflow
