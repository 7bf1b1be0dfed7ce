// comfreyflowctl against hosts that lose answers, report conflicts and break
// streams.
#include <algorithm>
#include <sstream>

#include "comfreyflow/config-change.h"
#include "ctl/commands.h"
#include "fakes/fake-platform.h"
#include "node/events.h"
#include "shell/host-fixture.h"

using namespace comfreyflow;        // NOLINT(google-build-using-namespace)
using namespace comfreyflow::test;  // NOLINT(google-build-using-namespace)
using fakes::CallPtr;
using fakes::FakeServer;
using fakes::Json;

namespace {

const std::string kEngine = "127.0.0.1:9";
const std::string kService = "127.0.0.1:11";

std::string Document(const std::string& comment) {
  return "# " + comment + "\n" + ConfigText({kEngine}, kService);
}

/// A stand-in for a host's interface for operators, with one generation in
/// force.
class FakeAdminHost {
 public:
  explicit FakeAdminHost(std::uint64_t generation = 4)
      : generation_(generation), server_(0) {
    server_.Start([this](const CallPtr& call) { Handle(call); });
  }
  ~FakeAdminHost() { server_.Stop(); }

  std::string address() const { return server_.address(); }
  /// Breaks the connection instead of answering an update that was applied.
  void LoseAnswers() { loses_answers_ = true; }
  /// Applies another operator's document just before the next update.
  void ApplyBeforeNextUpdate(const std::string& text) {
    racing_document_ = text;
  }
  /// Sets the number of hosts, of three, where the generation is in force.
  void SetHostsInForce(int hosts) { hosts_in_force_ = hosts; }
  std::uint64_t generation() const { return generation_; }
  std::string proven_hash() const { return proven_hash_; }

 private:
  void Handle(const CallPtr& call) {
    const auto& request = call->request();
    if (request.Header("authorization") != Bearer(kAdminKey)) {
      return Refuse(call, Errc::kUnknownKey);
    }
    if (request.path == "/admin/status") {
      return call->Reply(
          200, {{"config", Config()},
                {"in_force", {{"hosts", hosts_in_force_}, {"of", 3}}}});
    }
    if (request.method == "GET") return call->Reply(200, Config());
    Put(call);
  }

  void Put(const CallPtr& call) {
    if (!racing_document_.empty())
      SetDocument(std::exchange(racing_document_, ""));
    const auto& request = call->request();
    const bool current =
        request.Header("if-match") == std::to_string(generation_);
    if (!current) return Refuse(call, Errc::kConfigConflict);
    proven_hash_ = request.Header("x-proven-hash");
    SetDocument(request.body);
    if (loses_answers_) return call->Break();
    call->Reply(200, Config());
  }

  void SetDocument(const std::string& text) {
    text_ = text;
    ++generation_;
  }

  static void Refuse(const CallPtr& call, Errc code) {
    call->Reply(Info(code).http_status,
                {{"error", {{"code", Info(code).name}}}});
  }

  Json Config() const {
    return {{"environment", "test"},
            {"generation", generation_.load()},
            {"hash", Sha256(text_).value},
            {"document", text_}};
  }

  std::atomic<std::uint64_t> generation_;
  std::string text_ = Document("first");
  std::string racing_document_;
  std::string proven_hash_;
  bool loses_answers_ = false;
  int hosts_in_force_ = 3;
  FakeServer server_;
};

/// The result of one run of the tool with `--json`.
struct ToolRun {
  int exit_code = 0;
  Json json;
  std::string err;
  /// Returns a field of the printed object, or null if it is absent.
  Json operator[](const char* name) const {
    return json.is_object() ? json.value(name, Json()) : Json();
  }
  /// Returns the code of the printed error, or an empty string.
  std::string code() const {
    return json.contains("error") ? json["error"].value("code", "") : "";
  }
};

/// Runs the tool with `--json` added to `args`.
ToolRun RunTool(ctl::Args args) {
  args.emplace_back("--json");
  std::ostringstream out;
  std::ostringstream err;
  ToolRun run;
  run.exit_code = ctl::Run(args, out, err);
  run.json = Json::parse(out.str(), nullptr, false);
  run.err = err.str();
  return run;
}

ToolRun RunApply(const FakeAdminHost& host, const std::string& file,
                 ctl::Args extra_arguments = {}) {
  static const TempFile key(kAdminKey);
  ctl::Args args = {"apply",    "--admin", host.address(), "--admin-key-file",
                    key.path(), file};
  args.insert(args.end(), extra_arguments.begin(), extra_arguments.end());
  return RunTool(args);
}

/// A stand-in for a host that streams `text`, closes the connection before byte
/// `break_at` and resumes streams of other hosts. It accepts only the newest
/// resume token that a stream sent.
class FakeStreamHost {
 public:
  FakeStreamHost(std::string text, std::size_t break_at)
      : text_(std::move(text)), break_at_(break_at), server_(0) {
    server_.Start([this](const CallPtr& call) { Handle(call); });
  }
  ~FakeStreamHost() { server_.Stop(); }
  std::string address() const { return server_.address(); }

 private:
  void Handle(const CallPtr& call) {
    const auto& request = call->request();
    std::size_t at = 0;
    if (request.path == "/v1/resume") {
      if (request.Header("x-resume-token") != "second") return call->Break();
      at = std::stoul(request.Header("x-resume-offset"));
    }
    call->StartStream();
    call->Send(": resume first\n\n: resume second\n\n: hb\n\n");
    for (; at < text_.size(); ++at) {
      if (at == break_at_) return CloseAfterDelay(call);
      const Json choice = {{"text", text_.substr(at, 1)}};
      call->Send("data: " + Json{{"choices", {choice}}}.dump() + "\n\n");
    }
    call->Send("data: [DONE]\n\n");
    call->EndStream();
  }

  /// Closes the connection after a delay in which the bytes sent so far arrive.
  void CloseAfterDelay(const CallPtr& call) {
    auto timer = std::make_shared<boost::asio::steady_timer>(
        server_.context(), std::chrono::milliseconds(50));
    timer->async_wait(
        [call, timer](boost::system::error_code) { call->Break(); });
  }

  std::string text_;
  std::size_t break_at_;
  FakeServer server_;
};

}  // namespace

TEST_CASE("an update is applied against the generation in force") {
  FakeAdminHost host;
  const TempFile file(Document("mine"));
  const ToolRun run = RunApply(host, file.path(), {"--wait", "5"});
  CHECK(run.exit_code == ctl::kExitSuccess);
  CHECK(run["generation"] == 5);
  CHECK(run["in_force"]["hosts"] == 3);
  CHECK(host.generation() == 5);
}

TEST_CASE(
    "an update whose answer is lost is confirmed by reading the configuration "
    "back") {
  FakeAdminHost host;
  host.LoseAnswers();
  const TempFile file(Document("mine"));
  const ToolRun run = RunApply(host, file.path());
  CHECK(run.exit_code == ctl::kExitSuccess);
  CHECK(run["settled_by_reading_back"] == true);
  CHECK(host.generation() == 5);
}

TEST_CASE(
    "an update that loses a race reports a conflict with the changes of both "
    "operators") {
  FakeAdminHost host;
  const std::string theirs = ConfigText({kEngine, "127.0.0.1:10"}, kService);
  const std::string mine = ConfigText({}, kService);
  host.ApplyBeforeNextUpdate(theirs);
  const TempFile file(mine);
  const ToolRun run = RunApply(host, file.path());
  CHECK(run.exit_code == ctl::kExitFailure);
  CHECK(run.code() == Info(Errc::kConfigConflict).name);
  CHECK(run["yours"][0] == "- [target e1]");
  CHECK(run["theirs"][0] == "+ [target e2]");
  CHECK(host.generation() == 5);
}

TEST_CASE("an update against an old generation is refused") {
  FakeAdminHost host;
  const TempFile file(Document("mine"));
  const ToolRun run = RunApply(host, file.path(), {"--against", "3"});
  CHECK(run.code() == Info(Errc::kConfigConflict).name);
  CHECK(host.generation() == 4);
}

TEST_CASE("an invalid document is not sent to a host") {
  FakeAdminHost host;
  const TempFile file("[environment test]\ncolour = red\n");
  const ToolRun run = RunApply(host, file.path());
  CHECK(run.exit_code == ctl::kExitFailure);
  CHECK(run.code() == Info(Errc::kConfigInvalid).name);
  CHECK(run["problems"][0]["key"] == "colour");
  CHECK(host.generation() == 4);
}

TEST_CASE("a configuration is promoted only if it is in force on all hosts") {
  const TempFile key(kAdminKey);
  for (const int hosts : {2, 3}) {
    FakeAdminHost source;
    FakeAdminHost destination(9);
    source.SetHostsInForce(hosts);
    const ToolRun run = RunTool(
        {"promote", "--from", source.address(), "--from-key-file", key.path(),
         "--admin", destination.address(), "--admin-key-file", key.path()});
    const bool is_on_all_hosts = hosts == 3;
    CHECK(run.code() ==
          (is_on_all_hosts ? "" : Info(Errc::kPromoteUnproven).name));
    CHECK(destination.generation() == (is_on_all_hosts ? 10 : 9));
    CHECK(destination.proven_hash().empty() != is_on_all_hosts);
  }
}

TEST_CASE(
    "a broken stream is resumed at another host and its answer is complete") {
  const std::string text = "crates: twelve rice, nine soup";
  FakeStreamHost breaking_host(text, 11);
  FakeStreamHost resuming_host(text, text.size());
  const ToolRun run = RunTool(
      {"complete", "--only-given-hosts", "--host", breaking_host.address(),
       "--host", resuming_host.address(), "--model", "m", "--prompt", "x"});
  CHECK(run.exit_code == ctl::kExitSuccess);
  CHECK(run["text"] == text);
  CHECK(run["resumes"] == 1);
  CHECK(run["host"] == resuming_host.address());
}

TEST_CASE("the commands for one host work against a real host") {
  fakes::FakeEngineSettings fast;
  fast.speed = 1000;
  fakes::FakeEngine engine(fast);
  fakes::FakeService service;
  const TempFile document(ConfigText({engine.address()}, service.address()));
  HostSettings settings = Settings("h1");
  settings.config_file = document.path();
  settings.address_life = std::chrono::milliseconds(100);
  TestHost host(settings);
  const TempFile key(kAccountKey);
  const TempFile admin_key(kAdminKey);
  const auto admin = [&](const std::string& command) {
    return RunTool({command, "--admin", host.admin(), "--admin-key-file",
                    admin_key.path()});
  };
  const auto status = admin("status");
  CHECK(status["hosts"][0]["answer"]["host"] == "h1");
  CHECK(admin("dump").json.contains("requests"));
  ctl::Args args = {"complete",
                    "--host",
                    host.callers(),
                    "--model",
                    "bento-llm",
                    "--host-key-file",
                    key.path(),
                    "--prompt-tokens",
                    "600",
                    "--max-tokens",
                    "9",
                    "--only-given-hosts"};
  for (const bool chat : {false, true}) {
    if (chat) args.emplace_back("--chat");
    ToolRun run;
    do {
      run = RunTool(args);
    } while (run.code() == Info(Errc::kNoTarget).name);
    CHECK(run.exit_code == ctl::kExitSuccess);
    CHECK(run["usage"]["completion_tokens"] == 9);
  }
  const ToolRun refused =
      RunTool({"complete", "--only-given-hosts", "--host", host.callers(),
               "--model", "bento-llm", "--prompt", "x"});
  CHECK(refused.exit_code == ctl::kExitFailure);
  CHECK(refused.code() == Info(Errc::kMissingKey).name);
  CHECK(admin("drain").exit_code == ctl::kExitSuccess);
  CHECK(host.WaitForExit() == 0);
}

TEST_CASE(
    "apply and promote against real hosts with lost answers, conflicts and an "
    "outage of the platform") {
  fakes::FakePlatform platform;
  const auto settings = [&](const char* name, const char* environment) {
    HostSettings out = Settings(name);
    out.environment = environment;
    out.platform = platform.address();
    out.require_proof = std::string(environment) == "production";
    return out;
  };
  TestHost source(settings("t1", "test"));
  TestHost destination(settings("p1", "production"));
  const TempFile key(kAdminKey);
  const TempFile first(Document("first"));
  const TempFile second(ConfigText({kEngine, "127.0.0.1:10"}, kService));
  const TempFile targets(
      "[environment production]\n[target p]\naddress = " + kEngine +
      "\nclass = bento-llm\nfailure_domain = regina\n");
  const auto apply = [&](const std::string& admin, const TempFile& file,
                         const ctl::Args& extra_arguments = {}) {
    ctl::Args args = {"apply",    "--admin",  admin, "--admin-key-file",
                      key.path(), file.path()};
    args.insert(args.end(), extra_arguments.begin(), extra_arguments.end());
    return RunTool(args);
  };
  platform.SetFaults({{"lose_answers", 1}});
  CHECK(apply(source.admin(), first, {"--wait", "10"}).exit_code ==
        ctl::kExitSuccess);
  const ToolRun stale = apply(source.admin(), second, {"--against", "0"});
  CHECK(stale.code() == Info(Errc::kConfigConflict).name);
  CHECK(apply(destination.admin(), first).code() ==
        Info(Errc::kPromoteUnproven).name);
  const ToolRun promoted =
      RunTool({"promote", "--from", source.admin(), "--from-key-file",
               key.path(), "--admin", destination.admin(), "--admin-key-file",
               key.path(), "--targets", targets.path()});
  CHECK(promoted.exit_code == ctl::kExitSuccess);
  CHECK(promoted["generation"] == 2);
  platform.SetFaults({{"outage", true}});
  const ToolRun refused = apply(source.admin(), second);
  CHECK(refused.code() == Info(Errc::kPlatformUnavailable).name);
}

TEST_CASE("invalid arguments return the exit code for usage errors") {
  for (const ctl::Args& args :
       {ctl::Args{"nothing"}, ctl::Args{"apply"}, ctl::Args{"status", "--x"},
        ctl::Args{"status", "--admin", "127.0.0.1:1", "--admin-key-file",
                  "/does/not/exist"}}) {
    CHECK(RunTool(args).exit_code == ctl::kExitUsage);
  }
  CHECK(RunTool({"status", "--admin", "127.0.0.1:1"}).exit_code ==
        ctl::kExitFailure);
}

TEST_CASE("docs/ERRORS.md contains the table of error codes") {
  const auto root = std::filesystem::path(__FILE__).parent_path() / "../..";
  std::string page;
  REQUIRE(ctl::ReadFile((root / "docs/ERRORS.md").string(), page));
  const auto table = page.find("| code |");
  REQUIRE(table != std::string::npos);
  CHECK(page.substr(table) == ctl::ErrorsMarkdown());
}

TEST_CASE("docs/LOGS.md contains the table of log events") {
  const auto root = std::filesystem::path(__FILE__).parent_path() / "../..";
  std::string page;
  REQUIRE(ctl::ReadFile((root / "docs/LOGS.md").string(), page));
  CHECK(page.find(node::RenderEvents()) != std::string::npos);
}
