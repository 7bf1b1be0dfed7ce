/// Reads what targets say of themselves: load, attempts and cache events.
#pragma once

#include <functional>
#include <string>

#include "comfreyflow/orders.h"
#include "comfreyflow/target.h"
#include "http/client.h"
#include "node/messages.h"

namespace comfreyflow::node {

/// Reads `GET /v1/load`; `done` gets null when the target gave no answer.
void ReadLoad(http::Client& client, const TargetInfo& target,
              std::function<void(const TargetReport*)> done);
/// Reads from `GET /v1/load` what the target has loaded.
void ReadLoaded(http::Client& client, const TargetInfo& target,
                std::function<void(const ObservedTarget*)> done);
/// Reads `GET /v1/attempts`.
void ReadAttempts(http::Client& client, const TargetInfo& target,
                  std::function<void(const AttemptsListed*)> done);
/// Reads `GET /v1/cache/events`, or the whole list when `since` is null.
void ReadCache(http::Client& client, const TargetInfo& target,
               const std::uint64_t* since,
               std::function<void(const PrefixReported*)> done);
/// Sends one cancel; nothing is told.
void SendCancel(http::Client& client, const TargetInfo& target,
                const AttemptId& attempt);

}  // namespace comfreyflow::node
