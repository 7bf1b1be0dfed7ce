// Differences of two configurations, and proofs.
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
    const auto was = before.find(key);
    const auto is = after.find(key);
    if (was == before.end()) {
      out.push_back({Kind::kAdded, section, key, "", is->second});
    } else if (is == after.end()) {
      out.push_back({Kind::kRemoved, section, key, was->second, ""});
    } else if (was->second != is->second) {
      out.push_back({Kind::kChanged, section, key, was->second, is->second});
    }
  }
}

bool Everywhere(const ConfigRolloutStatus& reach) {
  return reach.generation > 0 && reach.total_hosts > 0 &&
         reach.applied_hosts == reach.total_hosts;
}

}  // namespace

std::string ToString(const ConfigDifference& difference) {
  const char* marks[] = {"+", "-", "~"};
  std::string line = marks[static_cast<std::size_t>(difference.kind)];
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
  const auto was = Sections(before);
  const auto is = Sections(after);
  auto all = was;
  all.insert(is.begin(), is.end());
  std::vector<ConfigDifference> out;
  for (const auto& [section, unused] : all) {
    if (!was.contains(section)) {
      out.push_back({Kind::kAdded, section, "", "", ""});
      CompareKeys(section, {}, is.at(section), out);
    } else if (!is.contains(section)) {
      out.push_back({Kind::kRemoved, section, "", "", ""});
    } else {
      CompareKeys(section, was.at(section), is.at(section), out);
    }
  }
  return out;
}

Errc CheckProven(const ConfigRolloutStatus& before,
                 const ConfigRolloutStatus& after) {
  const bool same =
      before.generation == after.generation && before.hash == after.hash;
  const bool proven = same && Everywhere(before) && Everywhere(after);
  return proven ? Errc::kOk : Errc::kPromoteUnproven;
}

}  // namespace comfreyflow
