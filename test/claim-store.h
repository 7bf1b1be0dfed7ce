/// In-memory fake of the platform's store for tests of the claim log. Calls are
/// applied at once; the tests add delays and losses.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>

#include "comfreyflow/claims.h"

namespace comfreyflow::testing {

class ClaimStore {
 public:
  /// Executes a store command; returns false for any other command.
  bool Apply(const ClaimCommand& command, StoreAnswered& answer) {
    return std::visit([&](const auto& typed) { return On(typed, answer); },
                      command);
  }

  std::uint64_t writes = 0;
  std::uint64_t reads = 0;
  std::uint64_t bytes = 0;  ///< Names and values, sent and received.
  std::map<std::string, StoreItem> objects;

 private:
  template <class Command>
  bool On(const Command&, StoreAnswered&) {
    return false;
  }

  bool On(const StoreGet& get, StoreAnswered& answer) {
    ++reads;
    answer = {.op = get.op, .result = StoreResult::kNotFound, .items = {}};
    const auto at = objects.find(get.name);
    bytes += get.name.size();
    if (at == objects.end()) return true;
    Add(answer, at->second);
    return true;
  }

  bool On(const StoreCreate& create, StoreAnswered& answer) {
    ++writes;
    bytes += create.name.size() + create.value.size();
    answer = {.op = create.op, .result = StoreResult::kConflict, .items = {}};
    if (objects.contains(create.name)) return true;
    Put(create.name, create.value, answer);
    return true;
  }

  bool On(const StoreUpdate& update, StoreAnswered& answer) {
    ++writes;
    bytes += update.name.size() + update.value.size();
    answer = {.op = update.op, .result = StoreResult::kConflict, .items = {}};
    const auto at = objects.find(update.name);
    if (at == objects.end() || at->second.version != update.version) {
      return true;
    }
    Put(update.name, update.value, answer);
    return true;
  }

  bool On(const StoreList& list, StoreAnswered& answer) {
    ++reads;
    answer = {.op = list.op, .result = StoreResult::kOk, .items = {}};
    for (auto at = objects.lower_bound(list.from);
         at != objects.end() && answer.items.size() < list.limit; ++at) {
      if (!at->first.starts_with(list.prefix)) break;
      Add(answer, at->second);
    }
    return true;
  }

  bool On(const StoreDelete& erase, StoreAnswered& answer) {
    ++writes;
    bytes += erase.name.size();
    answer = {.op = erase.op, .result = StoreResult::kNotFound, .items = {}};
    const auto at = objects.find(erase.name);
    if (at == objects.end()) return true;
    answer.result = StoreResult::kConflict;
    if (at->second.version != erase.version) return true;
    objects.erase(at);
    answer.result = StoreResult::kOk;
    return true;
  }

  void Add(StoreAnswered& answer, const StoreItem& item) {
    bytes += item.name.size() + item.value.size();
    answer.result = StoreResult::kOk;
    answer.items.push_back(item);
  }

  void Put(const std::string& name, const std::string& value,
           StoreAnswered& answer) {
    objects[name] = {name, ++version_, value};
    answer.result = StoreResult::kOk;
    answer.items.push_back({name, version_, {}});
  }

  std::uint64_t version_ = 0;
};

}  // namespace comfreyflow::testing
