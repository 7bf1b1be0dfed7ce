// Planned stops of a host whose time is limited, as its callers see them.
#include <doctest/doctest.h>

#include <optional>

#include "fakes/fake-platform.h"
#include "shell/host-fixture.h"

using namespace comfreyflow;        // NOLINT(google-build-using-namespace)
using namespace comfreyflow::test;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

constexpr int kOutlastingTokens = 50'000;
const std::string kLargeAnswer(24 * 1024 * 1024, 'x');

/// A host on a store, with an engine and a plain service.
struct Stand {
  explicit Stand(Duration stop_time)
      : file(ConfigText({engine.address()}, service.address())),
        host(std::in_place, MakeSettings("h1", stop_time)) {}

  HostSettings MakeSettings(const std::string& name, Duration stop_time) const {
    HostSettings settings = Settings(name);
    settings.config_file = file.path();
    settings.platform = platform.address();
    settings.address_life = milliseconds(100);
    settings.stop_time = stop_time;
    return settings;
  }

  fakes::FakeEngine engine;
  fakes::FakeService service;
  fakes::FakePlatform platform;
  TempFile file;
  std::optional<TestHost> host;
};

std::string Post(const std::string& path, const Fields& more,
                 const std::string& body) {
  Fields fields = {{"authorization", Bearer(kAccountKey)}};
  fields.insert(fields.end(), more.begin(), more.end());
  return RequestText("POST", path, fields, body);
}

std::string Completion(const std::string& body, const Fields& more = {}) {
  return Post("/v1/completions", more, body);
}

/// An answer that outlasts the test.
std::string LongCompletion(bool stream) {
  return Completion(Prompt("a long plan", kOutlastingTokens, stream),
                    {{"x-deadline-ms", "1800000"}});
}

std::string Order(const std::string& key) {
  return Post("/services/rounds/orders", {{"idempotency-key", key}}, "order");
}

/// Connection of a caller that takes little ahead of what it reads.
class SlowCaller {
 public:
  explicit SlowCaller(const std::string& address) : socket_(io_) {
    constexpr int kReceiveBytes = 16 * 1024;
    const auto colon = address.rfind(':');
    socket_.open(boost::asio::ip::tcp::v4());
    socket_.set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBytes));
    socket_.connect(
        {boost::asio::ip::make_address(address.substr(0, colon)),
         static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
  }
  void Send(const std::string& bytes) {
    boost::asio::write(socket_, boost::asio::buffer(bytes));
  }
  /// Waits for the first byte of the answer.
  void WaitForAnswer() { socket_.wait(socket_.wait_read); }
  std::string ReadAll() {
    std::string read;
    boost::system::error_code ignored;
    boost::asio::read(socket_, boost::asio::dynamic_buffer(read), ignored);
    return read;
  }

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
};

/// A host with a plain service whose answers are large.
struct LargeAnswers {
  explicit LargeAnswers(Duration stop_time)
      : file(ConfigText({engine.address()}, server.address())) {
    server.Start([](const fakes::CallPtr& call) {
      call->Reply(200, fakes::Json(kLargeAnswer));
    });
    HostSettings settings = Settings("h1");
    settings.config_file = file.path();
    settings.address_life = milliseconds(100);
    settings.stop_time = stop_time;
    host.emplace(settings);
  }
  ~LargeAnswers() { server.Stop(); }

  std::string Request() const {
    return Post("/services/rounds/list", {{"x-repeatable", "true"}}, "");
  }

  fakes::FakeEngine engine;
  fakes::FakeServer server{0};
  TempFile file;
  std::optional<TestHost> host;
};

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("a planned stop lasts until its supervisor cuts what is open") {
  Stand stand(seconds(2));
  stand.service.SetFaults({{"slow_ms", 60'000}});
  const std::string address = stand.host->callers();
  RawCaller stream(address);
  stream.Send(LongCompletion(true));
  stream.ReadUntil("data: {");
  RawCaller whole(address);
  whole.Send(LongCompletion(false));
  RawCaller order(address);
  order.Send(Order("k1"));
  while (stand.engine.Attempts().size() < 2 ||
         !stand.service.Runs().at("runs").contains("k1")) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  stand.host->node().Drain();
  // A repeated signal and a reload change nothing.
  stand.host->node().Drain();
  stand.host->node().ReloadTls();
  CHECK(stand.host->WaitForExit() == 0);
  stand.host.reset();
  const std::string streamed = stream.ReadAll();
  CHECK(Has(streamed, R"("code":"draining")"));
  CHECK(Has(streamed, R"("outcome":"failed")"));
  CHECK_FALSE(Has(streamed, "[DONE]"));
  CHECK(streamed.ends_with("0\r\n\r\n"));
  for (RawCaller* caller : {&whole, &order}) {
    const RawAnswer answer = ParseAnswer(caller->ReadAll());
    CHECK(answer.status == 503);
    CHECK(Has(answer.body, R"("code":"draining")"));
    CHECK_FALSE(Has(answer.body, R"("outcome":"not_run")"));
  }
}

TEST_CASE("an answer that a planned stop ends can't be resumed elsewhere") {
  Stand stand(seconds(2));
  TestHost other(stand.MakeSettings("h2", seconds(2)));
  const std::string body = Prompt("a plan of some length", 400, true);
  RawCaller stream(stand.host->callers());
  stream.Send(Completion(body));
  stream.ReadUntil("data: {");
  stand.host->node().Drain();
  CHECK(stand.host->WaitForExit() == 0);
  const std::string begun = stream.ReadAll();
  REQUIRE(Has(begun, R"("code":"draining")"));
  const auto at = begun.find("x-resume-token: ");
  REQUIRE(at != std::string::npos);
  const auto token = begun.substr(at + 16, begun.find("\r\n", at) - at - 16);
  const std::string text = StreamText(begun);
  const RawAnswer rest = Ask(
      other.callers(), Post("/v1/resume",
                            {{"x-resume-token", token},
                             {"x-resume-offset", std::to_string(text.size())}},
                            body));
  CHECK(text + StreamText(rest.body) == WholeText(body));
}

TEST_CASE("a late request that may outlast a planned stop is taken") {
  Stand stand(seconds(3));
  const std::string address = stand.host->callers();
  RawCaller holder(address);
  holder.Send(LongCompletion(true));
  holder.ReadUntil("data: {");
  stand.host->node().Drain();
  const RawAnswer refused =
      Ask(address, Completion(Prompt("late", 3), {{"x-deadline-ms", "60000"}}));
  CHECK(refused.status == 503);
  CHECK(Has(refused.body, R"("code":"draining")"));
  CHECK(Has(refused.body, R"("outcome":"not_run")"));
  CHECK(Has(refused.head, "retry-after: "));
  CHECK(stand.engine.Attempts().size() == 1);
  const RawAnswer order = Ask(address, Order("k1"));
  CHECK(Has(order.body, R"("outcome":"not_run")"));
  CHECK(stand.service.Runs().at("total") == 0);
  holder.Close();
  CHECK(stand.host->WaitForExit() == 0);
}

TEST_CASE("a stopping host keeps its callers' connections") {
  Stand stand(seconds(20));
  RawCaller caller(stand.host->callers());
  const std::string request =
      "GET /v1/addresses HTTP/1.1\r\nhost: test\r\n\r\n";
  caller.Send(request);
  const std::string before = caller.ReadUntil("}");
  CHECK_FALSE(Has(before, "onnection: close"));
  stand.host->node().Drain();
  caller.Send(request);
  CHECK(Has(caller.ReadAll(), "onnection: close"));
  CHECK(stand.host->WaitForExit() == 0);
}

TEST_CASE("a host exits before a slow caller has its answer") {
  LargeAnswers stand(seconds(20));
  SlowCaller caller(stand.host->callers());
  caller.Send(stand.Request());
  caller.WaitForAnswer();
  stand.host->node().Drain();
  const RawAnswer answer = ParseAnswer(caller.ReadAll());
  CHECK(stand.host->WaitForExit() == 0);
  CHECK(answer.status == 200);
  CHECK(answer.body.size() == kLargeAnswer.size() + 2);
}

TEST_CASE("a caller that does not read keeps a host from its end") {
  LargeAnswers stand(seconds(1));
  SlowCaller caller(stand.host->callers());
  caller.Send(stand.Request());
  caller.WaitForAnswer();
  stand.host->node().Drain();
  CHECK(stand.host->WaitForExit() == 0);
  stand.host.reset();
  const RawAnswer answer = ParseAnswer(caller.ReadAll());
  CHECK(Has(answer.head,
            "Content-Length: " + std::to_string(kLargeAnswer.size() + 2)));
  CHECK(answer.body.size() < kLargeAnswer.size());
}
