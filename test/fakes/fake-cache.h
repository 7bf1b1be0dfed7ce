/// A stand-in engine's prefix cache: blocks by salt and hash, least recently
/// used first out, and the late and gappy log of their changes.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace comfreyflow::fakes {

class FakeCache {
 public:
  using Clock = std::chrono::steady_clock;
  struct Settings {
    std::uint32_t block_tokens = 256;
    Clock::duration event_delay = std::chrono::milliseconds(200);
    double event_gap = 0.02;  ///< Probability that a change is not told.
    std::size_t events_kept = 65536;
  };

  explicit FakeCache(Settings settings) : settings_(settings) {}

  /// Tokens of the longest cached prefix; marks its blocks as used.
  std::uint64_t Match(const std::string& salt,
                      const std::vector<std::string>& blocks);
  /// Stores blocks while all together take at most `room` tokens.
  void Store(const std::string& salt, const std::vector<std::string>& blocks,
             std::uint64_t room, std::mt19937_64& random);
  /// Removes blocks until they take at most `room` tokens.
  void Shrink(std::uint64_t room, std::mt19937_64& random);

  std::uint64_t tokens() const {
    return index_.size() * settings_.block_tokens;
  }
  void set_event_gap(double gap) { settings_.event_gap = gap; }

  /// Changes from number `since` on that are old enough to be told.
  nlohmann::json Events(std::uint64_t since) const;
  /// All blocks, and the number of the next change.
  nlohmann::json Blocks() const;

 private:
  using Key = std::pair<std::string, std::string>;  ///< Salt and block hash.
  struct Change {
    std::uint64_t sequence;
    Clock::time_point when;
    bool stored;
    bool told;
    Key key;
  };
  void Log(const Key& key, bool stored, std::mt19937_64& random);

  Settings settings_;
  std::list<Key> used_;  ///< The most recently used first.
  std::map<Key, std::list<Key>::iterator> index_;
  std::deque<Change> changes_;
  std::uint64_t next_ = 0;
};

}  // namespace comfreyflow::fakes
