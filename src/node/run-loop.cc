// Event loops that outlive the exceptions of their handlers.
#include "node/run-loop.h"

#include <exception>

#include "node/log.h"

namespace comfreyflow::node {

void RunLoop(boost::asio::io_context& io) {
  for (;;) {
    try {
      io.run();
      return;
    } catch (const std::exception& error) {
      LogLine(Severity::kError, Event::kHandlerFailed)
          .With("reason", error.what());
    }
  }
}

}  // namespace comfreyflow::node
