// Detects that the store was replaced by an older copy.
#include "comfreyflow/store-version.h"

namespace comfreyflow {

StoreEra::Change StoreEra::Observe(std::optional<std::uint64_t> era, Time now) {
  const bool is_first = !has_answers_;
  has_answers_ = true;
  const bool is_too_far =
      current_ != 0 && era > current_ && *era - current_ > kMaxEraRise;
  if (!era || is_too_far) return Change::kNone;
  if (*era == current_) {
    earlier_since_.reset();
    return Change::kNone;
  }
  if (*era < current_) {
    if (!earlier_since_) earlier_since_ = now;
    if (now - *earlier_since_ < kMaxAnswerDelay) return Change::kOutdated;
  }
  const bool fell = *era < current_;
  current_ = *era;
  earlier_since_.reset();
  if (is_first) return Change::kNone;
  return fell ? Change::kFell : Change::kRose;
}

}  // namespace comfreyflow
