// Text forms of the shared types.
#include "comfreyflow/types.h"

#include <charconv>

namespace comfreyflow {
namespace {

constexpr char kSeparator = '~';

/// Moves the last field of `text` to `field`; returns false if there is no
/// separator.
bool TakeLastField(std::string& text, std::string& field) {
  const auto separator = text.rfind(kSeparator);
  if (separator == std::string::npos) return false;
  field = text.substr(separator + 1);
  text.resize(separator);
  return true;
}

template <class Number>
bool TakeLastNumber(std::string& text, Number& out) {
  std::string field;
  if (!TakeLastField(text, field) || field.empty()) return false;
  const char* end = field.data() + field.size();
  const auto [parsed_end, error] = std::from_chars(field.data(), end, out);
  return error == std::errc() && parsed_end == end;
}

}  // namespace

std::string ToString(const RequestId& id) {
  return id.host.value + kSeparator + std::to_string(id.incarnation.value) +
         kSeparator + std::to_string(id.sequence);
}

std::string ToString(const AttemptId& id) {
  return ToString(id.request) + kSeparator + std::to_string(id.number);
}

bool ParseAttemptId(const std::string& text, AttemptId& out) {
  std::string remaining = text;
  AttemptId id;
  if (!TakeLastNumber(remaining, id.number)) return false;
  if (!TakeLastNumber(remaining, id.request.sequence)) return false;
  if (!TakeLastNumber(remaining, id.request.incarnation.value)) return false;
  if (remaining.empty()) return false;
  id.request.host.value = remaining;
  out = id;
  return true;
}

const char* ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      return "done";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kFailed:
      return "failed";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

const char* ToString(Urgency urgency) {
  switch (urgency) {
    case Urgency::kLow:
      return "low";
    case Urgency::kNormal:
      return "normal";
    case Urgency::kHigh:
      return "high";
  }
  return "normal";
}

}  // namespace comfreyflow
