// Look-ups in HTTP messages, and the encoding of their addresses.
#include "http/message.h"

#include <charconv>

namespace comfreyflow::http {
namespace {

constexpr std::string_view kHexDigits = "0123456789ABCDEF";
constexpr std::string_view kUnreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.~";

std::string Decode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    const char* digits = text.data() + i + 1;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2) {
      out.push_back(static_cast<char>(value));
      i += 2;
    } else {
      out.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return out;
}

}  // namespace

std::string_view FieldValue(const Fields& fields, std::string_view name) {
  for (const auto& field : fields) {
    if (field.name == name) return field.value;
  }
  return {};
}

bool HasField(const Fields& fields, std::string_view name) {
  for (const auto& field : fields) {
    if (field.name == name) return true;
  }
  return false;
}

std::string PercentEncode(std::string_view text, std::string_view kept) {
  std::string out;
  for (const char c : text) {
    if (kUnreserved.find(c) != std::string_view::npos ||
        kept.find(c) != std::string_view::npos) {
      out += c;
    } else {
      const auto byte = static_cast<unsigned char>(c);
      out += {'%', kHexDigits[byte / 16], kHexDigits[byte % 16]};
    }
  }
  return out;
}

std::string QueryValue(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const auto end = query.find('&');
    const auto pair = query.substr(0, end);
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
      return Decode(pair.substr(equals + 1));
    }
    if (end == std::string_view::npos) break;
    query.remove_prefix(end + 1);
  }
  return {};
}

}  // namespace comfreyflow::http
