/// The commands of comfreyflowctl. Each parses its own arguments and throws
/// `TCLAP::ArgException` if one of them is invalid.
#pragma once

#include "ctl/report.h"

namespace comfreyflow::ctl {

// Commands for the configuration (config-commands.cc).
Report Check(Args args, std::ostream& err);
Report Diff(Args args, std::ostream& err);
Report Apply(Args args, std::ostream& err);
Report Promote(Args args, std::ostream& err);

// Commands for hosts, and the tables of errors and log events
// (host-commands.cc).
Report Status(Args args, std::ostream& err);
Report Dump(Args args, std::ostream& err);
Report Drain(Args args, std::ostream& err);
Report Addresses(Args args, std::ostream& err);
Report Errors(Args args, std::ostream& err);
Report Events(Args args, std::ostream& err);

/// Sends a prompt and prints the text of the answer to `out` as it arrives
/// (complete.cc).
Report Complete(Args args, std::ostream& out, std::ostream& err);

/// Explains the end of a request from log files; calls no host (explain.cc).
Report Explain(Args args, std::ostream& err);

/// Returns the table of error codes in docs/ERRORS.md.
std::string ErrorsMarkdown();

}  // namespace comfreyflow::ctl
