/// A bound on the memory that bodies of requests, or of answers, take on a
/// host.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

namespace comfreyflow::http {

class BodyBudget;

/// Bytes taken from a budget; given back when the lease ends.
class BodyLease {
 public:
  BodyLease() = default;
  BodyLease(BodyLease&& other) noexcept;
  BodyLease& operator=(BodyLease&& other) noexcept;
  ~BodyLease();

  /// Takes more bytes so that the lease holds `bytes`; false when the budget
  /// has not that much left. Never shrinks.
  bool GrowTo(std::uint64_t bytes);
  /// Gives back what the lease holds beyond `bytes`.
  void ShrinkTo(std::uint64_t bytes);
  std::uint64_t bytes() const { return bytes_; }

 private:
  friend class BodyBudget;
  explicit BodyLease(std::shared_ptr<BodyBudget> budget);
  void Release();

  std::shared_ptr<BodyBudget> budget_;
  std::uint64_t bytes_ = 0;
};

/// Shared by all sessions of a host. Invariant: `used() <= limit()`.
class BodyBudget : public std::enable_shared_from_this<BodyBudget> {
 public:
  explicit BodyBudget(std::uint64_t limit) : limit_(limit) {}

  /// A lease of no bytes yet.
  BodyLease Lease() { return BodyLease(shared_from_this()); }
  std::uint64_t used() const { return used_.load(); }
  std::uint64_t limit() const { return limit_; }

 private:
  friend class BodyLease;
  bool Take(std::uint64_t bytes);
  void Give(std::uint64_t bytes) { used_.fetch_sub(bytes); }

  const std::uint64_t limit_;
  std::atomic<std::uint64_t> used_ = 0;
};

}  // namespace comfreyflow::http
