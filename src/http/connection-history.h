/// What a connection was used for, so that an answer on it can be told from a
/// late copy of an earlier one. An id says which call an answer belongs to only
/// if the connection has carried no other call with that id.
#pragma once

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

namespace comfreyflow::http {

class ConnectionHistory {
 public:
  /// Records a call that is about to be sent. `id` is what its answer names;
  /// empty: nothing.
  void Sent(std::string_view id) {
    ++calls_;
    if (!id.empty()) ids_.push_back(XXH3_64bits(id.data(), id.size()));
  }

  /// Whether an earlier call may have had this id. An answer that names it may
  /// then be a copy of the answer to that call.
  bool HasCarried(std::string_view id) const {
    if (id.empty()) return false;
    const std::uint64_t hash = XXH3_64bits(id.data(), id.size());
    return std::find(ids_.begin(), ids_.end(), hash) != ids_.end();
  }

  std::uint32_t calls() const { return calls_; }
  /// The connection is not used any more, so that `ids_` stays short.
  bool is_full() const { return ids_.size() >= kMostIds; }

 private:
  static constexpr std::size_t kMostIds = 256;

  std::uint32_t calls_ = 0;
  /// Hashes of the ids of all calls. Invariant: no call was sent with an id
  /// that was in the list.
  std::vector<std::uint64_t> ids_;
};

}  // namespace comfreyflow::http
