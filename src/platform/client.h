/// Client of the platform's object store, independent of the wire format. It
/// makes calls and reports how each one ended. `PlatformGate` decides when a
/// call may start. Only reads are ever sent a second time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "comfreyflow/platform-gate.h"
#include "comfreyflow/types.h"
#include "http/client.h"
#include "platform/object-api.h"

namespace comfreyflow {

enum class WriteState : std::uint8_t {
  kApplied,     ///< The platform confirmed the write.
  kRefused,     ///< The write had no effect; `error` gives the reason.
  kAnswerLost,  ///< It may have taken effect; read the object to find out.
};

struct WriteAnswer {
  WriteState state = WriteState::kRefused;
  std::error_code error;  ///< `kVersionConflict`, `kObjectNotFound`,
                          ///< `kPlatformUnavailable`,
                          ///< `kPlatformRateLimited`, `kCodec`.
  StoreVersion version;   ///< Of the object; revision 0 if unknown.
};

/// A host or target as the platform's list shows it. The list may be out of
/// date.
struct PlatformMember {
  std::string name;
  std::string address;  ///< `ip:port`; of a host, its gossip address.
  bool leaving = false;
  std::string failure_domain;
  std::string service;       ///< Targets only.
  std::string target_class;  ///< Targets only.
};

struct HostsAnswer {
  std::error_code error;
  std::uint64_t version = 0;
  std::vector<PlatformMember> hosts;
  std::vector<PlatformMember> targets;
};

/// What an answer told of the store's era.
struct EraNotice {
  enum class Kind : std::uint8_t {
    kFirst,       ///< The first answer named it.
    kChanged,     ///< The store was replaced by an older copy of itself.
    kOutdated,    ///< The answer is of an earlier era and is not used.
    kUnreadable,  ///< The answer's era is the first that can't be read since
                  ///< one that could.
  };
  Kind kind = Kind::kFirst;
  std::uint64_t before = 0;  ///< The era that was known.
  std::uint64_t era = 0;     ///< That of the answer; 0 if unreadable.
};

struct PlatformSettings {
  std::string address;  ///< `ip:port`
  PlatformLimits limits;
  Duration call_timeout = std::chrono::milliseconds(1000);
  /// How long after its wait time a watch's answer may arrive before the watch
  /// counts as failed. A failed watch is not sent again automatically.
  Duration watch_grace = std::chrono::milliseconds(1000);
  /// Whether a read whose answer was lost is sent once more, on a new
  /// connection.
  bool resend_reads = true;
  /// Runs work outside the I/O thread. Used to parse large answers, which would
  /// delay the relayed requests on a small host. If absent, all answers are
  /// parsed on the I/O thread.
  std::function<void(std::function<void()>)> offload;
  /// Called on an I/O thread before the answer is delivered; may be empty.
  std::function<void(const EraNotice&)> on_era;
};

/// Answers of at least this size are parsed by `PlatformSettings::offload`.
inline constexpr std::size_t kLargeAnswerBytes = 32 * 1024;

/// Numbers of calls by kind and outcome since the client was created.
struct PlatformCounts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  /// Calls that were not sent because of the budget or an outage.
  std::uint64_t refused_locally = 0;
  std::uint64_t failed = 0;
  std::uint64_t answers_lost = 0;     ///< Writes that got no answer.
  std::uint64_t outdated = 0;         ///< Answers of an earlier era, not used.
  std::uint64_t unreadable_eras = 0;  ///< Answers whose era is unreadable.
};

/// Thread-safe. Each handler is called exactly once, on an I/O thread, even if
/// this object is destroyed before the call has ended. `http` must outlive all
/// calls.
class PlatformClient {
 public:
  using WriteHandler = std::function<void(WriteAnswer)>;
  using ReadHandler = std::function<void(ReadAnswer)>;
  using ListHandler = std::function<void(ListAnswer)>;
  using WatchHandler = std::function<void(WatchAnswer)>;
  using HostsHandler = std::function<void(HostsAnswer)>;
  /// Receives the time until the next call of the kind may start, and whether
  /// the platform is in an outage.
  using StateHandler =
      std::function<void(Duration retry_after, bool outage, PlatformCounts)>;

  /// Throws `std::system_error` with `kSettingsInvalid` if the address is not
  /// `ip:port`.
  PlatformClient(boost::asio::io_context& io, http::Client& http,
                 PlatformSettings settings, ObjectApi api = DefaultObjectApi());

  /// Values are UTF-8 text of up to one megabyte. A write on the condition of
  /// a version of another era than the store's is refused without a call.
  void Create(const std::string& kind, const std::string& name,
              const std::string& value, const WriteHandler& handler);
  void Update(const std::string& kind, const std::string& name,
              const StoreVersion& version, const std::string& value,
              const WriteHandler& handler);
  void Remove(const std::string& kind, const std::string& name,
              const StoreVersion& version, const WriteHandler& handler);
  void Read(const std::string& kind, const std::string& name,
            const ReadHandler& handler);
  void List(const ListQuery& query, const ListHandler& handler);
  /// Waits for changes after version `since`, for at most `timeout`.
  void Watch(const std::string& kind, const StoreVersion& since,
             Duration timeout, const WatchHandler& handler);
  void Hosts(const HostsHandler& handler);
  void State(PlatformCall call, const StateHandler& handler);
  PlatformCounts Counts() const;

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace comfreyflow
