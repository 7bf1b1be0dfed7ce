// Index of the prefix blocks that targets hold in their caches.
#include <algorithm>
#include <bit>

#include "comfreyflow/prefix.h"

namespace comfreyflow {
namespace {

/// Number of blocks kept for each doubling of the position in a chain.
constexpr std::size_t kBlocksPerDoubling = 16;

/// Longest chain, in indexed blocks, that `Longest` steps through one by one.
/// Its step doubles in longer chains.
constexpr std::size_t kMaxLinearBlocks = 32;

/// Position of the next indexed block after `index`.
std::size_t NextKept(std::size_t index) {
  const std::size_t count = index + 1;
  const std::size_t step = std::bit_floor(count) / kBlocksPerDoubling;
  if (step <= 1) return index + 1;
  return (count / step + 1) * step - 1;
}

bool Contains(const std::vector<TargetSlot>& holders, TargetSlot slot) {
  return std::find(holders.begin(), holders.end(), slot) != holders.end();
}

}  // namespace

PrefixIndex::PrefixIndex(PrefixIndexSettings settings) : settings_(settings) {}

PrefixIndex::Stream& PrefixIndex::StreamOf(TargetSlot slot) {
  if (slot >= streams_.size()) streams_.resize(slot + 1);
  return streams_[slot];
}

bool PrefixIndex::Apply(TargetSlot slot, const std::vector<PrefixEvent>& events,
                        std::uint64_t next) {
  Stream& stream = StreamOf(slot);
  std::vector<PrefixEvent> sorted = events;
  std::sort(sorted.begin(), sorted.end(),
            [](const PrefixEvent& a, const PrefixEvent& b) {
              return a.sequence < b.sequence;
            });
  bool gap = false;
  for (const PrefixEvent& event : sorted) {
    if (stream.started && event.sequence < stream.next) continue;
    gap = gap || (stream.started && event.sequence > stream.next);
    if (event.kind == PrefixEvent::Kind::kStored) {
      const auto known = blocks_.find(event.block);
      if (known != blocks_.end()) AddHolder(known->second, slot);
    } else {
      Remove(slot, event.block);
    }
    stream.started = true;
    stream.next = event.sequence + 1;
  }
  if (stream.started && next > stream.next) {
    gap = true;
    stream.next = next;
  }
  if (!gap || stream.resync_requested) return false;
  stream.resync_requested = true;
  return true;
}

void PrefixIndex::Resync(TargetSlot slot,
                         const std::vector<PrefixEvent>& blocks,
                         std::uint64_t next) {
  Forget(slot);
  for (const PrefixEvent& event : blocks) {
    const auto known = blocks_.find(event.block);
    if (known != blocks_.end()) AddHolder(known->second, slot);
  }
  StreamOf(slot) = {next, true, false};
}

void PrefixIndex::Forget(TargetSlot slot) {
  for (const std::uint64_t block : recency_) Remove(slot, block);
  StreamOf(slot) = {};
}

void PrefixIndex::RecordSent(TargetSlot slot, const PrefixChain& chain) {
  for (std::size_t i = 0; i < chain.size(); i = NextKept(i)) {
    Store(slot, chain[i]);
  }
}

void PrefixIndex::RemoveAfter(TargetSlot slot, const PrefixChain& chain,
                              std::uint32_t tokens) {
  for (std::size_t i = 0; i < chain.size(); i = NextKept(i)) {
    if ((i + 1) * kPrefixBlockTokens > tokens) Remove(slot, chain[i]);
  }
}

/// Engines evict the end of a chain first, so a target that holds a block also
/// holds the blocks before it. This permits a binary search for the depth.
std::size_t PrefixIndex::CountKnown(
    const PrefixChain& chain, const std::vector<std::size_t>& kept) const {
  std::size_t from = 0;
  std::size_t to = kept.size();
  while (from < to) {
    const std::size_t middle = (from + to) / 2;
    const auto found = blocks_.find(chain[kept[middle]]);
    if (found != blocks_.end() && !found->second.holders.empty()) {
      from = middle + 1;
    } else {
      to = middle;
    }
  }
  return from;
}

std::vector<PrefixHit> PrefixIndex::Longest(const PrefixChain& chain) {
  std::vector<std::size_t> kept;
  for (std::size_t i = 0; i < chain.size(); i = NextKept(i)) kept.push_back(i);
  std::vector<PrefixHit> hits;
  std::size_t step = 1;
  for (std::size_t known = CountKnown(chain, kept); known > 0;) {
    const std::size_t index = kept[known - 1];
    Block& block = blocks_.at(chain[index]);
    Touch(block);
    for (const TargetSlot slot : block.holders) {
      const bool seen = std::any_of(
          hits.begin(), hits.end(),
          [slot](const PrefixHit& hit) { return hit.slot == slot; });
      if (seen) continue;
      hits.push_back(
          {slot, static_cast<std::uint32_t>((index + 1) * kPrefixBlockTokens)});
    }
    if (hits.size() >= settings_.max_holders) break;
    known -= std::min(known, step);
    if (kept.size() > kMaxLinearBlocks) step *= 2;
    while (known > 0 && !blocks_.contains(chain[kept[known - 1]])) --known;
  }
  std::sort(
      hits.begin(), hits.end(), [](const PrefixHit& a, const PrefixHit& b) {
        return a.tokens != b.tokens ? a.tokens > b.tokens : a.slot < b.slot;
      });
  if (hits.size() > settings_.max_holders) hits.resize(settings_.max_holders);
  return hits;
}

void PrefixIndex::AddHolder(Block& block, TargetSlot slot) {
  auto& holders = block.holders;
  if (Contains(holders, slot)) return;
  if (holders.size() >= settings_.max_holders) holders.erase(holders.begin());
  holders.push_back(slot);
}

void PrefixIndex::Store(TargetSlot slot, std::uint64_t block) {
  auto [found, added] = blocks_.try_emplace(block);
  Block& entry = found->second;
  if (added) {
    recency_.push_front(block);
    entry.recency = recency_.begin();
  } else {
    Touch(entry);
  }
  AddHolder(entry, slot);
  if (blocks_.size() > settings_.max_blocks) {
    blocks_.erase(recency_.back());
    recency_.pop_back();
  }
}

void PrefixIndex::Remove(TargetSlot slot, std::uint64_t block) {
  const auto found = blocks_.find(block);
  if (found == blocks_.end()) return;
  std::erase(found->second.holders, slot);
}

void PrefixIndex::Touch(Block& block) {
  recency_.splice(recency_.begin(), recency_, block.recency);
}

}  // namespace comfreyflow
