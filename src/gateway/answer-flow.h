/// Passes the body of an answer on no faster than its caller takes it, and
/// counts what this host holds of it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "http/body-budget.h"
#include "http/server.h"

namespace comfreyflow::gateway {

/// Bytes of one answer that may wait for its caller before the target is read
/// no further.
inline constexpr std::uint64_t kMaxUnwrittenBytes = 128 * 1024;

/// For one request, over all its attempts. Used on one I/O thread only. The sum
/// over all answers exceeds the budget by at most what each call reads at once.
class AnswerFlow : public std::enable_shared_from_this<AnswerFlow> {
 public:
  /// Called to stop reading from the target, or to go on; possibly several
  /// times in a row with the same value.
  using PauseHook = std::function<void(bool paused)>;

  AnswerFlow(const std::shared_ptr<http::BodyBudget>& budget, PauseHook hook)
      : lease_(std::make_shared<http::BodyLease>(budget->Lease())),
        set_paused_(std::move(hook)) {}

  /// Counts a body that is kept until it is whole. Returns false if that is
  /// more than the answers of this host may take.
  bool Keep(std::uint64_t bytes) { return lease_->GrowTo(bytes); }
  /// What was kept is dropped.
  void Drop() { lease_->ShrinkTo(unwritten_); }
  /// Passes on the next part of the body, which may be one that was kept.
  void Write(const http::ExchangePtr& exchange, std::string bytes);

  /// Holds the memory of a whole answer until it was written.
  const std::shared_ptr<http::BodyLease>& lease() const { return lease_; }
  std::uint64_t unwritten() const { return unwritten_; }

 private:
  void OnWritten(std::uint64_t bytes);

  const std::shared_ptr<http::BodyLease> lease_;
  const PauseHook set_paused_;
  std::uint64_t unwritten_ = 0;  ///< Passed on, and not yet written.
  bool is_paused_ = false;
};

}  // namespace comfreyflow::gateway
