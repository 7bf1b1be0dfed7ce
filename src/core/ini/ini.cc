// Parses INI text into sections. Each line is given to Boost.PropertyTree on
// its own: given the whole text, the library stops at the first error and drops
// the line numbers.
#include "comfreyflow/ini.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <set>
#include <sstream>

namespace comfreyflow {
namespace {

using Tree = boost::property_tree::ptree;

// Entry added to each section line, because the library drops sections without
// keys.
constexpr char kPlaceholderLine[] = "\nprobe=1";

bool IsSectionLine(const std::string& line) {
  const auto at = line.find_first_not_of(" \t\r");
  return at != std::string::npos && line[at] == '[';
}

IniSection SectionFromTitle(const std::string& title, int line) {
  IniSection section;
  const auto space = title.find_first_of(" \t");
  section.kind = title.substr(0, space);
  section.line = line;
  if (space == std::string::npos) return section;
  const auto name = title.find_first_not_of(" \t", space);
  section.name = title.substr(name);
  return section;
}

/// Collects the sections and problems of one text.
class Parser {
 public:
  void ParseLine(const std::string& text, int line) {
    const bool opens_section = IsSectionLine(text);
    Tree tree;
    stream_.clear();
    stream_.str(opens_section ? text + kPlaceholderLine : text);
    try {
      boost::property_tree::read_ini(stream_, tree);
    } catch (const boost::property_tree::ini_parser_error& error) {
      Report(line, ProblemKind::kSyntax, "", error.message());
      return;
    }
    if (tree.empty()) return;
    const auto& [title, content] = tree.front();
    if (opens_section) {
      OpenSection(title, line);
    } else {
      AddEntry(title, content.data(), line);
    }
  }

  IniDocument Result() { return std::move(document_); }

 private:
  void OpenSection(const std::string& title, int line) {
    document_.sections.push_back(SectionFromTitle(title, line));
    section_keys_.clear();
    if (document_.sections.back().kind.empty()) {
      Report(line, ProblemKind::kSyntax, "", "section title is empty");
    }
    const IniSection& section = document_.sections.back();
    if (section_titles_.insert({section.kind, section.name}).second) return;
    Report(line, ProblemKind::kDuplicateSection, "", "duplicate section");
  }

  void AddEntry(const std::string& key, const std::string& value, int line) {
    if (document_.sections.empty()) {
      Report(line, ProblemKind::kSyntax, key, "key before the first section");
      return;
    }
    if (!section_keys_.insert(key).second) {
      Report(line, ProblemKind::kDuplicateKey, key,
             "duplicate key in this section");
      return;
    }
    document_.sections.back().entries.push_back({key, value, line});
  }

  void Report(int line, ProblemKind kind, std::string key, std::string detail) {
    std::string section;
    if (!document_.sections.empty()) {
      const IniSection& last = document_.sections.back();
      section = last.name.empty() ? last.kind : last.kind + " " + last.name;
    }
    document_.problems.push_back(
        {line, kind, std::move(section), std::move(key), std::move(detail)});
  }

  // Reused for every line, as constructing a stream with its locale is costly.
  std::istringstream stream_;
  IniDocument document_;
  std::set<std::pair<std::string, std::string>> section_titles_;
  std::set<std::string> section_keys_;  // Keys of the current section.
};

}  // namespace

const char* ToString(ProblemKind kind) {
  switch (kind) {
    case ProblemKind::kSyntax:
      return "syntax";
    case ProblemKind::kDuplicateSection:
      return "duplicate_section";
    case ProblemKind::kDuplicateKey:
      return "duplicate_key";
    case ProblemKind::kUnknownSection:
      return "unknown_section";
    case ProblemKind::kUnknownKey:
      return "unknown_key";
    case ProblemKind::kMissingSection:
      return "missing_section";
    case ProblemKind::kMissingKey:
      return "missing_key";
    case ProblemKind::kBadValue:
      return "bad_value";
    case ProblemKind::kUnknownReference:
      return "unknown_reference";
    case ProblemKind::kConflictingValue:
      return "conflicting_value";
    case ProblemKind::kTooLarge:
      return "too_large";
  }
  return "syntax";
}

std::string ToString(const Problem& problem) {
  std::string text = "line " + std::to_string(problem.line) + ": ";
  text += ToString(problem.kind);
  if (!problem.section.empty()) text += ": [" + problem.section + "]";
  if (!problem.key.empty()) text += " " + problem.key;
  return text + ": " + problem.detail;
}

IniDocument ParseIni(std::string_view text) {
  Parser parser;
  std::istringstream lines{std::string(text)};
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    parser.ParseLine(line, number);
  }
  return parser.Result();
}

}  // namespace comfreyflow
