// Reads heads.
#include "http/head.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <cctype>
#include <utility>

namespace comfreyflow::http::detail {
namespace {

namespace bh = boost::beast::http;

/// The target of a request about the server itself.
constexpr std::string_view kWholeServer = "*";

std::string LowerCase(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return out;
}

void SetTarget(Request& head, std::string target) {
  head.target = std::move(target);
  const std::string_view text = head.target;
  const auto mark = text.find('?');
  head.path = text.substr(0, mark);
  head.query = mark == std::string_view::npos ? "" : text.substr(mark + 1);
}

bool IsAuthority(std::string_view text) {
  return !text.empty() && text.front() != ':' &&
         text.find_first_of("@\\") == std::string_view::npos;
}

/// Takes host and path from a target in absolute form (RFC 9112, 3.2.2).
bool ResolveAbsolute(Request& head) {
  constexpr std::string_view kAfterScheme = "://";
  const std::string target = head.target;
  const auto colon = target.find(kAfterScheme);
  if (colon == std::string::npos) return false;
  const std::string scheme = LowerCase(target.substr(0, colon));
  if (scheme != "http" && scheme != "https") return false;
  const auto start = colon + kAfterScheme.size();
  const auto end = std::min(target.find_first_of("/?", start), target.size());
  const std::string authority = target.substr(start, end - start);
  if (!IsAuthority(authority)) return false;
  std::string rest = target.substr(end);
  if (rest.empty() && head.method == "OPTIONS") {
    rest = kWholeServer;
  } else if (!rest.starts_with('/')) {
    rest.insert(0, 1, '/');
  }
  std::erase_if(head.fields,
                [](const Field& field) { return field.name == "host"; });
  head.fields.push_back({"host", authority});
  SetTarget(head, std::move(rest));
  return true;
}

bool ResolveTarget(Request& head) {
  if (head.target.find('#') != std::string::npos) return false;
  if (head.target.starts_with('/')) return true;
  if (head.target == kWholeServer) return head.method == "OPTIONS";
  return ResolveAbsolute(head);
}

}  // namespace

Errc CheckHead(Request& head, bool has_content) {
  if (head.method == "CONNECT") return Errc::kMethodNotAllowed;
  if (head.method == "TRACE" && has_content) return Errc::kMalformedHttp;
  if (!ResolveTarget(head) || !IsSendable(head)) return Errc::kMalformedHttp;
  return Errc::kOk;
}

Request HeadOf(const bh::request<bh::string_body>& message) {
  Request out;
  out.method = std::string(message.method_string());
  SetTarget(out, std::string(message.target()));
  for (const auto& field : message) {
    out.fields.push_back(
        {LowerCase({field.name_string().data(), field.name_string().size()}),
         std::string(field.value())});
  }
  return out;
}

Errc CodeOf(const boost::system::error_code& error) {
  if (error == bh::error::header_limit) return Errc::kHeadersTooLarge;
  if (error == bh::error::body_limit) return Errc::kBodyTooLarge;
  return Errc::kMalformedHttp;
}

}  // namespace comfreyflow::http::detail
