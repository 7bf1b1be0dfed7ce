// Arguments that several commands share.
#include "ctl/arguments.h"

#include <sstream>

namespace comfreyflow::ctl {

CommandLine::CommandLine(const std::string& what)
    : line_(what, ' ', kVersion),
      json_("", "json", "Print one JSON object", line_) {
  line_.setExceptionHandling(false);
}

void CommandLine::Parse(Args& args) {
  args.front() = "comfreyflowctl " + args.front();
  line_.parse(args);
}

Report CommandLine::NewReport() const {
  Report report;
  report.as_json = json_.getValue();
  return report;
}

HostArguments::HostArguments(CommandLine& command, const std::string& name,
                             const std::string& what)
    : name_(name),
      addresses_("", name, what + ", ip:port; tried in turn", true, "ADDRESS",
                 command.line()),
      key_file_("", name + "-key-file", "File with the key", false, "", "FILE",
                command.line()) {}

std::vector<std::string> HostArguments::addresses() const {
  std::vector<std::string> out;
  for (const std::string& given : addresses_.getValue()) {
    std::istringstream parts(given);
    for (std::string part; std::getline(parts, part, ',');) out.push_back(part);
  }
  return out;
}

std::string HostArguments::key() const {
  if (!key_file_.isSet()) return "";
  std::string text;
  std::string key;
  if (ReadFile(key_file_.getValue(), text)) std::istringstream(text) >> key;
  if (key.empty()) {
    throw TCLAP::CmdLineParseException("no key in " + key_file_.getValue(),
                                       name_ + "-key-file");
  }
  return key;
}

}  // namespace comfreyflow::ctl
