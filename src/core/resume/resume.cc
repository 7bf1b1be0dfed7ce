// Signed resume tokens: the base64url-encoded fields, a dot, and the
// base64url-encoded HMAC-SHA256.
#include "comfreyflow/resume.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

#include "comfreyflow/errors.h"

namespace comfreyflow {
namespace {

constexpr char kSeparator = '\n';
constexpr std::size_t kMaxTokenBytes = 2048;
constexpr std::size_t kFieldCount = 6;

std::string ToBase64Url(const std::string& bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  while (!text.empty() && text.back() == '=') text.pop_back();
  return text;
}

bool FromBase64Url(std::string text, std::string& bytes) {
  if (text.find_first_of("+/=\r\n\t ") != std::string::npos) return false;
  if (text.size() % 4 == 1) return false;
  std::replace(text.begin(), text.end(), '-', '+');
  std::replace(text.begin(), text.end(), '_', '/');
  const std::size_t padding = (4 - text.size() % 4) % 4;
  text.append(padding, '=');
  bytes.assign(text.size() / 4 * 3, '\0');
  const int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (length < 0) return false;
  bytes.resize(static_cast<std::size_t>(length) - padding);
  return true;
}

std::string Mac(const std::string& payload, const std::string& key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(payload.data()), payload.size(),
       mac.data(), &length);
  return {mac.begin(), mac.begin() + length};
}

std::string Encode(const ResumeToken& token) {
  const std::array<std::string, kFieldCount> fields = {
      ToString(token.attempt),
      token.account.value,
      token.target.value,
      std::to_string(token.fingerprint),
      std::to_string(token.offset),
      std::to_string(token.expires.time_since_epoch().count())};
  std::string payload;
  for (const std::string& field : fields) {
    payload += ToBase64Url(field);
    payload += kSeparator;
  }
  return payload;
}

template <class Number>
bool ReadNumber(const std::string& text, Number& out) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, out);
  return error == std::errc() && stop == end && !text.empty();
}

bool Decode(const std::string& payload, ResumeToken& token) {
  std::vector<std::string> fields;
  std::size_t at = 0;
  while (at < payload.size() && fields.size() < kFieldCount) {
    const std::size_t end = payload.find(kSeparator, at);
    if (end == std::string::npos) return false;
    std::string field;
    if (!FromBase64Url(payload.substr(at, end - at), field)) return false;
    fields.push_back(field);
    at = end + 1;
  }
  if (fields.size() != kFieldCount || at != payload.size()) return false;
  std::int64_t expires = 0;
  if (!ParseAttemptId(fields[0], token.attempt)) return false;
  token.account.value = fields[1];
  token.target.value = fields[2];
  if (!ReadNumber(fields[3], token.fingerprint)) return false;
  if (!ReadNumber(fields[4], token.offset)) return false;
  if (!ReadNumber(fields[5], expires)) return false;
  token.expires = WallTime(std::chrono::milliseconds(expires));
  return true;
}

bool ConstTimeEqual(const std::string& a, const std::string& b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

std::string SignResumeToken(const ResumeToken& token, const std::string& key) {
  if (key.empty()) return {};
  const std::string payload = Encode(token);
  return ToBase64Url(payload) + "." + ToBase64Url(Mac(payload, key));
}

std::error_code VerifyResumeToken(const std::string& text,
                                  const std::string& key,
                                  const AccountName& account,
                                  std::uint64_t fingerprint, WallTime now,
                                  ResumeToken& out) {
  if (key.empty() || text.size() > kMaxTokenBytes) {
    return Errc::kResumeTokenInvalid;
  }
  const std::size_t dot = text.find('.');
  if (dot == std::string::npos) return Errc::kResumeTokenInvalid;
  std::string payload;
  std::string mac;
  if (!FromBase64Url(text.substr(0, dot), payload) ||
      !FromBase64Url(text.substr(dot + 1), mac)) {
    return Errc::kResumeTokenInvalid;
  }
  if (!ConstTimeEqual(mac, Mac(payload, key))) return Errc::kResumeTokenInvalid;
  ResumeToken token;
  if (!Decode(payload, token)) return Errc::kResumeTokenInvalid;
  if (token.account != account || token.fingerprint != fingerprint) {
    return Errc::kResumeTokenInvalid;
  }
  if (now >= token.expires) return Errc::kResumeTokenExpired;
  out = token;
  return {};
}

}  // namespace comfreyflow
