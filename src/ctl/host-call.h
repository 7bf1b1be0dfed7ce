/// Blocking calls to hosts, with their errors as codes.
#pragma once

#include <string>
#include <vector>

#include "ctl/report.h"
#include "http/message.h"

namespace comfreyflow::ctl {

struct HostReply {
  Errc code = Errc::kOk;  ///< `kPeerUnreachable`: no whole answer came.
  bool lost = false;      ///< No answer, but the call may have taken effect.
  std::string address;    ///< Of the host that was asked last.
  Json body;              ///< Also of an error.
};

/// Asks hosts in turn until one answers; a call that changes something goes to
/// another host only if the one before never got a byte of it.
class HostCaller {
 public:
  HostCaller(std::vector<std::string> addresses, std::string key);

  HostReply Call(const std::string& method, const std::string& path,
                 const std::string& body = "",
                 const http::Fields& fields = {}) const;
  HostReply Get(const std::string& path) const { return Call("GET", path); }
  const std::vector<std::string>& addresses() const { return addresses_; }
  /// The same for one host.
  HostCaller Only(const std::string& address) const;

 private:
  HostReply CallOne(const std::string& address,
                    const http::Request& what) const;

  std::vector<std::string> addresses_;
  std::string key_;
};

/// The code of an error body; `kInternal` when it has none that is known.
Errc CodeIn(const Json& body);

}  // namespace comfreyflow::ctl
