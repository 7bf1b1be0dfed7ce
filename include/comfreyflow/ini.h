/// A parser for INI text that records line numbers, and a reader of typed
/// values that reports all problems instead of stopping at the first.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow {

/// Kinds of problem in an INI text or in the document that it contains.
enum class ProblemKind : std::uint8_t {
  kSyntax,
  kDuplicateSection,
  kDuplicateKey,
  kUnknownSection,
  kUnknownKey,
  kMissingSection,
  kMissingKey,
  kBadValue,
  kUnknownReference,
  kConflictingValue,
  kTooLarge,
};

/// One problem. Lines are counted from 1; line 0 stands for the complete text.
struct Problem {
  int line = 0;
  ProblemKind kind = ProblemKind::kSyntax;
  std::string section;
  std::string key;
  std::string detail;
  bool operator==(const Problem&) const = default;
};

const char* ToString(ProblemKind kind);
/// One readable line, such as `line 12: bad_value: [account a] weight: ...`.
std::string ToString(const Problem& problem);

struct IniEntry {
  std::string key;
  std::string value;
  int line = 0;
};

/// A section titled `[KIND NAME]`, or `[KIND]` with an empty `name`.
struct IniSection {
  std::string kind;
  std::string name;
  int line = 0;
  std::vector<IniEntry> entries;
};

/// A parsed text, with its sections in the order of the text.
struct IniDocument {
  std::vector<IniSection> sections;
  std::vector<Problem> problems;
};

/// Parses line by line, so that one invalid line does not hide problems in the
/// others.
IniDocument ParseIni(std::string_view text);

/// Reads the values of one section and appends what is wrong with them to
/// `problems`. Both the section and `problems` must outlive the reader. Every
/// read marks its key as known; `Finish` reports the others.
class SectionReader {
 public:
  SectionReader(const IniSection& section, std::vector<Problem>& problems);

  bool Has(std::string_view key) const;
  /// The value of a key that must be present and not empty.
  std::string Required(std::string_view key);
  std::string Text(std::string_view key, const std::string& fallback);
  /// A comma-separated list of trimmed items. Empty and repeated items are
  /// reported.
  std::vector<std::string> List(std::string_view key);
  std::uint64_t Number(std::string_view key, std::uint64_t fallback,
                       std::uint64_t minimum, std::uint64_t maximum);
  /// A Boolean value, written `yes` or `no`.
  bool Flag(std::string_view key, bool fallback);
  /// An integer with the unit `ms`, `s`, `m` or `h`.
  Duration DurationValue(std::string_view key, Duration fallback,
                         Duration minimum, Duration maximum);
  /// `ip:port` with a numeric IP address, see `IsAddress`.
  std::string Address(std::string_view key, bool required);

  /// The value that `choices` assigns to the text of the key.
  template <class T>
  T Choice(std::string_view key, T fallback,
           std::initializer_list<std::pair<const char*, T>> choices) {
    const IniEntry* entry = Consume(key);
    if (entry == nullptr) return fallback;
    std::string names;
    for (const auto& [name, value] : choices) {
      if (entry->value == name) return value;
      names += names.empty() ? name : std::string(", ") + name;
    }
    Report(*entry, "expected one of " + names);
    return fallback;
  }

  /// Reports a problem with a key, at the key's line.
  void Report(std::string_view key, ProblemKind kind, std::string detail);
  /// Reports the keys of the section that were never read as unknown. Call it
  /// after all reads.
  void Finish();
  /// Line of the key, or of the section title if the key is not there.
  int line(std::string_view key) const;

 private:
  const IniEntry* Find(std::string_view key) const;
  /// Finds the entry and marks the key as read.
  const IniEntry* Consume(std::string_view key);
  void Report(const IniEntry& entry, std::string detail);

  const IniSection& section_;
  std::vector<Problem>& problems_;
  std::set<std::string, std::less<>> consumed_;  // Keys that were read.
};

/// Whether `text` is `ip:port` with a numeric IP address (IPv4, or IPv6 in
/// brackets) and a port from 1 to 65535.
bool IsAddress(std::string_view text);

}  // namespace comfreyflow
