// Bounded parsing and splitting of JSON texts, without recursion.
#include "json/bounded-json.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace comfreyflow::json {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kSpace = " \t\r\n";
constexpr std::string_view kScalarEnd = " \t\r\n,:[]{}\"";

bool IsOpening(char c) { return c == '[' || c == '{'; }
bool IsClosing(char c) { return c == ']' || c == '}'; }

/// Returns the position after the string that begins at `at`, or npos if it
/// does not end.
std::size_t StringEnd(std::string_view text, std::size_t at) {
  for (std::size_t i = at + 1; i < text.size(); ++i) {
    if (text[i] == '"') return i + 1;
    if (text[i] == '\\') ++i;
  }
  return std::string_view::npos;
}

/// Returns the position after the array or object that begins at `at`.
std::size_t BracketsEnd(std::string_view text, std::size_t at) {
  std::size_t depth = 0;
  while (at < text.size()) {
    if (text[at] == '"') {
      at = StringEnd(text, at);
      continue;
    }
    if (IsOpening(text[at])) ++depth;
    if (IsClosing(text[at]) && --depth == 0) return at + 1;
    ++at;
  }
  return std::string_view::npos;
}

/// Takes the parts of a text from its beginning.
class Scanner {
 public:
  explicit Scanner(std::string_view text) : text_(text) {}

  bool Take(char c) {
    SkipSpace();
    if (at_ >= text_.size() || text_[at_] != c) return false;
    ++at_;
    return true;
  }

  /// The text of the next value; empty if there is none.
  std::string_view TakeValue() {
    SkipSpace();
    if (at_ >= text_.size()) return {};
    std::size_t end = 0;
    if (text_[at_] == '"') {
      end = StringEnd(text_, at_);
    } else if (IsOpening(text_[at_])) {
      end = BracketsEnd(text_, at_);
    } else {
      end = std::min(text_.find_first_of(kScalarEnd, at_), text_.size());
    }
    if (end == std::string_view::npos) return {};
    const auto value = text_.substr(at_, end - at_);
    at_ = end;
    return value;
  }

  bool IsAtEnd() {
    SkipSpace();
    return at_ >= text_.size();
  }

 private:
  void SkipSpace() {
    at_ = std::min(text_.find_first_not_of(kSpace, at_), text_.size());
  }

  std::string_view text_;
  std::size_t at_ = 0;
};

/// Calls `take_part` for each part between the brackets. Returns whether the
/// text is such a sequence.
template <class TakePart>
bool Split(Scanner& scanner, char open, char close, TakePart take_part) {
  if (!scanner.Take(open)) return false;
  if (scanner.Take(close)) return scanner.IsAtEnd();
  do {
    if (!take_part()) return false;
  } while (scanner.Take(','));
  return scanner.Take(close) && scanner.IsAtEnd();
}

}  // namespace

bool IsNestedTooDeeply(std::string_view text) {
  std::size_t depth = 0;
  for (std::size_t i = 0; i < text.size();) {
    if (text[i] == '"') {
      i = StringEnd(text, i);
      continue;
    }
    if (IsOpening(text[i]) && ++depth > kMaxDepth) return true;
    if (IsClosing(text[i]) && depth > 0) --depth;
    ++i;
  }
  return false;
}

Json Parse(std::string_view text) {
  if (IsNestedTooDeeply(text)) return Json(Json::value_t::discarded);
  return Json::parse(text, nullptr, false);
}

std::optional<std::uint64_t> WholeNumber(const Json& json, std::uint64_t max) {
  std::uint64_t number = 0;
  if (json.is_number_unsigned()) {
    number = json.get<std::uint64_t>();
  } else if (json.is_number_float()) {
    const auto value = json.get<double>();
    const bool is_exact =
        value >= 0 && value <= static_cast<double>(kMaxExactInteger);
    if (!is_exact || std::trunc(value) != value) return std::nullopt;
    number = static_cast<std::uint64_t>(value);
  } else {
    return std::nullopt;
  }
  if (number > max) return std::nullopt;
  return number;
}

double NumberField(const Json& json, const char* key, double default_value,
                   double max) {
  const auto at = json.find(key);
  if (at == json.end()) return default_value;
  const double value = at->is_number() ? at->get<double>() : -1;
  if (value >= 0 && value <= max) return value;
  throw FieldError(std::string(key) + " is not a number from 0 to " +
                   std::to_string(max));
}

std::optional<Members> SplitObject(std::string_view text) {
  Scanner scanner(text);
  Members out;
  const bool is_object = Split(scanner, '{', '}', [&] {
    const auto name = scanner.TakeValue();
    if (name.empty() || name.front() != '"' || !scanner.Take(':')) return false;
    const auto value = scanner.TakeValue();
    out.insert_or_assign(name.substr(1, name.size() - 2), value);
    return !value.empty();
  });
  if (!is_object) return std::nullopt;
  return out;
}

std::optional<std::vector<std::string_view>> SplitArray(std::string_view text) {
  Scanner scanner(text);
  std::vector<std::string_view> out;
  const bool is_array = Split(scanner, '[', ']', [&] {
    out.push_back(scanner.TakeValue());
    return !out.back().empty();
  });
  if (!is_array) return std::nullopt;
  return out;
}

}  // namespace comfreyflow::json
