/// Headers of callers as typed values.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "comfreyflow/errors.h"
#include "comfreyflow/types.h"
#include "http/message.h"

namespace comfreyflow::node {

/// The key of `authorization: Bearer KEY`, or empty.
std::string_view BearerKey(const http::Fields& fields);

/// A header that may be absent; `ok` is false when it is there and malformed.
template <class Value>
struct HeaderValue {
  bool ok = true;
  std::optional<Value> value;
};

HeaderValue<std::uint64_t> NumberHeader(const http::Fields& fields,
                                        std::string_view name);
/// `true` or `false`.
HeaderValue<bool> FlagHeader(const http::Fields& fields, std::string_view name);
/// `low`, `normal` or `high`.
HeaderValue<Urgency> UrgencyHeader(const http::Fields& fields,
                                   std::string_view name);

}  // namespace comfreyflow::node
