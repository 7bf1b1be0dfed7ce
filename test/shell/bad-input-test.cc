// Every code that bad input can meet, against a host on loopback; after each
// row another caller's request is still served.
#include <doctest/doctest.h>

#include <chrono>
#include <functional>

#include "comfreyflow/resume.h"
#include "node/prompt.h"
#include "shell/host-fixture.h"

using namespace comfreyflow;        // NOLINT(google-build-using-namespace)
using namespace comfreyflow::test;  // NOLINT(google-build-using-namespace)

namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

struct Row {
  const char* what;
  Errc code;
  std::string request;
};

const Fields kKey = {{"authorization", Bearer(kAccountKey)}};
const std::string kGood = Prompt("a short question", 3);

Fields With(const std::string& name, const std::string& value) {
  Fields fields = kKey;
  fields.emplace_back(name, value);
  return fields;
}

std::string Post(const std::string& path, const Fields& fields,
                 const std::string& body) {
  return RequestText("POST", path, fields, body);
}

std::string Text(const std::string& body) {
  return Post("/v1/completions", kKey, body);
}

std::string Chat(const std::string& body) {
  return Post("/v1/chat/completions", kKey, body);
}

/// A stream that outlasts what a test does beside it.
std::string LongStream(const std::string& key) {
  return Post("/v1/completions",
              {{"authorization", Bearer(key)}, {"x-deadline-ms", "1800000"}},
              Prompt("a long plan", 50'000, true));
}

std::string Resume(const std::string& token) {
  Fields fields = With("x-resume-token", token);
  fields.emplace_back("x-resume-offset", "0");
  return Post("/v1/resume", fields, kGood);
}

std::string ExpiredToken() {
  ResumeToken token;
  token.account.value = "orders";
  token.attempt = {{{"h9"}, {1}, 1}, 1};
  token.target.value = "e1";
  token.fingerprint = node::FingerprintOf(token.account, kGood);
  token.expires = WallTime(std::chrono::milliseconds(1));
  return SignResumeToken(token, kFleetKey);
}

std::vector<Row> Rows() {
  const std::string path = "/v1/completions";
  const std::string big(1024 * 1024, 'x');
  return {
      {"no key", Errc::kMissingKey, Post(path, {}, kGood)},
      {"another scheme", Errc::kMissingKey,
       Post(path, {{"authorization", "Basic abc"}}, kGood)},
      {"wrong key", Errc::kUnknownKey,
       Post(path, {{"authorization", "Bearer wrong"}}, kGood)},
      {"two keys", Errc::kMissingKey,
       Post(path, With("authorization", Bearer(kOtherKey)), kGood)},
      {"one key twice", Errc::kMissingKey,
       Post(path, With("authorization", Bearer(kAccountKey)), kGood)},
      {"a key behind another scheme", Errc::kMissingKey,
       Post(path,
            {{"authorization", "Basic abc"},
             {"authorization", Bearer(kAccountKey)}},
            kGood)},
      {"an empty field behind the key", Errc::kMissingKey,
       Post(path, With("Authorization", ""), kGood)},
      {"a scheme without key", Errc::kMissingKey,
       Post(path, {{"authorization", "Bearer "}}, kGood)},
      {"another account's service", Errc::kNotAllowed,
       Post(path, {{"authorization", Bearer(kOtherKey)}}, kGood)},
      {"another account's plain service", Errc::kNotAllowed,
       Post("/services/rounds/x", {{"authorization", Bearer(kOtherKey)}}, "")},
      {"body over the limit", Errc::kBodyTooLarge,
       "POST " + path + " HTTP/1.1\r\nauthorization: " + Bearer(kAccountKey) +
           "\r\ncontent-length: 99999999\r\n\r\n"},
      {"oversized header", Errc::kHeadersTooLarge,
       Post(path, With("x-long", big), kGood)},
      {"no HTTP", Errc::kMalformedHttp, "\x16\x03\x01 hello\r\n\r\n"},
      {"bad chunk", Errc::kMalformedHttp,
       "POST " + path + " HTTP/1.1\r\nauthorization: " + Bearer(kAccountKey) +
           "\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n"},
      {"half a JSON text", Errc::kMalformedJson, Text(R"({"model":)")},
      {"empty body", Errc::kMalformedJson, Text("")},
      {"bytes that are not UTF-8", Errc::kMalformedJson,
       Text("{\"model\":\"\xff\xfe\"}")},
      {"a list", Errc::kMalformedRequest, Text("[1]")},
      {"no model", Errc::kMalformedRequest, Text(R"({"prompt":"x"})")},
      {"no prompt", Errc::kMalformedRequest, Text(R"({"model":"bento-llm"})")},
      {"prompt of numbers", Errc::kMalformedRequest,
       Text(R"({"model":"bento-llm","prompt":[1,2]})")},
      {"zero tokens", Errc::kMalformedRequest,
       Text(R"({"model":"bento-llm","prompt":"x","max_tokens":0})")},
      {"negative tokens", Errc::kMalformedRequest,
       Text(R"({"model":"bento-llm","prompt":"x","max_tokens":-4})")},
      {"stream as text", Errc::kMalformedRequest,
       Text(R"({"model":"bento-llm","prompt":"x","stream":"yes"})")},
      {"two choices", Errc::kMalformedRequest,
       Text(R"({"model":"bento-llm","prompt":"x","n":2})")},
      {"no messages", Errc::kMalformedRequest,
       Chat(R"({"model":"bento-llm","messages":[]})")},
      {"message without role", Errc::kMalformedRequest,
       Chat(R"({"model":"bento-llm","messages":[{"content":"x"}]})")},
      {"picture", Errc::kMalformedRequest,
       Chat(R"({"model":"bento-llm","messages":[{"role":"user",)"
            R"("content":[{"type":"image_url"}]}]})")},
      {"flag that is no flag", Errc::kMalformedRequest,
       Post(path, With("x-repeatable", "perhaps"), kGood)},
      {"urgency that is none", Errc::kMalformedRequest,
       Post(path, With("x-urgency", "most"), kGood)},
      {"half-sent body", Errc::kRequestTimeout,
       "POST " + path + " HTTP/1.1\r\nauthorization: " + Bearer(kAccountKey) +
           "\r\ncontent-length: 100\r\n\r\n{\"model\""},
      {"half-sent head", Errc::kRequestTimeout,
       "POST " + path + " HTTP/1.1\r\nauth"},
      {"TRACE with a body", Errc::kMalformedHttp,
       RequestText("TRACE", path, kKey, kGood)},
      {"CONNECT", Errc::kMethodNotAllowed,
       RequestText("CONNECT", "test:443", kKey, "")},
      {"CONNECT to a path", Errc::kMethodNotAllowed,
       RequestText("CONNECT", path, kKey, "")},
      {"target without a slash", Errc::kMalformedHttp,
       Post("v1/completions", kKey, kGood)},
      {"target of another scheme", Errc::kMalformedHttp,
       Post("ftp://test" + path, kKey, kGood)},
      {"unknown path", Errc::kNotFound, Post("/v2/all", kKey, kGood)},
      {"wrong method", Errc::kMethodNotAllowed,
       RequestText("GET", path, kKey, "")},
      {"unknown service", Errc::kUnknownService,
       Post(path, With("x-service", "none"), kGood)},
      {"unknown plain service", Errc::kUnknownService,
       Post("/services/none/x", kKey, "")},
      {"unknown model", Errc::kUnknownModel,
       Text(R"({"model":"other","prompt":"x"})")},
      {"model of another service", Errc::kUnknownModel,
       Post(path, With("x-service", "empty"), kGood)},
      {"deadline now", Errc::kDeadlineInvalid,
       Post(path, With("x-deadline-ms", "0"), kGood)},
      {"deadline in the past", Errc::kDeadlineInvalid,
       Post(path, With("x-deadline-ms", "-5"), kGood)},
      {"deadline beyond the most", Errc::kDeadlineInvalid,
       Post(path, With("x-deadline-ms", "999999999999"), kGood)},
      {"not repeatable without key", Errc::kIdempotencyKeyMissing,
       Post(path, With("x-repeatable", "false"), kGood)},
      {"plain call without key", Errc::kIdempotencyKeyMissing,
       Post("/services/rounds/x", kKey, "")},
      {"forged token", Errc::kResumeTokenInvalid, Resume("abc.def")},
      {"no token", Errc::kResumeTokenInvalid, Post("/v1/resume", kKey, kGood)},
      {"old token", Errc::kResumeTokenExpired, Resume(ExpiredToken())},
      {"no target", Errc::kNoTarget,
       Text(R"({"model":"nowhere","prompt":"x"})")},
      {"no time for its tokens", Errc::kDeadlineInfeasible,
       Post(path, With("x-deadline-ms", "50"), Prompt("a book", 100'000))},
      {"longer than all engines together", Errc::kPromptTooLong,
       Text(Prompt(std::string(7 * 1024 * 1024, 'a'), 3))},
      {"no store for the key", Errc::kStoreUnavailable,
       Post("/services/rounds/x", With("idempotency-key", "k1"), "")},
  };
}

/// Checks an error answer against the table of errors.
void CheckError(const RawAnswer& answer, Errc code) {
  const ErrorInfo& info = Info(code);
  CHECK(answer.status == info.http_status);
  const auto json = nlohmann::json::parse(answer.body, nullptr, false);
  REQUIRE(json.is_object());
  const auto& error = json.at("error");
  CHECK(error.at("code") == info.name);
  CHECK(error.at("outcome") == ToString(info.outcome));
  CHECK(error.at("retry") == info.retry);
  CHECK(error.at("retry_after_ms").is_number());
  CHECK(answer.head.find("Retry-After") ==
        (info.retry ? answer.head.find("Retry-After") : std::string::npos));
}

struct Fixture {
  explicit Fixture(const std::function<void(HostSettings&)>& change = nullptr)
      : file(ConfigText({engine.address()}, service.address())) {
    HostSettings settings = Settings("h1");
    settings.config_file = file.path();
    if (change) change(settings);
    host = std::make_unique<TestHost>(settings);
  }

  static fakes::FakeEngineSettings Fast() {
    fakes::FakeEngineSettings settings;
    settings.speed = 50;
    return settings;
  }

  fakes::FakeEngine engine{Fast()};
  fakes::FakeService service;
  TempFile file;
  std::unique_ptr<TestHost> host;
};

void CheckServes(const std::string& address,
                 const std::string& request = Text(kGood)) {
  const RawAnswer answer = Ask(address, request);
  CAPTURE(answer.body);
  CHECK(answer.status == 200);
  const auto json = nlohmann::json::parse(answer.body, nullptr, false);
  REQUIRE(json.is_object());
  CHECK(json.at("choices").at(0).at("text") == WholeText(kGood));
}

}  // namespace

TEST_CASE("each kind of bad input gets its own code and disturbs no other") {
  Fixture fixture;
  const std::string address = fixture.host->callers();
  for (const Row& row : Rows()) {
    CAPTURE(row.what);
    CheckError(Ask(address, row.request), row.code);
    CheckServes(address);
  }
  CHECK(fixture.service.Runs().at("total") == 0);
}

TEST_CASE("blanks before a key make it another one") {
  Fixture fixture;
  for (const char* scheme : {"Bearer  ", "bearer ", "BEARER   "}) {
    CAPTURE(scheme);
    CheckServes(
        fixture.host->callers(),
        Post("/v1/completions",
             {{"authorization", std::string(scheme) + kAccountKey}}, kGood));
  }
}

TEST_CASE("a caller's key is shown to a plain service") {
  Fixture fixture;
  const RawAnswer answer =
      Ask(fixture.host->callers(),
          Post("/services/rounds/x",
               {{"authorization", Bearer(kAccountKey)},
                {"proxy-authorization", Bearer(kAccountKey)},
                {"x-repeatable", "true"}},
               ""));
  REQUIRE(answer.status == 200);
  CHECK(answer.body.find("headers") != std::string::npos);
  CHECK(answer.body.find(kAccountKey) == std::string::npos);
}

TEST_CASE("a target in absolute form is not found") {
  Fixture fixture;
  CheckServes(fixture.host->callers(),
              Post("http://test/v1/completions", kKey, kGood));
}

TEST_CASE("bodies beyond the host's memory are refused, later ones pass") {
  Fixture fixture([](HostSettings& settings) {
    settings.body_bytes = 1024 * 1024;
    settings.body_memory_bytes = 2 * 1024 * 1024;
    settings.receive_timeout = std::chrono::seconds(20);
  });
  const std::string address = fixture.host->callers();
  const std::string head =
      "POST /v1/completions HTTP/1.1\r\nauthorization: " + Bearer(kAccountKey) +
      "\r\nexpect: 100-continue\r\ncontent-length: ";
  RawCaller holder(address);
  holder.Send(head + "1000000\r\n\r\n");
  CHECK(holder.ReadUntil("\r\n\r\n").find("100") != std::string::npos);
  CheckError(Ask(address, head + "900000\r\n\r\n"), Errc::kBodyMemoryFull);
  holder.Close();
  RawAnswer answer;
  do {
    answer = Ask(address, Text(Prompt(std::string(900'000, 'a'), 2)));
  } while (answer.body.find(Info(Errc::kBodyMemoryFull).name) !=
           std::string::npos);
  CAPTURE(answer.body);
  CHECK(answer.status == 200);
}

TEST_CASE("a chunked body over the limit is refused while it comes") {
  Fixture fixture(
      [](HostSettings& settings) { settings.body_bytes = 1024 * 1024; });
  std::string request =
      "POST /v1/completions HTTP/1.1\r\nauthorization: " + Bearer(kAccountKey) +
      "\r\ntransfer-encoding: chunked\r\n\r\n";
  for (int i = 0; i < 20; ++i) {
    request += "10000\r\n" + std::string(0x10000, 'a') + "\r\n";
  }
  CheckError(Ask(fixture.host->callers(), request), Errc::kBodyTooLarge);
  CheckServes(fixture.host->callers());
}

TEST_CASE("an account over its limits is refused, and others are not") {
  Fixture fixture;
  const std::string address = fixture.host->callers();
  const auto send = [&address](const std::string& key) {
    return Ask(address, Post("/v1/completions",
                             {{"authorization", Bearer(key)}}, kGood));
  };
  RawAnswer answer;
  do {
    answer = send(kSlowKey);
  } while (answer.status == 200);
  CheckError(answer, Errc::kRateLimited);
  RawCaller holder(address);
  holder.Send(LongStream(kNarrowKey));
  REQUIRE(holder.ReadUntil("data: {").find("data: {") != std::string::npos);
  CheckError(send(kNarrowKey), Errc::kConcurrencyLimited);
  CheckServes(address);
  holder.Close();
}

TEST_CASE("a host that stops refuses new work and says where to go") {
  Fixture fixture([](HostSettings& settings) {
    settings.address_life = std::chrono::milliseconds(100);
  });
  const std::string address = fixture.host->callers();
  RawCaller holder(address);
  holder.Send(LongStream(kAccountKey));
  REQUIRE(holder.ReadUntil("data: {").find("data: {") != std::string::npos);
  fixture.host->node().Drain();
  RawAnswer answer;
  do {
    answer = Ask(address, Text(kGood));
  } while (answer.status == 200);
  CheckError(answer, Errc::kDraining);
  const auto hosts = nlohmann::json::parse(
      Ask(address, RequestText("GET", "/v1/addresses", {}, "")).body);
  CHECK(hosts.at("hosts").empty());
  holder.Close();
  CHECK(fixture.host->WaitForExit() == 0);
}

TEST_CASE("a host without configuration says so") {
  HostSettings settings = Settings("h1");
  TestHost host(settings);
  CheckError(Ask(host.callers(), Text(kGood)), Errc::kNoConfiguration);
}
