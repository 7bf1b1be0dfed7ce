// Lends parts of account limits between hosts.
#include "comfreyflow/limits.h"

#include <algorithm>

namespace comfreyflow {
namespace {

constexpr std::size_t kRequestsPerPeriod = 1;
constexpr std::size_t kAccountsPerRequest = 8;
/// Bounds the loans of one account that are given, and those that are taken.
constexpr std::size_t kMaxLoans = 64;
constexpr Duration kReplyTimeout = std::chrono::seconds(2);
/// Time before its expiry at which a loan is renewed.
constexpr Duration kRenewalLead = std::chrono::seconds(3);
// A lender retains 125% of its own demand, but at least 10% of its equal part.
constexpr std::uint64_t kRetainedDemandPercent = 125;
constexpr std::uint64_t kRetainedPartPercent = 10;
constexpr std::uint64_t kPercent = 100;

std::uint64_t Minus(std::uint64_t a, std::uint64_t b) {
  return a > b ? a - b : 0;
}

LimitAmount operator+(const LimitAmount& a, const LimitAmount& b) {
  return {a.tokens_per_second + b.tokens_per_second,
          a.concurrent_tokens + b.concurrent_tokens};
}

LimitAmount Minus(const LimitAmount& a, const LimitAmount& b) {
  return {Minus(a.tokens_per_second, b.tokens_per_second),
          Minus(a.concurrent_tokens, b.concurrent_tokens)};
}

LimitAmount Min(const LimitAmount& a, const LimitAmount& b) {
  return {std::min(a.tokens_per_second, b.tokens_per_second),
          std::min(a.concurrent_tokens, b.concurrent_tokens)};
}

LimitAmount Max(const LimitAmount& a, const LimitAmount& b) {
  return {std::max(a.tokens_per_second, b.tokens_per_second),
          std::max(a.concurrent_tokens, b.concurrent_tokens)};
}

LimitAmount Percentage(const LimitAmount& a, std::uint64_t percent) {
  const auto scale = [&](std::uint64_t value) {
    return value / kPercent * percent + value % kPercent * percent / kPercent;
  };
  return {scale(a.tokens_per_second), scale(a.concurrent_tokens)};
}

}  // namespace

LimitShares::LimitShares(HostName self, std::uint64_t seed)
    : self_(std::move(self)), random_(seed) {}

void LimitShares::SetLimit(const AccountName& account,
                           const LimitAmount& limit) {
  if (limit == LimitAmount{}) {
    accounts_.erase(account);
  } else {
    accounts_[account].limit = limit;
  }
}

void LimitShares::SetHosts(std::size_t count) {
  hosts_ = std::max<std::size_t>(count, 1);
}

void LimitShares::SetPeers(std::vector<HostName> peers) {
  std::erase(peers, self_);
  peers_ = std::move(peers);
}

void LimitShares::SetDemand(const AccountName& account,
                            const LimitAmount& demand) {
  const auto found = accounts_.find(account);
  if (found != accounts_.end()) found->second.demand = demand;
}

LimitAmount LimitShares::EqualPart(const AccountState& state) const {
  return {state.limit.tokens_per_second / hosts_,
          state.limit.concurrent_tokens / hosts_};
}

/// Sums the largest unexpired loan of each peer except `excluded`.
LimitAmount LimitShares::Sum(const std::vector<Loan>& loans,
                             const HostName& excluded, Time now) {
  std::map<HostName, LimitAmount> largest;
  for (const Loan& loan : loans) {
    if (now >= loan.expires_at || loan.peer == excluded) continue;
    LimitAmount& amount = largest[loan.peer];
    amount = Max(amount, loan.amount);
  }
  LimitAmount sum;
  for (const auto& [peer, amount] : largest) sum = sum + amount;
  return sum;
}

LimitAmount LimitShares::Share(const AccountState& state, Time now) const {
  const LimitAmount borrowed = Sum(state.borrowed, {}, now);
  return Minus(EqualPart(state) + borrowed, Sum(state.lent, {}, now));
}

LimitAmount LimitShares::Share(const AccountName& account, Time now) const {
  const auto found = accounts_.find(account);
  return found == accounts_.end() ? LimitAmount{} : Share(found->second, now);
}

/// Returns the amount that may be lent to `to`. It is taken from the equal part
/// of this host only: borrowed amounts are not lent on, because the other
/// host decides when they expire.
LimitAmount LimitShares::Lendable(const AccountState& state, const HostName& to,
                                  Time now) const {
  const LimitAmount equal_part = EqualPart(state);
  const LimitAmount retained =
      Max(Percentage(state.demand, kRetainedDemandPercent),
          Percentage(equal_part, kRetainedPartPercent));
  return Minus(Minus(equal_part, Sum(state.lent, to, now)), retained);
}

void LimitShares::Expire(Time now) {
  const auto is_expired = [&](const Loan& loan) {
    return now >= loan.expires_at;
  };
  for (auto& [account, state] : accounts_) {
    std::erase_if(state.lent, is_expired);
    std::erase_if(state.borrowed, is_expired);
  }
  std::erase_if(pending_requests_, [&](const auto& pending) {
    return now >= pending.second.requested_at + kReplyTimeout;
  });
}

/// Selects lenders whose loans expire soon first, then other peers at random.
std::vector<HostName> LimitShares::PeersToRequestFrom(Time now) {
  std::vector<HostName> candidates = peers_;
  std::shuffle(candidates.begin(), candidates.end(), random_);
  // Only the latest loan of a peer counts, as a renewed loan needs no second
  // renewal.
  std::map<std::pair<AccountName, HostName>, Time> latest_expiry;
  for (const auto& [account, state] : accounts_) {
    for (const Loan& loan : state.borrowed) {
      Time& expires_at = latest_expiry[{account, loan.peer}];
      expires_at = std::max(expires_at, loan.expires_at);
    }
  }
  std::vector<std::pair<Time, HostName>> expiring;
  for (const auto& [key, expires_at] : latest_expiry) {
    if (expires_at <= now + kRenewalLead)
      expiring.emplace_back(expires_at, key.second);
  }
  std::sort(expiring.begin(), expiring.end());
  std::vector<HostName> chosen;
  const auto add = [&](const HostName& peer) {
    if (chosen.size() >= kRequestsPerPeriod ||
        std::erase(candidates, peer) == 0)
      return;
    chosen.push_back(peer);
  };
  for (const auto& [expires_at, peer] : expiring) add(peer);
  while (chosen.size() < kRequestsPerPeriod && !candidates.empty()) {
    add(HostName(candidates.back()));
  }
  return chosen;
}

std::vector<LoanRequest> LimitShares::Tick(Time now) {
  Expire(now);
  std::vector<AccountAmount> wanted;
  for (const auto& [account, state] : accounts_) {
    // Loans that expire soon are requested again, so that the share has no gap
    // while demand is steady.
    const LimitAmount share_at_renewal = Share(state, now + kRenewalLead);
    const LimitAmount need =
        Min(Percentage(state.demand, kRetainedDemandPercent), state.limit);
    const LimitAmount missing = Minus(need, share_at_renewal);
    if (missing == LimitAmount{} || state.borrowed.size() >= kMaxLoans)
      continue;
    wanted.push_back({account, missing});
  }
  std::vector<LoanRequest> requests;
  if (wanted.empty() || peers_.empty()) return requests;
  std::shuffle(wanted.begin(), wanted.end(), random_);
  if (wanted.size() > kAccountsPerRequest) wanted.resize(kAccountsPerRequest);
  for (const HostName& peer : PeersToRequestFrom(now)) {
    const LoanId loan{++next_loan_};
    pending_requests_[loan] = {peer, now};
    requests.push_back({peer, loan, wanted});
  }
  return requests;
}

LoanReply LimitShares::OnLoanRequest(const HostName& from, LoanId loan,
                                     const std::vector<AccountAmount>& wanted,
                                     Time now) {
  LoanReply reply{from, loan, {}};
  for (const AccountAmount& item : wanted) {
    const auto found = accounts_.find(item.account);
    if (found == accounts_.end()) continue;
    AccountState& state = found->second;
    if (state.lent.size() >= kMaxLoans) continue;
    const LimitAmount amount = Min(item.amount, Lendable(state, from, now));
    if (amount == LimitAmount{}) continue;
    state.lent.push_back({from, amount, now + kLoanTime + kLoanMargin});
    reply.lent.push_back({item.account, amount});
  }
  return reply;
}

void LimitShares::OnLoanReply(const HostName& from, LoanId loan,
                              const std::vector<AccountAmount>& lent,
                              Time now) {
  const auto pending = pending_requests_.find(loan);
  if (pending == pending_requests_.end() || pending->second.peer != from)
    return;
  const Time expires_at = pending->second.requested_at + kLoanTime;
  pending_requests_.erase(pending);
  if (now >= expires_at) return;
  for (const AccountAmount& item : lent) {
    const auto found = accounts_.find(item.account);
    if (found == accounts_.end()) continue;
    found->second.borrowed.push_back({from, item.amount, expires_at});
  }
}

std::vector<ShareChanged> LimitShares::Changes(Time now) {
  std::vector<ShareChanged> changes;
  for (auto& [account, state] : accounts_) {
    const LimitAmount share = Share(state, now);
    if (share == state.last_reported_share) continue;
    state.last_reported_share = share;
    changes.push_back({account, share});
  }
  return changes;
}

}  // namespace comfreyflow
