// JSON of callers, engines and stores that is nested without bound.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "node/completion.h"
#include "node/engine-stream.h"
#include "platform/object-api.h"

using namespace comfreyflow;        // NOLINT(google-build-using-namespace)
using namespace comfreyflow::node;  // NOLINT(google-build-using-namespace)

namespace {

std::string Deep(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

const std::vector<std::size_t> kDepths = {100, 10'000, 100'000, 450'000};

}  // namespace

TEST_CASE("a caller's body nested deeply is refused and ends no host") {
  const std::string begin = R"({"model":"m","messages":[{"role":"user",)";
  for (const std::size_t depth : kDepths) {
    CAPTURE(depth);
    const std::string deep = Deep(depth);
    for (const auto& body :
         {begin + R"("content":[{"text":"a","type":)" + deep + "}]}]}",
          begin + R"("content":"a","more":)" + deep + "}]}",
          R"({"model":"m","prompt":"a","n":)" + deep + "}",
          R"({"model":"m","prompt":)" + deep + "}"}) {
      Completion completion;
      std::string field;
      CHECK(ParseCompletion(body, CompletionForm::kChat, completion, field) ==
            Errc::kMalformedJson);
      CHECK(FormOf(body) == CompletionForm::kText);
    }
  }
}

TEST_CASE("an engine's event nested deeply fails its stream alone") {
  for (const std::size_t depth : kDepths) {
    CAPTURE(depth);
    for (const char* key : {"done", "error", "text", "more"}) {
      int told = 0;
      const auto stream = std::make_shared<EngineStream>(
          AttemptId{}, true, [&told](auto&&) { ++told; });
      const auto hooks = stream->Hooks();
      http::Response head;
      head.status = 200;
      hooks.on_head(head);
      hooks.on_body("data: {\"" + std::string(key) + "\":" + Deep(depth) +
                    "}\n\n");
      CHECK(told == 1);
    }
  }
}

TEST_CASE("a store's answer nested deeply is malformed and ends no host") {
  for (const std::size_t depth : kDepths) {
    CAPTURE(depth);
    const std::string body =
        R"({"version":1,"items":[{"name":"a","version":1,"value":)" +
        Deep(depth) + R"(}],"changes":)" + Deep(depth) + "}";
    ListAnswer list;
    CHECK_THROWS_AS(DefaultObjectApi().read_list(body, list), std::exception);
    WatchAnswer batch;
    CHECK_THROWS_AS(DefaultObjectApi().read_watch(body, batch), std::exception);
    ReadAnswer object;
    CHECK_THROWS_AS(DefaultObjectApi().read_object(Deep(depth), object),
                    std::exception);
    CHECK(DefaultObjectApi().read_version(Deep(depth)) == 0);
  }
}
