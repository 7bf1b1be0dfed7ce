// The count of lines that were left out of the log.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "node/log.h"

using namespace comfreyflow::node;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kLines = 1000;  // Beyond the budget of a second.

int CountOf(const std::string& text, const std::string& word) {
  int count = 0;
  for (auto at = text.find(word); at != std::string::npos;
       at = text.find(word, at + 1)) {
    ++count;
  }
  return count;
}

/// What `write` writes to standard output.
template <class Action>
std::string Output(Action write) {
  const int output = ::dup(STDOUT_FILENO);
  int ends[2] = {-1, -1};
  REQUIRE(::pipe(ends) == 0);
  constexpr int kPipeBytes = 1024 * 1024;
  ::fcntl(ends[1], F_SETPIPE_SZ, kPipeBytes);
  ::dup2(ends[1], STDOUT_FILENO);
  write();
  ::dup2(output, STDOUT_FILENO);
  ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
  std::string text;
  std::vector<char> buffer(64 * 1024);
  for (ssize_t size = 0;
       (size = ::read(ends[0], buffer.data(), buffer.size())) > 0;) {
    text.append(buffer.data(), static_cast<std::size_t>(size));
  }
  for (const int end : {ends[0], ends[1], output}) ::close(end);
  return text;
}

}  // namespace

TEST_CASE("lines past the budget that were written count as left out") {
  const std::string text = Output([] {
    StartLog("test");
    for (int i = 0; i < kLines; ++i) {
      LogLine(Severity::kInfo, Event::kRequestEnded)
          .PastBudget()
          .With("request", "twice");
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1100));
    LogLine(Severity::kInfo, Event::kRequestEnded).With("request", "later");
  });
  REQUIRE(CountOf(text, "\"twice\"") == kLines);
  REQUIRE(CountOf(text, "\"later\"") == 1);
  CHECK(CountOf(text, "\"lines_left_out\"") == 0);
}
