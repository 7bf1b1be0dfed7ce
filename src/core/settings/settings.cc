// Parses and validates the settings of a host process.
#include "comfreyflow/settings.h"

#include <algorithm>
#include <array>
#include <cctype>

#include "comfreyflow/config.h"

namespace comfreyflow {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kKilobyte = 1024;
constexpr std::uint64_t kGigabyte = 1024 * 1024 * kKilobyte;
constexpr std::array kSections = {"host",     "listen", "tls",
                                  "platform", "admin",  "limits"};
constexpr std::array kRequiredSections = {"host", "listen", "platform",
                                          "admin"};
constexpr std::size_t kMaxNameBytes = 63;

/// Whether the text is a valid name. The characters are limited because names
/// are sent in attempt identifiers and headers.
bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

std::string ReadName(SectionReader& reader, const char* key) {
  std::string name = reader.Required(key);
  if (!name.empty() && !IsName(name)) {
    reader.Report(key, ProblemKind::kBadValue,
                  "expected up to 63 letters, digits, '-', '_' or '.'");
  }
  return name;
}

void ReadHost(SectionReader& reader, HostSettings& out) {
  out.name.value = ReadName(reader, "name");
  out.failure_domain.value = ReadName(reader, "failure_domain");
  out.environment = ReadName(reader, "environment");
  out.require_proof = reader.Flag("require_proof", false);
  out.fleet_key_file = reader.Required("fleet_key_file");
  out.io_threads = static_cast<std::uint32_t>(
      reader.Number("io_threads", out.io_threads, 1, 64));
}

void ReadListen(SectionReader& reader, HostSettings& out) {
  out.callers = reader.Address("callers", true);
  out.peers = reader.Address("peers", true);
  out.gossip = reader.Address("gossip", true);
  out.admin = reader.Address("admin", true);
}

void ReadTls(SectionReader& reader, HostSettings& out) {
  out.certificate_file = reader.Required("certificate_file");
  out.key_file = reader.Required("key_file");
}

void ReadPlatform(SectionReader& reader, HostSettings& out) {
  out.platform = reader.Address("address", false);
  out.config_file = reader.Text("config_file", "");
  out.seeds = reader.List("seeds");
  for (const auto& seed : out.seeds) {
    if (IsAddress(seed)) continue;
    reader.Report("seeds", ProblemKind::kBadValue,
                  "expected addresses as ip:port");
    break;
  }
  if (out.platform.empty() && out.config_file.empty()) {
    reader.Report("address", ProblemKind::kMissingKey,
                  "expected ip:port unless config_file is set");
  }
}

void ReadAdmin(SectionReader& reader, HostSettings& out) {
  out.admin_key_sha256 = reader.Required("key_sha256");
  if (!out.admin_key_sha256.empty() && !IsDigest(out.admin_key_sha256)) {
    reader.Report("key_sha256", ProblemKind::kBadValue,
                  "expected 64 lower-case hexadecimal digits");
  }
}

void ReadLimits(SectionReader& reader, HostSettings& out) {
  out.body_bytes =
      reader.Number("body_bytes", out.body_bytes, kKilobyte, kGigabyte);
  out.body_memory_bytes = reader.Number(
      "body_memory_bytes", out.body_memory_bytes, kKilobyte, 64 * kGigabyte);
  out.header_bytes = static_cast<std::uint32_t>(reader.Number(
      "header_bytes", out.header_bytes, kKilobyte, 1024 * kKilobyte));
  out.receive_timeout = reader.DurationValue(
      "receive_timeout", out.receive_timeout, milliseconds(100), hours(1));
  out.idle_timeout = reader.DurationValue("idle_timeout", out.idle_timeout,
                                          seconds(1), hours(1));
  out.write_timeout = reader.DurationValue("write_timeout", out.write_timeout,
                                           seconds(1), hours(1));
  out.max_deadline = reader.DurationValue("max_deadline", out.max_deadline,
                                          seconds(1), hours(24));
  out.silence_limit = reader.DurationValue("silence_limit", out.silence_limit,
                                           milliseconds(1500), seconds(60));
  out.address_life =
      reader.DurationValue("address_life", out.address_life, milliseconds(100),
                           std::chrono::minutes(10));
  out.stop_time =
      reader.DurationValue("stop_time", out.stop_time, seconds(1), hours(24));
  if (out.body_memory_bytes < 2 * out.body_bytes) {
    reader.Report("body_memory_bytes", ProblemKind::kConflictingValue,
                  "expected at least twice body_bytes");
  }
}

void ReadSection(const IniSection& section, HostSettingsResult& result) {
  SectionReader reader(section, result.problems);
  auto& out = result.settings;
  if (section.kind == "host") {
    ReadHost(reader, out);
  } else if (section.kind == "listen") {
    ReadListen(reader, out);
  } else if (section.kind == "tls") {
    ReadTls(reader, out);
  } else if (section.kind == "platform") {
    ReadPlatform(reader, out);
  } else if (section.kind == "admin") {
    ReadAdmin(reader, out);
  } else {
    ReadLimits(reader, out);
  }
  reader.Finish();
}

bool IsKnown(const IniSection& section) {
  return section.name.empty() && std::find(kSections.begin(), kSections.end(),
                                           section.kind) != kSections.end();
}

void ReportUnknown(const IniSection& section, std::vector<Problem>& problems) {
  std::string expected = "expected one of";
  for (const char* name : kSections) expected += std::string(" ") + name;
  const std::string separator = section.name.empty() ? "" : " ";
  problems.push_back({section.line, ProblemKind::kUnknownSection,
                      section.kind + separator + section.name, "", expected});
}

void ReportMissing(const IniDocument& document,
                   std::vector<Problem>& problems) {
  for (const char* name : kRequiredSections) {
    const auto has_name = [name](const auto& section) {
      return section.kind == name;
    };
    const auto& sections = document.sections;
    if (std::any_of(sections.begin(), sections.end(), has_name)) continue;
    problems.push_back({0, ProblemKind::kMissingSection, name, "",
                        "required section is missing"});
  }
}

}  // namespace

HostSettingsResult ParseHostSettings(std::string_view text) {
  HostSettingsResult result;
  const IniDocument document = ParseIni(text);
  result.problems = document.problems;
  for (const auto& section : document.sections) {
    if (IsKnown(section)) {
      ReadSection(section, result);
    } else {
      ReportUnknown(section, result.problems);
    }
  }
  ReportMissing(document, result.problems);
  std::stable_sort(
      result.problems.begin(), result.problems.end(),
      [](const Problem& a, const Problem& b) { return a.line < b.line; });
  return result;
}

}  // namespace comfreyflow
