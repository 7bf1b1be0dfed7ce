// Leases on the memory for request bodies.
#include "http/body-budget.h"

#include <utility>

namespace comfreyflow::http {

BodyLease::BodyLease(std::shared_ptr<BodyBudget> budget)
    : budget_(std::move(budget)) {}

BodyLease::BodyLease(BodyLease&& other) noexcept
    : budget_(std::move(other.budget_)),
      bytes_(std::exchange(other.bytes_, 0)) {}

BodyLease& BodyLease::operator=(BodyLease&& other) noexcept {
  if (this == &other) return *this;
  Release();
  budget_ = std::move(other.budget_);
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

BodyLease::~BodyLease() { Release(); }

bool BodyLease::GrowTo(std::uint64_t bytes) {
  if (bytes <= bytes_) return true;
  if (!budget_ || !budget_->Take(bytes - bytes_)) return false;
  bytes_ = bytes;
  return true;
}

void BodyLease::ShrinkTo(std::uint64_t bytes) {
  if (!budget_ || bytes >= bytes_) return;
  budget_->Give(bytes_ - bytes);
  bytes_ = bytes;
}

void BodyLease::Release() {
  if (budget_ && bytes_ > 0) budget_->Give(bytes_);
  bytes_ = 0;
}

bool BodyBudget::Take(std::uint64_t bytes) {
  auto used = used_.load();
  do {
    if (bytes > limit_ || used > limit_ - bytes) return false;
  } while (!used_.compare_exchange_weak(used, used + bytes));
  return true;
}

}  // namespace comfreyflow::http
