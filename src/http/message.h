/// Plain HTTP messages between the server, the client and the rest of the
/// shell, so that only src/http includes the HTTP library.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "http/body-budget.h"

namespace comfreyflow::http {

struct Field {
  std::string name;  ///< Lower case.
  std::string value;
};

using Fields = std::vector<Field>;

/// Value of the first field called `name` (lower case), or empty.
std::string_view FieldValue(const Fields& fields, std::string_view name);
/// Whether there is a field called `name`.
bool HasField(const Fields& fields, std::string_view name);

struct Request {
  std::string method;
  std::string path;   ///< Without the query.
  std::string query;  ///< Without the question mark.
  Fields fields;
  std::string body;
  BodyLease lease;  ///< Memory counted for `body`.
  /// Path and query as they came; when set, a client sends them verbatim.
  std::string target;
};

struct Response {
  int status = 200;
  std::string content_type = "application/json";  ///< Empty: none is sent.
  Fields fields;
  std::string body;
  /// Memory counted for `body` until it was written to the caller.
  std::shared_ptr<BodyLease> lease = {};
};

/// Whether an answer of this status to a request with this method may have a
/// body (RFC 9110, 6.4.1).
bool MayHaveBody(std::string_view method, int status);

/// Whether the request can be written as one HTTP/1.1 request: no part of it is
/// empty that must not be, ends the line it stands on or is too long, and none
/// has content that its method must not have.
bool IsSendable(const Request& request);

/// Encodes all bytes but letters, digits, `-_.~` and those in `kept`.
std::string PercentEncode(std::string_view text, std::string_view kept = "");

/// Decoded value of `name` in a query such as `a=1&b=2`, or empty.
std::string QueryValue(std::string_view query, std::string_view name);

}  // namespace comfreyflow::http
