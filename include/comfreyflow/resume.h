/// Resume tokens: what a caller shows to any host to go on with its answer
/// after its own host died. Signed with the fleet key; no state is shared.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <system_error>

#include "comfreyflow/types.h"

namespace comfreyflow {

/// Wall clock, as the token travels between hosts.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

struct ResumeToken {
  AttemptId attempt;
  AccountName account;
  TargetName target;
  std::uint64_t fingerprint = 0;  ///< Of the body; a resume sends it again.
  std::uint64_t offset = 0;       ///< Bytes of the answer sent so far.
  WallTime expires;
};

/// Text safe in a header. `key` is the fleet key; empty keys are refused by
/// an empty result.
std::string SignResumeToken(const ResumeToken& token, const std::string& key);

/// Reads a token shown by `account` with a body of `fingerprint`. Errors:
/// `kResumeTokenInvalid` for a wrong form, signature, account or body;
/// `kResumeTokenExpired`. `out` is written only on success.
std::error_code VerifyResumeToken(const std::string& text,
                                  const std::string& key,
                                  const AccountName& account,
                                  std::uint64_t fingerprint, WallTime now,
                                  ResumeToken& out);

}  // namespace comfreyflow
