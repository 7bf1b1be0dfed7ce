// Reads typed values from one INI section.
#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <boost/asio/ip/address.hpp>
#include <charconv>

#include "comfreyflow/ini.h"

namespace comfreyflow {
namespace {

bool ParseNumber(std::string_view text, std::uint64_t& out) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, out);
  return error == std::errc() && stop == end && !text.empty();
}

struct Unit {
  std::string_view suffix;
  std::uint64_t milliseconds;
};

// `ms` comes before `s` and `m`, because the first suffix that matches is used
// and `ms` also ends in `s`.
constexpr Unit kUnits[] = {
    {"ms", 1}, {"s", 1000}, {"m", 60'000}, {"h", 3'600'000}};

// One year. Keeps the conversion to `Duration` from overflowing.
constexpr std::uint64_t kMaxMilliseconds = 365ULL * 24 * 3'600'000;

bool ParseDuration(std::string_view text, Duration& out) {
  for (const Unit& unit : kUnits) {
    if (!text.ends_with(unit.suffix)) continue;
    std::uint64_t count = 0;
    text.remove_suffix(unit.suffix.size());
    if (!ParseNumber(text, count)) return false;
    if (count > kMaxMilliseconds / unit.milliseconds) return false;
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
  if (!ParseNumber(text.substr(colon + 1), port)) return false;
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

const IniEntry* SectionReader::Consume(std::string_view key) {
  consumed_.emplace(key);
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
  const IniEntry* entry = Consume(key);
  if (entry == nullptr) {
    Report(key, ProblemKind::kMissingKey, "required key is missing");
    return {};
  }
  if (entry->value.empty()) Report(*entry, "empty");
  return entry->value;
}

std::string SectionReader::Text(std::string_view key,
                                const std::string& fallback) {
  const IniEntry* entry = Consume(key);
  return entry == nullptr ? fallback : entry->value;
}

std::vector<std::string> SectionReader::List(std::string_view key) {
  const IniEntry* entry = Consume(key);
  std::vector<std::string> items;
  if (entry == nullptr || entry->value.empty()) return items;
  boost::split(items, entry->value, boost::is_any_of(","));
  std::set<std::string> seen;
  for (std::string& item : items) {
    boost::trim(item);
    if (item.empty()) Report(*entry, "the list has an empty item");
    if (!seen.insert(item).second)
      Report(*entry, item + " is listed more than once");
  }
  return items;
}

std::uint64_t SectionReader::Number(std::string_view key,
                                    std::uint64_t fallback,
                                    std::uint64_t minimum,
                                    std::uint64_t maximum) {
  const IniEntry* entry = Consume(key);
  if (entry == nullptr) return fallback;
  std::uint64_t value = 0;
  if (ParseNumber(entry->value, value) && value >= minimum &&
      value <= maximum) {
    return value;
  }
  Report(*entry, "expected an integer from " + std::to_string(minimum) +
                     " to " + std::to_string(maximum));
  return fallback;
}

bool SectionReader::Flag(std::string_view key, bool fallback) {
  return Choice<bool>(key, fallback, {{"yes", true}, {"no", false}});
}

Duration SectionReader::DurationValue(std::string_view key, Duration fallback,
                                      Duration minimum, Duration maximum) {
  const IniEntry* entry = Consume(key);
  if (entry == nullptr) return fallback;
  Duration value{};
  if (ParseDuration(entry->value, value) && value >= minimum &&
      value <= maximum) {
    return value;
  }
  Report(*entry, "expected an integer with unit ms, s, m or h, from " +
                     Milliseconds(minimum) + " to " + Milliseconds(maximum));
  return fallback;
}

std::string SectionReader::Address(std::string_view key, bool required) {
  const IniEntry* entry = Consume(key);
  if (entry == nullptr) {
    if (required)
      Report(key, ProblemKind::kMissingKey, "required key is missing");
    return {};
  }
  if (!IsAddress(entry->value))
    Report(*entry, "expected ip:port with a numeric IP address");
  return entry->value;
}

void SectionReader::Finish() {
  for (const IniEntry& entry : section_.entries) {
    if (consumed_.contains(entry.key)) continue;
    Report(entry.key, ProblemKind::kUnknownKey, "unknown key in this section");
  }
}

}  // namespace comfreyflow
