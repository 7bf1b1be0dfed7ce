/// Command-line arguments that several commands share.
#pragma once

#include <tclap/CmdLine.h>

#include <string>
#include <vector>

#include "ctl/report.h"

namespace comfreyflow::ctl {

/// The command-line parser of one command, with the switches that every command
/// has: `--help`, `--version` and `--json`.
class CommandLine {
 public:
  explicit CommandLine(const std::string& description);

  /// Parses the arguments; the first is the command's name. Throws
  /// `TCLAP::ArgException` for an invalid argument.
  void Parse(Args& args);
  TCLAP::CmdLine& line() { return line_; }
  /// Returns an empty report in the output format that the arguments select.
  Report NewReport() const;

 private:
  TCLAP::CmdLine line_;
  TCLAP::SwitchArg json_;
};

/// The addresses of hosts and the API key to call them with. Keys are read from
/// files only, because other users of the machine can see a command line.
class HostArguments {
 public:
  /// `name` is the name of the address argument, such as `admin`; the argument
  /// for the key file is then `NAME-key-file`.
  HostArguments(CommandLine& command, const std::string& name,
                const std::string& description);

  /// Returns the addresses in the order given. The argument may be repeated,
  /// and each value may hold several addresses separated by commas.
  std::vector<std::string> addresses() const;
  /// Returns the first word of the key file, or an empty string if the argument
  /// is not set. Throws `TCLAP::CmdLineParseException` if the file cannot be
  /// read or holds no word.
  std::string key() const;

 private:
  std::string name_;
  TCLAP::MultiArg<std::string> addresses_;
  TCLAP::ValueArg<std::string> key_file_;
};

}  // namespace comfreyflow::ctl
