// Each method with each framing of a body, and each form of a target, from a
// caller over a host to a target.
#include <doctest/doctest.h>

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
    for (const std::string method : {"GET", "POST", "PUT", "DELETE", "OPTIONS",
                                     "PATCH", "PROPFIND", "TRACE"}) {
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
