/// How a host of a replay answers events: ours through the product's classes,
/// baselines as ordinary policies beside it.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "comfreyflow/dispatcher.h"
#include "core/replay/trace.h"

namespace comfreyflow::replay {

struct StartStream {
  AttemptId attempt;
  std::vector<TargetName> targets;
  std::uint8_t priority = 1;
};

struct CancelStream {
  AttemptId attempt;
  TargetName target;
};

struct EndRequest {
  RequestId request;
  Errc code = Errc::kOk;
  std::uint32_t attempts = 0;
};

struct FetchList {
  TargetName target;
};

/// Tell the target's steward that its connections broke.
struct SuspectTarget {
  TargetName target;
};

using HostAction =
    std::variant<SendReserveRequest, SendRelease, SendPrefillDone, StartStream,
                 CancelStream, EndRequest, FetchList, SuspectTarget>;
using HostActions = std::vector<HostAction>;

/// One host. `EndRequest` among the answers of `Arrived` is a refusal at the
/// door; it comes exactly once a request, at its deadline or before.
class HostPolicy {
 public:
  virtual ~HostPolicy() = default;
  virtual void Seen(const TargetInfo& info, Time now) = 0;
  virtual void Gone(const TargetName& target, Time now) = 0;
  virtual void Limit(const AccountSetup&, double /*share*/, Time) {}
  virtual void Reported(const TargetReport& report, Time now) = 0;
  virtual HostActions Prefixes(const TargetName&, bool /*whole_list*/,
                               const std::vector<PrefixEvent>&,
                               std::uint64_t /*next*/, Time) {
    return {};
  }
  virtual HostActions Arrived(const RequestInfo& info, Time now) = 0;
  virtual HostActions Answered(const TargetName&, const ReservationReply&,
                               Time) {
    return {};
  }
  virtual HostActions FirstToken(const AttemptId& attempt, Time now) = 0;
  virtual HostActions Heartbeat(const AttemptId&, Time) { return {}; }
  virtual HostActions Ended(const AttemptId& attempt, std::uint32_t cached,
                            Time now) = 0;
  virtual HostActions Failed(const AttemptId& attempt, const TargetName& target,
                             bool crashed, Time now) = 0;
  virtual HostActions Tick(Time now) = 0;
};

/// What a policy of this name needs of the fleet.
struct PolicySetup {
  std::string name;
  bool central = false;  ///< All requests go through one host.
  bool stewards = false;
};

PolicySetup SetupOf(const std::string& name);
/// Names of the baselines, worst cases of which outcomes compare with.
const std::vector<std::string>& Baselines();
/// A host with the policy of this name, or none if there is no such policy.
std::unique_ptr<HostPolicy> MakeHost(const std::string& name,
                                     const FailureDomain& home,
                                     std::uint64_t seed,
                                     const FleetSetup& fleet);

}  // namespace comfreyflow::replay
