/// Runs a trace in virtual time: hosts with a policy, engines, stewards, and
/// between them nothing but delays.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "comfreyflow/steward.h"
#include "core/replay/engine.h"
#include "core/replay/policy.h"
#include "core/replay/result.h"
#include "core/replay/trace.h"

namespace comfreyflow::replay {

/// Streams are named by request and attempt, an engine's work by rank too.
inline constexpr int kAttemptBits = 4;
inline constexpr int kRankBits = 4;

inline std::uint64_t StreamKey(const AttemptId& attempt) {
  return attempt.request.sequence << kAttemptBits | attempt.number;
}

inline std::uint64_t WorkKey(std::uint64_t stream, std::uint32_t rank) {
  return stream << kRankBits | rank;
}

inline std::uint64_t StreamOfWork(std::uint64_t work) {
  return work >> kRankBits;
}

inline std::uint64_t RequestOfStream(std::uint64_t stream) {
  return stream >> kAttemptBits;
}

inline std::uint32_t AttemptOfStream(std::uint64_t stream) {
  return stream & ((1U << kAttemptBits) - 1);
}

inline std::uint32_t RankOfWork(std::uint64_t work) {
  return work & ((1U << kRankBits) - 1);
}

class Fleet {
 public:
  Fleet(const Trace& trace, const std::string& policy);
  Result Run();

 private:
  enum class Kind : std::uint8_t {
    kArrival,
    kHostTick,
    kStewardTick,
    kIteration,
    kReport,
    kReportSeen,
    kCacheSeen,
    kListSeen,
    kSubmit,
    kCancel,
    kGangReady,
    kAsk,
    kRelease,
    kPrefillDone,
    kAnswer,
    kFirstToken,
    kEnded,
    kFailed,
    kLoss,
    kLossSeen,
    kStewardClose,
    kSuspect,
  };
  /// `a`, `b` and `key` mean what the kind says; `slot` is of `payloads_`.
  struct Event {
    Time at;
    std::uint64_t order = 0;
    Kind kind{};
    std::uint32_t a = 0;
    std::uint32_t b = 0;
    std::uint64_t key = 0;
    std::uint32_t slot = 0;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  /// What does not fit in an event.
  struct Payload {
    ReservationRequest ask;
    ReservationReply answer;
    EngineWork work;
    TargetReport report;
    std::vector<PrefixEvent> blocks;
    std::uint64_t next = 0;
  };
  struct Host {
    std::unique_ptr<HostPolicy> policy;
    std::uint32_t domain = 0;
    HostName name;
  };
  struct EngineSeat {
    Engine engine;
    TargetInfo info;
    std::uint32_t domain = 0;
    std::uint32_t steward_host = 0;
    std::unique_ptr<Steward> steward;
    std::uint64_t sequence = 0;
    bool alive = true;
    Time lost_at;
  };
  /// One attempt that engines were told of.
  struct Stream {
    std::uint32_t host = 0;
    std::vector<std::uint32_t> engines;
    std::uint32_t admitted = 0;
    std::uint32_t cached = 0;
  };

  void SetUp(const std::string& policy);
  void Push(Time at, Kind kind, std::uint32_t a = 0, std::uint32_t b = 0,
            std::uint64_t key = 0, std::uint32_t slot = 0);
  std::uint32_t Keep(Payload payload);
  Payload Take(std::uint32_t slot);
  Duration Hop(std::uint32_t from_domain, std::uint32_t to_domain) const;
  Duration ToEngine(std::uint32_t host, std::uint32_t engine) const;
  Duration ToSteward(std::uint32_t host, std::uint32_t engine) const;

  void Handle(const Event& event);
  void OnArrival(const Event& event);
  void OnSubmit(const Event& event);
  void OnStream(const Event& event);
  void OnCancel(const Event& event);
  void OnIteration(const Event& event);
  void OnReport(const Event& event);
  void OnReportSeen(const Event& event);
  void OnCacheSeen(const Event& event);
  void OnStewardTick(const Event& event);
  void OnLoss(const Event& event);
  void Kick(std::uint32_t engine);
  void Admitted(std::uint32_t engine, const EngineStep& step);
  void Answers(std::uint32_t engine, const StewardResult& turn);

  void Carry(std::uint32_t host, const HostActions& actions);
  void Do(std::uint32_t host, const SendReserveRequest& action);
  void Do(std::uint32_t host, const SendRelease& action);
  void Do(std::uint32_t host, const SendPrefillDone& action);
  void Do(std::uint32_t host, const StartStream& action);
  void Do(std::uint32_t host, const CancelStream& action);
  void Do(std::uint32_t host, const EndRequest& action);
  void Do(std::uint32_t host, const FetchList& action);
  void Do(std::uint32_t host, const SuspectTarget& action);

  std::uint32_t EngineOf(const TargetName& target) const;
  RunningAttempt ListedOf(std::uint64_t work) const;
  RequestInfo InfoOf(std::uint64_t index) const;

  const Trace& trace_;
  PolicySetup policy_;
  std::mt19937_64 random_;
  Time now_;
  std::uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Payload> payloads_;
  std::vector<std::uint32_t> free_payloads_;
  std::vector<Host> hosts_;
  std::vector<EngineSeat> engines_;
  std::unordered_map<std::string, std::uint32_t> engine_by_name_;
  std::unordered_map<std::uint64_t, Stream> streams_;
  std::vector<std::uint32_t> host_of_;  ///< Of each request.
  std::size_t open_ = 0;                ///< Requests arrived and not ended.
  std::size_t arrived_ = 0;
  Duration busy_{};
  Result result_;
};

}  // namespace comfreyflow::replay
