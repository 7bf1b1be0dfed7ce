/// Reads the credentials of a request from its header fields (RFC 9110, 11.4).
#pragma once

#include <string_view>

#include "comfreyflow/credentials.h"
#include "http/message.h"

namespace comfreyflow::http {

/// Credentials in the `authorization` field: `scheme`, in any case, one or more
/// spaces, and the key.
Credentials ReadCredentials(const Fields& fields, std::string_view scheme);

}  // namespace comfreyflow::http
