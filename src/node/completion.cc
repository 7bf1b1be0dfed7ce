// Parses and validates the bodies of completion requests.
#include "node/completion.h"

#include <utility>

#include "json/bounded-json.h"

namespace comfreyflow::node {
namespace {

using Json = nlohmann::json;

/// Adds the size of a message's content to `bytes`. False if the content is
/// neither a string nor an array of text parts.
bool AddContentBytes(const Json& content, std::size_t& bytes) {
  if (content.is_string()) {
    bytes += content.get_ref<const std::string&>().size();
    return true;
  }
  if (!content.is_array()) return false;
  for (const auto& part : content) {
    if (!part.is_object() || part.value("type", Json()) != "text") return false;
    const auto text = part.find("text");
    if (text == part.end() || !text->is_string()) return false;
    bytes += text->get_ref<const std::string&>().size();
  }
  return true;
}

bool ReadMessages(Json& body, Completion& out) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return false;
  }
  for (const auto& message : *messages) {
    if (!message.is_object()) return false;
    const auto role = message.find("role");
    const auto content = message.find("content");
    if (role == message.end() || !role->is_string()) return false;
    if (content == message.end()) return false;
    if (!AddContentBytes(*content, out.input_bytes)) return false;
  }
  out.input = std::move(*messages);
  return true;
}

bool ReadPrompt(Json& body, Completion& out) {
  auto prompt = body.find("prompt");
  if (prompt == body.end()) return false;
  const bool is_single_item = prompt->is_array() && prompt->size() == 1;
  Json text = is_single_item ? std::move(prompt->front()) : std::move(*prompt);
  if (!text.is_string()) return false;
  out.input_bytes = text.get_ref<const std::string&>().size();
  out.input = std::move(text);
  return true;
}

bool ReadMaxTokens(const Json& body, const char* name, Completion& out) {
  const auto field = body.find(name);
  if (field == body.end() || field->is_null()) return true;
  if (!field->is_number_unsigned()) return false;
  const auto value = field->get<std::uint64_t>();
  if (value < 1 || value > kMaxTokensLimit) return false;
  out.max_tokens = static_cast<std::uint32_t>(value);
  return true;
}

/// Whether the request is for one choice only; more are not supported.
bool RequestsOneChoice(const Json& body) {
  const auto count = body.find("n");
  return count == body.end() || count->is_null() || *count == 1;
}

}  // namespace

Errc ParseCompletion(std::string_view body, CompletionForm form,
                     Completion& out, std::string& field) {
  Json json = json::Parse(body);
  if (json.is_discarded()) return Errc::kMalformedJson;
  const auto malformed = [&field](const char* name) {
    field = name;
    return Errc::kMalformedRequest;
  };
  if (!json.is_object()) return malformed("body");
  out.form = form;
  const auto model = json.find("model");
  if (model == json.end() || !model->is_string()) return malformed("model");
  out.model.value = model->get<std::string>();
  const auto stream = json.find("stream");
  if (stream != json.end() && !stream->is_null()) {
    if (!stream->is_boolean()) return malformed("stream");
    out.stream = stream->get<bool>();
  }
  out.max_tokens = kDefaultMaxTokens;
  for (const char* name : {"max_tokens", "max_completion_tokens"}) {
    if (!ReadMaxTokens(json, name, out)) return malformed(name);
  }
  if (!RequestsOneChoice(json)) return malformed("n");
  const bool chat = form == CompletionForm::kChat;
  if (chat && !ReadMessages(json, out)) return malformed("messages");
  if (!chat && !ReadPrompt(json, out)) return malformed("prompt");
  return Errc::kOk;
}

CompletionForm FormOf(std::string_view body) {
  const Json json = json::Parse(body);
  const bool chat = json.is_object() && json.contains("messages");
  return chat ? CompletionForm::kChat : CompletionForm::kText;
}

std::string InputText(const Completion& completion) {
  if (completion.input.is_string()) return completion.input.get<std::string>();
  std::string text;
  text.reserve(completion.input_bytes);
  for (const auto& message : completion.input) {
    text += message.at("role").get_ref<const std::string&>();
    text += ':';
    const auto& content = message.at("content");
    if (content.is_string()) {
      text += content.get_ref<const std::string&>();
    } else {
      for (const auto& part : content) {
        text += part.at("text").get_ref<const std::string&>();
      }
    }
    text += '\n';
  }
  return text;
}

}  // namespace comfreyflow::node
