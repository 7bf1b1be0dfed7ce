// Look-ups in HTTP messages, and the encoding of their addresses.
#include "http/message.h"

#include <algorithm>
#include <charconv>

namespace comfreyflow::http {
namespace {

constexpr std::string_view kHexDigits = "0123456789ABCDEF";
constexpr std::string_view kUnreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.~";

constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";
/// The HTTP library counts a name or a value, with the two bytes that follow
/// it, in 16 bits.
constexpr std::size_t kMaxFieldPartBytes = 65'533;

bool IsTokenByte(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') ||
         kTokenMarks.find(c) != std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenByte);
}

bool IsControl(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte < ' ' || byte == 0x7f;
}

bool IsLinePart(std::string_view text) {
  return std::none_of(text.begin(), text.end(),
                      [](char c) { return IsControl(c) || c == ' '; });
}

bool IsSendableField(const Field& field) {
  return field.name.size() <= kMaxFieldPartBytes && IsToken(field.name) &&
         field.value.size() <= kMaxFieldPartBytes &&
         std::none_of(field.value.begin(), field.value.end(),
                      [](char c) { return IsControl(c) && c != '\t'; });
}

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

bool MayHaveBody(std::string_view method, int status) {
  constexpr int kFirstFinal = 200;
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return method != "HEAD" && status >= kFirstFinal && status != kNoContent &&
         status != kNotModified;
}

bool IsSendable(const Request& request) {
  const bool has_target = !request.target.empty() || !request.path.empty();
  return has_target && IsToken(request.method) && IsLinePart(request.target) &&
         IsLinePart(request.path) && IsLinePart(request.query) &&
         (request.method != "TRACE" || request.body.empty()) &&
         std::all_of(request.fields.begin(), request.fields.end(),
                     IsSendableField);
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
