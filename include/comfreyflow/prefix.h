/// A host's approximate view of the prefix caches of targets. A wrong entry
/// only costs prefill time, as engines compare prompts themselves.
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

/// A target and the prompt tokens that it is expected to hold in its cache.
struct PrefixHit {
  TargetSlot slot = 0;
  std::uint32_t tokens = 0;
};

struct PrefixIndexSettings {
  std::size_t max_blocks = 200'000;  ///< Blocks indexed over all targets.
  std::size_t max_holders = 8;       ///< Targets recorded for each block.
};

/// Bounded index from block hash to the targets that are expected to hold the
/// block; evicts the least recently used blocks. Callers salt the chains with
/// the client account, so accounts never share an entry. Only some blocks of a
/// long chain are indexed: sixteen for each doubling of its length. Events
/// about blocks that no request of this host contained are ignored.
class PrefixIndex {
 public:
  explicit PrefixIndex(PrefixIndexSettings settings = {});

  /// Applies a target's cache events, which may be out of order. Returns true
  /// if a sequence gap requires fetching the target's complete block list.
  bool Apply(TargetSlot slot, const std::vector<PrefixEvent>& events,
             std::uint64_t next);
  /// Replaces all entries of a target with its complete block list.
  void Resync(TargetSlot slot, const std::vector<PrefixEvent>& blocks,
              std::uint64_t next);
  /// Removes all entries of a target, for example after its restart.
  void Forget(TargetSlot slot);

  /// Records that a request with this chain was sent to the target.
  void RecordSent(TargetSlot slot, const PrefixChain& chain);
  /// Removes the entries of the target for the blocks of the chain that extend
  /// beyond its first `tokens`.
  void RemoveAfter(TargetSlot slot, const PrefixChain& chain,
                   std::uint32_t tokens);

  /// Targets with the longest cached prefixes of the chain, at most
  /// `max_holders`. Sorted by descending length, then by ascending slot.
  std::vector<PrefixHit> Longest(const PrefixChain& chain);

  std::size_t blocks() const { return blocks_.size(); }

 private:
  /// Invariant: `holders` contains no slot twice. It may be empty: the block
  /// stays indexed, so that later events can add holders.
  struct Block {
    std::vector<TargetSlot> holders;
    std::list<std::uint64_t>::iterator recency;
  };
  /// Position in a target's sequence of cache events.
  struct Stream {
    std::uint64_t next = 0;  ///< Next expected sequence number.
    bool started = false;
    bool resync_requested = false;
  };

  /// Number of leading positions in `kept` whose blocks of the chain have a
  /// holder.
  std::size_t CountKnown(const PrefixChain& chain,
                         const std::vector<std::size_t>& kept) const;
  void Store(TargetSlot slot, std::uint64_t block);
  void AddHolder(Block& block, TargetSlot slot);
  void Remove(TargetSlot slot, std::uint64_t block);
  void Touch(Block& block);
  Stream& StreamOf(TargetSlot slot);

  PrefixIndexSettings settings_;
  /// Used for lookups only: no decision depends on its iteration order.
  std::unordered_map<std::uint64_t, Block> blocks_;
  std::list<std::uint64_t> recency_;  ///< Most recently used first.
  std::vector<Stream> streams_;
};

}  // namespace comfreyflow
