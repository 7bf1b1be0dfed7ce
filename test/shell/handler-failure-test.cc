// Exceptions out of the handlers of a server and of a client's calls.
#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "http/client.h"
#include "http/server.h"
#include "node/log.h"
#include "node/run-loop.h"

using namespace comfreyflow;        // NOLINT(google-build-using-namespace)
using namespace comfreyflow::http;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::uint64_t kBudget = 1024 * 1024;
constexpr const char* kReason = "planted";

void Throw() { throw std::runtime_error(kReason); }

/// A server whose handler fails on some paths, and a client on its loop.
struct Loop {
  Loop() : server(io, {}, Hooks(), std::make_shared<BodyBudget>(kBudget)) {
    REQUIRE_FALSE(server.Listen("127.0.0.1:0"));
    node::SetLogTap([this](node::Event event, const std::string& line) {
      if (event == node::Event::kHandlerFailed &&
          line.find(kReason) != std::string::npos) {
        ++logged;
      }
    });
  }
  ~Loop() { node::SetLogTap(nullptr); }
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  ServerHooks Hooks() {
    ServerHooks hooks;
    hooks.admit_head = [](const Request&) { return Errc::kOk; };
    hooks.handle = [this](const ExchangePtr& exchange) {
      const std::string path = exchange->request().path;
      if (path == "/kept") kept = exchange;
      if (path == "/stream") exchange->StartStream({});
      if (path != "/sound") Throw();
      Response response;
      response.body = "sound";
      exchange->Respond(std::move(response));
    };
    hooks.error_response = [](Errc code) {
      Response response;
      response.status = Info(code).http_status;
      response.body = Info(code).name;
      return response;
    };
    return hooks;
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(server.port());
  }

  static Request Get(const std::string& path) {
    Request request;
    request.method = "GET";
    request.path = path;
    return request;
  }

  /// Runs the loop until it is stopped, at most for seconds.
  void Run() {
    boost::asio::steady_timer limit(io, std::chrono::seconds(5));
    limit.async_wait([this](const boost::system::error_code& error) {
      if (!error) io.stop();
    });
    io.restart();
    REQUIRE_NOTHROW(node::RunLoop(io));
  }

  Response Ask(const std::string& path) {
    Response out;
    out.status = 0;
    client.Fetch(address(), Get(path), {},
                 [&](const CallEnd& end, const Response& answer) {
                   if (end.code == Errc::kOk) out = answer;
                   io.stop();
                 });
    Run();
    return out;
  }

  boost::asio::io_context io{1};
  Server server;
  Client client{io};
  ExchangePtr kept;
  int logged = 0;
};

}  // namespace

TEST_CASE("an exception out of a request's handler ends the process") {
  Loop loop;
  for (const char* path : {"/lost", "/kept", "/stream"}) {
    CAPTURE(path);
    const int before = loop.logged;
    const Response failed = loop.Ask(path);
    const bool is_stream = std::string(path) == "/stream";
    CHECK(failed.status == (is_stream ? 0 : 500));
    CHECK(failed.body == (is_stream ? "" : Info(Errc::kInternal).name));
    CHECK(loop.logged == before + 1);
    CHECK(loop.Ask("/sound").body == "sound");
  }
}

TEST_CASE("an exception out of a call's hook ends the process") {
  Loop loop;
  const auto call = [&loop](const std::function<void(CallHooks&)>& plant) {
    int ends = 0;
    CallHooks hooks;
    hooks.on_end = [&](const CallEnd& end) {
      CHECK(end.code == Errc::kTargetFailed);
      ++ends;
      loop.io.stop();
    };
    plant(hooks);
    CallOptions options;
    options.fresh_connection = true;
    const int before = loop.logged;
    loop.client.Open(loop.address(), Loop::Get("/sound"), options,
                     std::move(hooks));
    loop.Run();
    loop.io.restart();
    REQUIRE_NOTHROW(loop.io.poll());
    CHECK(ends == 1);
    CHECK(loop.logged == before + 1);
    CHECK(loop.client.open_calls() == 0);
    CHECK(loop.Ask("/sound").body == "sound");
  };
  call([](CallHooks& hooks) { hooks.on_connected = Throw; });
  call([](CallHooks& hooks) { hooks.on_sent = Throw; });
  call([](CallHooks& hooks) {
    hooks.owner = [](const Response&) {
      Throw();
      return AnswerOwner::kThisCall;
    };
  });
  call([](CallHooks& hooks) {
    hooks.on_head = [](const Response&) { Throw(); };
  });
  call([](CallHooks& hooks) {
    hooks.on_body = [](std::string_view) { Throw(); };
  });
}

TEST_CASE("an exception out of the hook of a call's end ends the process") {
  Loop loop;
  CallHooks hooks;
  hooks.on_end = [&loop](const CallEnd&) {
    loop.io.stop();
    Throw();
  };
  loop.client.Open(loop.address(), Loop::Get("/sound"), {}, std::move(hooks));
  loop.Run();
  CHECK(loop.client.open_calls() == 0);
  CHECK(loop.Ask("/sound").body == "sound");
}
