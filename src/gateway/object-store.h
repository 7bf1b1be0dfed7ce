/// The store of objects that outlives the hosts, as the gateway uses it.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "platform/client.h"

namespace comfreyflow::gateway {

using ListHandler = std::function<void(ListAnswer)>;
using WatchHandler = std::function<void(WatchAnswer)>;
using WriteHandler = std::function<void(std::error_code error)>;

/// Each handler is called once.
struct ObjectStore {
  /// The whole kind.
  std::function<void(const std::string& kind, ListHandler)> list;
  /// Changes behind a version, or none after `wait`.
  std::function<void(const std::string& kind, std::uint64_t version,
                     Duration wait, WatchHandler)>
      watch;
  /// `kVersionConflict` if the object is there already. A write whose answer
  /// was lost is settled by reading the object.
  std::function<void(const std::string& kind, const std::string& name,
                     const std::string& value, WriteHandler)>
      create;
  std::function<void(const std::string& kind, const std::string& name,
                     WriteHandler)>
      remove;
};

ObjectStore MakeObjectStore(const std::shared_ptr<PlatformClient>& client);

}  // namespace comfreyflow::gateway
