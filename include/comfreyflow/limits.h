/// How a client account's limits are shared by the hosts of the fleet: each
/// host owns an equal part, and hosts with more demand borrow from others.
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

/// Names a loan in the lender's and the borrower's books.
struct LoanId {
  std::uint64_t value = 0;
  auto operator<=>(const LoanId&) const = default;
};

/// A borrower asks a host for parts of its share.
struct LoanRequest {
  HostName to;
  LoanId loan;
  std::vector<AccountAmount> wanted;
};

/// The lender's answer; empty when it has nothing to spare.
struct LoanReply {
  HostName to;
  LoanId loan;
  std::vector<AccountAmount> lent;
};

/// The host's own part, to be told to admission.
struct ShareChanged {
  AccountName account;
  LimitAmount share;
};

/// One host's part of the account limits.
///
/// Invariant, at any instant and under any cut, loss, delay or death: the sum
/// of the shares of hosts that were told the same host count is at most the
/// limit. A lender takes a loan off its share before it sends it and keeps it
/// off for `kLoanTime` plus `kLoanMargin`; a borrower uses it for `kLoanTime`
/// from when it *asked*. Of several loans between two hosts the largest counts
/// on both sides, so a loan is renewed before it ends without a gap. While
/// hosts know counts n and m > n, the sum is at most m/n of the limit.
class LimitShares {
 public:
  LimitShares(HostName self, std::uint64_t seed);

  /// The whole limits of an account; zero amounts take it away.
  void SetLimit(const AccountName& account, const LimitAmount& limit);
  /// Hosts that the limits are divided by: those of the platform's list or of
  /// the view, whichever is more; never 0.
  void SetHosts(std::size_t count);
  /// Hosts that can be asked.
  void SetPeers(std::vector<HostName> peers);
  /// What the account's callers ask of this host, admitted or not.
  void SetDemand(const AccountName& account, const LimitAmount& demand);

  /// Called every `kSharePeriod`.
  std::vector<LoanRequest> Tick(Time now);
  LoanReply OnLoanRequest(const HostName& from, LoanId loan,
                          const std::vector<AccountAmount>& wanted, Time now);
  void OnLoanReply(const HostName& from, LoanId loan,
                   const std::vector<AccountAmount>& lent, Time now);

  LimitAmount Share(const AccountName& account, Time now) const;
  /// Shares that differ from those of the last call.
  std::vector<ShareChanged> Changes(Time now);

 private:
  struct Loan {
    HostName peer;
    LimitAmount amount;
    Time ends;
  };
  struct Book {
    LimitAmount limit;
    LimitAmount demand;
    std::vector<Loan> lent;
    std::vector<Loan> borrowed;
    LimitAmount told;
  };
  struct Asked {
    HostName peer;
    Time at;
  };

  LimitAmount Own(const Book& book) const;
  LimitAmount Share(const Book& book, Time now) const;
  LimitAmount Spare(const Book& book, const HostName& to, Time now) const;
  void Expire(Time now);
  std::vector<HostName> PeersToAsk(Time now);
  static LimitAmount Sum(const std::vector<Loan>& loans, const HostName& but,
                         Time now);

  HostName self_;
  std::mt19937_64 random_;
  std::size_t hosts_ = 1;
  std::vector<HostName> peers_;
  std::map<AccountName, Book> books_;
  std::map<LoanId, Asked> asked_;
  std::uint64_t next_loan_ = 0;
};

inline constexpr Duration kSharePeriod = std::chrono::seconds(1);
inline constexpr Duration kLoanTime = std::chrono::seconds(10);
/// Covers clocks that run at speeds up to 2% apart.
inline constexpr Duration kLoanMargin = std::chrono::milliseconds(500);

}  // namespace comfreyflow
