// Compares configurations and checks whether a document is proven.
#include "comfreyflow/config-change.h"

#include <map>

namespace comfreyflow {
namespace {

using Kind = ConfigDifference::Kind;
using Keys = std::map<std::string, std::string>;

std::map<std::string, Keys> Sections(const Config& config) {
  std::map<std::string, Keys> out;
  for (const IniSection& section : ParseIni(ToText(config)).sections) {
    const std::string name =
        section.name.empty() ? section.kind : section.kind + ' ' + section.name;
    Keys& keys = out[name];
    for (const IniEntry& entry : section.entries) keys[entry.key] = entry.value;
  }
  return out;
}

void CompareKeys(const std::string& section, const Keys& before,
                 const Keys& after, std::vector<ConfigDifference>& out) {
  Keys all = before;
  all.insert(after.begin(), after.end());
  for (const auto& [key, unused] : all) {
    const auto old_entry = before.find(key);
    const auto new_entry = after.find(key);
    if (old_entry == before.end()) {
      out.push_back({Kind::kAdded, section, key, "", new_entry->second});
    } else if (new_entry == after.end()) {
      out.push_back({Kind::kRemoved, section, key, old_entry->second, ""});
    } else if (old_entry->second != new_entry->second) {
      out.push_back(
          {Kind::kChanged, section, key, old_entry->second, new_entry->second});
    }
  }
}

bool InForceEverywhere(const ConfigRolloutStatus& status) {
  return status.generation > 0 && status.total_hosts > 0 &&
         status.applied_hosts == status.total_hosts;
}

}  // namespace

std::string ToString(const ConfigDifference& difference) {
  const char* prefixes[] = {"+", "-", "~"};
  std::string line = prefixes[static_cast<std::size_t>(difference.kind)];
  line += " [" + difference.section + "]";
  if (difference.key.empty()) return line;
  line += " " + difference.key + ": ";
  if (difference.kind != Kind::kAdded) line += difference.before;
  if (difference.kind == Kind::kChanged) line += " -> ";
  if (difference.kind != Kind::kRemoved) line += difference.after;
  return line;
}

std::vector<ConfigDifference> Differences(const Config& before,
                                          const Config& after) {
  const auto old_sections = Sections(before);
  const auto new_sections = Sections(after);
  auto all = old_sections;
  all.insert(new_sections.begin(), new_sections.end());
  std::vector<ConfigDifference> out;
  for (const auto& [section, unused] : all) {
    if (!old_sections.contains(section)) {
      out.push_back({Kind::kAdded, section, "", "", ""});
      CompareKeys(section, {}, new_sections.at(section), out);
    } else if (!new_sections.contains(section)) {
      out.push_back({Kind::kRemoved, section, "", "", ""});
    } else {
      CompareKeys(section, old_sections.at(section), new_sections.at(section),
                  out);
    }
  }
  return out;
}

Errc CheckProven(const ConfigRolloutStatus& before,
                 const ConfigRolloutStatus& after) {
  const bool same =
      before.generation == after.generation && before.hash == after.hash;
  const bool proven =
      same && InForceEverywhere(before) && InForceEverywhere(after);
  return proven ? Errc::kOk : Errc::kPromoteUnproven;
}

}  // namespace comfreyflow
