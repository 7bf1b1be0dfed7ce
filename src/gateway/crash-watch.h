/// Observes crashes of targets for one host: confirms that a target whose
/// connection broke has crashed, exchanges what is known with the other hosts,
/// and keeps the ledger that decides which requests are not sent.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "comfreyflow/crash-ledger.h"
#include "comfreyflow/placer.h"
#include "http/client.h"
#include "wire/placement.h"

namespace comfreyflow::gateway {

struct CrashWatchHooks {
  /// The other live hosts.
  std::function<std::vector<HostName>()> hosts;
  std::function<void(const wire::CrashNewsMessage&,
                     const std::vector<HostName>&)>
      send;
  /// Whether this host is the one that may try a condemned request of the
  /// service again.
  std::function<bool(const ServiceName&)> may_try;
  /// Tells whether another host reaches the target.
  std::function<void(const ServiceName&, const std::string& address,
                     std::function<void(bool is_reached)>)>
      ask_other;
  /// Disturbs the paths to targets in tests; may be empty.
  http::PathHook path;
};

/// Used on one I/O thread only.
class CrashWatch : public std::enable_shared_from_this<CrashWatch> {
 public:
  CrashWatch(boost::asio::io_context& io, std::uint64_t seed,
             CrashWatchHooks hooks);

  void Start();
  void Stop();

  /// The connection to the target broke before it had answered the request.
  /// `is_proven`: it had written an answer for a while, and did not crash on
  /// the request. Otherwise a crash is recorded if the target then refuses a
  /// connection and another host doesn't reach it either: a cut link or a
  /// closed connection is none.
  void OnConnectionBroken(const ServiceName& service,
                          const PlacedTarget& target,
                          const RequestSubjects& request, bool is_proven);
  /// A target answered the request, or wrote its answer for a while.
  void OnAnswered(const RequestSubjects& request);
  void OnNews(const HostName& sender, const wire::CrashNewsMessage& news);

  /// Whether the request must not be sent. Logs why if so.
  /// `is_trial` is set if the request is let through to see whether it is
  /// served; while it is set, broken connections don't hold the request back.
  bool IsCondemned(const ServiceName& service, const RequestSubjects& request,
                   const std::string& request_id, bool& is_trial);
  bool IsSuspect(const RequestSubjects& request) const {
    return ledger_.IsSuspect(request);
  }

  const CrashLedger& ledger() const { return ledger_; }
  std::uint64_t confirmed() const { return confirmed_; }
  std::uint64_t unconfirmed() const { return unconfirmed_; }
  std::uint64_t refused() const { return refused_; }

 private:
  struct Check {
    CrashReport report;
    std::string address;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
  };
  using CheckKey = std::pair<TargetName, std::uint64_t>;

  void CheckTarget(const ServiceName& service, const PlacedTarget& target,
                   const RequestSubjects& request);
  void OnChecked(const CheckKey& key, bool is_refused);
  void Conclude(const CheckKey& key, bool has_crashed);
  void Record(const CrashReport& report);
  void LogChange(const LedgerChange& change, const HostName& source);
  /// Logs what changed and sends what other hosts may lack.
  void Apply(const LedgerChange& change, const HostName& source);
  void Broadcast(const wire::CrashNewsMessage& news);
  void Tick();
  std::vector<HostName> RandomHosts(std::size_t count);
  wire::CrashNewsMessage AllNews() const;

  boost::asio::io_context& io_;
  CrashWatchHooks hooks_;
  CrashLedger ledger_;
  std::map<CheckKey, std::shared_ptr<Check>> checks_;
  boost::asio::steady_timer timer_;
  std::mt19937_64 random_;
  /// Ticks in which this host asks the others what they know; it starts without
  /// knowledge.
  int asks_left_;
  std::uint64_t confirmed_ = 0;
  std::uint64_t unconfirmed_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace comfreyflow::gateway
