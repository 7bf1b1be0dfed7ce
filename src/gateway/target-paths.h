/// Calls to targets: over this host's own connections, or over another host
/// while this one does not reach the target. The other host sends the request
/// on and passes the answer back as it comes; all decisions about the request
/// stay here.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "comfreyflow/target-reach.h"
#include "http/client.h"
#include "http/server.h"
#include "wire/codec.h"

namespace comfreyflow::gateway {

/// A host that may send requests on for this one.
struct CarrierHost {
  HostName name;
  std::string address;           ///< `ip:port` of its server for other hosts.
  std::uint32_t capacity = 100;  ///< In hundredths of a CPU core.
};

struct TargetPathsHooks {
  /// The other live hosts that are not stopping.
  std::function<std::vector<CarrierHost>()> carriers;
  /// Whether there is any of them.
  std::function<bool()> has_carriers;
  /// Whether the address is that of a target of the service that accepts
  /// requests of this host.
  std::function<bool(const ServiceName&, const std::string& address)> accepts;
  /// The id by which the answer to a request to a target names it; empty if it
  /// does not.
  std::function<std::string(const http::Request& request)> id_of;
  /// Which request the answer names.
  std::function<http::AnswerOwner(const http::Response& head,
                                  const std::string& request_id)>
      owner;
  /// Called with the head of an answer that this host passes on.
  std::function<void(const ServiceName&, const std::string& address,
                     const http::Response& head)>
      answer_carried;
  /// Whether this host sends requests of others on.
  std::function<bool()> may_carry;
};

/// What is sent where.
struct TargetCall {
  ServiceName service;
  TargetName target;
  std::string address;
  std::string request_id;  ///< For the log.
  /// Returns the request. Called for each way that is tried.
  std::function<http::Request()> request;
};

/// Used on one I/O thread only. Outlives its calls.
class TargetPaths {
 public:
  TargetPaths(http::Client& client, HostName self, wire::FleetKey key,
              std::uint64_t seed,
              std::shared_ptr<http::BodyBudget> answer_budget,
              TargetPathsHooks hooks);

  /// Sends a request to a target and tells what comes back. `on_sent` may be
  /// called although the target does not get the request; `CallEnd::sent` of
  /// the end says whether it may have got it.
  std::shared_ptr<http::Call> Open(TargetCall call, http::CallOptions options,
                                   http::CallHooks hooks);
  /// Sends a request and gives the whole answer at once.
  void Fetch(TargetCall call, http::CallOptions options,
             http::Client::ReplyHook hook);

  /// Sends the request of another host to a target and its answer back.
  void Carry(const http::ExchangePtr& exchange);
  /// Tells whether another host makes a connection to the target; false if
  /// none says so.
  void AskOther(const ServiceName& service, const std::string& address,
                std::function<void(bool is_reached)> hook);
  /// Answers another host's `AskOther`.
  void AnswerOther(const http::ExchangePtr& exchange);
  std::uint64_t carried_by_others() const { return carried_by_others_; }
  std::uint64_t carried_for_others() const { return carried_for_others_; }
  std::size_t carrying() const { return carrying_; }
  std::size_t services_out_of_reach() const;

 private:
  class PathCall;
  class CarriedCall;

  void Ask(const ServiceName& service, const std::string& address,
           std::vector<HostName> asked,
           std::function<void(bool is_reached)> hook);
  /// Reads a frame of another host that asks for something at a target.
  Errc ReadFrame(const http::ExchangePtr& exchange, wire::CarryHead& head,
                 std::string_view& body) const;
  void OnReached(const ServiceName& service, const std::string& address);
  void OnFailed(const ServiceName& service, const std::string& address);
  void Probe(const ServiceName& service, const std::string& address);
  /// Chooses a host that is not in `tried`; absent: there is none.
  std::optional<CarrierHost> Choose(const ServiceName& service,
                                    const std::vector<HostName>& tried);
  void OnCarrierFailed(const ServiceName& service, const HostName& host);
  void OnCarrierWorked(const ServiceName& service, const HostName& host);

  http::Client& client_;
  const HostName self_;
  const wire::FleetKey key_;
  const std::shared_ptr<http::BodyBudget> answer_budget_;
  const TargetPathsHooks hooks_;
  TargetReach reach_;
  std::mt19937_64 random_;
  /// When a host last failed to reach a target of the service, and when it last
  /// passed an answer back.
  struct CarrierRecord {
    Time failed_at;
    Time worked_at;
  };
  std::map<std::pair<ServiceName, HostName>, CarrierRecord> carriers_;
  std::uint64_t carried_by_others_ = 0;
  std::uint64_t carried_for_others_ = 0;
  std::size_t carrying_ = 0;  ///< Requests of others under way.
};

/// Paths of the server for other hosts: at which requests are carried, and at
/// which a host asks whether this one reaches a target.
inline constexpr const char* kCarryPath = "/peer/carry";
inline constexpr const char* kReachPath = "/peer/reach";

}  // namespace comfreyflow::gateway
