/// What callers are sent: bodies of errors, answers and the events of streams.
#pragma once

#include <string>
#include <string_view>

#include "comfreyflow/entry.h"
#include "comfreyflow/errors.h"
#include "http/server.h"
#include "node/call.h"

namespace comfreyflow::node {

/// What a caller is told of a failure.
struct Failure {
  Errc code = Errc::kInternal;
  Outcome outcome = Outcome::kUnknown;
  Duration retry_after{};
  std::string field;  ///< The faulty field, for bad input.
};

/// The failure with the outcome and the advice of the table.
Failure FailureOf(Errc code);
/// The body of an error answer as docs/ERRORS.md has it.
http::Response ErrorResponse(const Failure& failure);

/// Gives the next text of the answer to the caller, or keeps it.
void SendText(Call& call, std::string_view text, Time now);
/// Starts a stream whose first text is late, or says that it is alive.
void SendHeartbeat(Call& call, Time now);
/// Ends the answer: whole when the code is `kOk`, else as a failure.
void SendEnd(Call& call, const Finish& finish);

}  // namespace comfreyflow::node
