// Text form of a batch of the claim log, compact because the store charges for
// each byte: `NONCE,FLOOR;` and then the records. A claim is
// `cKEY,CLAIMANT,FINGERPRINT,SECONDS;` with the seconds to its deadline, an
// outcome `oKEY,CLAIMANT,OUTCOME;`. Numbers are in base 36.
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
constexpr char kClaimTag = 'c';
constexpr char kOutcomeTag = 'o';
constexpr std::uint64_t kMaxOutcome =
    static_cast<std::uint64_t>(Outcome::kUnknown);

void AppendNumber(std::string& text, std::uint64_t number, char end) {
  std::array<char, 16> digits{};
  const auto result = std::to_chars(
      digits.data(), digits.data() + digits.size(), number, kBase);
  text.append(digits.data(), result.ptr);
  text.push_back(end);
}

/// Reads the fields of a text in order. After the first syntax error every read
/// fails and `ok` stays false.
class Reader {
 public:
  explicit Reader(const std::string& text) : text_(text) {}

  bool AtEnd() const { return position_ == text_.size(); }
  bool ok() const { return ok_; }

  char ReadTag() {
    if (AtEnd()) return Fail();
    return text_[position_++];
  }

  std::string ReadField(char end) {
    const std::size_t stop = text_.find(end, position_);
    if (!ok_ || stop == std::string::npos) {
      Fail();
      return {};
    }
    std::string field = text_.substr(position_, stop - position_);
    position_ = stop + 1;
    return field;
  }

  std::uint64_t ReadNumber(char end) {
    const std::string field = ReadField(end);
    std::uint64_t number = 0;
    const char* last = field.data() + field.size();
    const auto result = std::from_chars(field.data(), last, number, kBase);
    if (result.ec != std::errc() || result.ptr != last) Fail();
    return number;
  }

  char Fail() {
    ok_ = false;
    position_ = text_.size();
    return '\0';
  }

 private:
  const std::string& text_;
  std::size_t position_ = 0;
  bool ok_ = true;
};

void AppendRecord(std::string& text, const ClaimRecord& record) {
  const bool is_claim = record.kind == ClaimRecord::Kind::kClaim;
  text.push_back(is_claim ? kClaimTag : kOutcomeTag);
  text += record.key;
  text.push_back(kFieldEnd);
  AppendNumber(text, record.claimant, kFieldEnd);
  if (!is_claim) {
    AppendNumber(text, static_cast<std::uint64_t>(record.outcome), kRecordEnd);
    return;
  }
  AppendNumber(text, record.fingerprint, kFieldEnd);
  AppendNumber(text, static_cast<std::uint64_t>(record.remaining.count()),
               kRecordEnd);
}

ClaimRecord ReadRecord(Reader& reader) {
  ClaimRecord record;
  const char tag = reader.ReadTag();
  if (tag != kClaimTag && tag != kOutcomeTag) reader.Fail();
  record.key = reader.ReadField(kFieldEnd);
  record.claimant = reader.ReadNumber(kFieldEnd);
  if (tag == kOutcomeTag) {
    record.kind = ClaimRecord::Kind::kOutcome;
    const std::uint64_t outcome = reader.ReadNumber(kRecordEnd);
    if (outcome > kMaxOutcome) reader.Fail();
    record.outcome = static_cast<Outcome>(outcome);
    return record;
  }
  record.fingerprint = reader.ReadNumber(kFieldEnd);
  const std::uint64_t seconds = reader.ReadNumber(kRecordEnd);
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
  out.nonce = reader.ReadNumber(kFieldEnd);
  out.floor = reader.ReadNumber(kRecordEnd);
  while (reader.ok() && !reader.AtEnd()) {
    out.records.push_back(ReadRecord(reader));
  }
  return reader.ok();
}

}  // namespace comfreyflow
