// Typed values out of one INI section.
#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <boost/asio/ip/address.hpp>
#include <charconv>

#include "comfreyflow/ini.h"

namespace comfreyflow {
namespace {

bool ReadNumber(std::string_view text, std::uint64_t& out) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, out);
  return error == std::errc() && stop == end && !text.empty();
}

struct Unit {
  std::string_view suffix;
  std::uint64_t milliseconds;
};

// Longest suffix first: `ms` ends in `s`.
constexpr Unit kUnits[] = {
    {"ms", 1}, {"s", 1000}, {"m", 60'000}, {"h", 3'600'000}};

constexpr std::uint64_t kMostMilliseconds = 365ULL * 24 * 3'600'000;

bool ReadSpan(std::string_view text, Duration& out) {
  for (const Unit& unit : kUnits) {
    if (!text.ends_with(unit.suffix)) continue;
    std::uint64_t count = 0;
    text.remove_suffix(unit.suffix.size());
    if (!ReadNumber(text, count)) return false;
    if (count > kMostMilliseconds / unit.milliseconds) return false;
    out = std::chrono::milliseconds(count * unit.milliseconds);
    return true;
  }
  return false;
}

std::string Milliseconds(Duration span) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  return std::to_string(duration_cast<milliseconds>(span).count()) + "ms";
}

}  // namespace

bool IsAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  std::uint64_t port = 0;
  if (!ReadNumber(text.substr(colon + 1), port)) return false;
  if (port == 0 || port > 65535) return false;
  std::string_view ip = text.substr(0, colon);
  const bool bracketed = ip.starts_with('[') && ip.ends_with(']');
  if (bracketed) ip = ip.substr(1, ip.size() - 2);
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(ip), error);
  return !error && address.is_v6() == bracketed;
}

SectionReader::SectionReader(const IniSection& section,
                             std::vector<Problem>& problems)
    : section_(section), problems_(problems) {}

const IniEntry* SectionReader::Find(std::string_view key) const {
  for (const IniEntry& entry : section_.entries) {
    if (entry.key == key) return &entry;
  }
  return nullptr;
}

const IniEntry* SectionReader::Take(std::string_view key) {
  taken_.emplace(key);
  return Find(key);
}

bool SectionReader::Has(std::string_view key) const {
  return Find(key) != nullptr;
}

int SectionReader::line(std::string_view key) const {
  const IniEntry* entry = Find(key);
  return entry == nullptr ? section_.line : entry->line;
}

void SectionReader::Report(std::string_view key, ProblemKind kind,
                           std::string detail) {
  const std::string title = section_.name.empty()
                                ? section_.kind
                                : section_.kind + " " + section_.name;
  problems_.push_back(
      {line(key), kind, title, std::string(key), std::move(detail)});
}

void SectionReader::Report(const IniEntry& entry, std::string detail) {
  Report(entry.key, ProblemKind::kBadValue, std::move(detail));
}

std::string SectionReader::Required(std::string_view key) {
  const IniEntry* entry = Take(key);
  if (entry == nullptr) {
    Report(key, ProblemKind::kMissingKey, "the key has to be given");
    return {};
  }
  if (entry->value.empty()) Report(*entry, "empty");
  return entry->value;
}

std::string SectionReader::Text(std::string_view key,
                                const std::string& fallback) {
  const IniEntry* entry = Take(key);
  return entry == nullptr ? fallback : entry->value;
}

std::vector<std::string> SectionReader::List(std::string_view key) {
  const IniEntry* entry = Take(key);
  std::vector<std::string> items;
  if (entry == nullptr || entry->value.empty()) return items;
  boost::split(items, entry->value, boost::is_any_of(","));
  std::set<std::string> seen;
  for (std::string& item : items) {
    boost::trim(item);
    if (item.empty()) Report(*entry, "empty item in the list");
    if (!seen.insert(item).second) Report(*entry, item + " stands twice");
  }
  return items;
}

std::uint64_t SectionReader::Number(std::string_view key,
                                    std::uint64_t fallback, std::uint64_t least,
                                    std::uint64_t most) {
  const IniEntry* entry = Take(key);
  if (entry == nullptr) return fallback;
  std::uint64_t value = 0;
  if (ReadNumber(entry->value, value) && value >= least && value <= most) {
    return value;
  }
  Report(*entry, "not a whole number from " + std::to_string(least) + " to " +
                     std::to_string(most));
  return fallback;
}

bool SectionReader::Flag(std::string_view key, bool fallback) {
  return Choice<bool>(key, fallback, {{"yes", true}, {"no", false}});
}

Duration SectionReader::Span(std::string_view key, Duration fallback,
                             Duration least, Duration most) {
  const IniEntry* entry = Take(key);
  if (entry == nullptr) return fallback;
  Duration value{};
  if (ReadSpan(entry->value, value) && value >= least && value <= most) {
    return value;
  }
  Report(*entry, "not a time (ms, s, m, h) from " + Milliseconds(least) +
                     " to " + Milliseconds(most));
  return fallback;
}

std::string SectionReader::Address(std::string_view key, bool required) {
  const IniEntry* entry = Take(key);
  if (entry == nullptr) {
    if (required)
      Report(key, ProblemKind::kMissingKey, "the key has to be given");
    return {};
  }
  if (!IsAddress(entry->value)) Report(*entry, "not ip:port by numbers");
  return entry->value;
}

void SectionReader::Finish() {
  for (const IniEntry& entry : section_.entries) {
    if (taken_.contains(entry.key)) continue;
    Report(entry.key, ProblemKind::kUnknownKey, "no such key here");
  }
}

}  // namespace comfreyflow
