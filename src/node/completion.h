/// Completion requests as callers send them.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "comfreyflow/errors.h"
#include "comfreyflow/types.h"

namespace comfreyflow::node {

enum class CompletionForm : std::uint8_t { kText, kChat };

/// A validated request body. `prompt` or `messages` is passed on to the engine
/// unchanged.
struct Completion {
  CompletionForm form = CompletionForm::kText;
  ModelName model;
  std::uint32_t max_tokens = 0;
  bool stream = false;
  nlohmann::json input;         ///< The prompt string or the array of messages.
  std::size_t input_bytes = 0;  ///< Bytes of all text in `input`.
};

inline constexpr std::uint32_t kDefaultMaxTokens = 1024;
inline constexpr std::uint32_t kMaxTokensLimit = 1'000'000;

/// Parses a body. Returns `kMalformedJson` or `kMalformedRequest` if it is
/// invalid; for `kMalformedRequest`, `field` names the first invalid field. A
/// body nested deeper than `json::kMaxDepth` counts as malformed JSON.
Errc ParseCompletion(std::string_view body, CompletionForm form,
                     Completion& out, std::string& field);

/// The form of a body that the caller sends again to resume a stream: chat if
/// it has messages.
CompletionForm FormOf(std::string_view body);

/// All text of the input in prompt order, for hashing into prefix blocks.
std::string InputText(const Completion& completion);

}  // namespace comfreyflow::node
