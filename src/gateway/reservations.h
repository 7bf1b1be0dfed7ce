/// Memory reserved at targets for one attempt of a request. It is reserved
/// before the request is sent, renewed while the request runs, and released on
/// every path.
///
/// The leases are short, so that a reservation left behind by a lost answer or
/// a dead host expires by itself.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "comfreyflow/placer.h"
#include "gateway/edge.h"
#include "gateway/target-paths.h"

namespace comfreyflow::gateway {

struct Reservation {
  PlacedTarget target;  ///< Contains the number of tokens to reserve.
  std::string id;
};

/// Used on one I/O thread only.
class Reservations {
 public:
  /// `refused` names the target that did not grant its reservation; it is empty
  /// if all did.
  using ResultHandler = std::function<void(const TargetName& refused)>;
  /// Receives what targets report about themselves in their answers.
  using ReportHandler =
      std::function<void(const PlacedTarget&, const TargetHead&)>;

  Reservations(boost::asio::io_context& io, TargetPaths& paths,
               const EdgeHooks& edge, std::vector<Reservation> requested,
               ServiceName service, std::string request_id,
               ReportHandler on_report);
  /// Releases every reservation that may be held.
  ~Reservations();
  Reservations(const Reservations&) = delete;
  Reservations& operator=(const Reservations&) = delete;

  /// Reserves the memory. Calls `on_result` once, unless this object is
  /// destroyed first.
  void Acquire(ResultHandler on_result);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

/// Duration of a lease, within which an abandoned reservation expires.
inline constexpr Duration kLeaseDuration = std::chrono::milliseconds(3500);

}  // namespace comfreyflow::gateway
