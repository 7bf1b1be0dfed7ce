// Answers of targets that come over another host.
#include "gateway/target-paths.h"

#include <doctest/doctest.h>

#include <array>
#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <vector>

using namespace comfreyflow;           // NOLINT(google-build-using-namespace)
using namespace comfreyflow::gateway;  // NOLINT(google-build-using-namespace)
using Tcp = boost::asio::ip::tcp;

namespace {

/// A host that answers each frame with the same bytes, and calls to a target
/// that only this host reaches.
class FakeCarrier {
 public:
  explicit FakeCarrier(std::string answer)
      : answer_(std::move(answer)),
        acceptor_(io_, {boost::asio::ip::address_v4::loopback(), 0}),
        client_(io_),
        paths_(client_, {"asker"}, {"key"}, 1,
               std::make_shared<http::BodyBudget>(1024 * 1024), Hooks()) {
    Accept();
  }

  /// Sends a request and runs until its call has ended.
  http::CallEnd Call() {
    TargetCall call;
    call.service.value = "app";
    call.target.value = "a1";
    call.address = "127.0.0.1:1";
    call.request_id = "id1";
    call.request = [] {
      http::Request request;
      request.method = "POST";
      request.path = "/unsafe/1";
      return request;
    };
    http::CallHooks hooks;
    hooks.owner = [](const http::Response& head) {
      const auto id = http::FieldValue(head.fields, "id");
      if (id.empty()) return http::AnswerOwner::kUnnamed;
      return id == "id1" ? http::AnswerOwner::kThisCall
                         : http::AnswerOwner::kOtherCall;
    };
    http::CallEnd out;
    hooks.on_end = [this, &out](const http::CallEnd& end) {
      out = end;
      io_.stop();
    };
    const auto open = paths_.Open(std::move(call), {}, std::move(hooks));
    io_.run();
    return out;
  }

 private:
  TargetPathsHooks Hooks() {
    TargetPathsHooks hooks;
    hooks.carriers = [this] {
      const auto port = acceptor_.local_endpoint().port();
      return std::vector<CarrierHost>{
          {{"carrier"}, "127.0.0.1:" + std::to_string(port)}};
    };
    hooks.has_carriers = [] { return true; };
    return hooks;
  }

  void Accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, Tcp::socket socket) {
          if (error) return;
          socket_ = std::make_unique<Tcp::socket>(std::move(socket));
          socket_->async_read_some(
              boost::asio::buffer(buffer_),
              [this](const boost::system::error_code&, std::size_t) {
                boost::asio::write(*socket_, boost::asio::buffer(answer_));
              });
        });
  }

  const std::string answer_;
  boost::asio::io_context io_;
  Tcp::acceptor acceptor_;
  std::unique_ptr<Tcp::socket> socket_;
  std::array<char, 4096> buffer_{};
  http::Client client_;
  TargetPaths paths_;
};

std::string Refusal(const std::string& fields) {
  return "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n" + fields + "\r\n";
}

}  // namespace

TEST_CASE("a carried answer without id counts as the request's own") {
  // A host of an older build may have used a connection with unnamed answers.
  const http::CallEnd end = FakeCarrier(Refusal("carried: 1\r\n")).Call();
  CHECK(end.code == Errc::kOk);
  CHECK(end.sent);
  CHECK_FALSE(end.answer.is_own);
}

TEST_CASE("a carried answer that names its request is not its own") {
  CHECK(FakeCarrier(Refusal("carried: 1\r\nid: id1\r\n")).Call().answer.is_own);
}

TEST_CASE("a carrying host's word on an unnamed answer is not taken") {
  CHECK(FakeCarrier(Refusal("carried: 1\r\ncarried-own: 1\r\n"))
            .Call()
            .answer.is_own);
}

TEST_CASE("a carried answer passes for the first one under its id") {
  // A host of an older build may have used a connection that had carried the
  // id before.
  const std::string older = "carried: 1\r\ncarried-own: 1\r\nid: id1\r\n";
  CHECK(FakeCarrier(Refusal(older)).Call().answer.is_id_reused);
  CHECK_FALSE(FakeCarrier(Refusal(older + "carried-new-id: 1\r\n"))
                  .Call()
                  .answer.is_id_reused);
}

TEST_CASE("a carried answer to another request is passed on") {
  const http::CallEnd end =
      FakeCarrier(Refusal("carried: 1\r\ncarried-own: 1\r\nid: id0\r\n"))
          .Call();
  CHECK(end.code == Errc::kTargetFailed);
  CHECK(end.sent);
}
