/// A host with stand-in targets on loopback, and a caller that can misbehave.
#pragma once

#include <doctest/doctest.h>

#include <atomic>
#include <boost/asio.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "comfreyflow/config.h"
#include "comfreyflow/errors.h"
#include "fakes/fake-engine.h"
#include "fakes/fake-service.h"
#include "node/log.h"
#include "node/node.h"

namespace comfreyflow::test {

inline const std::string kFleetKey = "fleet-key-of-the-tests-0123456789abcdef";
inline const std::string kAccountKey = "key-of-account-orders";
inline const std::string kOtherKey = "key-of-account-guests";
inline const std::string kSlowKey = "key-of-account-slow";
inline const std::string kNarrowKey = "key-of-account-narrow";
inline const std::string kAdminKey = "key-of-the-operators";

/// A file that is gone at the end of the test.
class TempFile {
 public:
  explicit TempFile(const std::string& text) {
    static std::atomic<int> next = 0;
    path_ = std::filesystem::temp_directory_path() /
            ("comfreyflow-test-" + std::to_string(getpid()) + "-" +
             std::to_string(next++));
    std::ofstream(path_) << text;
  }
  ~TempFile() { std::filesystem::remove(path_); }
  TempFile(const TempFile&) = delete;
  TempFile& operator=(const TempFile&) = delete;
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

/// The document of the tests: two accounts, an engine service with a model
/// that no target is left for, and a plain service.
inline std::string ConfigText(const std::vector<std::string>& engines,
                              const std::string& service) {
  std::string text =
      "[environment test]\n"
      "[account orders]\nkeys = " +
      Sha256(kAccountKey).value +
      "\ntokens_per_second = 100000000\nconcurrent_tokens = 100000000\n"
      "services = assistant, rounds, empty\n"
      "[account guests]\nkeys = " +
      Sha256(kOtherKey).value +
      "\ntokens_per_second = 1000000\nconcurrent_tokens = 1000000\n"
      "services = empty\n"
      "[account slow]\nkeys = " +
      Sha256(kSlowKey).value +
      "\ntokens_per_second = 1\nconcurrent_tokens = 1000000\n"
      "services = assistant\n"
      "[account narrow]\nkeys = " +
      Sha256(kNarrowKey).value +
      "\ntokens_per_second = 1000000\nconcurrent_tokens = 1\n"
      "services = assistant\n"
      "[service assistant]\ntarget_class = bento-llm\nmodels = bento-llm@1\n"
      "[service empty]\ntarget_class = none\nmodels = nowhere@1\n"
      "[service rounds]\nkind = plain\ntarget_class = rounds-app\n";
  for (std::size_t i = 0; i < engines.size(); ++i) {
    text += "[target e" + std::to_string(i + 1) + "]\naddress = " + engines[i] +
            "\nclass = bento-llm\nfailure_domain = kokura\n";
  }
  return text + "[target r1]\naddress = " + service +
         "\nclass = rounds-app\nfailure_domain = kokura\n";
}

inline HostSettings Settings(const std::string& name) {
  HostSettings settings;
  settings.name.value = name;
  settings.failure_domain.value = "kokura";
  settings.environment = "test";
  settings.callers = "127.0.0.1:0";
  settings.peers = "127.0.0.1:0";
  settings.gossip = "127.0.0.1:0";
  settings.admin = "127.0.0.1:0";
  settings.admin_key_sha256 = Sha256(kAdminKey).value;
  settings.body_bytes = 8 * 1024 * 1024;
  settings.body_memory_bytes = 64 * 1024 * 1024;
  settings.receive_timeout = std::chrono::milliseconds(400);
  return settings;
}

/// One host that runs in this process.
class TestHost {
 public:
  explicit TestHost(HostSettings settings)
      : node_({std::move(settings), kFleetKey, [this](int code) {
                 exit_code_ = code;
                 exit_code_.notify_all();
               }}) {
    static const bool logs = [] {
      if (std::getenv("COMFREYFLOW_TEST_LOG") != nullptr) {
        node::StartLog("test");
      }
      return true;
    }();
    REQUIRE(logs);
    REQUIRE_FALSE(node_.Start());
  }

  std::string callers() const {
    return "127.0.0.1:" + std::to_string(node_.ports().callers);
  }
  std::string admin() const {
    return "127.0.0.1:" + std::to_string(node_.ports().admin);
  }
  node::Node& node() { return node_; }
  /// Waits for the node to ask for its end.
  int WaitForExit() {
    exit_code_.wait(kRunning);
    return exit_code_;
  }

 private:
  static constexpr int kRunning = -1;
  std::atomic<int> exit_code_ = kRunning;
  node::Node node_;
};

/// A raw connection, for requests that no client library would send.
class RawCaller {
 public:
  explicit RawCaller(const std::string& address) : socket_(io_) {
    const auto colon = address.rfind(':');
    const auto port = std::stoi(address.substr(colon + 1));
    socket_.connect({boost::asio::ip::make_address(address.substr(0, colon)),
                     static_cast<std::uint16_t>(port)});
  }

  /// Sends as much as the other end takes.
  void Send(const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
  }
  /// Reads until `mark` or the end; gives all that was read so far.
  std::string ReadUntil(const std::string& mark) {
    boost::system::error_code ignored;
    boost::asio::read_until(socket_, boost::asio::dynamic_buffer(read_), mark,
                            ignored);
    return read_;
  }
  /// Reads to the end of the connection.
  std::string ReadAll() {
    boost::system::error_code ignored;
    boost::asio::read(socket_, boost::asio::dynamic_buffer(read_), ignored);
    return read_;
  }
  void Close() { socket_.close(); }

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
  std::string read_;
};

/// A whole request with `connection: close`.
inline std::string RequestText(
    const std::string& method, const std::string& path,
    const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& body) {
  std::string text =
      method + " " + path + " HTTP/1.1\r\nhost: test\r\nconnection: close\r\n";
  for (const auto& [name, value] : fields) text += name + ": " + value + "\r\n";
  return text + "content-length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

struct RawAnswer {
  int status = 0;
  std::string head;
  std::string body;
};

inline RawAnswer ParseAnswer(const std::string& text) {
  RawAnswer answer;
  const auto end = text.find("\r\n\r\n");
  if (end == std::string::npos || text.size() < 12) return answer;
  answer.status = std::stoi(text.substr(9, 3));
  answer.head = text.substr(0, end);
  answer.body = text.substr(end + 4);
  return answer;
}

/// Sends one request on its own connection and reads the answer.
inline RawAnswer Ask(const std::string& address, const std::string& request) {
  RawCaller caller(address);
  caller.Send(request);
  return ParseAnswer(caller.ReadAll());
}

inline std::string Bearer(const std::string& key) { return "Bearer " + key; }

inline std::string Prompt(const std::string& text, int max_tokens,
                          bool stream = false) {
  return nlohmann::json{{"model", "bento-llm"},
                        {"prompt", text},
                        {"max_tokens", max_tokens},
                        {"stream", stream}}
      .dump();
}

/// Text of the answer that an engine gives to `body`.
inline std::string WholeText(const std::string& body) {
  return fakes::FakeAnswer(nlohmann::json::parse(body)).Whole();
}

/// The text of all events in a stream's bytes.
inline std::string StreamText(const std::string& bytes) {
  std::string text;
  std::size_t at = 0;
  while ((at = bytes.find("data: {", at)) != std::string::npos) {
    const auto end = bytes.find('\n', at);
    const auto json = nlohmann::json::parse(bytes.substr(at + 6, end - at - 6),
                                            nullptr, false);
    if (json.is_object() && json.contains("choices")) {
      text += json["choices"][0].value("text", "");
    }
    at = end;
  }
  return text;
}

}  // namespace comfreyflow::test
