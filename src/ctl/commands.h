/// The commands of comfreyflowctl. Each reads its own arguments; one that is
/// wrong ends in a `TCLAP::ArgException`.
#pragma once

#include "ctl/report.h"

namespace comfreyflow::ctl {

// Configuration (config-commands.cc).
Report Check(Args args, std::ostream& err);
Report Diff(Args args, std::ostream& err);
Report Apply(Args args, std::ostream& err);
Report Promote(Args args, std::ostream& err);

// Hosts (host-commands.cc).
Report Status(Args args, std::ostream& err);
Report Dump(Args args, std::ostream& err);
Report Drain(Args args, std::ostream& err);
Report Addresses(Args args, std::ostream& err);
Report Errors(Args args, std::ostream& err);
Report Events(Args args, std::ostream& err);

/// Prints the answer's text to `out` while it comes (complete.cc).
Report Complete(Args args, std::ostream& out, std::ostream& err);

/// Reads logs only (explain.cc).
Report Explain(Args args, std::ostream& err);

/// The table of docs/ERRORS.md.
std::string ErrorsMarkdown();

}  // namespace comfreyflow::ctl
