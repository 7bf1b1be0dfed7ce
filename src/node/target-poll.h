/// Reads the state that targets report (load, running attempts and cache
/// events), and sends cancellations.
#pragma once

#include <functional>
#include <string>

#include "comfreyflow/orders.h"
#include "comfreyflow/target.h"
#include "http/client.h"
#include "node/messages.h"

namespace comfreyflow::node {

/// Reads `GET /v1/load`. Here and below, `done` receives null if the target
/// does not answer with a JSON object.
void ReadLoad(http::Client& client, const TargetInfo& target,
              std::function<void(const TargetReport*)> done);
/// Reads the loaded models and adapters from `GET /v1/load`.
void ReadLoadedModels(http::Client& client, const TargetInfo& target,
                      std::function<void(const ObservedTarget*)> done);
/// Reads the running attempts from `GET /v1/attempts`.
void ReadAttempts(http::Client& client, const TargetInfo& target,
                  std::function<void(const AttemptsListed*)> done);
/// Reads the events after `since` from `GET /v1/cache/events`, or the complete
/// list of cached blocks from `GET /v1/cache` if `since` is null.
void ReadCache(http::Client& client, const TargetInfo& target,
               const std::uint64_t* since,
               std::function<void(const PrefixReported*)> done);
/// Sends one cancellation and ignores its result.
void SendCancel(http::Client& client, const TargetInfo& target,
                const AttemptId& attempt);

}  // namespace comfreyflow::node
