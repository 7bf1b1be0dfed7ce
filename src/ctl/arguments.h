/// Arguments that several commands share.
#pragma once

#include <tclap/CmdLine.h>

#include <string>
#include <vector>

#include "ctl/report.h"

namespace comfreyflow::ctl {

/// A command's line: its switches for help and JSON.
class CommandLine {
 public:
  explicit CommandLine(const std::string& what);

  /// Reads the arguments; the first is the command's name.
  void Parse(Args& args);
  TCLAP::CmdLine& line() { return line_; }
  /// A report in the form that is asked for.
  Report NewReport() const;

 private:
  TCLAP::CmdLine line_;
  TCLAP::SwitchArg json_;
};

/// Where and with which key hosts are asked. Keys come from files only, as
/// other users can see a command line.
class HostArguments {
 public:
  /// `name` is the address argument's, such as `admin`; the key's is
  /// `NAME-key-file`.
  HostArguments(CommandLine& command, const std::string& name,
                const std::string& what);

  /// Addresses in the order given; commas separate as well.
  std::vector<std::string> addresses() const;
  /// The key file's first word. Throws `TCLAP::CmdLineParseException` when it
  /// cannot be read.
  std::string key() const;

 private:
  std::string name_;
  TCLAP::MultiArg<std::string> addresses_;
  TCLAP::ValueArg<std::string> key_file_;
};

}  // namespace comfreyflow::ctl
