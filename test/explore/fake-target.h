/// An engine or a plain service in a run: keeps memory for what it runs until
/// that ends on an open connection, is cancelled, or the target crashes.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "comfreyflow/target.h"
#include "explore/network.h"

namespace comfreyflow::explore {

/// A request as a target receives it.
struct TargetCall {
  AttemptId attempt;
  std::uint64_t answer = 0;
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  Duration expires_in{};
};

/// What a target sends on the stream of an attempt.
struct TargetMessage {
  enum class Kind : std::uint8_t {
    kChunk,
    kHeartbeat,
    kEnd,
    kRefused,
    kBroken
  };
  Kind kind = Kind::kChunk;
  AttemptId attempt;
  std::uint64_t answer = 0;
  std::uint64_t offset = 0;
  std::uint32_t length = 0;
};

class FakeTarget {
 public:
  FakeTarget(Network& network, TargetInfo info, std::uint32_t number);

  const TargetInfo& info() const { return info_; }
  bool up() const { return up_; }
  std::uint64_t epoch() const { return epoch_; }
  std::size_t running() const { return running_.size(); }
  std::uint32_t poison_crashes() const { return poison_crashes_; }
  std::vector<RunningAttempt> List() const;

  /// `reply` carries messages back on the stream; `ran` is told when the
  /// request begins to run.
  void Start(const TargetCall& call,
             std::function<void(const TargetMessage&)> reply,
             const std::function<void(const RequestId&)>& ran);
  /// True when the attempt was running.
  bool Cancel(const AttemptId& attempt);
  void Crash();
  void Restart();
  /// From now on the target says that it takes no new work.
  void Leave();
  /// Its load report as of now.
  TargetReport Report();
  /// A host has decided to send it a request.
  bool SentTooLate() const;
  /// The connections of a host broke; its attempts keep their memory.
  void Disconnect(const HostName& host, Incarnation incarnation);
  /// The open streams say nothing any more and end nowhere.
  void Silence();

 private:
  struct Run {
    TargetCall call;
    std::function<void(const TargetMessage&)> reply;
    Time expires;
    std::uint64_t at = 0;
    bool connected = true;
    bool silent = false;
  };

  void Step(const AttemptId& attempt, std::uint64_t epoch);

  void Say(const Run& run, TargetMessage::Kind kind, std::uint64_t offset,
           std::uint32_t length) const;

  Network& network_;
  TargetInfo info_;
  std::uint32_t number_;
  bool up_ = true;
  std::uint64_t epoch_ = 1;
  std::uint64_t reports_ = 0;
  bool closing_ = false;
  std::optional<Time> told_;  ///< When it first said that it is leaving.
  std::uint32_t poison_crashes_ = 0;
  std::map<AttemptId, Run> running_;
  std::set<AttemptId> started_;  ///< A stream carries its call once.
};

}  // namespace comfreyflow::explore
