// Decides whether a request may run with its credentials.
#include "comfreyflow/credentials.h"

namespace comfreyflow {

Errc CheckCredentials(const Credentials& credentials, bool is_known,
                      KeyNeed need) {
  switch (credentials.form) {
    case CredentialsForm::kAbsent:
      return need == KeyNeed::kOptional ? Errc::kOk : Errc::kMissingKey;
    case CredentialsForm::kKey:
      return is_known ? Errc::kOk : Errc::kUnknownKey;
    case CredentialsForm::kUnreadable:
      break;
  }
  return Errc::kMissingKey;
}

}  // namespace comfreyflow
