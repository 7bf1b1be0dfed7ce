// The `complete` command: sends a prompt and prints the answer.
#include <ostream>
#include <random>

#include "ctl/arguments.h"
#include "ctl/commands.h"
#include "ctl/completion-run.h"
#include "ctl/host-call.h"

namespace comfreyflow::ctl {
namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr std::uint32_t kDefaultMaxTokens = 64;
constexpr std::uint64_t kDefaultDeadlineMs = 60000;
/// Assumed average, for the length of a synthetic prompt.
constexpr std::uint64_t kBytesPerToken = 4;

/// The command-line arguments of `complete`.
class CompleteArguments {
 public:
  std::string Prompt() const {
    std::string text = prompt.getValue();
    if (prompt_file.isSet() && !ReadFile(prompt_file.getValue(), text)) {
      throw TCLAP::CmdLineParseException(
          "cannot read " + prompt_file.getValue(), "prompt-file");
    }
    return prompt_tokens.isSet() ? SyntheticPrompt() : text;
  }

  std::string Body() const {
    Json body{{"model", model.getValue()}};
    if (chat.getValue()) {
      body["messages"] =
          Json::array({{{"role", "user"}, {"content", Prompt()}}});
    } else {
      body["prompt"] = Prompt();
    }
    body["max_tokens"] = max_tokens.getValue();
    body["stream"] = true;
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
  }

  CompletionRequest Request() const {
    CompletionRequest request;
    request.path = chat.getValue() ? "/v1/chat/completions" : "/v1/completions";
    request.body = Body();
    request.deadline = std::chrono::milliseconds(deadline_ms.getValue());
    const std::string key = host.key();
    if (!key.empty()) request.fields = {{"authorization", "Bearer " + key}};
    if (service.isSet()) {
      request.fields.push_back({"x-service", service.getValue()});
    }
    if (idempotency_key.isSet()) {
      request.fields.push_back({"idempotency-key", idempotency_key.getValue()});
    }
    if (not_repeatable.getValue()) {
      request.fields.push_back({"x-repeatable", "false"});
    }
    request.session.may_resend =
        !not_repeatable.getValue() || idempotency_key.isSet();
    return request;
  }

  CommandLine command{"Sends a prompt and prints the answer as it arrives"};
  HostArguments host{command, "host", "Address of a host for callers"};
  TCLAP::ValueArg<std::string> model{"", "model", "Model",       true,
                                     "", "NAME",  command.line()};
  TCLAP::ValueArg<std::string> service{"", "service", "Service",     false,
                                       "", "NAME",    command.line()};
  TCLAP::ValueArg<std::string> prompt{"", "prompt", "Prompt",      false,
                                      "", "TEXT",   command.line()};
  TCLAP::ValueArg<std::string> prompt_file{
      "", "prompt-file", "File with the prompt", false,
      "", "FILE",        command.line()};
  TCLAP::ValueArg<std::uint64_t> prompt_tokens{
      "",
      "prompt-tokens",
      "Generate a prompt of about this many tokens",
      false,
      0,
      "N",
      command.line()};
  TCLAP::ValueArg<std::uint64_t> seed{
      "",  "seed",        "Random seed of a generated prompt", false, 1,
      "N", command.line()};
  TCLAP::ValueArg<std::uint32_t> max_tokens{
      "",
      "max-tokens",
      "Maximum number of tokens in the answer",
      false,
      kDefaultMaxTokens,
      "N",
      command.line()};
  TCLAP::ValueArg<std::uint64_t> deadline_ms{
      "",
      "deadline-ms",
      "Time limit for the complete answer, in milliseconds",
      false,
      kDefaultDeadlineMs,
      "MS",
      command.line()};
  TCLAP::ValueArg<std::string> idempotency_key{
      "",
      "idempotency-key",
      "Key that identifies the request when it is sent again",
      false,
      "",
      "KEY",
      command.line()};
  TCLAP::SwitchArg not_repeatable{
      "", "not-repeatable", "Run the request at most once", command.line()};
  TCLAP::SwitchArg chat{"", "chat", "Send the prompt as a chat message",
                        command.line()};
  TCLAP::SwitchArg only_given_hosts{
      "", "only-given-hosts",
      "Use only the addresses given, without requesting the list of hosts",
      command.line()};

 private:
  std::string SyntheticPrompt() const {
    std::mt19937_64 random(seed.getValue());
    const std::uint64_t bytes = prompt_tokens.getValue() * kBytesPerToken;
    std::string text;
    text.reserve(bytes);
    while (text.size() < bytes) {
      text += static_cast<char>('a' + random() % 26);
      if (text.size() % 6 == 5) text += ' ';
    }
    text.resize(bytes);
    return text;
  }
};

/// Returns the host addresses that a host recommends to callers, or the given
/// addresses if no host returns any.
std::vector<std::string> FetchHostAddresses(const HostArguments& host) {
  const HostCaller caller(host.addresses(), "");
  std::vector<std::string> addresses;
  const HostReply reply = caller.Get("/v1/addresses");
  if (reply.code == Errc::kOk && reply.body.is_object()) {
    for (const Json& entry : reply.body.value("hosts", Json::array())) {
      addresses.push_back(entry.value("address", ""));
    }
  }
  return addresses.empty() ? caller.addresses() : addresses;
}

Json ResultJson(const CompletionResult& result) {
  Json out{{"whole", result.is_complete},
           {"text", result.text},
           {"bytes", result.text.size()},
           {"usage", result.usage},
           {"opens", result.opens},
           {"resumes", result.resumes},
           {"host", result.host},
           {"total_ms", Milliseconds(result.total).count()}};
  if (!result.text.empty()) {
    out["first_token_ms"] = Milliseconds(result.first_token).count();
  }
  return out;
}

/// Reports an incomplete answer: the error that the host sent, or else an error
/// that depends on whether any stream was opened.
void SetFailure(Report& report, const CompletionResult& result) {
  if (!result.error.is_object()) {
    const Errc code =
        result.opens == 0 ? Errc::kPeerUnreachable : Errc::kOutcomeUnknown;
    return SetError(report, code, "no host returned the complete answer");
  }
  report.code = ErrorCodeOf(Json{{"error", result.error}});
  report.json["error"] = result.error;
  report.text = result.error.value("code", "?") + ": " +
                result.error.value("message", "") + " (" +
                result.error.value("outcome", "unknown") + ")\n";
}

}  // namespace

Report Complete(Args args, std::ostream& out, std::ostream& err) {
  CompleteArguments arguments;
  arguments.command.Parse(args);
  Report report = arguments.command.NewReport();
  CompletionRequest request = arguments.Request();
  request.session.hosts = arguments.only_given_hosts.getValue()
                              ? arguments.host.addresses()
                              : FetchHostAddresses(arguments.host);
  CompletionHooks hooks;
  hooks.on_text = [&](const std::string& text) {
    if (!report.as_json) out << text << std::flush;
  };
  hooks.on_progress = [&](const std::string& message) {
    err << message << '\n';
  };
  const CompletionResult result = RunCompletion(request, hooks);
  report.json = ResultJson(result);
  if (!result.is_complete) {
    SetFailure(report, result);
    return report;
  }
  if (!report.as_json) out << '\n';
  err << "complete answer: " << result.text.size() << " bytes in "
      << Milliseconds(result.total).count() << " ms, "
      << result.usage.value("prompt_tokens", 0) << " prompt tokens, "
      << result.usage.value("completion_tokens", 0) << " output tokens, "
      << result.resumes << " resumes\n";
  return report;
}

}  // namespace comfreyflow::ctl
