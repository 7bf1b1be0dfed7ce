// Decides whether a request may run with its credentials.
#include "comfreyflow/credentials.h"

namespace comfreyflow {

Errc CheckCredentials(const Credentials& credentials, bool is_known,
                      KeyNeed need) {
  if (credentials.form == CredentialsForm::kKey) {
    return is_known ? Errc::kOk : Errc::kUnknownKey;
  }
  return need == KeyNeed::kOptional ? Errc::kOk : Errc::kMissingKey;
}

}  // namespace comfreyflow
