/// Memory of targets that is set aside for one try of a request: held before
/// the request is sent, renewed while it runs, and given back on every path.
///
/// The leases are short, so that what a lost answer or a dead host leaves
/// behind ends by itself.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "comfreyflow/placer.h"
#include "gateway/edge.h"
#include "http/client.h"

namespace comfreyflow::gateway {

struct Reservation {
  PlacedTarget target;  ///< With the tokens to reserve.
  std::string id;
};

/// Lives on one I/O thread.
class Reservations {
 public:
  /// `refused` names the target that did not grant; it is empty when all did.
  using Done = std::function<void(const TargetName& refused)>;
  /// Hears what targets say of themselves in answers to orders.
  using Told = std::function<void(const PlacedTarget&, const TargetHead&)>;

  Reservations(boost::asio::io_context& io, http::Client& client,
               const EdgeHooks& edge, std::vector<Reservation> wanted,
               Told told);
  /// Gives back all that may be held.
  ~Reservations();
  Reservations(const Reservations&) = delete;
  Reservations& operator=(const Reservations&) = delete;

  /// Calls `done` once, unless this object ends before.
  void Hold(Done done);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

/// Life of a lease; what is left behind ends within it.
inline constexpr Duration kReservationLife = std::chrono::milliseconds(3500);

}  // namespace comfreyflow::gateway
