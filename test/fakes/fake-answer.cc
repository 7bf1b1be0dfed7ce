// The stand-in engine's answers.
#include "fakes/fake-answer.h"

#include <xxhash.h>

namespace comfreyflow::fakes {
namespace {

constexpr std::uint32_t kDefaultTokens = 16;
constexpr std::uint64_t kBytesPerToken = 4;
constexpr std::size_t kShortest = 3;  // Letters of a token.
constexpr std::size_t kLengths = 5;

std::string Prompt(const nlohmann::json& body) {
  if (body.contains("prompt")) return body["prompt"].get<std::string>();
  std::string all;
  for (const auto& message : body.at("messages")) {
    all += message.at("content").get<std::string>();
  }
  return all;
}

}  // namespace

FakeAnswer::FakeAnswer(const nlohmann::json& body)
    : prompt_(Prompt(body)),
      prompt_tokens_((prompt_.size() + kBytesPerToken - 1) / kBytesPerToken),
      tokens_(body.value("max_tokens", kDefaultTokens)) {
  const std::string model = body.at("model");
  const std::uint64_t head = XXH3_64bits(model.data(), model.size());
  seed_ = XXH3_64bits_withSeed(prompt_.data(), prompt_.size(), head + tokens_);
}

std::string FakeAnswer::Token(std::uint32_t index) const {
  std::uint64_t bits = XXH3_64bits_withSeed(&index, sizeof index, seed_);
  const std::size_t length = kShortest + bits % kLengths;
  std::string token;
  for (std::size_t i = 0; i < length; ++i) {
    bits /= 26;
    token += static_cast<char>('a' + bits % 26);
  }
  return token + ' ';
}

std::string FakeAnswer::Whole() const {
  std::string text;
  for (std::uint32_t i = 0; i < tokens_; ++i) text += Token(i);
  return text;
}

}  // namespace comfreyflow::fakes
