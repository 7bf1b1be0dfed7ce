// The tool against hosts that lose answers, conflict and die.
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

/// A host as operators see it, with one generation in force.
class AdminHost {
 public:
  explicit AdminHost(std::uint64_t generation = 4)
      : generation_(generation), server_(0) {
    server_.Start([this](const CallPtr& call) { Handle(call); });
  }
  ~AdminHost() { server_.Stop(); }

  std::string address() const { return server_.address(); }
  void LoseAnswers() { lose_ = true; }
  /// Another operator's document comes first at the next update.
  void Race(const std::string& text) { race_ = text; }
  void ReachOnly(int hosts) { hosts_ = hosts; }
  std::uint64_t generation() const { return generation_; }
  std::string proven_hash() const { return proven_hash_; }

 private:
  void Handle(const CallPtr& call) {
    const auto& request = call->request();
    if (request.Header("authorization") != Bearer(kAdminKey)) {
      return Refuse(call, Errc::kUnknownKey);
    }
    if (request.path == "/admin/status") {
      return call->Reply(200, {{"config", Config()},
                               {"in_force", {{"hosts", hosts_}, {"of", 3}}}});
    }
    if (request.method == "GET") return call->Reply(200, Config());
    Put(call);
  }

  void Put(const CallPtr& call) {
    if (!race_.empty()) Set(std::exchange(race_, ""));
    const auto& request = call->request();
    const bool current =
        request.Header("if-match") == std::to_string(generation_);
    if (!current) return Refuse(call, Errc::kConfigConflict);
    proven_hash_ = request.Header("x-proven-hash");
    Set(request.body);
    if (lose_) return call->Break();
    call->Reply(200, Config());
  }

  void Set(const std::string& text) {
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
  std::string race_;
  std::string proven_hash_;
  bool lose_ = false;
  int hosts_ = 3;
  FakeServer server_;
};

struct ToolRun {
  int exit_code = 0;
  Json json;
  std::string err;
  /// A field of the object that was printed; null when it is not there.
  Json operator[](const char* name) const {
    return json.is_object() ? json.value(name, Json()) : Json();
  }
  std::string code() const {
    return json.contains("error") ? json["error"].value("code", "") : "";
  }
};

/// Runs the tool with `--json`.
ToolRun Tool(ctl::Args args) {
  args.emplace_back("--json");
  std::ostringstream out;
  std::ostringstream err;
  ToolRun run;
  run.exit_code = ctl::Run(args, out, err);
  run.json = Json::parse(out.str(), nullptr, false);
  run.err = err.str();
  return run;
}

ToolRun ApplyTool(const AdminHost& host, const std::string& file,
                  ctl::Args more = {}) {
  static const TempFile key(kAdminKey);
  ctl::Args args = {"apply",    "--admin", host.address(), "--admin-key-file",
                    key.path(), file};
  args.insert(args.end(), more.begin(), more.end());
  return Tool(args);
}

/// A host that streams `text`, breaks where told, and goes on for others.
class StreamHost {
 public:
  StreamHost(std::string text, std::size_t break_at)
      : text_(std::move(text)), break_at_(break_at), server_(0) {
    server_.Start([this](const CallPtr& call) { Handle(call); });
  }
  ~StreamHost() { server_.Stop(); }
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
      if (at == break_at_) return Cut(call);
      const Json choice = {{"text", text_.substr(at, 1)}};
      call->Send("data: " + Json{{"choices", {choice}}}.dump() + "\n\n");
    }
    call->Send("data: [DONE]\n\n");
    call->EndStream();
  }

  /// Ends the connection when what was sent has had time to leave.
  void Cut(const CallPtr& call) {
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
  AdminHost host;
  const TempFile file(Document("mine"));
  const ToolRun run = ApplyTool(host, file.path(), {"--wait", "5"});
  CHECK(run.exit_code == ctl::kExitDone);
  CHECK(run["generation"] == 5);
  CHECK(run["in_force"]["hosts"] == 3);
  CHECK(host.generation() == 5);
}

TEST_CASE("a lost answer is settled by reading back") {
  AdminHost host;
  host.LoseAnswers();
  const TempFile file(Document("mine"));
  const ToolRun run = ApplyTool(host, file.path());
  CHECK(run.exit_code == ctl::kExitDone);
  CHECK(run["settled_by_reading_back"] == true);
  CHECK(host.generation() == 5);
}

TEST_CASE("a racing operator gets a typed conflict that shows both sides") {
  AdminHost host;
  const std::string theirs = ConfigText({kEngine, "127.0.0.1:10"}, kService);
  const std::string mine = ConfigText({}, kService);
  host.Race(theirs);
  const TempFile file(mine);
  const ToolRun run = ApplyTool(host, file.path());
  CHECK(run.exit_code == ctl::kExitFailed);
  CHECK(run.code() == Info(Errc::kConfigConflict).name);
  CHECK(run["yours"][0] == "- [target e1]");
  CHECK(run["theirs"][0] == "+ [target e2]");
  CHECK(host.generation() == 5);
}

TEST_CASE("an update against an old generation is refused") {
  AdminHost host;
  const TempFile file(Document("mine"));
  const ToolRun run = ApplyTool(host, file.path(), {"--against", "3"});
  CHECK(run.code() == Info(Errc::kConfigConflict).name);
  CHECK(host.generation() == 4);
}

TEST_CASE("a document with faults never reaches a host") {
  AdminHost host;
  const TempFile file("[environment test]\ncolour = red\n");
  const ToolRun run = ApplyTool(host, file.path());
  CHECK(run.exit_code == ctl::kExitFailed);
  CHECK(run.code() == Info(Errc::kConfigInvalid).name);
  CHECK(run["problems"][0]["key"] == "colour");
  CHECK(host.generation() == 4);
}

TEST_CASE("only what is in force everywhere is promoted") {
  const TempFile key(kAdminKey);
  for (const int hosts : {2, 3}) {
    AdminHost trial;
    AdminHost production(9);
    trial.ReachOnly(hosts);
    const ToolRun run = Tool(
        {"promote", "--from", trial.address(), "--from-key-file", key.path(),
         "--admin", production.address(), "--admin-key-file", key.path()});
    const bool everywhere = hosts == 3;
    CHECK(run.code() == (everywhere ? "" : Info(Errc::kPromoteUnproven).name));
    CHECK(production.generation() == (everywhere ? 10 : 9));
    CHECK(production.proven_hash().empty() != everywhere);
  }
}

TEST_CASE("a stream goes on at another host and is whole") {
  const std::string text = "crates: twelve rice, nine soup";
  StreamHost lost(text, 11);
  StreamHost next(text, text.size());
  const ToolRun run =
      Tool({"complete", "--only-given-hosts", "--host", lost.address(),
            "--host", next.address(), "--model", "m", "--prompt", "x"});
  CHECK(run.exit_code == ctl::kExitDone);
  CHECK(run["text"] == text);
  CHECK(run["resumes"] == 1);
  CHECK(run["host"] == next.address());
}

TEST_CASE("the commands about one host work against a real one") {
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
    return Tool({command, "--admin", host.admin(), "--admin-key-file",
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
      run = Tool(args);
    } while (run.code() == Info(Errc::kNoTarget).name);
    CHECK(run.exit_code == ctl::kExitDone);
    CHECK(run["usage"]["completion_tokens"] == 9);
  }
  const ToolRun refused =
      Tool({"complete", "--only-given-hosts", "--host", host.callers(),
            "--model", "bento-llm", "--prompt", "x"});
  CHECK(refused.exit_code == ctl::kExitFailed);
  CHECK(refused.code() == Info(Errc::kMissingKey).name);
  CHECK(admin("drain").exit_code == ctl::kExitDone);
  CHECK(host.WaitForExit() == 0);
}

TEST_CASE("real hosts: lost answers, races, outages and promotion") {
  fakes::FakePlatform platform;
  const auto settings = [&](const char* name, const char* environment) {
    HostSettings out = Settings(name);
    out.environment = environment;
    out.platform = platform.address();
    out.require_proof = std::string(environment) == "production";
    return out;
  };
  TestHost trial(settings("t1", "test"));
  TestHost production(settings("p1", "production"));
  const TempFile key(kAdminKey);
  const TempFile first(Document("first"));
  const TempFile second(ConfigText({kEngine, "127.0.0.1:10"}, kService));
  const TempFile targets(
      "[environment production]\n[target p]\naddress = " + kEngine +
      "\nclass = bento-llm\nfailure_domain = regina\n");
  const auto apply = [&](const std::string& admin, const TempFile& file,
                         const ctl::Args& more = {}) {
    ctl::Args args = {"apply",    "--admin",  admin, "--admin-key-file",
                      key.path(), file.path()};
    args.insert(args.end(), more.begin(), more.end());
    return Tool(args);
  };
  platform.SetFaults({{"lose_answers", 1}});
  CHECK(apply(trial.admin(), first, {"--wait", "10"}).exit_code ==
        ctl::kExitDone);
  const ToolRun late = apply(trial.admin(), second, {"--against", "0"});
  CHECK(late.code() == Info(Errc::kConfigConflict).name);
  CHECK(apply(production.admin(), first).code() ==
        Info(Errc::kPromoteUnproven).name);
  const ToolRun promoted =
      Tool({"promote", "--from", trial.admin(), "--from-key-file", key.path(),
            "--admin", production.admin(), "--admin-key-file", key.path(),
            "--targets", targets.path()});
  CHECK(promoted.exit_code == ctl::kExitDone);
  CHECK(promoted["generation"] == 2);
  platform.SetFaults({{"outage", true}});
  const ToolRun refused = apply(trial.admin(), second);
  CHECK(refused.code() == Info(Errc::kPlatformUnavailable).name);
}

TEST_CASE("arguments that are wrong end with the exit code for usage") {
  for (const ctl::Args& args :
       {ctl::Args{"nothing"}, ctl::Args{"apply"}, ctl::Args{"status", "--x"},
        ctl::Args{"status", "--admin", "127.0.0.1:1", "--admin-key-file",
                  "/does/not/exist"}}) {
    CHECK(Tool(args).exit_code == ctl::kExitUsage);
  }
  CHECK(Tool({"status", "--admin", "127.0.0.1:1"}).exit_code ==
        ctl::kExitFailed);
}

TEST_CASE("docs/ERRORS.md has the table of the code") {
  const auto root = std::filesystem::path(__FILE__).parent_path() / "../..";
  std::string page;
  REQUIRE(ctl::ReadFile((root / "docs/ERRORS.md").string(), page));
  const auto table = page.find("| code |");
  REQUIRE(table != std::string::npos);
  CHECK(page.substr(table) == ctl::ErrorsMarkdown());
}

TEST_CASE("docs/LOGS.md has the table of events") {
  const auto root = std::filesystem::path(__FILE__).parent_path() / "../..";
  std::string page;
  REQUIRE(ctl::ReadFile((root / "docs/LOGS.md").string(), page));
  CHECK(page.find(node::RenderEvents()) != std::string::npos);
}
