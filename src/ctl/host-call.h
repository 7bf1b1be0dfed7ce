/// Blocking HTTP calls to hosts, with errors returned as codes.
#pragma once

#include <string>
#include <vector>

#include "ctl/report.h"
#include "http/message.h"

namespace comfreyflow::ctl {

struct HostReply {
  /// `kPeerUnreachable` if no complete response arrived.
  Errc code = Errc::kOk;
  /// No complete response arrived, but the call may have taken effect.
  bool is_outcome_unknown = false;
  std::string address;  ///< Of the host that was called last.
  Json body;            ///< Body of the response, also of an error response.
};

/// Calls hosts in the given order until one of them answers. Because a call
/// other than GET may change state, it goes to the next host only if no byte of
/// it was sent to the previous one.
class HostCaller {
 public:
  HostCaller(std::vector<std::string> addresses, std::string key);

  HostReply Call(const std::string& method, const std::string& path,
                 const std::string& body = "",
                 const http::Fields& fields = {}) const;
  HostReply Get(const std::string& path) const { return Call("GET", path); }
  const std::vector<std::string>& addresses() const { return addresses_; }
  /// Returns a caller with the same key for one address only.
  HostCaller ForAddress(const std::string& address) const;

 private:
  HostReply CallOne(const std::string& address,
                    const http::Request& request) const;

  std::vector<std::string> addresses_;
  std::string key_;
};

/// Returns the code in the body of an error response, or `kInternal` if the
/// body holds no known code.
Errc ErrorCodeOf(const Json& body);

}  // namespace comfreyflow::ctl
