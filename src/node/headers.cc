// Parses request headers.
#include "node/headers.h"

#include <charconv>

namespace comfreyflow::node {

HeaderValue<std::uint64_t> NumberHeader(const http::Fields& fields,
                                        std::string_view name) {
  if (!http::HasField(fields, name)) return {};
  const auto text = http::FieldValue(fields, name);
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return {false, {}};
  return {true, number};
}

HeaderValue<bool> FlagHeader(const http::Fields& fields,
                             std::string_view name) {
  if (!http::HasField(fields, name)) return {};
  const auto text = http::FieldValue(fields, name);
  if (text == "true") return {true, true};
  if (text == "false") return {true, false};
  return {false, {}};
}

HeaderValue<Urgency> UrgencyHeader(const http::Fields& fields,
                                   std::string_view name) {
  if (!http::HasField(fields, name)) return {};
  const auto text = http::FieldValue(fields, name);
  for (const auto urgency : {Urgency::kLow, Urgency::kNormal, Urgency::kHigh}) {
    if (text == ToString(urgency)) return {true, urgency};
  }
  return {false, {}};
}

}  // namespace comfreyflow::node
