// Command-line arguments that several commands share.
#include "ctl/arguments.h"

#include <sstream>

namespace comfreyflow::ctl {

CommandLine::CommandLine(const std::string& description)
    : line_(description, ' ', kVersion),
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
                             const std::string& description)
    : name_(name),
      addresses_("", name, description + ", ip:port; tried in the order given",
                 true, "ADDRESS", command.line()),
      key_file_("", name + "-key-file", "File with the key", false, "", "FILE",
                command.line()) {}

std::vector<std::string> HostArguments::addresses() const {
  std::vector<std::string> addresses;
  for (const std::string& argument : addresses_.getValue()) {
    std::istringstream parts(argument);
    for (std::string part; std::getline(parts, part, ',');)
      addresses.push_back(part);
  }
  return addresses;
}

std::string HostArguments::key() const {
  if (!key_file_.isSet()) return "";
  std::string content;
  std::string key;
  if (ReadFile(key_file_.getValue(), content))
    std::istringstream(content) >> key;
  if (key.empty()) {
    throw TCLAP::CmdLineParseException(
        "cannot read a key from " + key_file_.getValue(), name_ + "-key-file");
  }
  return key;
}

}  // namespace comfreyflow::ctl
