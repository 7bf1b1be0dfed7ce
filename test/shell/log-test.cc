// Lines of the log and its budget.
#include "node/log.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace comfreyflow::node;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kLines = 1000;  // Beyond the budget of a second.

/// Standard output goes to a pipe while this lives.
class CapturedOutput {
 public:
  CapturedOutput() : output_(::dup(STDOUT_FILENO)) {
    REQUIRE(::pipe(pipe_) == 0);
    constexpr int kPipeBytes = 1024 * 1024;
    ::fcntl(pipe_[1], F_SETPIPE_SZ, kPipeBytes);
    ::dup2(pipe_[1], STDOUT_FILENO);
    StartLog("test");
  }
  ~CapturedOutput() {
    ::dup2(output_, STDOUT_FILENO);
    ::close(pipe_[0]);
    ::close(pipe_[1]);
    ::close(output_);
  }
  CapturedOutput(const CapturedOutput&) = delete;
  CapturedOutput& operator=(const CapturedOutput&) = delete;

  std::string Read() const {
    ::fcntl(pipe_[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::vector<char> buffer(64 * 1024);
    for (ssize_t size = 0;
         (size = ::read(pipe_[0], buffer.data(), buffer.size())) > 0;) {
      text.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return text;
  }

 private:
  const int output_;
  int pipe_[2] = {-1, -1};
};

int CountOf(const std::string& text, const std::string& word) {
  int count = 0;
  for (auto at = text.find(word); at != std::string::npos;
       at = text.find(word, at + 1)) {
    ++count;
  }
  return count;
}

}  // namespace

TEST_CASE("a busy log leaves out the end of a request that was sent twice") {
  const CapturedOutput output;
  for (int i = 0; i < kLines; ++i) {
    LogLine(Severity::kInfo, Event::kRequestEnded).With("request", "once");
  }
  LogLine(Severity::kInfo, Event::kRequestEnded)
      .PastBudget()
      .With("request", "twice");
  const std::string text = output.Read();
  CHECK(CountOf(text, "\"once\"") < kLines);
  CHECK(CountOf(text, "\"twice\"") == 1);
}
