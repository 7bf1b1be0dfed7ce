/// What all policies of a replay share: open requests, their deadlines, and
/// retries after a failure.
#pragma once

#include <map>
#include <set>

#include "core/replay/policy.h"

namespace comfreyflow::replay {

class BaseHost : public HostPolicy {
 public:
  HostActions Arrived(const RequestInfo& info, Time now) override;
  HostActions FirstToken(const AttemptId& attempt, Time now) override;
  HostActions Ended(const AttemptId& attempt, std::uint32_t cached,
                    Time now) override;
  HostActions Failed(const AttemptId& attempt, const TargetName& target,
                     bool crashed, Time now) override;
  HostActions Tick(Time now) override;

 protected:
  struct Open {
    RequestInfo info;
    std::uint32_t attempt = 1;
    std::vector<TargetName> targets;  ///< Of the stream that runs.
    std::vector<TargetName> excluded;
  };

  /// `kOk` to admit.
  virtual Errc Judge(const RequestInfo&, Time) { return Errc::kOk; }
  virtual void Dispatch(Open& open, Time now) = 0;
  virtual void OnFirstToken(const AttemptId&, Time) {}
  /// The attempt is over; the request may go on with another.
  virtual void OnLeft(const Open&, const AttemptId&, bool /*whole*/, Time) {}
  /// The request ended.
  virtual void OnDone(const RequestId&) {}
  virtual void OnSuspect(const TargetName&, Time) {}
  virtual void OnTick(Time) {}

  Open* Find(const AttemptId& attempt);
  void Start(Open& open, std::vector<TargetName> targets,
             std::uint8_t priority);
  void Settle(Open& open, Errc code, Time now);
  static AttemptId AttemptOf(const Open& open);

  HostActions out_;

 private:
  std::map<std::uint64_t, Open> open_;  ///< By sequence.
  std::set<std::pair<Time, std::uint64_t>> deadlines_;
};

}  // namespace comfreyflow::replay
