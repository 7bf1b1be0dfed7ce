/// Resume tokens. A caller whose host failed presents its token to any other
/// host to continue its response. Tokens are signed with the fleet key, so
/// hosts share no state about them.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <system_error>

#include "comfreyflow/types.h"

namespace comfreyflow {

/// Wall-clock time, as tokens are exchanged between hosts.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

struct ResumeToken {
  AttemptId attempt;
  AccountName account;
  TargetName target;
  std::uint64_t fingerprint =
      0;                     ///< Of the request body, which a resume repeats.
  std::uint64_t offset = 0;  ///< Response bytes sent so far.
  WallTime expires;
};

/// Returns the token as text that is safe in an HTTP header, signed with the
/// fleet key `key`. Returns an empty string if the key is empty.
std::string SignResumeToken(const ResumeToken& token, const std::string& key);

/// Verifies and decodes a token that `account` presents with a request body
/// of `fingerprint`. Returns `kResumeTokenInvalid` if the format, signature,
/// account or fingerprint is wrong and `kResumeTokenExpired` if the token has
/// expired. `out` is written only on success.
std::error_code VerifyResumeToken(const std::string& text,
                                  const std::string& key,
                                  const AccountName& account,
                                  std::uint64_t fingerprint, WallTime now,
                                  ResumeToken& out);

}  // namespace comfreyflow
