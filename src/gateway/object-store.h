/// The store of objects that outlives the hosts, as the gateway uses it. The
/// names of kinds and the form of values are the implementer's business.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow::gateway {

struct StoredObject {
  std::string name;
  std::uint64_t revision = 0;
  std::string value;     ///< As its writer left it; may be unreadable.
  bool removed = false;  ///< Only in changes.
};

struct ObjectList {
  std::error_code error;
  std::uint64_t revision = 0;  ///< Watch on from here.
  std::vector<StoredObject> objects;
};

struct ObjectChanges {
  std::error_code error;
  bool forgotten = false;  ///< Changes are missing: list anew.
  std::uint64_t revision = 0;
  std::vector<StoredObject> changes;
};

using ListHandler = std::function<void(ObjectList)>;
using ChangesHandler = std::function<void(ObjectChanges)>;
/// `error` is empty when the change was made.
using WriteHandler = std::function<void(std::error_code error)>;

/// Each handler is called once, on the I/O thread.
struct ObjectStore {
  std::function<void(const std::string& kind, ListHandler)> list;
  /// Changes behind a revision, or none after `wait`.
  std::function<void(const std::string& kind, std::uint64_t revision,
                     Duration wait, ChangesHandler)>
      watch;
  std::function<void(const std::string& kind, const std::string& name,
                     const std::string& value, WriteHandler)>
      create;
  std::function<void(const std::string& kind, const std::string& name,
                     WriteHandler)>
      remove;
};

}  // namespace comfreyflow::gateway
