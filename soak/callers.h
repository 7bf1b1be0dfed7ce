/// Callers that ask the hosts for addresses, keep connections, send requests
/// of each kind, and sometimes go away early.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "http/client.h"
#include "soak/records.h"

namespace comfreyflow::soak {

struct CallerPaths {
  /// Directory listener of each host.
  std::vector<std::string> directories;
  /// A host's own address for callers, and where it is reached.
  std::vector<std::string> addresses;
  std::vector<std::string> paths;
  std::function<std::string()> pick_key;
  /// Shares of requests for slow work, and of those to a host of any address
  /// answer so far.
  double slow_share = 0;
  double stale_share = 0;
  double stream_share = 0.5;  ///< Half of the others are unsafe.
  /// Of unsafe requests that are answered 503 or 429, those that are sent again
  /// under their id, at the same host or another one.
  double repeat_share = 0;
};

/// Lives on one I/O thread; `records` outlives it.
class Callers {
 public:
  Callers(boost::asio::io_context& io, Records& records, CallerPaths paths,
          std::uint64_t seed);
  ~Callers();

  void Start(int count);
  /// No new requests; those under way go on.
  void Stop();
  int open() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace comfreyflow::soak
