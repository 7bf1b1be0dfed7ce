// Reads heads.
#include "http/head.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <cctype>
#include <utility>

namespace comfreyflow::http::detail {
namespace {

namespace bh = boost::beast::http;

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

}  // namespace

Errc CheckHead(const Request& head, bool has_content) {
  if (head.method == "CONNECT") return Errc::kMethodNotAllowed;
  if (head.method == "TRACE" && has_content) return Errc::kMalformedHttp;
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
