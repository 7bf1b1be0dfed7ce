/// Reads request headers as typed values.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "comfreyflow/errors.h"
#include "comfreyflow/types.h"
#include "http/message.h"

namespace comfreyflow::node {

/// The scheme of keys: `authorization: Bearer KEY`.
inline constexpr std::string_view kBearerScheme = "bearer";

/// An optional header. `ok` is false if the header is present but malformed.
template <class Value>
struct HeaderValue {
  bool ok = true;
  std::optional<Value> value;
};

HeaderValue<std::uint64_t> NumberHeader(const http::Fields& fields,
                                        std::string_view name);
/// Accepts `true` and `false`.
HeaderValue<bool> FlagHeader(const http::Fields& fields, std::string_view name);
/// Accepts `low`, `normal` and `high`.
HeaderValue<Urgency> UrgencyHeader(const http::Fields& fields,
                                   std::string_view name);

}  // namespace comfreyflow::node
