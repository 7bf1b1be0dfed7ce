// Each method with each framing of a body, and each form of a target, from a
// caller over a host to a target.
#include <doctest/doctest.h>

#include <chrono>

#include "platform/stand-ins.h"

using namespace comfreyflow;            // NOLINT(google-build-using-namespace)
using namespace comfreyflow::platform;  // NOLINT(google-build-using-namespace)

namespace {

const std::string kPath = "/unsafe/1";

/// How a request tells its body, and what it comes to.
struct Framing {
  std::string fields;
  std::string sent;
  std::string body;
  bool may_have_content = true;  ///< By the head alone.
};

std::vector<Framing> Framings() {
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  return {{"", "", "", false},
          {"Content-Length: 0\r\n", "", "", false},
          {"Content-Length: 4\r\n", "body", "body"},
          {chunked, "4\r\nbody\r\n0\r\n\r\n", "body"},
          {chunked, "0\r\n\r\n", ""}};
}

struct Caller {
  Caller() : target(site.AddTarget("app", "i1")) {
    target.OnRequest([this](const http::ExchangePtr& exchange) {
      http::Response answer = target.Head(exchange->request());
      answer.body = "done";
      exchange->Respond(std::move(answer));
    });
    site.PutConfig(1);
    host = site.AddHost();
    REQUIRE(site.UntilReady(host));
  }

  std::string Send(const std::string& line, const Framing& framing = {},
                   const std::string& name = "a.example") {
    std::string got;
    REQUIRE_NOTHROW(
        got = site.SendBytes(host, line + " HTTP/1.1\r\nHost: " + name +
                                       "\r\nX-Request-Id: r" +
                                       std::to_string(++sent) +
                                       "\r\nX-Deadline-Ms: 4000\r\n"
                                       "Authorization: Token key1\r\n"
                                       "Connection: close\r\n" +
                                       framing.fields + "\r\n" + framing.sent));
    return got;
  }

  /// The caller got this status and the target nothing.
  void CheckRefused(const std::string& line, const std::string& status,
                    const Framing& framing = {}) {
    CAPTURE(line);
    const auto before = target.requests().size();
    const std::string got = Send(line, framing);
    CHECK_MESSAGE(got.starts_with("HTTP/1.1 " + status), got);
    CHECK(target.requests().size() == before);
  }

  void CheckServed(const std::string& method, const Framing& framing) {
    CAPTURE(method);
    CAPTURE(framing.fields);
    const auto before = target.requests().size();
    const std::string got = Send(method + ' ' + kPath, framing);
    CHECK_MESSAGE(got.starts_with("HTTP/1.1 200"), got);
    REQUIRE(target.requests().size() == before + 1);
    const http::Request& request = target.requests().back();
    CHECK(request.method == method);
    CHECK(request.body == framing.body);
    CHECK_FALSE(http::HasField(request.fields, "transfer-encoding"));
  }

  Site site;
  FakeTarget& target;
  std::size_t host = 0;
  int sent = 0;
};

}  // namespace

TEST_CASE("a method with a body that HTTP doesn't allow ends the host") {
  Caller caller;
  for (const Framing& framing : Framings()) {
    for (const std::string method : {"GET", "HEAD", "POST", "PUT", "DELETE",
                                     "OPTIONS", "PATCH", "PROPFIND", "TRACE"}) {
      if (method == "TRACE" && framing.may_have_content) {
        caller.CheckRefused(method + ' ' + kPath, "400", framing);
      } else {
        caller.CheckServed(method, framing);
      }
    }
    for (const std::string target : {"a.example:443", kPath.c_str(), "*"}) {
      caller.CheckRefused("CONNECT " + target, "405", framing);
    }
    caller.CheckServed("GET", {});
  }
}

TEST_CASE("a request with a malformed target is queued") {
  Caller caller;
  for (const char* target :
       {"unsafe/1", "*", "", "http://", "http:///unsafe/1", "http:/unsafe/1",
        "ftp://a.example/unsafe/1", "http://u@a.example/unsafe/1",
        "http://:80/unsafe/1", "/unsafe/1#x", "/unsafe/ 1", "a.example:80"}) {
    caller.CheckRefused(std::string("GET ") + target, "400");
  }
  caller.CheckServed("GET", {});
}

TEST_CASE("a target in absolute form is not found") {
  Caller caller;
  for (const std::string start : {"http://a.example", "HTTPS://a.example"}) {
    const std::string got =
        caller.Send("GET " + start + kPath + "?x=1", {}, "other.example");
    REQUIRE_MESSAGE(got.starts_with("HTTP/1.1 200"), got);
    const http::Request& request = caller.target.requests().back();
    CHECK(request.target == kPath + "?x=1");
    CHECK(http::FieldValue(request.fields, "host") == "a.example");
  }
  CHECK(caller.target.requests().size() == 2);
  // The host in the target counts, whatever the field says.
  caller.CheckRefused("GET http://other.example" + kPath, "404");
  caller.CheckRefused("GET http://a.example", "404");
  caller.CheckRefused("GET http://a.example?x=1", "404");
}

namespace {

/// A request on a connection that is kept.
std::string Kept(const std::string& line, const std::string& id,
                 const std::string& key = "key1") {
  return line + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: 4000\r\nAuthorization: Token " + key + "\r\n\r\n";
}

/// A target that answers each request with a head of this start and no more.
struct HeadOnly {
  HeadOnly(const std::string& service, const std::string& start) {
    site.AddRawTarget(
        service, "i1",
        [start](const RawTarget::Socket& socket, const std::string& request) {
          boost::asio::write(
              *socket, boost::asio::buffer(
                           start + "\r\nX-Seal: s\r\nX-Request-Id: " +
                           HeaderIn(request, "x-request-id") + "\r\n\r\n"));
          return true;
        });
    site.PutConfig(1);
    host = site.AddHost();
    REQUIRE(site.UntilReady(host));
  }

  Site site;
  std::size_t host = 0;
};

/// Whether one answer of this status ends at its head, in time, and the bytes
/// behind it are the head of another one.
void CheckHeadOnly(Site& site, std::size_t host, const std::string& line,
                   const std::string& status) {
  const auto began = std::chrono::steady_clock::now();
  const std::string got =
      site.SendBytes(host, Kept(line, "h1") + Kept("GET /none", "h2"));
  CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds(2));
  CHECK_MESSAGE(got.starts_with("HTTP/1.1 " + status), got);
  CHECK_MESSAGE(got.find("\r\n\r\nHTTP/1.1 404") == got.find("\r\n\r\n"), got);
  CHECK(got.find("ransfer-") == std::string::npos);
  CHECK(got.find("ength: ") > got.find("\r\n\r\n"));
}

}  // namespace

TEST_CASE("a host's own answer to HEAD has a body") {
  Caller caller;
  caller.CheckServed("GET", {});
  const std::string got = caller.site.SendBytes(
      caller.host, Kept("HEAD " + kPath, "h1", "gone") +
                       Kept("HEAD /none", "h2") + Kept("GET " + kPath, "h3"));
  const std::size_t first = got.find("\r\n\r\n");
  CHECK(got.starts_with("HTTP/1.1 401"));
  CHECK(got.find("Content-Length: ") < first);
  CHECK(got.find("\r\n\r\nHTTP/1.1 404") == first);
  CHECK(got.find("\r\n\r\nHTTP/1.1 200") == got.find("\r\n\r\n", first + 4));
  CHECK_MESSAGE(got.ends_with("done"), got);
}

TEST_CASE("a target's answer without a body is waited for or given one") {
  SUBCASE("to HEAD") {
    HeadOnly target("app", "HTTP/1.1 200 OK\r\nContent-Length: 5000");
    CheckHeadOnly(target.site, target.host, "HEAD " + kPath, "200");
  }
  SUBCASE("to HEAD, with chunks that don't follow") {
    HeadOnly target("app", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked");
    CheckHeadOnly(target.site, target.host, "HEAD " + kPath, "200");
  }
  SUBCASE("to HEAD, refused") {
    HeadOnly target("app", "HTTP/1.1 404 Not Found\r\nContent-Length: 5");
    CheckHeadOnly(target.site, target.host, "HEAD " + kPath, "404");
  }
  SUBCASE("to HEAD, of a stream") {
    HeadOnly target("model",
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream");
    CheckHeadOnly(target.site, target.host, "HEAD /stream/1", "200");
  }
  SUBCASE("with 204") {
    HeadOnly target("app", "HTTP/1.1 204 No Content");
    CheckHeadOnly(target.site, target.host, "GET " + kPath, "204");
  }
  SUBCASE("with 304") {
    HeadOnly target("app", "HTTP/1.1 304 Not Modified\r\nContent-Length: 50");
    CheckHeadOnly(target.site, target.host, "GET " + kPath, "304");
  }
}
