/// Divides the limits of a client account among the hosts of the fleet. Each
/// host has an equal part of a limit, and hosts with more demand borrow from
/// the others. The part that a host may use now is its share.
#pragma once

#include <map>
#include <random>
#include <vector>

#include "comfreyflow/types.h"

namespace comfreyflow {

struct LimitAmount {
  std::uint64_t tokens_per_second = 0;
  std::uint64_t concurrent_tokens = 0;
  bool operator==(const LimitAmount&) const = default;
};

struct AccountAmount {
  AccountName account;
  LimitAmount amount;
};

/// Identifies a loan in the state of its lender and its borrower. The borrower
/// assigns it.
struct LoanId {
  std::uint64_t value = 0;
  auto operator<=>(const LoanId&) const = default;
};

/// Request of a borrower for parts of the share of the host `to`.
struct LoanRequest {
  HostName to;
  LoanId loan;
  std::vector<AccountAmount> wanted;
};

/// Reply of the lender to the host `to`. `lent` is empty if there is nothing to
/// lend.
struct LoanReply {
  HostName to;
  LoanId loan;
  std::vector<AccountAmount> lent;
};

/// The new share of the local host, which admission is to enforce.
struct ShareChanged {
  AccountName account;
  LimitAmount share;
};

/// The shares that one host has of the limits of all client accounts.
///
/// Invariant, which holds at any instant and under any network partition,
/// message loss, delay or host crash: the sum of the shares of all hosts that
/// were given the same host count is at most the limit. A lender subtracts a
/// loan from its share before it sends the reply, for `kLoanTime` plus
/// `kLoanMargin`. A borrower adds the loan to its share until `kLoanTime` after
/// it sent the *request*. Of several loans between the same two hosts, both
/// sides count only the largest, so that a loan can be renewed before it
/// expires and without a gap. While some hosts use a host count of n and others
/// m > n, the sum is at most m/n of the limit.
class LimitShares {
 public:
  LimitShares(HostName self, std::uint64_t seed);

  /// Sets the limits that all hosts share. Zero amounts remove the account.
  void SetLimit(const AccountName& account, const LimitAmount& limit);
  /// Sets the number of hosts that the limits are divided by: the larger of the
  /// number of hosts in the platform's list and in the membership view. 0 is
  /// taken as 1.
  void SetHosts(std::size_t count);
  /// Sets the hosts that can be asked for a loan. The local host is ignored.
  void SetPeers(std::vector<HostName> peers);
  /// Sets the amount that the account's callers request from this host, whether
  /// admitted or refused.
  void SetDemand(const AccountName& account, const LimitAmount& demand);

  /// Returns the loan requests to send. To be called every `kSharePeriod`.
  std::vector<LoanRequest> Tick(Time now);
  LoanReply OnLoanRequest(const HostName& from, LoanId loan,
                          const std::vector<AccountAmount>& wanted, Time now);
  void OnLoanReply(const HostName& from, LoanId loan,
                   const std::vector<AccountAmount>& lent, Time now);

  LimitAmount Share(const AccountName& account, Time now) const;
  /// Returns the shares that have changed since the last call.
  std::vector<ShareChanged> Changes(Time now);

 private:
  struct Loan {
    HostName peer;
    LimitAmount amount;
    Time expires_at;
  };
  struct AccountState {
    LimitAmount limit;
    LimitAmount demand;
    std::vector<Loan> lent;
    std::vector<Loan> borrowed;
    LimitAmount last_reported_share;
  };
  struct PendingRequest {
    HostName peer;
    Time requested_at;
  };

  LimitAmount EqualPart(const AccountState& state) const;
  LimitAmount Share(const AccountState& state, Time now) const;
  LimitAmount Lendable(const AccountState& state, const HostName& to,
                       Time now) const;
  void Expire(Time now);
  std::vector<HostName> PeersToRequestFrom(Time now);
  static LimitAmount Sum(const std::vector<Loan>& loans,
                         const HostName& excluded, Time now);

  HostName self_;
  std::mt19937_64 random_;
  std::size_t hosts_ = 1;
  std::vector<HostName> peers_;
  std::map<AccountName, AccountState> accounts_;
  std::map<LoanId, PendingRequest> pending_requests_;
  std::uint64_t next_loan_ = 0;
};

inline constexpr Duration kSharePeriod = std::chrono::seconds(1);
inline constexpr Duration kLoanTime = std::chrono::seconds(10);
/// Extra time for which a lender leaves out a loan. Covers hosts whose clocks
/// differ in speed by up to 2%.
inline constexpr Duration kLoanMargin = std::chrono::milliseconds(500);

}  // namespace comfreyflow
