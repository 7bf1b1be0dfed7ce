// Compares the id with which a run of a stream begins with the last one.
#include "comfreyflow/stream-continuity.h"

#include <algorithm>
#include <charconv>

namespace comfreyflow {
namespace {

/// Steps of one that show that the ids of a stream are consecutive numbers.
constexpr std::uint32_t kStepsThatShowCounting = 2;

/// The id as an unsigned decimal integer, or nullopt if it has another form.
std::optional<std::uint64_t> ToNumber(std::string_view id) {
  std::uint64_t number = 0;
  const char* end = id.data() + id.size();
  const auto parsed = std::from_chars(id.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

/// Whether a request can name the id in its head.
bool IsUsable(std::string_view id) {
  constexpr char kFirstPrintable = ' ';
  constexpr char kDelete = '\x7f';
  const bool has_control = std::any_of(id.begin(), id.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte < kFirstPrintable || byte == kDelete;
  });
  return !id.empty() && !has_control;
}

bool IsStepOfOne(std::string_view from, std::string_view to) {
  const auto last = ToNumber(from);
  const auto next = ToNumber(to);
  return last && next && *next != 0 && *next - 1 == *last;
}

}  // namespace

void StreamContinuity::StartRun() {
  is_run_checked_ = last_id_.empty();
  resumes_events_ = has_events_;
}

void StreamContinuity::StartRun(std::string_view caller_last_id) {
  if (!has_events_) last_id_ = caller_last_id;
  StartRun();
}

bool StreamContinuity::Accept(const std::optional<std::string_view>& id) {
  const bool has_id = id && IsUsable(*id);
  if (!is_run_checked_) {
    if (has_id ? !Follows(*id) : resumes_events_) return false;
    is_run_checked_ = has_id;
  }
  has_events_ = true;
  is_last_identified_ = has_id;
  if (id) Record(has_id ? *id : "");
  return true;
}

bool StreamContinuity::Follows(std::string_view id) const {
  if (last_id_.empty()) return true;
  if (counts_by_one()) return IsStepOfOne(last_id_, id);
  const auto last = ToNumber(last_id_);
  const auto next = ToNumber(id);
  if (last && next) return *next > *last;
  return id != last_id_;
}

bool StreamContinuity::counts_by_one() const {
  return !has_other_step_ && steps_of_one_ >= kStepsThatShowCounting;
}

void StreamContinuity::Record(std::string_view id) {
  if (!last_id_.empty()) {
    if (IsStepOfOne(last_id_, id)) {
      ++steps_of_one_;
    } else {
      has_other_step_ = true;
    }
  }
  last_id_ = id;
}

}  // namespace comfreyflow
