/// Client of the platform's store of objects, in any wire form. It carries out
/// calls and tells how each ended; when calls may start is decided by
/// `PlatformGate`, and nothing is sent twice but reads.
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
  kApplied,     ///< The platform said so.
  kRefused,     ///< It took no effect; `error` says why.
  kAnswerLost,  ///< It may have taken effect: read back.
};

struct WriteAnswer {
  WriteState state = WriteState::kRefused;
  std::error_code error;      ///< `kVersionConflict`, `kObjectNotFound`,
                              ///< `kPlatformUnavailable`,
                              ///< `kPlatformRateLimited`, `kCodec`.
  std::uint64_t version = 0;  ///< The object's, where the platform told it.
};

/// A host or target as the platform's lagging list has it.
struct PlatformMember {
  std::string name;
  std::string address;  ///< `ip:port`; of a host, where it takes gossip.
  bool leaving = false;
  std::string failure_domain;
  std::string service;       ///< Of a target.
  std::string target_class;  ///< Of a target.
};

struct HostsAnswer {
  std::error_code error;
  std::uint64_t version = 0;
  std::vector<PlatformMember> hosts;
  std::vector<PlatformMember> targets;
};

struct PlatformSettings {
  std::string address;  ///< `ip:port`
  PlatformLimits limits;
  Duration call_timeout = std::chrono::milliseconds(1000);
  /// A watch that is silent for so long past its time has failed; it is not
  /// sent again by itself.
  Duration watch_grace = std::chrono::milliseconds(1000);
  /// A read whose answer was lost is sent again once, on a new connection.
  bool resend_reads = true;
  /// Runs work away from the I/O thread; absent: answers are read on it. Used
  /// for large ones, whose reading would hold up the relays of a small host.
  std::function<void(std::function<void()>)> offload;
};

/// Answers from this size on are large.
inline constexpr std::size_t kLargeAnswerBytes = 32 * 1024;

/// Calls by what became of them, since the start.
struct PlatformCounts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t refused_here = 0;  ///< By the budget or in an outage.
  std::uint64_t failed = 0;
  std::uint64_t answers_lost = 0;  ///< Of writes.
};

/// May be used from any thread. Each handler is called exactly once, on an I/O
/// thread, also when this object is gone before the call has ended; `http` has
/// to outlive the calls.
class PlatformClient {
 public:
  using WriteHandler = std::function<void(WriteAnswer)>;
  using ReadHandler = std::function<void(ReadAnswer)>;
  using ListHandler = std::function<void(ListAnswer)>;
  using WatchHandler = std::function<void(WatchAnswer)>;
  using HostsHandler = std::function<void(HostsAnswer)>;
  /// Takes the wait until the next call of the kind can start, and whether
  /// there is an outage.
  using StateHandler =
      std::function<void(Duration retry_after, bool outage, PlatformCounts)>;

  /// Throws `std::system_error` with `kSettingsInvalid` when the address is
  /// not `ip:port`.
  PlatformClient(boost::asio::io_context& io, http::Client& http,
                 PlatformSettings settings, ObjectApi api = OwnObjectApi());

  /// Values are UTF-8 text of up to a megabyte.
  void Create(const std::string& kind, const std::string& name,
              const std::string& value, const WriteHandler& handler);
  void Update(const std::string& kind, const std::string& name,
              std::uint64_t version, const std::string& value,
              const WriteHandler& handler);
  void Remove(const std::string& kind, const std::string& name,
              std::uint64_t version, const WriteHandler& handler);
  void Read(const std::string& kind, const std::string& name,
            const ReadHandler& handler);
  void List(const ListQuery& query, const ListHandler& handler);
  /// Waits for changes behind version `since`, for at most `timeout`.
  void Watch(const std::string& kind, std::uint64_t since, Duration timeout,
             const WatchHandler& handler);
  void Hosts(const HostsHandler& handler);
  void State(PlatformCall call, const StateHandler& handler);
  PlatformCounts Counts() const;

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace comfreyflow
