/// A TCP relay on loopback whose connections are disturbed from outside.
#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "soak/copies.h"

namespace comfreyflow::soak {

enum class PathFault : std::uint8_t {
  kNone,
  kSilent,      ///< Nothing passes, in neither direction.
  kSilentBack,  ///< Answers do not pass.
  kSlow,        ///< Each read is passed on late.
  kReset,       ///< Open connections and new ones are reset.
};

const char* ToString(PathFault fault);

/// Lives on one I/O thread. What silence holds back passes when it is over.
class Proxy {
 public:
  /// `target` is `ip:port`.
  Proxy(boost::asio::io_context& io, const std::string& target);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  std::string address() const;
  void Set(PathFault fault);
  /// Open connections stay open and swallow what they get, for good; new ones
  /// work. Their ends go on acknowledging.
  void ForgetLinks();
  /// New connections have copies written on them. `writer` outlives the
  /// connections.
  void WriteCopies(CopyWriter& writer);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace comfreyflow::soak
