/// Stand-in of the platform's object API: versions, conditional updates,
/// watches, a lagging list of hosts, and the faults of all these.
#pragma once

#include <memory>
#include <optional>

#include "fakes/fake-server.h"

namespace comfreyflow::fakes {

struct FakePlatformSettings {
  std::uint16_t port = 0;
  std::uint32_t writes_per_second = 0;  ///< 0: no limit; beyond it status 429.
  std::uint32_t reads_per_second = 0;   ///< The same for all other calls.
  std::size_t changes_kept = 4096;      ///< A kind, for watches.
};

/// Faults (`POST /faults`, any of these keys; 400 names an unknown one):
/// `outage` bool: 503 for every call; `silent` bool: no call is answered;
/// `slow_ms`: delay of each answer; `lose_answers` N: the next N writes take
/// effect and their connections break; `lose_requests` N: the next N writes
/// break and take no effect; `break_watches` true: open watches go silent for
/// good; `hosts_lag_ms`: age at which a list of hosts becomes visible;
/// `keep_copy` true: keeps a copy of all objects; `restore_copy` true: the
/// store holds that copy again, and gives versions out from there on.
///
/// Beside the object API: `PUT /hosts` sets the list, `GET /counts` counts
/// calls by kind.
class FakePlatform {
 public:
  explicit FakePlatform(FakePlatformSettings settings = {});
  ~FakePlatform();

  std::string address() const { return server_.address(); }
  /// Switches faults as `POST /faults` does.
  void SetFaults(const Json& faults);
  /// Calls so far: `reads`, `writes`, `lists`, `watches`, `hosts`, `refused`.
  Json Counts();

 private:
  struct Object {
    std::uint64_t version = 0;
    std::string value;
  };
  struct Watch {
    CallPtr call;
    std::uint64_t since = 0;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };
  struct Kind {
    std::uint64_t version = 0;
    std::uint64_t forgotten = 0;  ///< Changes up to here are not kept.
    std::map<std::string, Object> objects;
    std::deque<Json> changes;
    std::vector<Watch> watches;
  };
  struct HostsList {
    std::chrono::steady_clock::time_point set;
    Json list;
  };

  void Handle(const CallPtr& call);
  void Serve(const CallPtr& call);
  bool OverLimit(const CallPtr& call);
  void ServeObject(const CallPtr& call, const std::string& kind,
                   const std::string& name);
  void ServeWrite(const CallPtr& call, const std::string& kind,
                  const std::string& name);
  std::optional<Json> Conflict(const FakeRequest& request, const Kind& kind,
                               const std::string& name, int& status) const;
  void Apply(Kind& kind, const std::string& name, const FakeRequest& request);
  void ServeList(const CallPtr& call, const std::string& kind);
  void ServeWatch(const CallPtr& call, const std::string& kind);
  void AnswerWatches(Kind& kind);
  void ServeHosts(const CallPtr& call);
  void KeepCopy();
  void RestoreCopy();
  void ChangeFaults(const CallPtr& call, const Json& faults);

  FakePlatformSettings settings_;
  std::map<std::string, Kind> kinds_;
  std::map<std::string, Kind> copy_;  ///< Without watches.
  std::deque<HostsList> hosts_;
  Json counts_;
  std::chrono::steady_clock::time_point second_;
  std::uint32_t writes_in_second_ = 0;
  std::uint32_t reads_in_second_ = 0;
  bool outage_ = false;
  bool silent_ = false;
  std::chrono::milliseconds slow_{0};
  std::chrono::milliseconds hosts_lag_{0};
  std::uint32_t lose_answers_ = 0;
  std::uint32_t lose_requests_ = 0;
  FakeServer server_;  ///< Last: its thread ends before the state does.
};

}  // namespace comfreyflow::fakes
