/// Responses to callers: error bodies, complete answers and stream events.
#pragma once

#include <string>
#include <string_view>

#include "comfreyflow/entry.h"
#include "comfreyflow/errors.h"
#include "http/server.h"
#include "node/call.h"

namespace comfreyflow::node {

/// The content of an error response.
struct Failure {
  Errc code = Errc::kInternal;
  Outcome outcome = Outcome::kUnknown;
  Duration retry_after{};
  std::string field;  ///< The invalid field of a malformed request.
};

/// The failure with the outcome and retry advice that the error table gives
/// for `code`.
Failure FailureOf(Errc code);
/// The error response in the format of docs/ERRORS.md.
http::Response ErrorResponse(const Failure& failure);

/// Sends the next text of the answer to the caller, or buffers it if the answer
/// is not streamed.
void SendText(Call& call, std::string_view text, Time now);
/// Keeps a stream alive while no text arrives; starts the stream if necessary.
void SendHeartbeat(Call& call, Time now);
/// Ends the answer: as complete if the code is `kOk`, otherwise as a failure.
void SendEnd(Call& call, const Finish& finish);

}  // namespace comfreyflow::node
