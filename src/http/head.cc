// Reads heads.
#include "http/head.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <cctype>

namespace comfreyflow::http::detail {
namespace {

namespace bh = boost::beast::http;

std::string LowerCase(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return out;
}

}  // namespace

Request HeadOf(const bh::request<bh::string_body>& message) {
  Request out;
  out.method = std::string(message.method_string());
  const std::string_view target(message.target().data(),
                                message.target().size());
  out.target = std::string(target);
  const auto mark = target.find('?');
  out.path = std::string(target.substr(0, mark));
  if (mark != std::string_view::npos) out.query = target.substr(mark + 1);
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
