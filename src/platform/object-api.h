/// What a store of objects is asked for and answers, whatever its wire form,
/// and the seam behind which a wire form stands.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

#include "comfreyflow/types.h"
#include "http/message.h"

namespace comfreyflow {

struct PlatformObject {
  std::string name;
  std::uint64_t version = 0;
  std::string value;     ///< As its writer left it; may be unreadable.
  bool deleted = false;  ///< Only in changes told by a watch.
};

struct ReadAnswer {
  std::error_code error;
  PlatformObject object;
};

struct ListQuery {
  std::string kind;
  std::string prefix;  ///< Of the names; not every store takes it.
  std::string from;    ///< Names before it are not listed.
  std::uint32_t limit = 500;
};

struct ListAnswer {
  std::error_code error;
  bool timed_out = false;     ///< The call ended as nothing came in time.
  std::uint64_t version = 0;  ///< Watch on from here.
  bool more = false;          ///< Other objects follow the last one.
  std::vector<PlatformObject> items;
};

struct WatchAnswer {
  std::error_code error;
  bool timed_out = false;        ///< The call ended as nothing came in time.
  std::uint64_t version = 0;     ///< Watch on from here.
  bool history_expired = false;  ///< Changes are missing: list the kind anew.
  std::vector<PlatformObject> changes;
};

/// A wire form of a store. Readers take the body of a success and throw
/// `std::exception` when it has another shape.
struct ObjectApi {
  /// A request without body where the value can't be written.
  std::function<http::Request(const std::string& kind, const std::string& name,
                              const std::string& value)>
      create;
  std::function<http::Request(const std::string& kind, const std::string& name,
                              std::uint64_t version, const std::string& value)>
      update;
  /// `version` 0: whatever it is.
  std::function<http::Request(const std::string& kind, const std::string& name,
                              std::uint64_t version)>
      remove;
  std::function<http::Request(const std::string& kind, const std::string& name)>
      read;
  std::function<http::Request(const ListQuery& query)> list;
  std::function<http::Request(const std::string& kind, std::uint64_t since,
                              Duration timeout)>
      watch;
  /// Version in the answer to a write, also to a refused one; 0: not told.
  std::function<std::uint64_t(const std::string& body)> read_version;
  std::function<void(const std::string& body, ReadAnswer& out)> read_object;
  std::function<void(const std::string& body, ListAnswer& out)> read_list;
  std::function<void(const std::string& body, WatchAnswer& out)> read_watch;
};

/// The product's own form (docs/PLATFORM-API.md).
ObjectApi OwnObjectApi();

}  // namespace comfreyflow
