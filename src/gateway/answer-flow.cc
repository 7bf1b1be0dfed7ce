// Pauses and resumes the target of an answer as its caller reads.
#include "gateway/answer-flow.h"

#include <utility>

namespace comfreyflow::gateway {
namespace {

/// The target is read again once no more than this waits.
constexpr std::uint64_t kResumeBytes = kMaxUnwrittenBytes / 4;

}  // namespace

void AnswerFlow::Write(const http::ExchangePtr& exchange, std::string bytes) {
  const std::uint64_t size = bytes.size();
  unwritten_ += size;
  const bool fits = lease_->GrowTo(unwritten_);
  lease_->ShrinkTo(unwritten_);
  exchange->Write(std::move(bytes),
                  [self = shared_from_this(), size] { self->OnWritten(size); });
  if (fits && unwritten_ <= kMaxUnwrittenBytes) return;
  is_paused_ = true;
  set_paused_(true);
}

void AnswerFlow::OnWritten(std::uint64_t bytes) {
  unwritten_ -= bytes;
  lease_->ShrinkTo(unwritten_);
  if (unwritten_ > kResumeBytes || !std::exchange(is_paused_, false)) return;
  set_paused_(false);
}

}  // namespace comfreyflow::gateway
