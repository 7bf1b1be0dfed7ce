/// The stand-in engine's answers: a function of the request's body alone, so a
/// test can tell the whole answer.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace comfreyflow::fakes {

class FakeAnswer {
 public:
  /// Of a body of `/v1/completions` or `/v1/chat/completions`; only model,
  /// prompt or messages, and max_tokens count. Throws when these are missing.
  explicit FakeAnswer(const nlohmann::json& body);

  std::uint32_t tokens() const { return tokens_; }
  /// One token for each 4 bytes of the prompt, or of all messages' contents.
  std::uint64_t prompt_tokens() const { return prompt_tokens_; }
  /// The prompt, or the messages' contents joined.
  const std::string& prompt() const { return prompt_; }
  std::string Token(std::uint32_t index) const;
  /// The answer from its first token to its last.
  std::string Whole() const;

 private:
  std::string prompt_;
  std::uint64_t prompt_tokens_ = 0;
  std::uint64_t seed_ = 0;
  std::uint32_t tokens_ = 0;
};

}  // namespace comfreyflow::fakes
