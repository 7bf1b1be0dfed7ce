/// The site around the hosts: the store and the targets, as stand-ins behind
/// proxies, and the records of what the targets were asked for.
#pragma once

#include <boost/asio.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "platform/stand-ins.h"
#include "soak/proxy.h"
#include "soak/records.h"

namespace comfreyflow::soak {

enum class Behaviour : std::uint8_t {
  kSound,
  kErrors,
  kRefuses,
  kLoses,
  kHangs,
  kRests,  ///< Turns requests away and wants nothing for a while.
  kPours,  ///< Sends bytes that are no answer until it is closed.
  kCopies  ///< Refuses most of its requests, and says so twice.
};

inline constexpr const char* kPlainService = "app";
inline constexpr const char* kEngineService = "model";
inline constexpr const char* kHostHeader = "a.example";
/// Paths that begin so are of routes whose targets work for seconds.
inline constexpr const char* kSlowPrefix = "/slow-";

/// Lives on one I/O thread; `records` outlives it.
class Site {
 public:
  Site(boost::asio::io_context& io, Records& records, std::uint64_t seed);
  ~Site();

  platform::FakeStore& store() { return store_; }
  /// A way of its own to the store for each host.
  Proxy& AddStorePath();
  Proxy& store_path(std::size_t host) { return *store_paths_.at(host); }

  void AddTarget(const std::string& service);
  std::size_t targets() const { return targets_.size(); }
  Proxy& target_path(std::size_t target);
  void SetBehaviour(std::size_t target, Behaviour behaviour);
  /// Writes the target's report as its entry, or takes the entry away.
  void List(std::size_t target, const std::string& state);
  void Unlist(std::size_t target);
  /// The target's report in another state, as it was before its last one.
  void ListLate(std::size_t target, const std::string& state);
  /// Another writer's bytes as its entry.
  void ListUnreadable(std::size_t target);
  /// The target sends nothing for so long and then goes on.
  void Pause(std::size_t target, Duration time);
  /// An odd entry of another writer beside those of the targets, a kind each
  /// number; returns what is odd about it.
  std::string ListOdd(std::size_t kind);
  void UnlistOdd();
  /// The failure domain that the target's entry names.
  static std::string DomainOf(std::size_t target);
  /// The operator takes a failure domain out of service, or puts it back.
  void SetEvacuated(const std::string& domain, bool evacuated);
  /// Whether all answers of the target say that it leaves.
  void SetTells(std::size_t target, bool tells);
  /// The requests a second that all answers of the target name; absent: none.
  void SetLimit(std::size_t target, std::optional<double> rate);
  std::string ServiceOf(std::size_t target) const;
  /// The target starts anew under its name, and reports.
  void Restart(std::size_t target);

  /// The target starts anew under another name, on its old connections; its
  /// entry follows `late`.
  void Rename(std::size_t target, Duration late);

  /// The store comes back from a copy. In some drills what is written in the
  /// new era passes the revision that the store had before anyone reaches it.
  void Rewind(const platform::FakeStore::Copy& copy, bool catches_up);
  /// Writes the configuration in force again.
  void WriteConfigAgain();
  /// The target writes its report again; the entry of one that is gone expires.
  void WriteEntryAgain(std::size_t target);

  /// A new configuration in which an account's key is another one.
  void ChangeKey();
  /// A new configuration with other time limits.
  void ChangeTimeouts() { PutConfig(); }
  /// A key for the next request: mostly one in force.
  std::string PickKey();
  /// Takes note of orders about memory.
  void ReadOrders();

 private:
  struct Target;

  /// Calls `action` after `delay`, once the target sends again.
  void Later(Target& target, Duration delay, std::function<void()> action);
  void PutEntry(const Target& target, const std::string& state,
                std::uint64_t report);
  nlohmann::json Config() const;
  void PutConfig();
  http::Response Head(const Target& target, const http::Request& request,
                      int status);
  void Refuse(Target& target, const http::ExchangePtr& exchange, Run& run);
  void TurnAway(Target& target, const http::ExchangePtr& exchange, Run& run);
  void Pour(Target& target, const http::ExchangePtr& exchange);
  void Take(Target& target, const http::ExchangePtr& exchange);
  void Stream(Target& target, const http::ExchangePtr& exchange,
              std::size_t run);

  boost::asio::io_context& io_;
  Records& records_;
  std::mt19937_64 random_;
  platform::FakeStore store_;
  std::vector<std::unique_ptr<Proxy>> store_paths_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::uint64_t version_ = 0;
  std::uint64_t keys_made_ = 0;
};

}  // namespace comfreyflow::soak
