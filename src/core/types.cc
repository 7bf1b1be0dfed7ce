// Text forms of the shared names.
#include "comfreyflow/types.h"

#include <charconv>

namespace comfreyflow {
namespace {

constexpr char kSeparator = '~';

/// Cuts the last field off `text`; false when there is no separator.
bool CutLast(std::string& text, std::string& field) {
  const auto at = text.rfind(kSeparator);
  if (at == std::string::npos) return false;
  field = text.substr(at + 1);
  text.resize(at);
  return true;
}

template <class Number>
bool CutNumber(std::string& text, Number& out) {
  std::string field;
  if (!CutLast(text, field) || field.empty()) return false;
  const char* end = field.data() + field.size();
  const auto [stop, error] = std::from_chars(field.data(), end, out);
  return error == std::errc() && stop == end;
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
  std::string rest = text;
  AttemptId id;
  if (!CutNumber(rest, id.number)) return false;
  if (!CutNumber(rest, id.request.sequence)) return false;
  if (!CutNumber(rest, id.request.incarnation.value)) return false;
  if (rest.empty()) return false;
  id.request.host.value = rest;
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
