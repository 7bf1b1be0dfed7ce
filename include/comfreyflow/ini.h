/// INI text as sections, keys and values that remember their lines, and a
/// reader of typed values that reports every fault and not only the first.
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

/// Kinds of fault in an INI text or in the document it holds.
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

/// One fault. `line` is 1 for the first line, 0 for the text as a whole.
struct Problem {
  int line = 0;
  ProblemKind kind = ProblemKind::kSyntax;
  std::string section;
  std::string key;
  std::string detail;
  bool operator==(const Problem&) const = default;
};

const char* ToString(ProblemKind kind);
/// One line for people: `line 12: bad_value: [account a] weight: ...`.
std::string ToString(const Problem& problem);

struct IniEntry {
  std::string key;
  std::string value;
  int line = 0;
};

/// `[KIND NAME]`; `name` is empty for `[KIND]`.
struct IniSection {
  std::string kind;
  std::string name;
  int line = 0;
  std::vector<IniEntry> entries;
};

/// A parsed text. The sections keep the order of the text.
struct IniDocument {
  std::vector<IniSection> sections;
  std::vector<Problem> problems;
};

/// Parses line by line, so that one bad line hides no other.
IniDocument ParseIni(std::string_view text);

/// Reads the values of one section and appends faults to `problems`, which
/// has to outlive the reader.
class SectionReader {
 public:
  SectionReader(const IniSection& section, std::vector<Problem>& problems);

  bool Has(std::string_view key) const;
  /// A key that has to be there and not be empty.
  std::string Required(std::string_view key);
  std::string Text(std::string_view key, const std::string& fallback);
  /// Comma-separated, trimmed, without empty or repeated items.
  std::vector<std::string> List(std::string_view key);
  std::uint64_t Number(std::string_view key, std::uint64_t fallback,
                       std::uint64_t least, std::uint64_t most);
  /// `yes` or `no`.
  bool Flag(std::string_view key, bool fallback);
  /// A whole number with the unit `ms`, `s`, `m` or `h`.
  Duration Span(std::string_view key, Duration fallback, Duration least,
                Duration most);
  /// `ip:port` by numbers.
  std::string Address(std::string_view key, bool required);

  template <class T>
  T Choice(std::string_view key, T fallback,
           std::initializer_list<std::pair<const char*, T>> choices) {
    const IniEntry* entry = Take(key);
    if (entry == nullptr) return fallback;
    std::string names;
    for (const auto& [name, value] : choices) {
      if (entry->value == name) return value;
      names += names.empty() ? name : std::string(", ") + name;
    }
    Report(*entry, "not one of " + names);
    return fallback;
  }

  /// Reports a bad value of a key that was read.
  void Report(std::string_view key, ProblemKind kind, std::string detail);
  /// Reports the keys that nothing asked for.
  void Finish();
  int line(std::string_view key) const;

 private:
  const IniEntry* Find(std::string_view key) const;
  const IniEntry* Take(std::string_view key);
  void Report(const IniEntry& entry, std::string detail);

  const IniSection& section_;
  std::vector<Problem>& problems_;
  std::set<std::string, std::less<>> taken_;
};

/// Whether `text` is `ip:port` by numbers (IPv4, or IPv6 in brackets).
bool IsAddress(std::string_view text);

}  // namespace comfreyflow
