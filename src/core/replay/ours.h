/// A replayed host that decides through the product's dispatcher.
#pragma once

#include "core/replay/base-host.h"

namespace comfreyflow::replay {

class OursHost : public BaseHost {
 public:
  explicit OursHost(DispatcherSettings settings);

  void Seen(const TargetInfo& info, Time now) override;
  void Gone(const TargetName& target, Time now) override;
  void Limit(const AccountSetup& account, double share, Time now) override;
  void Reported(const TargetReport& report, Time now) override;
  HostActions Prefixes(const TargetName& target, bool whole_list,
                       const std::vector<PrefixEvent>& events,
                       std::uint64_t next, Time now) override;
  HostActions Answered(const TargetName& target, const ReservationReply& answer,
                       Time now) override;

 protected:
  Errc Judge(const RequestInfo& info, Time now) override;
  void Dispatch(Open& open, Time now) override;
  void OnFirstToken(const AttemptId& attempt, Time now) override;
  void OnLeft(const Open& open, const AttemptId& attempt, bool whole,
              Time now) override;
  void OnDone(const RequestId& id) override;
  void OnSuspect(const TargetName& target, Time now) override;
  void OnTick(Time now) override;

 private:
  /// A target whose connection broke is passed over this long.
  static constexpr Duration kSuspectPause = std::chrono::seconds(6);

  void Carry(const DispatchCommands& commands, Time now);
  void On(const SendReserveRequest& ask, Time) { out_.push_back(ask); }
  void On(const SendRelease& release, Time) { out_.push_back(release); }
  void On(const SendPrefillDone& done, Time) { out_.push_back(done); }
  void On(const Dispatched& done, Time now);
  void On(const Unplaced& unplaced, Time now);

  Dispatcher dispatcher_;
};

}  // namespace comfreyflow::replay
