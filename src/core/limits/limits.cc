// Lending of account limits between hosts.
#include "comfreyflow/limits.h"

#include <algorithm>

namespace comfreyflow {
namespace {

constexpr std::size_t kAsksPerPeriod = 1;
constexpr std::size_t kAccountsPerAsk = 8;
constexpr std::size_t kMostLoans = 64;  // Of one account, each way.
constexpr Duration kAnswerLimit = std::chrono::seconds(2);
constexpr Duration kRenewBefore = std::chrono::seconds(3);
// A host keeps a quarter more than its demand, and a tenth of its own part.
constexpr std::uint64_t kKeepDemandPercent = 125;
constexpr std::uint64_t kKeepOwnPercent = 10;
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

LimitAmount Least(const LimitAmount& a, const LimitAmount& b) {
  return {std::min(a.tokens_per_second, b.tokens_per_second),
          std::min(a.concurrent_tokens, b.concurrent_tokens)};
}

LimitAmount Most(const LimitAmount& a, const LimitAmount& b) {
  return {std::max(a.tokens_per_second, b.tokens_per_second),
          std::max(a.concurrent_tokens, b.concurrent_tokens)};
}

LimitAmount Part(const LimitAmount& a, std::uint64_t percent) {
  const auto part = [&](std::uint64_t value) {
    return value / kPercent * percent + value % kPercent * percent / kPercent;
  };
  return {part(a.tokens_per_second), part(a.concurrent_tokens)};
}

}  // namespace

LimitShares::LimitShares(HostName self, std::uint64_t seed)
    : self_(std::move(self)), random_(seed) {}

void LimitShares::SetLimit(const AccountName& account,
                           const LimitAmount& limit) {
  if (limit == LimitAmount{}) {
    books_.erase(account);
  } else {
    books_[account].limit = limit;
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
  const auto found = books_.find(account);
  if (found != books_.end()) found->second.demand = demand;
}

LimitAmount LimitShares::Own(const Book& book) const {
  return {book.limit.tokens_per_second / hosts_,
          book.limit.concurrent_tokens / hosts_};
}

/// The largest live loan of each peer, `but` left out.
LimitAmount LimitShares::Sum(const std::vector<Loan>& loans,
                             const HostName& but, Time now) {
  std::map<HostName, LimitAmount> largest;
  for (const Loan& loan : loans) {
    if (now >= loan.ends || loan.peer == but) continue;
    LimitAmount& amount = largest[loan.peer];
    amount = Most(amount, loan.amount);
  }
  LimitAmount sum;
  for (const auto& [peer, amount] : largest) sum = sum + amount;
  return sum;
}

LimitAmount LimitShares::Share(const Book& book, Time now) const {
  const LimitAmount borrowed = Sum(book.borrowed, {}, now);
  return Minus(Own(book) + borrowed, Sum(book.lent, {}, now));
}

LimitAmount LimitShares::Share(const AccountName& account, Time now) const {
  const auto found = books_.find(account);
  return found == books_.end() ? LimitAmount{} : Share(found->second, now);
}

/// What may be lent to `to`: of the own part only, never of what was borrowed,
/// whose end another host decides.
LimitAmount LimitShares::Spare(const Book& book, const HostName& to,
                               Time now) const {
  const LimitAmount own = Own(book);
  const LimitAmount keep =
      Most(Part(book.demand, kKeepDemandPercent), Part(own, kKeepOwnPercent));
  return Minus(Minus(own, Sum(book.lent, to, now)), keep);
}

void LimitShares::Expire(Time now) {
  const auto over = [&](const Loan& loan) { return now >= loan.ends; };
  for (auto& [account, book] : books_) {
    std::erase_if(book.lent, over);
    std::erase_if(book.borrowed, over);
  }
  std::erase_if(asked_, [&](const auto& asked) {
    return now >= asked.second.at + kAnswerLimit;
  });
}

/// Lenders whose loans end soon go first, then any.
std::vector<HostName> LimitShares::PeersToAsk(Time now) {
  std::vector<HostName> rest = peers_;
  std::shuffle(rest.begin(), rest.end(), random_);
  // A loan that was renewed needs no more.
  std::map<std::pair<AccountName, HostName>, Time> last;
  for (const auto& [account, book] : books_) {
    for (const Loan& loan : book.borrowed) {
      Time& ends = last[{account, loan.peer}];
      ends = std::max(ends, loan.ends);
    }
  }
  std::vector<std::pair<Time, HostName>> ending;
  for (const auto& [key, ends] : last) {
    if (ends <= now + kRenewBefore) ending.emplace_back(ends, key.second);
  }
  std::sort(ending.begin(), ending.end());
  std::vector<HostName> chosen;
  const auto add = [&](const HostName& peer) {
    if (chosen.size() >= kAsksPerPeriod || std::erase(rest, peer) == 0) return;
    chosen.push_back(peer);
  };
  for (const auto& [ends, peer] : ending) add(peer);
  while (chosen.size() < kAsksPerPeriod && !rest.empty()) {
    add(HostName(rest.back()));
  }
  return chosen;
}

std::vector<LoanRequest> LimitShares::Tick(Time now) {
  Expire(now);
  std::vector<AccountAmount> wanted;
  for (const auto& [account, book] : books_) {
    // What ends soon is asked for again, so that a steady need is met without
    // a gap.
    const LimitAmount lasting = Share(book, now + kRenewBefore);
    const LimitAmount need =
        Least(Part(book.demand, kKeepDemandPercent), book.limit);
    const LimitAmount lack = Minus(need, lasting);
    if (lack == LimitAmount{} || book.borrowed.size() >= kMostLoans) continue;
    wanted.push_back({account, lack});
  }
  std::vector<LoanRequest> asks;
  if (wanted.empty() || peers_.empty()) return asks;
  std::shuffle(wanted.begin(), wanted.end(), random_);
  if (wanted.size() > kAccountsPerAsk) wanted.resize(kAccountsPerAsk);
  for (const HostName& peer : PeersToAsk(now)) {
    const LoanId loan{++next_loan_};
    asked_[loan] = {peer, now};
    asks.push_back({peer, loan, wanted});
  }
  return asks;
}

LoanReply LimitShares::OnLoanRequest(const HostName& from, LoanId loan,
                                     const std::vector<AccountAmount>& wanted,
                                     Time now) {
  LoanReply answer{from, loan, {}};
  for (const AccountAmount& want : wanted) {
    const auto found = books_.find(want.account);
    if (found == books_.end()) continue;
    Book& book = found->second;
    if (book.lent.size() >= kMostLoans) continue;
    const LimitAmount amount = Least(want.amount, Spare(book, from, now));
    if (amount == LimitAmount{}) continue;
    book.lent.push_back({from, amount, now + kLoanTime + kLoanMargin});
    answer.lent.push_back({want.account, amount});
  }
  return answer;
}

void LimitShares::OnLoanReply(const HostName& from, LoanId loan,
                              const std::vector<AccountAmount>& lent,
                              Time now) {
  const auto asked = asked_.find(loan);
  if (asked == asked_.end() || asked->second.peer != from) return;
  const Time ends = asked->second.at + kLoanTime;
  asked_.erase(asked);
  if (now >= ends) return;
  for (const AccountAmount& part : lent) {
    const auto found = books_.find(part.account);
    if (found == books_.end()) continue;
    found->second.borrowed.push_back({from, part.amount, ends});
  }
}

std::vector<ShareChanged> LimitShares::Changes(Time now) {
  std::vector<ShareChanged> changes;
  for (auto& [account, book] : books_) {
    const LimitAmount share = Share(book, now);
    if (share == book.told) continue;
    book.told = share;
    changes.push_back({account, share});
  }
  return changes;
}

}  // namespace comfreyflow
