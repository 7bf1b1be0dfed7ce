/// Parses JSON that other processes wrote. The text may be malformed in one
/// place, nested without bound or hold numbers that no type can hold.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string_view>
#include <vector>

namespace comfreyflow::json {

/// Maximum nesting of arrays and objects in a parsed value. Copying, comparing
/// and writing a value recurse, so that nesting without bound overflows the
/// stack.
inline constexpr std::size_t kMaxDepth = 64;

/// Largest integer that all JSON writers represent exactly (RFC 8259).
inline constexpr std::uint64_t kMaxExactInteger = (std::uint64_t{1} << 53U) - 1;

bool IsNestedTooDeeply(std::string_view text);

/// Returns a discarded value if the text is not JSON or is nested too deeply.
nlohmann::json Parse(std::string_view text);

/// Returns the number if it is an integer from 0 to `max`. A fraction of zero
/// is allowed.
std::optional<std::uint64_t> WholeNumber(const nlohmann::json& json,
                                         std::uint64_t max);

/// A field is missing, out of range or can't be used; the text says which one.
class FieldError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Returns a field of an object, or the default if it is absent. Throws
/// `FieldError` if it is not a number from 0 to `max`.
double NumberField(const nlohmann::json& json, const char* key,
                   double default_value, double max);

/// The same for a count, of which a fraction is ignored.
template <class Count>
Count CountField(const nlohmann::json& json, const char* key,
                 Count default_value) {
  constexpr std::uint64_t kMax = std::min(
      std::uint64_t{std::numeric_limits<Count>::max()}, kMaxExactInteger);
  if (!json.contains(key)) return default_value;
  return static_cast<Count>(
      NumberField(json, key, 0, static_cast<double>(kMax)));
}

/// Texts of the members of an object by their names as written. Of members
/// with one name the last one counts.
using Members = std::map<std::string_view, std::string_view>;

/// Return the parts of a text, or nothing if they can't be told apart. Only
/// strings and the balance of brackets are examined, so that a malformed part
/// does not affect the others. The result refers to `text`.
std::optional<Members> SplitObject(std::string_view text);
std::optional<std::vector<std::string_view>> SplitArray(std::string_view text);

}  // namespace comfreyflow::json
