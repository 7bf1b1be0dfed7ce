/// The platform's object store, reduced to the operations that the gateway
/// uses. Its objects outlive the hosts.
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

/// Operations on the store. Each handler is called exactly once.
struct ObjectStore {
  /// Lists all objects of the kind.
  std::function<void(const std::string& kind, ListHandler)> list;
  /// Reports the changes after `version`, or none if `wait` passes without a
  /// change.
  std::function<void(const std::string& kind, const StoreVersion& version,
                     Duration wait, WatchHandler)>
      watch;
  /// Creates an object; fails with `kVersionConflict` if it exists. If the
  /// answer to the write is lost, the object is read to find out whether it was
  /// written.
  std::function<void(const std::string& kind, const std::string& name,
                     const std::string& value, WriteHandler)>
      create;
  std::function<void(const std::string& kind, const std::string& name,
                     WriteHandler)>
      remove;
};

ObjectStore MakeObjectStore(const std::shared_ptr<PlatformClient>& client);

}  // namespace comfreyflow::gateway
