// Reads the credentials of a request.
#include "http/credentials.h"

#include <algorithm>

namespace comfreyflow::http {
namespace {

constexpr std::string_view kAuthorization = "authorization";

char LowerCase(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return LowerCase(x) == LowerCase(y);
  });
}

}  // namespace

Credentials ReadCredentials(const Fields& fields, std::string_view scheme) {
  const auto count = std::count_if(
      fields.begin(), fields.end(),
      [](const Field& field) { return field.name == kAuthorization; });
  if (count == 0) return {};
  const Credentials unreadable{CredentialsForm::kUnreadable, {}};
  if (count > 1) return unreadable;
  const std::string_view value = FieldValue(fields, kAuthorization);
  const auto scheme_end = std::min(value.find(' '), value.size());
  if (!EqualsIgnoringCase(value.substr(0, scheme_end), scheme)) {
    return unreadable;
  }
  const auto key_start = value.find_first_not_of(' ', scheme_end);
  if (key_start == std::string_view::npos) return unreadable;
  return {CredentialsForm::kKey, std::string(value.substr(key_start))};
}

}  // namespace comfreyflow::http
