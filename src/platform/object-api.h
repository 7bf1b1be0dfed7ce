/// Calls and answers of an object store independent of its wire format, and the
/// interface that a wire format implements.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "comfreyflow/store-version.h"
#include "comfreyflow/types.h"
#include "http/message.h"

namespace comfreyflow {

struct PlatformObject {
  std::string name;  ///< Empty if it could not be read.
  StoreVersion version;
  /// As its writer wrote it; may be malformed. Empty if the object could not be
  /// read.
  std::string value;
  bool deleted = false;  ///< Set only in the changes of a watch.
};

struct ReadAnswer {
  std::error_code error;
  PlatformObject object;
};

struct ListQuery {
  std::string kind;
  std::string prefix;  ///< Of the names; not supported by every store.
  std::string from;    ///< Names that sort before it are not listed.
  std::uint32_t limit = 500;
};

struct ListAnswer {
  std::error_code error;
  bool timed_out = false;  ///< No answer came in time.
  StoreVersion version;    ///< Version from which to watch.
  bool more = false;       ///< The list continues after the last item.
  std::vector<PlatformObject> items;
};

struct WatchAnswer {
  std::error_code error;
  bool timed_out = false;  ///< No answer came in time.
  StoreVersion version;    ///< Version from which to watch next.
  /// The store no longer keeps all changes since the version that was asked
  /// for; list the kind again.
  bool history_expired = false;
  std::vector<PlatformObject> changes;
};

/// The era that the head of an answer names.
struct AnswerEra {
  std::optional<std::uint64_t> era;
  bool is_unreadable = false;
};

/// A wire format of an object store. The `read_` functions for bodies parse a
/// successful answer and throw `std::exception` if it is malformed. They set
/// revisions only; the client adds the era.
struct ObjectApi {
  /// Returns a request without a body if the value can't be encoded.
  std::function<http::Request(const std::string& kind, const std::string& name,
                              const std::string& value)>
      create;
  std::function<http::Request(const std::string& kind, const std::string& name,
                              std::uint64_t version, const std::string& value)>
      update;
  /// `version` 0 removes the object at any version.
  std::function<http::Request(const std::string& kind, const std::string& name,
                              std::uint64_t version)>
      remove;
  std::function<http::Request(const std::string& kind, const std::string& name)>
      read;
  std::function<http::Request(const ListQuery& query)> list;
  std::function<http::Request(const std::string& kind, std::uint64_t since,
                              Duration timeout)>
      watch;
  /// The version in the answer to a write, successful or refused; 0 if the
  /// answer has none.
  std::function<std::uint64_t(const std::string& body)> read_version;
  std::function<void(const std::string& body, ReadAnswer& out)> read_object;
  std::function<void(const std::string& body, ListAnswer& out)> read_list;
  std::function<void(const std::string& body, WatchAnswer& out)> read_watch;
  /// The era in the head of any answer; empty if the store has no eras.
  std::function<AnswerEra(const http::Fields& fields)> read_era;
};

/// The default wire format, described in docs/PLATFORM-API.md.
ObjectApi DefaultObjectApi();

}  // namespace comfreyflow
