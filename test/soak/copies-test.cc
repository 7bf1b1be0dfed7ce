// Copies of refusals: they stand between answers, and are counted.
#include "soak/copies.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace comfreyflow;        // NOLINT(google-build-using-namespace)
using namespace comfreyflow::soak;  // NOLINT(google-build-using-namespace)

namespace {

std::string RequestOf(const std::string& id) {
  return "POST /unsafe/" + id + " HTTP/1.1\r\nX-Request-Id: " + id +
         "\r\nContent-Length: 1\r\n\r\nx";
}

std::string RefusalOf(const std::string& id) {
  return "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " + id +
         "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

/// A connection and all that its host gets.
struct Connection {
  explicit Connection(CopyWriter& writer) : link(writer.Open()) {}

  void Request(const std::string& id) { got += link->OnRequest(RequestOf(id)); }
  void Answer(const std::string& bytes) {
    got += link->OnAnswer(bytes);
    for (auto& timed : link->TakeTimed()) waiting.push_back(timed.bytes);
  }
  void PassTime() {
    for (const auto& bytes : waiting) got += link->OnTime(bytes);
    waiting.clear();
  }

  std::unique_ptr<CopyWriter::Link> link;
  std::string got;
  std::vector<std::string> waiting;
};

std::size_t CountOf(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

constexpr int kTimes = 300;

}  // namespace

TEST_CASE("a target that writes no copies is passed on as it is") {
  CopyCounts counts;
  CopyWriter writer(counts, 1);
  Connection connection(writer);
  connection.Request("a");
  connection.Answer(RefusalOf("a"));
  connection.Request("b");
  CHECK(connection.got == RefusalOf("a"));
  CHECK(counts.refusals == 1);
  CHECK(counts.written == 0);
}

TEST_CASE("no copy of a refusal stands inside another answer") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  CopyCounts counts;
  CopyWriter writer(counts, 2);
  writer.SetCopies(true);
  for (int i = 0; i < kTimes; ++i) {
    Connection connection(writer);
    connection.Request("a");
    connection.Answer(RefusalOf("a"));
    connection.Request(i % 2 == 0 ? "a" : "b");
    connection.Answer(head);
    connection.PassTime();
    connection.Answer("5\r\nhello\r\n");
    connection.Answer("0\r\n\r\n");
    connection.PassTime();
    const std::string& got = connection.got;
    CHECK(CountOf(got, head + "5\r\nhello\r\n0\r\n\r\n") == 1);
    CHECK(CountOf(got, RefusalOf("a")) * RefusalOf("a").size() + head.size() +
              15 ==
          got.size());
  }
  CHECK(counts.written > kTimes / 2);
}

TEST_CASE("copies come before and behind the answer to the same request") {
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  CopyCounts counts;
  CopyWriter writer(counts, 3);
  writer.SetCopies(true);
  std::size_t before = 0;
  std::size_t behind = 0;
  for (int i = 0; i < kTimes; ++i) {
    Connection connection(writer);
    connection.Request("a");
    connection.Answer(RefusalOf("a"));
    connection.Request("a");
    connection.Answer(answer);
    connection.PassTime();
    const auto at = connection.got.find(answer);
    before += CountOf(connection.got.substr(0, at), RefusalOf("a")) - 1;
    behind += CountOf(connection.got.substr(at), RefusalOf("a"));
  }
  CHECK(before > kTimes / 4);
  CHECK(behind > kTimes / 10);
  CHECK(counts.written == before + behind);
  CHECK(counts.again_on_connection == kTimes);
  CHECK(counts.again_at_target == 2 * kTimes - 1);
}
