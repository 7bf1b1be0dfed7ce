/// Requests for completions as callers send them.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "comfreyflow/errors.h"
#include "comfreyflow/types.h"

namespace comfreyflow::node {

enum class CompletionForm : std::uint8_t { kText, kChat };

/// A checked body. `prompt` or `messages` go on to the engine as they came.
struct Completion {
  CompletionForm form = CompletionForm::kText;
  ModelName model;
  std::uint32_t max_tokens = 0;
  bool stream = false;
  nlohmann::json input;         ///< The prompt string, or the list of messages.
  std::size_t input_bytes = 0;  ///< Bytes of all text in `input`.
};

inline constexpr std::uint32_t kDefaultMaxTokens = 1024;
inline constexpr std::uint32_t kMostMaxTokens = 1'000'000;

/// Reads a body; `kMalformedJson` or `kMalformedRequest` when it has faults.
/// `field` then names the first faulty field.
Errc ParseCompletion(std::string_view body, CompletionForm form,
                     Completion& out, std::string& field);

/// The form of a body that is sent again to continue a stream: chat when it
/// has messages.
CompletionForm FormOf(std::string_view body);

/// All text of the input in order, as its tokens follow each other.
std::string InputText(const Completion& completion);

}  // namespace comfreyflow::node
