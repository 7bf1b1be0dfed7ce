// Text form of a slot of the claim log: short, as each byte is paid for at the
// store. `NONCE,FLOOR` and then one record each, ended by semicolons; numbers
// in base 36.
#include <array>
#include <charconv>
#include <limits>

#include "comfreyflow/claims.h"
#include "core/claims/names.h"

namespace comfreyflow {
namespace {

constexpr int kBase = 36;
constexpr char kRecordEnd = ';';
constexpr char kFieldEnd = ',';
constexpr char kClaimMark = 'c';
constexpr char kOutcomeMark = 'o';
constexpr std::uint64_t kLastOutcome =
    static_cast<std::uint64_t>(Outcome::kUnknown);

void AppendNumber(std::string& text, std::uint64_t number, char end) {
  std::array<char, 16> digits{};
  const auto result = std::to_chars(
      digits.data(), digits.data() + digits.size(), number, kBase);
  text.append(digits.data(), result.ptr);
  text.push_back(end);
}

/// Reads the fields of a text one after the other; fails for good at the first
/// fault.
class Reader {
 public:
  explicit Reader(const std::string& text) : text_(text) {}

  bool AtEnd() const { return at_ == text_.size(); }
  bool ok() const { return ok_; }

  char Mark() {
    if (AtEnd()) return Fail();
    return text_[at_++];
  }

  std::string Field(char end) {
    const std::size_t stop = text_.find(end, at_);
    if (!ok_ || stop == std::string::npos) {
      Fail();
      return {};
    }
    std::string field = text_.substr(at_, stop - at_);
    at_ = stop + 1;
    return field;
  }

  std::uint64_t Number(char end) {
    const std::string field = Field(end);
    std::uint64_t number = 0;
    const char* last = field.data() + field.size();
    const auto result = std::from_chars(field.data(), last, number, kBase);
    if (result.ec != std::errc() || result.ptr != last) Fail();
    return number;
  }

  char Fail() {
    ok_ = false;
    at_ = text_.size();
    return '\0';
  }

 private:
  const std::string& text_;
  std::size_t at_ = 0;
  bool ok_ = true;
};

void AppendRecord(std::string& text, const ClaimRecord& record) {
  const bool claim = record.kind == ClaimRecord::Kind::kClaim;
  text.push_back(claim ? kClaimMark : kOutcomeMark);
  text += record.key;
  text.push_back(kFieldEnd);
  AppendNumber(text, record.claimant, kFieldEnd);
  if (!claim) {
    AppendNumber(text, static_cast<std::uint64_t>(record.outcome), kRecordEnd);
    return;
  }
  AppendNumber(text, record.fingerprint, kFieldEnd);
  AppendNumber(text, static_cast<std::uint64_t>(record.remaining.count()),
               kRecordEnd);
}

ClaimRecord ReadRecord(Reader& reader) {
  ClaimRecord record;
  const char mark = reader.Mark();
  if (mark != kClaimMark && mark != kOutcomeMark) reader.Fail();
  record.key = reader.Field(kFieldEnd);
  record.claimant = reader.Number(kFieldEnd);
  if (mark == kOutcomeMark) {
    record.kind = ClaimRecord::Kind::kOutcome;
    const std::uint64_t outcome = reader.Number(kRecordEnd);
    if (outcome > kLastOutcome) reader.Fail();
    record.outcome = static_cast<Outcome>(outcome);
    return record;
  }
  record.fingerprint = reader.Number(kFieldEnd);
  const std::uint64_t seconds = reader.Number(kRecordEnd);
  if (seconds > std::numeric_limits<std::uint32_t>::max()) reader.Fail();
  record.remaining = std::chrono::seconds(seconds);
  return record;
}

}  // namespace

std::string EncodeBatch(const ClaimBatch& batch) {
  std::string text;
  AppendNumber(text, batch.nonce, kFieldEnd);
  AppendNumber(text, batch.floor, kRecordEnd);
  for (const ClaimRecord& record : batch.records) AppendRecord(text, record);
  return text;
}

bool DecodeBatch(const std::string& text, ClaimBatch& out) {
  Reader reader(text);
  out = {};
  out.nonce = reader.Number(kFieldEnd);
  out.floor = reader.Number(kRecordEnd);
  while (reader.ok() && !reader.AtEnd()) {
    out.records.push_back(ReadRecord(reader));
  }
  return reader.ok();
}

}  // namespace comfreyflow
