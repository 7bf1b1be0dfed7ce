/// Writes refusals of a target a second time on their connections, and counts
/// which request ids come back to a target.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "comfreyflow/types.h"
#include "soak/records.h"

namespace comfreyflow::soak {

/// All connections to one target.
class CopyWriter {
 public:
  /// `counts` outlives it.
  CopyWriter(CopyCounts& counts, std::uint64_t seed)
      : counts_(counts), random_(seed) {}

  class Link;
  std::unique_ptr<Link> Open();
  /// Whether refusals from now on are copied.
  void SetCopies(bool copies) { copies_ = copies; }

 private:
  CopyCounts& counts_;
  std::mt19937_64 random_;
  std::set<std::string> ids_;  ///< Of all requests.
  bool copies_ = false;
};

/// One connection. It carries one request at a time, so a copy fits between two
/// answers.
class CopyWriter::Link {
 public:
  /// Bytes to write to the host after a while, if the answer under way is over
  /// by then.
  struct Timed {
    Duration after{};
    std::string bytes;
  };

  explicit Link(CopyWriter& writer) : writer_(writer) {}

  /// Takes bytes for the target; returns what the host gets at once.
  std::string OnRequest(const std::string& bytes);
  /// Takes bytes of the target; returns what the host gets in their place.
  std::string OnAnswer(std::string bytes);
  std::vector<Timed> TakeTimed() { return std::exchange(timed_, {}); }
  /// The timed copy itself, or nothing while an answer is under way: it is
  /// then written behind that.
  std::string OnTime(const std::string& bytes);

 private:
  /// When a copy is written.
  enum class Moment : std::uint8_t {
    kWithRefusal,     ///< In one packet with it.
    kIdle,            ///< Soon.
    kLate,            ///< Seconds later.
    kNextRequest,     ///< At once when the next request has come.
    kBeforeNext,      ///< In one packet with the next answer.
    kBehindNext,      ///< In one packet with it, and behind it.
    kSoonBehindNext,  ///< In a packet of its own.
    kSameRequest,     ///< When the same request has come again.
    kBeforeSame,      ///< In one packet with the answer to it.
  };
  static constexpr int kMoments = 9;

  struct Copy {
    std::string id;
    std::string bytes;
    Moment moment = Moment::kIdle;
  };

  void Plan(const std::string& refusal);
  Moment Draw(int earlier);
  /// Copies due at the moment, which are then done.
  std::string Take(Moment moment, bool same_only);
  void Begin(const std::string& bytes);
  /// Whether the answer is over with these bytes.
  bool IsOver(const std::string& bytes);
  void Count(const std::string& id);

  CopyWriter& writer_;
  std::multiset<std::string> ids_;  ///< Of its requests.
  std::deque<Copy> copies_;
  std::vector<Timed> timed_;
  std::string id_;  ///< Of the last request.
  bool open_ = false;
  bool begun_ = false;  ///< Bytes of the answer have come.
  bool chunked_ = false;
  std::size_t left_ = 0;
  std::string behind_;       ///< Written once the answer under way is over.
  std::string soon_behind_;  ///< Then, in a packet of its own.
};

}  // namespace comfreyflow::soak
