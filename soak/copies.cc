// Copies of refusals.
#include "soak/copies.h"

#include <algorithm>
#include <utility>

#include "platform/stand-ins.h"

namespace comfreyflow::soak {
namespace {

using platform::HeaderIn;
using std::chrono::milliseconds;

constexpr int kMostCopies = 3;
constexpr double kMoreShare = 0.25;
/// Of refusals, those whose first copy waits for the same request.
constexpr double kHeldShare = 0.6;
constexpr milliseconds kLongestSoon{60};
constexpr milliseconds kLongestLate{4000};
constexpr milliseconds kAtOnce{1};
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";

bool IsHead(const std::string& bytes) {
  return bytes.starts_with("GET ") || bytes.starts_with("POST ");
}

/// Whether the bytes are a whole answer without body which says that its
/// request has not run.
bool IsRefusal(const std::string& bytes) {
  return bytes.starts_with("HTTP/1.1 ") && bytes.ends_with(kHeadEnd) &&
         !HeaderIn(bytes, "x-not-run").empty();
}

}  // namespace

std::unique_ptr<CopyWriter::Link> CopyWriter::Open() {
  return std::make_unique<Link>(*this);
}

std::string CopyWriter::Link::OnRequest(const std::string& bytes) {
  if (!IsHead(bytes)) return {};
  id_ = HeaderIn(bytes.substr(0, bytes.find(kHeadEnd) + 2), "x-request-id");
  open_ = true;
  begun_ = false;
  const bool again = !id_.empty() && ids_.contains(id_);
  Count(id_);
  std::string out = Take(Moment::kNextRequest, false);
  if (again) out += Take(Moment::kSameRequest, true);
  return out;
}

void CopyWriter::Link::Count(const std::string& id) {
  if (id.empty()) return;
  CopyCounts& counts = writer_.counts_;
  ++counts.requests;
  if (!writer_.ids_.insert(id).second) ++counts.again_at_target;
  if (ids_.contains(id)) ++counts.again_on_connection;
  ids_.insert(id);
}

std::string CopyWriter::Link::OnAnswer(std::string bytes) {
  if (!open_) return bytes;
  std::string before;
  if (!std::exchange(begun_, true)) {
    Begin(bytes);
    before = Take(Moment::kBeforeNext, false);
    if (ids_.count(id_) > 1) before += Take(Moment::kBeforeSame, true);
    if (IsRefusal(bytes)) {
      ++writer_.counts_.refusals;
      if (writer_.copies_) Plan(bytes);
    }
  }
  const bool is_over = IsOver(bytes);
  std::string out = before + std::move(bytes);
  if (!is_over) return out;
  open_ = false;
  if (!soon_behind_.empty()) {
    timed_.push_back({kAtOnce, std::exchange(soon_behind_, {})});
  }
  return out + std::exchange(behind_, {});
}

std::string CopyWriter::Link::OnTime(const std::string& bytes) {
  if (!open_ || !begun_) return bytes;
  behind_ += bytes;
  return {};
}

void CopyWriter::Link::Begin(const std::string& bytes) {
  const std::string head = bytes.substr(0, bytes.find(kHeadEnd) + 2);
  const std::string length = HeaderIn(head, "content-length");
  chunked_ = length.empty();
  left_ = bytes.find(kHeadEnd) + kHeadEnd.size() +
          (chunked_ ? 0 : std::stoul(length));
  behind_ += Take(Moment::kBehindNext, false);
  soon_behind_ += Take(Moment::kSoonBehindNext, false);
}

bool CopyWriter::Link::IsOver(const std::string& bytes) {
  if (chunked_) return bytes.ends_with(kLastChunk);
  left_ -= std::min(left_, bytes.size());
  return left_ == 0;
}

void CopyWriter::Link::Plan(const std::string& refusal) {
  auto& random = writer_.random_;
  const std::string id = HeaderIn(refusal, "x-request-id");
  const auto within = [&random](milliseconds most) {
    return milliseconds(std::uniform_int_distribution<milliseconds::rep>(
        1, most.count())(random));
  };
  int count = 1;
  while (count < kMostCopies && std::bernoulli_distribution(kMoreShare)(random))
    ++count;
  for (int i = 0; i < count; ++i) {
    const Moment moment = Draw(i);
    if (moment == Moment::kWithRefusal) {
      behind_ += refusal;
    } else if (moment == Moment::kIdle) {
      timed_.push_back({within(kLongestSoon), refusal});
    } else if (moment == Moment::kLate) {
      timed_.push_back({within(kLongestLate), refusal});
    } else {
      copies_.push_back({id, refusal, moment});
      continue;
    }
    ++writer_.counts_.written;
  }
}

CopyWriter::Link::Moment CopyWriter::Link::Draw(int earlier) {
  auto& random = writer_.random_;
  const bool held =
      earlier == 0 && std::bernoulli_distribution(kHeldShare)(random);
  const auto first =
      static_cast<int>(held ? Moment::kSameRequest : Moment::kWithRefusal);
  return static_cast<Moment>(
      std::uniform_int_distribution<int>(first, kMoments - 1)(random));
}

std::string CopyWriter::Link::Take(Moment moment, bool same_only) {
  std::string out;
  std::erase_if(copies_, [&](const Copy& copy) {
    if (copy.moment != moment || (same_only && copy.id != id_)) return false;
    out += copy.bytes;
    ++writer_.counts_.written;
    if (!id_.empty() && copy.id == id_) ++writer_.counts_.written_to_same;
    return true;
  });
  return out;
}

}  // namespace comfreyflow::soak
