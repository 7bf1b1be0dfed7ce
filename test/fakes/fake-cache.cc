// A stand-in engine's prefix cache.
#include "fakes/fake-cache.h"

namespace comfreyflow::fakes {

std::uint64_t FakeCache::Match(const std::string& salt,
                               const std::vector<std::string>& blocks) {
  std::uint64_t tokens = 0;
  for (const std::string& block : blocks) {
    const auto found = index_.find({salt, block});
    if (found == index_.end()) break;
    used_.splice(used_.begin(), used_, found->second);
    tokens += settings_.block_tokens;
  }
  return tokens;
}

void FakeCache::Store(const std::string& salt,
                      const std::vector<std::string>& blocks,
                      std::uint64_t room, std::mt19937_64& random) {
  std::uint64_t stored = 0;
  for (const std::string& block : blocks) {
    stored += settings_.block_tokens;
    if (stored > room) break;
    const Key key{salt, block};
    if (index_.contains(key)) continue;
    used_.push_front(key);
    index_[key] = used_.begin();
    Log(key, true, random);
  }
  Shrink(room, random);
}

void FakeCache::Shrink(std::uint64_t room, std::mt19937_64& random) {
  while (tokens() > room) {
    const Key key = used_.back();
    used_.pop_back();
    index_.erase(key);
    Log(key, false, random);
  }
}

void FakeCache::Log(const Key& key, bool stored, std::mt19937_64& random) {
  const bool told =
      std::uniform_real_distribution<>()(random) >= settings_.event_gap;
  changes_.push_back({next_++, Clock::now(), stored, told, key});
  if (changes_.size() > settings_.events_kept) changes_.pop_front();
}

nlohmann::json FakeCache::Events(std::uint64_t since) const {
  nlohmann::json events = nlohmann::json::array();
  std::uint64_t next = changes_.empty() ? next_ : changes_.front().sequence;
  const auto visible = Clock::now() - settings_.event_delay;
  for (const Change& change : changes_) {
    if (change.when > visible) break;
    next = change.sequence + 1;
    if (change.sequence < since || !change.told) continue;
    events.push_back({{"seq", change.sequence},
                      {"kind", change.stored ? "stored" : "removed"},
                      {"salt", change.key.first},
                      {"block", change.key.second}});
  }
  return {{"next", next}, {"events", events}};
}

nlohmann::json FakeCache::Blocks() const {
  nlohmann::json blocks = nlohmann::json::array();
  for (const auto& [key, place] : index_) {
    blocks.push_back({{"salt", key.first}, {"block", key.second}});
  }
  return {{"next", next_}, {"blocks", blocks}};
}

}  // namespace comfreyflow::fakes
