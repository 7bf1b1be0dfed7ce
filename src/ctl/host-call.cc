// Blocking HTTP calls to hosts.
#include "ctl/host-call.h"

#include <boost/asio/io_context.hpp>
#include <utility>

#include "http/client.h"

namespace comfreyflow::ctl {
namespace {

constexpr int kFirstErrorStatus = 400;

http::Request Copy(const http::Request& request) {
  return {request.method, request.path, request.query,
          request.fields, request.body, {}};
}

}  // namespace

Errc ErrorCodeOf(const Json& body) {
  const auto error = body.is_object() ? body.find("error") : body.end();
  if (!body.is_object() || error == body.end() || !error->is_object()) {
    return Errc::kInternal;
  }
  const std::string name = error->value("code", "");
  for (int i = 1; i < ErrorCount(); ++i) {
    const auto code = static_cast<Errc>(i);
    if (name == Info(code).name) return code;
  }
  return Errc::kInternal;
}

HostCaller::HostCaller(std::vector<std::string> addresses, std::string key)
    : addresses_(std::move(addresses)), key_(std::move(key)) {}

HostCaller HostCaller::ForAddress(const std::string& address) const {
  return HostCaller({address}, key_);
}

HostReply HostCaller::Call(const std::string& method, const std::string& path,
                           const std::string& body,
                           const http::Fields& fields) const {
  const auto query_start = path.find('?');
  http::Request request;
  request.method = method;
  request.path = path.substr(0, query_start);
  if (query_start != std::string::npos)
    request.query = path.substr(query_start + 1);
  request.fields = fields;
  if (!key_.empty()) {
    request.fields.push_back({"authorization", "Bearer " + key_});
  }
  request.body = body;
  HostReply reply;
  reply.code = Errc::kPeerUnreachable;
  for (const std::string& address : addresses_) {
    reply = CallOne(address, request);
    const bool answered = reply.code != Errc::kPeerUnreachable;
    if (answered || (reply.is_outcome_unknown && method != "GET")) break;
  }
  return reply;
}

HostReply HostCaller::CallOne(const std::string& address,
                              const http::Request& request) const {
  boost::asio::io_context io;
  http::Client client(io);
  HostReply reply;
  reply.address = address;
  client.Fetch(address, Copy(request), {},
               [&](http::CallEnd end, const http::Response& response) {
                 if (end.code != Errc::kOk) {
                   reply.code = Errc::kPeerUnreachable;
                   reply.is_outcome_unknown = end.sent;
                   return;
                 }
                 reply.body = Json::parse(response.body, nullptr, false);
                 if (response.status >= kFirstErrorStatus) {
                   reply.code = ErrorCodeOf(reply.body);
                 } else if (reply.body.is_discarded()) {
                   reply.code = Errc::kCodec;
                 }
               });
  io.run();
  return reply;
}

}  // namespace comfreyflow::ctl
