/// Heads of requests as the rest of the shell sees them, and the parser's
/// failures as codes of the product.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

#include "comfreyflow/errors.h"
#include "http/message.h"

namespace comfreyflow::http::detail {

/// All of the request but its body.
Request HeadOf(
    const boost::beast::http::request<boost::beast::http::string_body>&
        message);

/// Refuses what a host does not take of a valid HTTP/1.1 head, and turns the
/// absolute form of a target into the origin form and the host that it names.
/// `has_content`: a body that is not empty may follow.
Errc CheckHead(Request& head, bool has_content);

Errc CodeOf(const boost::system::error_code& error);

}  // namespace comfreyflow::http::detail
