// The command that sends a prompt and prints its answer.
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
constexpr std::uint64_t kBytesPerToken = 4;

class CompleteArguments {
 public:
  std::string Prompt() const {
    std::string text = prompt.getValue();
    if (prompt_file.isSet() && !ReadFile(prompt_file.getValue(), text)) {
      throw TCLAP::CmdLineParseException(
          "cannot read " + prompt_file.getValue(), "prompt-file");
    }
    return prompt_tokens.isSet() ? Synthetic() : text;
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

  CompletionOrder Order() const {
    CompletionOrder order;
    order.path = chat.getValue() ? "/v1/chat/completions" : "/v1/completions";
    order.body = Body();
    order.deadline = std::chrono::milliseconds(deadline_ms.getValue());
    const std::string key = host.key();
    if (!key.empty()) order.fields = {{"authorization", "Bearer " + key}};
    if (service.isSet()) {
      order.fields.push_back({"x-service", service.getValue()});
    }
    if (idempotency_key.isSet()) {
      order.fields.push_back({"idempotency-key", idempotency_key.getValue()});
    }
    if (not_repeatable.getValue()) {
      order.fields.push_back({"x-repeatable", "false"});
    }
    order.session.may_resend =
        !not_repeatable.getValue() || idempotency_key.isSet();
    return order;
  }

  CommandLine command{"Sends a prompt and prints the answer as it comes"};
  HostArguments host{command, "host", "A host's address for callers"};
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
      "Make up a prompt of about this many tokens",
      false,
      0,
      "N",
      command.line()};
  TCLAP::ValueArg<std::uint64_t> seed{
      "", "seed", "Of a prompt that is made up", false, 1, "N", command.line()};
  TCLAP::ValueArg<std::uint32_t> max_tokens{
      "",  "max-tokens",  "Longest answer", false, kDefaultMaxTokens,
      "N", command.line()};
  TCLAP::ValueArg<std::uint64_t> deadline_ms{"",
                                             "deadline-ms",
                                             "Time for the whole answer",
                                             false,
                                             kDefaultDeadlineMs,
                                             "MS",
                                             command.line()};
  TCLAP::ValueArg<std::string> idempotency_key{
      "",
      "idempotency-key",
      "Names the request when it is sent again",
      false,
      "",
      "KEY",
      command.line()};
  TCLAP::SwitchArg not_repeatable{"", "not-repeatable", "Run it at most once",
                                  command.line()};
  TCLAP::SwitchArg chat{"", "chat", "Send it as a chat message",
                        command.line()};
  TCLAP::SwitchArg only_given{"", "only-given-hosts",
                              "Do not ask a host which addresses to use",
                              command.line()};

 private:
  std::string Synthetic() const {
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

/// The addresses to use, as a host says; those given when none answers.
std::vector<std::string> HostsToUse(const HostArguments& host) {
  const HostCaller caller(host.addresses(), "");
  std::vector<std::string> out;
  const HostReply reply = caller.Get("/v1/addresses");
  if (reply.code == Errc::kOk && reply.body.is_object()) {
    for (const Json& entry : reply.body.value("hosts", Json::array())) {
      out.push_back(entry.value("address", ""));
    }
  }
  return out.empty() ? caller.addresses() : out;
}

Json ResultJson(const CompletionResult& result) {
  Json out{{"whole", result.whole},
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

/// What the caller is told when the answer is not whole.
void SetFailure(Report& report, const CompletionResult& result) {
  if (!result.error.is_object()) {
    const Errc code =
        result.opens == 0 ? Errc::kPeerUnreachable : Errc::kOutcomeUnknown;
    return SetError(report, code, "no host gave the whole answer");
  }
  report.code = CodeIn(Json{{"error", result.error}});
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
  CompletionOrder order = arguments.Order();
  order.session.hosts = arguments.only_given.getValue()
                            ? arguments.host.addresses()
                            : HostsToUse(arguments.host);
  CompletionHooks hooks;
  hooks.on_text = [&](const std::string& text) {
    if (!report.as_json) out << text << std::flush;
  };
  hooks.on_progress = [&](const std::string& line) { err << line << '\n'; };
  const CompletionResult result = RunCompletion(order, hooks);
  report.json = ResultJson(result);
  if (!result.whole) {
    SetFailure(report, result);
    return report;
  }
  if (!report.as_json) out << '\n';
  err << "whole answer of " << result.text.size() << " bytes in "
      << Milliseconds(result.total).count() << " ms, "
      << result.usage.value("prompt_tokens", 0) << " prompt tokens, "
      << result.usage.value("completion_tokens", 0) << " output tokens, "
      << result.resumes << " resumes\n";
  return report;
}

}  // namespace comfreyflow::ctl
