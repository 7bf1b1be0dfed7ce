/// Targets of the product's own interface that write a refusal a second time,
/// before the next answer on its connection.
#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fakes/fake-platform.h"
#include "shell/host-fixture.h"

namespace comfreyflow::test {

/// How often each request ran, at all targets.
class RunCounts {
 public:
  void Add(const std::string& request) {
    const std::lock_guard lock(mutex_);
    ++runs_[request];
  }
  std::map<std::string, int> all() {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, int> runs_;
};

/// Value of a header, named in lower case, in a head as it came, or empty.
inline std::string FieldIn(const std::string& head, const std::string& name) {
  std::string lower = head;
  std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
  const auto at = lower.find("\r\n" + name + ": ");
  if (at == std::string::npos) return {};
  const auto begin = at + name.size() + 4;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

inline std::string AnswerText(const std::string& head,
                              const std::string& body) {
  return "HTTP/1.1 " + head +
         "\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

/// An engine or a plain service that refuses every second call; each of its
/// connections is served by a thread.
class CopyingServer {
 public:
  explicit CopyingServer(RunCounts& runs)
      : runs_(runs),
        acceptor_(io_, {boost::asio::ip::address_v4::loopback(), 0}) {
    Accept();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~CopyingServer() {
    io_.stop();
    thread_.join();
  }
  CopyingServer(const CopyingServer&) = delete;
  CopyingServer& operator=(const CopyingServer&) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  int calls() const { return calls_; }
  int refusals() const { return refusals_; }
  /// Copies that were written to a later call.
  int copies() const { return copies_; }
  /// Copies that were due when the other end closed their connection.
  int copies_cut() const { return copies_cut_; }

 private:
  struct Link {
    explicit Link(boost::asio::ip::tcp::socket accepted)
        : socket(std::move(accepted)) {}
    boost::asio::ip::tcp::socket socket;
    std::string read;
    std::string owed;
  };
  using LinkPtr = std::shared_ptr<Link>;

  void Accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error,
                                  boost::asio::ip::tcp::socket socket) {
      if (error) return;
      Read(std::make_shared<Link>(std::move(socket)));
      Accept();
    });
  }

  void Read(const LinkPtr& link) {
    boost::asio::async_read_until(
        link->socket, boost::asio::dynamic_buffer(link->read), "\r\n\r\n",
        [this, link](const boost::system::error_code& error, std::size_t size) {
          if (error && !link->owed.empty()) ++copies_cut_;
          if (error) return;
          const std::string head = link->read.substr(0, size);
          const std::string length = FieldIn(head, "content-length");
          const std::size_t body = length.empty() ? 0 : std::stoul(length);
          link->read.erase(0, size);
          const std::size_t missing =
              body > link->read.size() ? body - link->read.size() : 0;
          boost::asio::async_read(
              link->socket, boost::asio::dynamic_buffer(link->read),
              boost::asio::transfer_exactly(missing),
              [this, link, head, body](const boost::system::error_code& failed,
                                       std::size_t) {
                if (failed) return;
                link->read.erase(0, body);
                Answer(link, head);
              });
        });
  }

  void Answer(const LinkPtr& link, const std::string& head) {
    std::string text = About(head);
    if (text.empty()) text = Call(link, head);
    boost::system::error_code ignored;
    boost::asio::write(link->socket, boost::asio::buffer(text), ignored);
    Read(link);
  }

  /// What an engine says of itself.
  static std::string About(const std::string& head) {
    if (head.starts_with("GET /v1/load")) {
      return AnswerText(
          "200 OK",
          R"({"epoch":1,"seq":1,"age_ms":0,"running":0,"waiting":0,"kv_used":0,)"
          R"("kv_capacity":450000,"max_running":64,"prefill_backlog_tokens":0,)"
          R"("closing":false,"models":[{"model":"bento-llm","version":"1"}],)"
          R"("adapters":[],"role":"serve","checks_fence":true})");
    }
    if (head.starts_with("GET /v1/attempts")) {
      return AnswerText("200 OK", R"({"epoch":1,"attempts":[]})");
    }
    if (head.starts_with("GET /v1/cache/events")) {
      return AnswerText("200 OK", R"({"next":0,"events":[]})");
    }
    if (head.starts_with("GET /v1/cache")) {
      return AnswerText("200 OK", R"({"next":0,"blocks":[]})");
    }
    if (head.starts_with("POST /v1/orders")) {
      return AnswerText("202 Accepted", "{}");
    }
    if (head.find("/cancel ") != std::string::npos) {
      return AnswerText("200 OK", R"({"cancelled":false})");
    }
    return {};
  }

  std::string Call(const LinkPtr& link, const std::string& head) {
    if (!link->owed.empty()) ++copies_;
    std::string text = std::exchange(link->owed, {});
    const bool is_prompt = head.starts_with("POST /v1/completions");
    if (++calls_ % 2 == 1) {
      ++refusals_;
      link->owed =
          is_prompt ? AnswerText("503 Service Unavailable",
                                 R"({"error":{"code":"busy","ran":false}})")
                    : AnswerText("503 Service Unavailable\r\nx-not-run: 1", "");
      return text + link->owed;
    }
    // An attempt's number is the last part of its name.
    const std::string attempt = FieldIn(head, "x-attempt-id");
    runs_.Add(attempt.substr(0, attempt.rfind('~')));
    if (!is_prompt) return text + AnswerText("200 OK", "done");
    return text +
           AnswerText("200 OK\r\ncontent-type: text/event-stream",
                      "data: {\"offset\":0,\"text\":\"word\",\"tokens\":1}\n\n"
                      "data: {\"done\":true,\"offset\":4,\"prompt_tokens\":1,"
                      "\"cached_tokens\":0,\"output_tokens\":1,"
                      "\"finish_reason\":\"stop\"}\n\n");
  }

  RunCounts& runs_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<int> calls_ = 0;
  std::atomic<int> refusals_ = 0;
  std::atomic<int> copies_ = 0;
  std::atomic<int> copies_cut_ = 0;
  std::thread thread_;
};

inline constexpr int kCalls = 6;

/// Two such targets, as engines and as plain services, and a host.
struct CopyingScene {
  CopyingScene()
      : first(runs),
        second(runs),
        service(runs),
        other_service(runs),
        file(
            ConfigText({first.address(), second.address()}, service.address()) +
            "[target r2]\naddress = " + other_service.address() +
            "\nclass = rounds-app\nfailure_domain = kokura\n"),
        host(MakeSettings()) {}

  HostSettings MakeSettings() const {
    HostSettings settings = Settings("h1");
    settings.config_file = file.path();
    settings.platform = platform.address();
    return settings;
  }

  /// A call that may be repeated if it has no key.
  RawAnswer Call(const std::string& path, const std::string& key,
                 const std::string& body) {
    std::vector<std::pair<std::string, std::string>> fields = {
        {"authorization", Bearer(kAccountKey)}};
    if (!key.empty()) {
      fields.push_back({"x-repeatable", "false"});
      fields.push_back({"idempotency-key", key});
    }
    return Ask(host.callers(), RequestText("POST", path, fields, body));
  }

  /// Sends a call, which must not be repeated, under its key until it is
  /// neither refused nor said to be under way.
  void CallUntilRun(const std::string& path, int number,
                    const std::string& body) {
    const std::string key = "key" + std::to_string(number);
    int status = 0;
    for (int i = 0; i < 60; ++i) {
      status = Call(path, key, body).status;
      if (status != 503 && status != 409) break;
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    CHECK(status == 200);
  }

  /// Each of the calls ran once.
  void CheckRuns() {
    const auto all = runs.all();
    CHECK(all.size() == kCalls);
    for (const auto& [request, count] : all) CHECK(count == 1);
  }

  RunCounts runs;
  CopyingServer first;
  CopyingServer second;
  CopyingServer service;
  CopyingServer other_service;
  fakes::FakePlatform platform;
  TempFile file;
  TestHost host;
};

}  // namespace comfreyflow::test
