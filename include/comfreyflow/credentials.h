/// The credentials of a request, and whether it may run with them. All servers
/// of the product ask here, so that the answer is the same on every route.
#pragma once

#include <cstdint>
#include <string>

#include "comfreyflow/errors.h"

namespace comfreyflow {

enum class CredentialsForm : std::uint8_t {
  kAbsent,  ///< The request names no credentials.
  kKey,
  /// There are credentials, but not one key: another scheme, no key behind the
  /// scheme, or several header fields, of which readers may choose different
  /// ones.
  kUnreadable,
};

struct Credentials {
  CredentialsForm form = CredentialsForm::kAbsent;
  std::string key;  ///< Not empty if and only if `form` is `kKey`.
};

/// Whether a request without credentials may run.
enum class KeyNeed : std::uint8_t {
  kRequired,
  kOptional,  ///< It runs without a client account.
};

/// Returns `kOk` if a request with these credentials may run: under the account
/// that holds its key, or without an account if it has no credentials and needs
/// none. Otherwise `kMissingKey` or `kUnknownKey`. `is_known`: an account holds
/// the key.
Errc CheckCredentials(const Credentials& credentials, bool is_known,
                      KeyNeed need);

}  // namespace comfreyflow
